"""Load generator of the soak test: sends requests and records the responses."""

import http.client
import random
import re
import time
from dataclasses import dataclass, field
from enum import Enum

import gevent

from chervilstall.platform.protocol import RETRY_AFTER
from chervilstall.settings.option import Address
from chervilstall.soak.fleet import RouterProcess
from chervilstall.soak.targets import LONG_DRAFT_PREFIX
from chervilstall.standin.platform_fixtures import build_request_headers

REQUEST_TIMEOUT_S = 4.0
READ_TIMEOUT_S = 6.0
DEADLINE_SPARE_S = 2.0
PAUSE_S = 0.03
RETRY_MAX_S = 1.0
PROBE_REQUEST_ID = "probe"
"""Id of requests that only check whether a route exists."""

EVENTS_MAX = 60
LONG_SPARE_MIN_S = 1.0
"""Least time that callers allow for a long stream beyond its length."""

EVENT_ID_PATTERN = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class RequestKind(Enum):
    """Kinds of requests; each value is the path of a route of that kind."""

    IDEMPOTENT = "/lookup/a"
    NON_IDEMPOTENT = "/hold/a"
    STREAM = "/draft/a"
    LONG_STREAM = LONG_DRAFT_PREFIX + "a"

    @property
    def is_stream(self) -> bool:
        """Return whether the response is a stream of events."""
        return self in (RequestKind.STREAM, RequestKind.LONG_STREAM)


SHORT_KINDS = (RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT, RequestKind.STREAM)


@dataclass
class SentRequest:
    """One request and the response that its caller received.

    `router` is the name of the router that it was sent to, `expected_events` the
    number of events that a stream was asked for, `deadline_s` the time that the
    caller allows for the response. `status` is 0 without a response.
    `is_complete` tells whether the whole response arrived according to its HTTP
    framing. Times are monotonic seconds; `ended_at_s` is set also when the request
    fails.
    """

    request_id: str
    kind: RequestKind
    router: str
    sent_at_s: float
    expected_events: int = 0
    deadline_s: float = REQUEST_TIMEOUT_S
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    retry_after_s: float = 0.0
    ended_at_s: float = 0.0

    @property
    def event_ids(self) -> list[int]:
        """Return the ids of the received events, in the order of arrival."""
        return [int(event_id) for event_id in EVENT_ID_PATTERN.findall(self.body)]


@dataclass
class LoadGenerator:
    """Concurrent callers that send requests until they are stopped.

    Each caller reuses its connection until it fails, then connects to a random router
    or, if `stays_with_router`, to the same one again. Those that stay wait as long as
    a refusal says. The requests are of the given `kinds`; long streams have up to
    `long_events_max` events, one each `event_interval_s`.
    """

    routers: list[RouterProcess]
    rng: random.Random
    kinds: tuple[RequestKind, ...] = SHORT_KINDS
    stays_with_router: bool = False
    long_events_max: int = 0
    event_interval_s: float = 0.0
    requests: list[SentRequest] = field(default_factory=list)
    is_stopping: bool = False
    _tasks: list[gevent.Greenlet] = field(default_factory=list)
    _sequence: int = 0

    def start(self, count: int) -> None:
        """Start `count` more callers."""
        self._tasks += [gevent.spawn(self._run_caller, index) for index in range(count)]

    def stop(self) -> None:
        """Stop all callers; each completes its current request first."""
        self.is_stopping = True
        long_s = self.long_events_max * self.event_interval_s
        gevent.joinall(self._tasks, REQUEST_TIMEOUT_S + READ_TIMEOUT_S + long_s)

    def _run_caller(self, caller: int) -> None:
        while not self.is_stopping:
            router = self.rng.choice(self.routers)
            if self.stays_with_router:
                router = self.routers[caller % len(self.routers)]
            connection = new_connection(router.caller_address)
            try:
                while not self.is_stopping:
                    sent = self.send_random(connection, router)
                    pause_s = PAUSE_S * self.rng.random()
                    if self.stays_with_router:
                        pause_s = max(pause_s, min(sent.retry_after_s, RETRY_MAX_S))
                    gevent.sleep(pause_s)
            except (OSError, http.client.HTTPException):
                # Connection errors are expected here. The invariants are checked
                # after the run, from the recorded requests.
                gevent.sleep(PAUSE_S)
            finally:
                connection.close()

    def send_random(
        self, connection: http.client.HTTPConnection, router: RouterProcess
    ) -> SentRequest:
        """Send a random request and return it, recorded with its response."""
        kind = self.rng.choice(self.kinds)
        events, deadline_s = self._draw_size(kind)
        if connection.sock is None:
            # If connecting fails, no request was sent, so none is recorded.
            connection.connect()
        self._sequence += 1
        sent = SentRequest(
            f"c{self._sequence}",
            kind,
            router.name,
            time.monotonic(),
            events,
            deadline_s,
        )
        self.requests.append(sent)
        exchange(connection, sent)
        return sent

    def _draw_size(self, kind: RequestKind) -> tuple[int, float]:
        """Return the number of events and the deadline of a new request."""
        match kind:
            case RequestKind.STREAM:
                return self.rng.randint(1, EVENTS_MAX), REQUEST_TIMEOUT_S
            case RequestKind.LONG_STREAM:
                events = self.rng.randint(1, self.long_events_max)
                spare_s = self.rng.uniform(LONG_SPARE_MIN_S, REQUEST_TIMEOUT_S)
                return events, events * self.event_interval_s + spare_s
        return 0, REQUEST_TIMEOUT_S


def exchange(connection: http.client.HTTPConnection, sent: SentRequest) -> None:
    """Send a request and store its response in `sent`."""
    headers = build_request_headers(
        sent.request_id, sent.deadline_s, Token_Count=f"100,{sent.expected_events}"
    )
    if connection.sock is not None:
        # A long stream may be silent until its deadline.
        timeout_s = max(READ_TIMEOUT_S, sent.deadline_s + DEADLINE_SPARE_S)
        connection.sock.settimeout(timeout_s)
    try:
        connection.request("POST", sent.kind.value, headers=headers)
        response = connection.getresponse()
        sent.status = response.status
        sent.retry_after_s = float(response.getheader(RETRY_AFTER, "0"))
        sent.body = response.read()
        sent.is_complete = True
    except http.client.IncompleteRead as error:
        sent.body = error.partial
        raise
    finally:
        sent.ended_at_s = time.monotonic()


def new_connection(address: Address) -> http.client.HTTPConnection:
    """Return a connection to a router that opens with its first use."""
    return http.client.HTTPConnection(
        address.host, address.port, timeout=READ_TIMEOUT_S
    )


def probe_route(router: RouterProcess, path: str) -> int:
    """Return the status of a request for `path`, or 0 without a response."""
    connection = new_connection(router.caller_address)
    try:
        connection.request(
            "POST",
            path,
            headers=build_request_headers(PROBE_REQUEST_ID, REQUEST_TIMEOUT_S),
        )
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()
