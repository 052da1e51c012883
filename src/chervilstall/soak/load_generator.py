"""Load generator of the soak test: sends requests and records the responses."""

import http.client
import random
import re
import time
from dataclasses import dataclass, field
from enum import Enum

import gevent

from chervilstall.settings.option import Address
from chervilstall.soak.fleet import RouterProcess
from chervilstall.standin.platform_fixtures import build_request_headers

REQUEST_TIMEOUT_S = 4.0
READ_TIMEOUT_S = 6.0
PAUSE_S = 0.03
PROBE_REQUEST_ID = "probe"
"""Id of requests that only check whether a route exists."""

EVENTS_MAX = 60
EVENT_ID_PATTERN = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class RequestKind(Enum):
    """Kinds of requests; each value is the path of a route of that kind."""

    IDEMPOTENT = "/lookup/a"
    NON_IDEMPOTENT = "/hold/a"
    STREAM = "/draft/a"


@dataclass
class SentRequest:
    """One request and the response that its caller received.

    `router` is the name of the router that it was sent to, `expected_events` the
    number of events that a stream was asked for. `status` is 0 without a response.
    `is_complete` tells whether the whole response arrived according to its HTTP
    framing. Times are monotonic seconds; `ended_at_s` is set also when the request
    fails.
    """

    request_id: str
    kind: RequestKind
    router: str
    sent_at_s: float
    expected_events: int = 0
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    ended_at_s: float = 0.0

    @property
    def event_ids(self) -> list[int]:
        """Return the ids of the received events, in the order of arrival."""
        return [int(event_id) for event_id in EVENT_ID_PATTERN.findall(self.body)]


@dataclass
class LoadGenerator:
    """Concurrent callers that send requests until they are stopped.

    Each caller reuses its connection until it fails, then connects to a random router.
    """

    routers: list[RouterProcess]
    rng: random.Random
    requests: list[SentRequest] = field(default_factory=list)
    is_stopping: bool = False
    _tasks: list[gevent.Greenlet] = field(default_factory=list)

    def start(self, count: int) -> None:
        """Start `count` callers."""
        self._tasks = [gevent.spawn(self._run_caller, index) for index in range(count)]

    def stop(self) -> None:
        """Stop all callers; each completes its current request first."""
        self.is_stopping = True
        gevent.joinall(self._tasks, REQUEST_TIMEOUT_S + READ_TIMEOUT_S)

    def _run_caller(self, caller: int) -> None:
        sequence = 0
        while not self.is_stopping:
            router = self.rng.choice(self.routers)
            connection = _new_connection(router.caller_address)
            try:
                while not self.is_stopping:
                    sequence += 1
                    self._send(connection, router, f"c{caller}-{sequence}")
                    gevent.sleep(PAUSE_S * self.rng.random())
            except (OSError, http.client.HTTPException):
                # Connection errors are expected here. The invariants are checked
                # after the run, from the recorded requests.
                gevent.sleep(PAUSE_S)
            finally:
                connection.close()

    def _send(
        self,
        connection: http.client.HTTPConnection,
        router: RouterProcess,
        request_id: str,
    ) -> None:
        kind = self.rng.choice(list(RequestKind))
        events = self.rng.randint(1, EVENTS_MAX) if kind is RequestKind.STREAM else 0
        if connection.sock is None:
            # If connecting fails, no request was sent, so none is recorded.
            connection.connect()
        sent = SentRequest(request_id, kind, router.name, time.monotonic(), events)
        self.requests.append(sent)
        exchange(connection, sent)


def exchange(connection: http.client.HTTPConnection, sent: SentRequest) -> None:
    """Send a request and store its response in `sent`."""
    headers = build_request_headers(
        sent.request_id, REQUEST_TIMEOUT_S, Token_Count=f"100,{sent.expected_events}"
    )
    try:
        connection.request("POST", sent.kind.value, headers=headers)
        response = connection.getresponse()
        sent.status = response.status
        sent.body = response.read()
        sent.is_complete = True
    except http.client.IncompleteRead as error:
        sent.body = error.partial
        raise
    finally:
        sent.ended_at_s = time.monotonic()


def _new_connection(address: Address) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(
        address.host, address.port, timeout=READ_TIMEOUT_S
    )


def probe_route(router: RouterProcess, path: str) -> int:
    """Return the status of a request for `path`, or 0 without a response."""
    connection = _new_connection(router.caller_address)
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
