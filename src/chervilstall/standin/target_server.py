"""HTTP listeners of the stand-in targets."""

import errno
import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import gevent
import msgspec

from chervilstall.ids import AttemptNumber, Position, RequestId, TargetId
from chervilstall.settings.option import Address
from chervilstall.standin.engine import Engine
from chervilstall.standin.fabric import FOREVER_S, CloseNow, Fabric, GoSilent
from chervilstall.standin.faults import FaultBoard, FaultKind
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
from chervilstall.wsgi import (
    Environ,
    HttpResponse,
    Server,
    StartResponse,
    json_response,
    read_body,
)

EVENT_STREAM = ("Content-Type", "text/event-stream")
ANY_PORT = Address("127.0.0.1", 0)
OK_BODY = {"ok": True}


class ConnectionCut(ConnectionError):
    """Raised inside an application to make the server close the connection."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "cut by a fault")


def encode_event(event: StreamEvent) -> bytes:
    """Return an event as a server-sent event."""
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


class EngineServer:
    """HTTP listener of one stand-in engine."""

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
        """Kill the engine: its KV states and connections go at once."""
        self.fabric.kill(self.engine)
        self.server.kill_connections()

    def stop(self) -> None:
        """Stop serving."""
        self.server.kill_connections()
        self.engine.processor.stop()

    def application(
        self, environ: Environ, start_response: StartResponse
    ) -> "Iterator[bytes] | list[bytes]":
        """Serve one request."""
        path = environ["PATH_INFO"]
        if self.engine.is_dead:
            raise ConnectionCut
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
                asked = msgspec.json.decode(read_body(environ), type=CancelOrder)
                position = engine.progress.get((asked.request, asked.attempt))
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
        if engine.faults.take(FaultKind.SILENT_BEFORE_ACCEPT):
            gevent.sleep(FOREVER_S)
        if engine.faults.take(FaultKind.DIE_BEFORE_ACCEPT):
            self.fabric.kill(engine)
            raise ConnectionCut
        refusal = engine.refusal(order, order.route[0])
        if refusal:
            return json_response(503, Refusal(refusal)).start(start_response)
        start_response("200 OK", [EVENT_STREAM])
        return self._stream(order)

    def _stream(self, order: GenerateOrder) -> Iterator[bytes]:
        try:
            for event in self.fabric.generate(self.engine, order):
                yield encode_event(event)
                if event.kind is EventKind.END:
                    return
        except GoSilent:
            gevent.sleep(FOREVER_S)
        except CloseNow as cut:
            raise ConnectionCut from cut


@dataclass
class ServiceOptions:
    """Behaviour of a stand-in service: its work per call in seconds."""

    work_s: float = 0.0
    concurrency: int = 64


@dataclass
class PlainService:
    """A stand-in plain service with a run ledger.

    Calls other than GET and HEAD count as effects, named by path and body.
    """

    target: TargetId
    ledger: Ledger
    options: ServiceOptions = field(default_factory=ServiceOptions)
    faults: FaultBoard = field(default_factory=FaultBoard)
    is_leaving: bool = False
    in_flight: int = 0

    def run(self, environ: Environ, body: bytes) -> bytes:
        """Run one call, record it and return the answer's body."""
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
    """Return the name under which a stand-in service records a call."""
    return f"{path}:{hashlib.sha256(body).hexdigest()[:16]}"


class ServiceServer:
    """HTTP listener of one stand-in plain service."""

    def __init__(self, service: PlainService, address: Address = ANY_PORT) -> None:
        self.service = service
        self.server = Server(address, self.application)
        self.server.start()

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return self.server.bound_address

    def kill(self) -> None:
        """Cut every connection and stop listening."""
        self.server.kill_connections()

    stop = kill

    def application(
        self, environ: Environ, start_response: StartResponse
    ) -> list[bytes]:
        """Serve one call."""
        service = self.service
        if environ["PATH_INFO"] == "/v1/load":
            return self._load(start_response)
        body = read_body(environ)
        identity = (
            (REQUEST_HEADER, environ.get("HTTP_CHERVILSTALL_REQUEST", "")),
            (ATTEMPT_HEADER, environ.get("HTTP_CHERVILSTALL_ATTEMPT", "0")),
        )
        if service.is_leaving or service.faults.take(FaultKind.REFUSE):
            refused = (("Chervilstall-Refused", "yes"), *identity)
            return HttpResponse(503, b"{}", refused).start(start_response)
        self._fail_before_run()
        service.in_flight += 1
        try:
            answer = service.run(environ, body)
        finally:
            service.in_flight -= 1
        return self._answer(answer, identity).start(start_response)

    def _load(self, start_response: StartResponse) -> list[bytes]:
        report = {
            "in_flight": self.service.in_flight,
            "waiting": 0,
            "age_s": 0.0,
            "is_leaving": self.service.is_leaving,
        }
        return json_response(200, report).start(start_response)

    def _fail_before_run(self) -> None:
        faults = self.service.faults
        slow = faults.take(FaultKind.SLOW)
        if slow:
            gevent.sleep(slow.delay_s)
        if faults.take(FaultKind.SILENT_BEFORE_ACCEPT):
            gevent.sleep(FOREVER_S)
        if faults.take(FaultKind.CLOSE_BEFORE_RUN):
            raise ConnectionCut

    def _answer(
        self, answer: bytes, identity: tuple[tuple[str, str], ...]
    ) -> HttpResponse:
        faults = self.service.faults
        if faults.take(FaultKind.SILENT_AFTER_RUN):
            gevent.sleep(FOREVER_S)
        if faults.take(FaultKind.CLOSE_AFTER_RUN):
            raise ConnectionCut
        headers = (("Content-Type", "application/json"), *identity)
        if faults.take(FaultKind.WRONG_REQUEST):
            crossed = (REQUEST_HEADER, "0" * 32)
            headers = (headers[0], crossed, headers[2])
            answer = b'{"crossed":true}'
        if faults.take(FaultKind.OLD_ATTEMPT):
            attempt = AttemptNumber(int(identity[1][1]) - 1)
            headers = (headers[0], headers[1], (ATTEMPT_HEADER, str(attempt)))
        return HttpResponse(200, answer, headers)
