"""HTTP servers of the stand-in engines and plain services."""

import errno
import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import gevent
import msgspec

from chervilstall.http_response import HttpResponse, StartResponse, json_response
from chervilstall.ids import AttemptNumber, Position, RequestId, TargetId
from chervilstall.settings.option import Address
from chervilstall.standin.engine import Engine
from chervilstall.standin.fabric import HANG_S, CloseConnection, Fabric, StopResponding
from chervilstall.standin.faults import FaultInjector, FaultKind
from chervilstall.standin.ledger import Ledger, ServiceRun
from chervilstall.target.contract import (
    ATTEMPT_HEADER,
    REQUEST_HEADER,
    CancelOrder,
    EventKind,
    ExportOrder,
    ExportResponse,
    FencedOrder,
    GenerateOrder,
    GenerationProgress,
    Refusal,
    StreamEvent,
)
from chervilstall.wsgi import SOCKET_KEY, Environ, Server, read_body

EVENT_STREAM_HEADER = ("Content-Type", "text/event-stream")
ANY_PORT = Address("127.0.0.1", 0)
OK_BODY = {"ok": True}


ERROR_TEXT = b"upstream unavailable"
STREAM_ERRORS = {
    FaultKind.ERROR_TEXT: ERROR_TEXT + b"\n\n",
    FaultKind.ERROR_HEAD: b"HTTP/1.1 503 Service Unavailable\r\n\r\n" + ERROR_TEXT,
    FaultKind.ERROR_EVENT: b'data: {"error":"' + ERROR_TEXT + b'"}\n\n',
}
"""What some faults write into a stream, before the event at their position."""

REFUSE_AGAIN_DELAY_S = 0.05
EARLIER_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nChervilstall-Refused: yes\r\n"
    b"Chervilstall-Request: 00000000000000000000000000000000\r\n"
    b"Chervilstall-Attempt: 1\r\nContent-Length: 2\r\n\r\n{}"
)


class ConnectionClosed(ConnectionError):
    """Raised inside an application to make the server close the connection."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "connection closed by an injected fault")


def encode_event(event: StreamEvent) -> bytes:
    """Return an event as a server-sent event."""
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


class EngineServer:
    """HTTP server of one stand-in engine."""

    def __init__(
        self, fabric: Fabric, engine: Engine, address: Address = ANY_PORT
    ) -> None:
        self.fabric = fabric
        self.engine = engine
        self.server = Server(address, self.application)
        self.server.start()

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return self.server.bound_address

    def kill(self) -> None:
        """Kill the engine: drop its KV states and close its connections at once."""
        self.fabric.kill(self.engine)
        self.server.kill_connections()

    def stop(self) -> None:
        """Stop listening, close every connection and stop the accelerator."""
        self.server.kill_connections()
        self.engine.processor.stop()

    def application(
        self, environ: Environ, start_response: StartResponse
    ) -> "Iterator[bytes] | list[bytes]":
        """Serve one HTTP request. A dead engine closes the connection."""
        path = environ["PATH_INFO"]
        if self.engine.is_dead:
            raise ConnectionClosed
        if path == "/v1/generate":
            return self._generate(environ, start_response)
        return self._control(path, environ).start(start_response)

    def _control(self, path: str, environ: Environ) -> HttpResponse:
        engine = self.engine
        match path:
            case "/v1/load":
                return json_response(200, engine.load_report())
            case "/v1/cache/events":
                query = parse_qs(environ["QUERY_STRING"])
                after = int(query.get("after", ["0"])[0])
                return json_response(200, engine.cache_events(after))
            case "/v1/cache/index":
                return json_response(200, engine.cache_index())
            case "/v1/state":
                return json_response(200, engine.state)
            case "/v1/cancel":
                cancel = msgspec.json.decode(read_body(environ), type=CancelOrder)
                self.fabric.cancel(engine, cancel)
                return json_response(200, OK_BODY)
            case "/v1/progress":
                queried = msgspec.json.decode(read_body(environ), type=CancelOrder)
                position = engine.progress.get((queried.request, queried.attempt))
                if position is None:
                    return json_response(404, Refusal("no such attempt"))
                return json_response(200, GenerationProgress(Position(position)))
            case "/v1/kv/export":
                export = msgspec.json.decode(read_body(environ), type=ExportOrder)
                handle = self.fabric.export(engine, export)
                if handle is None:
                    return json_response(404, Refusal("no such KV state"))
                return json_response(200, ExportResponse(handle))
            case "/v1/orders":
                order = msgspec.json.decode(read_body(environ), type=FencedOrder)
                if not engine.apply_order(order):
                    return json_response(409, Refusal("old fence or wrong secret"))
                return json_response(200, OK_BODY)
        return json_response(404, Refusal("no such path"))

    def _generate(
        self, environ: Environ, start_response: StartResponse
    ) -> "Iterator[bytes] | list[bytes]":
        order = msgspec.json.decode(read_body(environ), type=GenerateOrder)
        engine = self.engine
        if engine.faults.trigger(FaultKind.SILENT_BEFORE_ACCEPT):
            gevent.sleep(HANG_S)
        if engine.faults.trigger(FaultKind.DIE_BEFORE_ACCEPT):
            self.fabric.kill(engine)
            raise ConnectionClosed
        refusal_reason = engine.refusal_reason(order, order.route[0])
        if refusal_reason:
            return json_response(503, Refusal(refusal_reason)).start(start_response)
        start_response("200 OK", [EVENT_STREAM_HEADER])
        return self._stream_events(order)

    def _stream_events(self, order: GenerateOrder) -> Iterator[bytes]:
        try:
            for event in self.fabric.generate(self.engine, order):
                yield self._due_error(event) + encode_event(event)
                if event.kind is EventKind.END:
                    return
        except StopResponding:
            gevent.sleep(HANG_S)
        except CloseConnection as error:
            raise ConnectionClosed from error

    def _due_error(self, event: StreamEvent) -> bytes:
        """Return the error that is to be written before an event, if any."""
        if event.kind is not EventKind.TOKEN:
            return b""
        for kind, error in STREAM_ERRORS.items():
            if self.engine.faults.trigger(kind, event.position):
                return error
        return b""


@dataclass
class ServiceOptions:
    """Behaviour of a stand-in service. `work_s` is the duration of each call.

    A call of `crashing_path`, if any, ends the service for `restart_s`.
    """

    work_s: float = 0.0
    crashing_path: str = ""
    restart_s: float = 0.3
    concurrency: int = 64


@dataclass
class PlainService:
    """A stand-in plain service that records its calls in a ledger.

    GET and HEAD are recorded as repeatable. Any other call counts as an effect, which
    its path and body identify.
    """

    target: TargetId
    ledger: Ledger
    options: ServiceOptions = field(default_factory=ServiceOptions)
    faults: FaultInjector = field(default_factory=FaultInjector)
    is_leaving: bool = False
    in_flight: int = 0

    def run(self, environ: Environ, body: bytes) -> bytes:
        """Record and run one call, and return the response body."""
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        operation = operation_name(path, body)
        run = ServiceRun(
            RequestId(environ.get("HTTP_CHERVILSTALL_REQUEST", "")),
            int(environ.get("HTTP_CHERVILSTALL_ATTEMPT", "0")),
            operation,
            method in ("GET", "HEAD"),
        )
        self.ledger.add_service_run(run)
        if self.options.work_s:
            gevent.sleep(self.options.work_s)
        answer = {"service": self.target, "path": path, "operation": operation}
        return msgspec.json.encode(answer)


def operation_name(path: str, body: bytes) -> str:
    """Return the operation name of a call in the ledger: path and body digest."""
    return f"{path}:{hashlib.sha256(body).hexdigest()[:16]}"


class ServiceServer:
    """HTTP server of one stand-in plain service."""

    def __init__(self, service: PlainService, address: Address = ANY_PORT) -> None:
        self.service = service
        self.crashes = 0
        self._listen(address)

    def _listen(self, address: Address) -> None:
        self.server = Server(address, self.application)
        self.server.start()

    def _crash(self) -> None:
        """Close every connection, and listen again after a while."""
        self.crashes += 1
        gevent.spawn_later(self.service.options.restart_s, self._listen, self.address)
        self.kill()
        raise ConnectionClosed

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return self.server.bound_address

    def kill(self) -> None:
        """Stop listening and close every connection."""
        self.server.kill_connections()

    stop = kill

    def application(
        self, environ: Environ, start_response: StartResponse
    ) -> list[bytes]:
        """Serve one HTTP call, with the armed faults."""
        service = self.service
        if environ["PATH_INFO"] == "/v1/load":
            return self._send_load_report(start_response)
        body = read_body(environ)
        if environ["PATH_INFO"] == service.options.crashing_path:
            self._crash()
        identity = (
            (REQUEST_HEADER, environ.get("HTTP_CHERVILSTALL_REQUEST", "")),
            (ATTEMPT_HEADER, environ.get("HTTP_CHERVILSTALL_ATTEMPT", "0")),
        )
        if service.is_leaving or service.faults.trigger(FaultKind.REFUSE):
            refused = (("Chervilstall-Refused", "yes"), *identity)
            return HttpResponse(503, b"{}", refused).start(start_response)
        self._apply_faults_before_run()
        service.in_flight += 1
        try:
            answer = service.run(environ, body)
        finally:
            service.in_flight -= 1
        if service.faults.trigger(FaultKind.REFUSE_AGAIN):
            # Once the answer has been written and the connection waits.
            gevent.spawn_later(
                REFUSE_AGAIN_DELAY_S, environ[SOCKET_KEY].sendall, EARLIER_REFUSAL
            )
        return self._build_answer(answer, identity).start(start_response)

    def _send_load_report(self, start_response: StartResponse) -> list[bytes]:
        report = {
            "in_flight": self.service.in_flight,
            "waiting": 0,
            "age_s": 0.0,
            "is_leaving": self.service.is_leaving,
        }
        return json_response(200, report).start(start_response)

    def _apply_faults_before_run(self) -> None:
        faults = self.service.faults
        slow = faults.trigger(FaultKind.SLOW)
        if slow:
            gevent.sleep(slow.delay_s)
        if faults.trigger(FaultKind.SILENT_BEFORE_ACCEPT):
            gevent.sleep(HANG_S)
        if faults.trigger(FaultKind.CLOSE_BEFORE_RUN):
            raise ConnectionClosed

    def _build_answer(
        self, answer: bytes, identity: tuple[tuple[str, str], ...]
    ) -> HttpResponse:
        faults = self.service.faults
        if faults.trigger(FaultKind.SILENT_AFTER_RUN):
            gevent.sleep(HANG_S)
        if faults.trigger(FaultKind.CLOSE_AFTER_RUN):
            raise ConnectionClosed
        headers = (("Content-Type", "application/json"), *identity)
        if faults.trigger(FaultKind.WRONG_REQUEST):
            crossed = (REQUEST_HEADER, "0" * 32)
            headers = (headers[0], crossed, headers[2])
            answer = b'{"crossed":true}'
        if faults.trigger(FaultKind.OLD_ATTEMPT):
            attempt = AttemptNumber(int(identity[1][1]) - 1)
            headers = (headers[0], headers[1], (ATTEMPT_HEADER, str(attempt)))
        return HttpResponse(200, answer, headers)
