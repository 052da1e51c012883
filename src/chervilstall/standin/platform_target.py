"""Stand-ins of the platform's targets: plain servers and parts of a model."""

import errno
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import gevent
import msgspec

from chervilstall.fleet.records import NO_LAYERS, LayerRange
from chervilstall.settings.option import Address
from chervilstall.wsgi import (
    HEADERS_KEY,
    REQUEST_TARGET_KEY,
    SOCKET_KEY,
    Environ,
    HttpResponse,
    Server,
    StartResponse,
    json_response,
    read_body,
    status_line,
)

EVENT_PAUSE_S = 0.01
DARK_S = 60.0
SIGNATURE = "stand-in.1"


class Behaviour(Enum):
    """What a stand-in does with the requests it gets."""

    SERVE = "serve"
    FAIL = "fail"
    REFUSE = "refuse"
    LOSE_ANSWER = "lose the answer"
    HANG = "hang"
    TRUNCATE_ANSWER = "cut the answer"
    ANSWER_TWICE = "answer twice"
    ANSWER_WRONG_REQUEST = "answer another request"
    BREAK_STREAM = "break the stream"
    STALL_STREAM = "stall the stream"
    PAUSE_STREAM = "pause the stream"


@dataclass(frozen=True)
class Run:
    """One request that a stand-in ran, as it arrived."""

    request: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class TargetLog:
    """What a stand-in did."""

    runs: list[Run] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    cancelled_streams: int = 0


class PlatformTarget:
    """One target over HTTP.

    `events_before_fault` is the number of events after which a stream breaks or stalls.
    """

    def __init__(self, name: str, address: Address) -> None:
        self.name = name
        self.behaviour = Behaviour.SERVE
        self.log = TargetLog()
        self.layers = NO_LAYERS
        self.orders_begun = 0
        self.events_before_fault = 3
        self.pause_s = 0.0
        self.stalled_on: str = ""
        self.queued = 0
        self.is_leaving = False
        self.is_silent = False
        self.server = Server(address, self)

    @property
    def address(self) -> Address:
        """Return the address that is served."""
        return self.server.bound_address

    def start(self) -> None:
        """Start serving."""
        self.server.start()

    def stop(self) -> None:
        """Stop serving and cut every connection."""
        self.server.kill_connections()

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        if self.is_silent:
            gevent.sleep(DARK_S)
        match environ["PATH_INFO"]:
            case "/chervilstall/report":
                return json_response(200, self._report()).start(start_response)
            case "/chervilstall/order":
                return self._order(environ, start_response)
            case "/healthz":
                status = 503 if self.is_leaving else 200
                named = (("Instance-Id", self.name),)
                return HttpResponse(status, b"{}", named).start(start_response)
        return self._serve(environ, start_response)

    def _report(self) -> dict[str, Any]:
        stalled = []
        if self.stalled_on:
            stalled = [
                {"id": run.request, "address": self.stalled_on} for run in self.log.runs
            ]
        return {
            "pace": 1.0,
            "busy": False,
            "sequence": self.orders_begun,
            "queued": self.queued,
            "active": 0,
            "kv-used-count": 0,
            "kv-total-count": 1000,
            "stalled": stalled,
            "layers": {"from": self.layers.first, "to": self.layers.end},
        }

    def _order(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        order = msgspec.json.decode(read_body(environ))
        self.log.orders.append(order)
        if order["op"] == "repath":
            self.stalled_on = ""
            return json_response(200, {}).start(start_response)
        if order.get("expected", self.orders_begun) != self.orders_begun:
            return json_response(409, {}).start(start_response)
        self.orders_begun += 1
        self.layers = LayerRange(order["from"], order["to"])
        return json_response(202, {}).start(start_response)

    def _serve(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        headers = {name.lower(): value for name, value in environ[HEADERS_KEY]}
        if self.behaviour is Behaviour.REFUSE:
            start_response(status_line(503), [("Not-Executed", "1")])
            return
        if headers.get("expect-instance", self.name) != self.name:
            start_response(status_line(421), [("Instance-Id", self.name)])
            return
        body = environ["wsgi.input"].read()
        request = headers.get("attempt-id", "")
        method = environ["REQUEST_METHOD"]
        run = Run(request, method, environ[REQUEST_TARGET_KEY], headers, body)
        self.log.runs.append(run)
        if "hop-count" in headers:
            yield from self._stream(run, environ, start_response)
            return
        yield from self._answer(run, environ, start_response)

    def _answer(
        self, run: Run, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        answer = f"answer to {run.request}".encode()
        head = [
            ("Attempt-Id", run.request),
            ("Server-Signature", SIGNATURE),
            ("Content-Length", str(len(answer))),
        ]
        connection = environ[SOCKET_KEY]
        match self.behaviour:
            case Behaviour.FAIL:
                start_response(status_line(500), head)
            case Behaviour.LOSE_ANSWER:
                raise BrokenPipeError(errno.EPIPE, "the answer is lost")
            case Behaviour.HANG:
                gevent.sleep(30.0)
            case Behaviour.TRUNCATE_ANSWER:
                start_response(status_line(200), head)
                yield answer[:4]
                raise BrokenPipeError(errno.EPIPE, "the answer is cut")
            case Behaviour.ANSWER_TWICE:
                whole = b"HTTP/1.1 200 OK\r\n" + b"".join(
                    f"{name}: {value}\r\n".encode() for name, value in head
                )
                connection.sendall((whole + b"\r\n" + answer) * 2)
                raise BrokenPipeError(errno.EPIPE, "both answers are sent")
            case Behaviour.ANSWER_WRONG_REQUEST:
                head[0] = ("Attempt-Id", "another")
                start_response(status_line(200), head)
            case _:
                start_response(status_line(200), head)
        yield answer

    def _stream(
        self, run: Run, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        count = int(run.headers["token-count"].split(",")[1])
        first = int(run.headers.get("last-event-id", "0")) + 1
        head = [
            ("Attempt-Id", run.request),
            ("Server-Signature", SIGNATURE),
            ("Content-Type", "text/event-stream"),
        ]
        start_response(status_line(200), head)
        try:
            for number in range(first, count + 1):
                gevent.sleep(EVENT_PAUSE_S)
                if number - first == self.events_before_fault:
                    self._pause()
                if number - first >= self.events_before_fault:
                    self._break()
                yield f"id: {number}\ndata: {self.name}\n\n".encode()
        except GeneratorExit:
            self.log.cancelled_streams += 1
            raise

    def _pause(self) -> None:
        if self.behaviour is Behaviour.PAUSE_STREAM:
            gevent.sleep(self.pause_s)

    def _break(self) -> None:
        match self.behaviour:
            case Behaviour.BREAK_STREAM:
                raise BrokenPipeError(errno.EPIPE, "the stream breaks")
            case Behaviour.STALL_STREAM:
                while self.stalled_on:
                    gevent.sleep(EVENT_PAUSE_S)
