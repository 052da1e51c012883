"""Callers of the soak: they keep connections, send requests and note the answers."""

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

WAIT_S = 4.0
READ_TIMEOUT_S = 6.0
PAUSE_S = 0.03
PROBE = "probe"
"""Identity of requests that only look for a route."""

EVENTS_MAX = 60
EVENT_NUMBER = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class Kind(Enum):
    """Kinds of requests, with the paths that lead to them."""

    IDEMPOTENT = "/lookup/a"
    NON_IDEMPOTENT = "/hold/a"
    STREAM = "/draft/a"


@dataclass
class Sent:
    """One request and what its caller saw of it.

    `status` is 0 without an answer. `is_whole` tells whether the answer ended as its
    framing promised. Times are monotonic seconds.
    """

    request: str
    kind: Kind
    router: str
    sent_s: float
    events: int = 0
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    answered_s: float = 0.0

    @property
    def event_numbers(self) -> list[int]:
        """Return the numbers of the events that arrived, in order."""
        return [int(number) for number in EVENT_NUMBER.findall(self.body)]


@dataclass
class Callers:
    """Tasks that send requests until they are stopped.

    Each keeps its connection as long as it lasts, and then turns to any router.
    """

    routers: list[RouterProcess]
    rng: random.Random
    sent: list[Sent] = field(default_factory=list)
    is_stopping: bool = False
    _tasks: list[gevent.Greenlet] = field(default_factory=list)

    def start(self, count: int) -> None:
        """Start callers."""
        self._tasks = [gevent.spawn(self._call, number) for number in range(count)]

    def stop(self) -> None:
        """Let every caller finish its request."""
        self.is_stopping = True
        gevent.joinall(self._tasks, WAIT_S + READ_TIMEOUT_S)

    def _call(self, number: int) -> None:
        turn = 0
        while not self.is_stopping:
            router = self.rng.choice(self.routers)
            connection = _connection(router.callers)
            try:
                while not self.is_stopping:
                    turn += 1
                    self._send(connection, router, f"c{number}-{turn}")
                    gevent.sleep(PAUSE_S * self.rng.random())
            except (OSError, http.client.HTTPException):
                # The connection is gone; what that means is judged from `sent`.
                gevent.sleep(PAUSE_S)
            finally:
                connection.close()

    def _send(
        self, connection: http.client.HTTPConnection, router: RouterProcess, name: str
    ) -> None:
        kind = self.rng.choice(list(Kind))
        events = self.rng.randint(1, EVENTS_MAX) if kind is Kind.STREAM else 0
        if connection.sock is None:
            # A connection that fails here carried nothing, so it is not noted.
            connection.connect()
        sent = Sent(name, kind, router.name, time.monotonic(), events)
        self.sent.append(sent)
        exchange(connection, sent)


def exchange(connection: http.client.HTTPConnection, sent: Sent) -> None:
    """Send a request and take its answer into `sent`."""
    headers = build_request_headers(
        sent.request, WAIT_S, Token_Count=f"100,{sent.events}"
    )
    try:
        connection.request("POST", sent.kind.value, headers=headers)
        answer = connection.getresponse()
        sent.status = answer.status
        sent.body = answer.read()
        sent.is_whole = True
    except http.client.IncompleteRead as error:
        sent.body = error.partial
        raise
    finally:
        sent.answered_s = time.monotonic()


def _connection(address: Address) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(
        address.host, address.port, timeout=READ_TIMEOUT_S
    )


def ask(router: RouterProcess, path: str) -> int:
    """Return the status of a request on a route, or 0 without an answer."""
    connection = _connection(router.callers)
    try:
        connection.request("POST", path, headers=build_request_headers(PROBE, WAIT_S))
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()
