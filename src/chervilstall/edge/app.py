"""The WSGI application in front of the targets: route, admit, relay, answer."""

import errno
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import gevent
import msgspec

from chervilstall.edge.bodies import BodyRoom, BodyShare
from chervilstall.edge.budget import FleetRetryBudget
from chervilstall.edge.caller import CallerWatch
from chervilstall.edge.exchange import WholeAnswer
from chervilstall.edge.plain import PlainRelay
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.splits import choose_service
from chervilstall.edge.streams import StreamBroken, StreamContext, StreamRelay
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.records import Route, RouterConfiguration
from chervilstall.fleet.view import FleetView
from chervilstall.ids import WorkspaceName
from chervilstall.platform import protocol
from chervilstall.platform.headers import (
    HeaderFields,
    RequestFields,
    ResponseHead,
    read_request_fields,
)
from chervilstall.telemetry.edge_metrics import EdgeMetrics, RequestOutcome
from chervilstall.telemetry.events import EventLog
from chervilstall.wsgi import (
    HEADERS_KEY,
    REQUEST_TARGET_KEY,
    SOCKET_KEY,
    Environ,
    HttpResponse,
    StartResponse,
    status_line,
)

log = EventLog("edge")

START_UP_S = 0.5
START_WAIT_S = 0.5
"""Time after the start in which requests wait for the first reading of the store.

Callers that were cut off by the end of a process come back at once, and many have no
further try; the reading usually takes less than a tenth of this.
"""

ELSEWHERE_S = 0.1
"""Wait of a caller that is to try another router."""


class ErrorText(msgspec.Struct, frozen=True):
    """Body of an answer of the router's own."""

    error: str
    message: str


def _milliseconds(time_s: float | None) -> float | None:
    return None if time_s is None else round(time_s * 1e3, 1)


def error_reply(error: ChervilstallError, request: str = "") -> HttpResponse:
    """Return the answer of an error, with the time to come back where that helps."""
    headers = [("Content-Type", "application/json")]
    if request:
        headers.append((protocol.REQUEST_ID, request))
    if error.response.is_retryable:
        headers.append((protocol.RETRY_AFTER, f"{error.retry_after_s:.2f}"))
    body = msgspec.json.encode(ErrorText(error.kind.value, error.message))
    return HttpResponse(error.response.status, body, tuple(headers))


@dataclass
class EdgeApplication:
    """Answers callers' requests from what is believed of the fleet."""

    fleet_view: FleetView
    plain: PlainRelay
    streams: StreamContext
    budget: FleetRetryBudget
    metrics: EdgeMetrics
    is_draining: bool = False
    takes_streams: bool = True
    running: int = 0
    bodies: BodyRoom = field(default_factory=BodyRoom)
    wait_until_s: float = field(default_factory=lambda: time.monotonic() + START_WAIT_S)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        self.running += 1
        try:
            yield from self._answer(environ, start_response)
        finally:
            self.running -= 1

    def _answer(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        arrived_s = time.monotonic()
        fields = read_request_fields(environ[HEADERS_KEY])
        request = None
        try:
            configuration = self._present_configuration()
            with self._reserve(environ, configuration) as share:
                request = self._admit(environ, fields, arrived_s, configuration)
                share.shrink(len(request.body))
                watch = CallerWatch(environ[SOCKET_KEY], request)
                watch.start()
                try:
                    yield from self._relay(request, start_response)
                finally:
                    watch.stop()
        except ChervilstallError as error:
            yield from self._refuse(fields, request, error, start_response, arrived_s)

    def _refuse(
        self,
        fields: RequestFields,
        request: EdgeRequest | None,
        error: ChervilstallError,
        start_response: StartResponse,
        arrived_s: float,
    ) -> Iterator[bytes]:
        if request is not None and request.has_caller_left:
            self._record(request, RequestOutcome.CALLER_LEFT)
            raise BrokenPipeError(errno.EPIPE, "the caller left")
        log.warning(
            "refused",
            request=fields.request,
            kind=error.kind.value,
            status=error.response.status,
            why=error.message,
            after_ms=_milliseconds(time.monotonic() - arrived_s),
            sends=request.sends if request is not None else 0,
            route=request.route.name if request is not None else "",
            retry_after_s=error.retry_after_s if error.response.is_retryable else None,
        )
        if request is not None:
            self._record(request, RequestOutcome.REFUSED)
        reply = error_reply(error, fields.request)
        start_response(*self._start(reply.status, reply.headers, len(reply.body)))
        yield reply.body

    # Admission

    def _present_configuration(self) -> RouterConfiguration:
        """Return the configuration; just after the start, wait until it is read."""
        self.fleet_view.loaded.wait(max(0.0, self.wait_until_s - time.monotonic()))
        configuration = self.fleet_view.configuration
        if configuration is None:
            raise ChervilstallError(
                ErrorKind.NOT_READY, "no configuration is known yet", START_UP_S
            )
        return configuration

    def _admit(
        self,
        environ: Environ,
        fields: RequestFields,
        arrived_s: float,
        configuration: RouterConfiguration,
    ) -> EdgeRequest:
        size = sum(len(name) + len(value) + 4 for name, value in environ[HEADERS_KEY])
        if size > configuration.limits.header_bytes:
            raise ChervilstallError(ErrorKind.HEADERS_TOO_LARGE, f"{size} bytes")
        target = environ[REQUEST_TARGET_KEY]
        host = fields.host.rpartition(":")[0] or fields.host
        route = configuration.find_route(host.lower(), target.partition("?")[0])
        if route is None:
            raise ChervilstallError(ErrorKind.NOT_FOUND, "no route matches")
        workspace = self._workspace(configuration, route, fields)
        service = configuration.services.get(choose_service(route, fields.request))
        if service is None:
            raise ChervilstallError(ErrorKind.NO_TARGET, "the service is not known")
        if service.pipeline is not None and not self.takes_streams:
            raise ChervilstallError(
                ErrorKind.SHUTTING_DOWN, "the router is stopping", ELSEWHERE_S
            )
        body = self._read_body(environ, configuration)
        deadline_s = arrived_s + route.timeout_s
        if fields.timeout_s is not None:
            deadline_s = min(deadline_s, arrived_s + fields.timeout_s)
        self.budget.record_request(service.name)
        return EdgeRequest(
            fields,
            environ["REQUEST_METHOD"],
            target,
            body,
            route,
            service,
            workspace,
            configuration.priority(route, workspace),
            arrived_s,
            deadline_s,
        )

    def _workspace(
        self, configuration: RouterConfiguration, route: Route, fields: RequestFields
    ) -> WorkspaceName | None:
        if not configuration.has_workspaces or route.is_public:
            return None
        workspace = configuration.workspaces.get(fields.credential)
        if workspace is None:
            raise ChervilstallError(ErrorKind.UNAUTHENTICATED, "the key is not known")
        return workspace

    def _reserve(
        self, environ: Environ, configuration: RouterConfiguration
    ) -> BodyShare:
        """Reserve memory for a body; one of unknown length may be the largest."""
        limits = configuration.limits
        told = environ.get("CONTENT_LENGTH")
        if told and int(told) > limits.body_bytes:
            raise ChervilstallError(ErrorKind.BODY_TOO_LARGE, f"{told} bytes")
        if told:
            return self.bodies.reserve(int(told))
        is_chunked = "HTTP_TRANSFER_ENCODING" in environ
        return self.bodies.reserve(limits.body_bytes if is_chunked else 0)

    def _read_body(self, environ: Environ, configuration: RouterConfiguration) -> bytes:
        limits = configuration.limits
        try:
            with gevent.Timeout(limits.idle_timeout_s, TimeoutError):
                body = environ["wsgi.input"].read(limits.body_bytes + 1)
        except TimeoutError as error:
            raise ChervilstallError(
                ErrorKind.REQUEST_TIMEOUT, "the body did not arrive in time"
            ) from error
        if len(body) > limits.body_bytes:
            raise ChervilstallError(ErrorKind.BODY_TOO_LARGE, f"{len(body)} bytes")
        return body

    # Answers

    def _relay(
        self, request: EdgeRequest, start_response: StartResponse
    ) -> Iterator[bytes]:
        if request.service.pipeline is None:
            answer = self.plain.answer(request)
            yield from self._pass_whole(request, answer, start_response)
            return
        relay = StreamRelay(self.streams, request)
        try:
            begun = relay.begin()
            if isinstance(begun, WholeAnswer):
                yield from self._pass_whole(request, begun, start_response)
                return
            yield from self._pass_stream(request, relay, begun, start_response)
        finally:
            relay.close()

    def _pass_whole(
        self, request: EdgeRequest, answer: WholeAnswer, start_response: StartResponse
    ) -> Iterator[bytes]:
        head = answer.head
        self._record(request, RequestOutcome.of_status(head.status))
        start_response(*self._start(head.status, head.headers, len(answer.body)))
        yield answer.body

    def _pass_stream(
        self,
        request: EdgeRequest,
        relay: StreamRelay,
        head: ResponseHead,
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        start_response(*self._start(head.status, head.headers, None))
        request.first_event_s = time.monotonic() - request.arrived_s
        self.metrics.record_first_event(request, request.first_event_s)
        try:
            yield from relay.events()
        except StreamBroken as error:
            outcome = RequestOutcome.BROKEN
            if request.has_caller_left:
                outcome = RequestOutcome.CALLER_LEFT
            self._record(request, outcome)
            log.warning(
                "stream broken off",
                request=request.name,
                why=str(error),
                events_passed=request.events_passed,
                caller_left=request.has_caller_left,
            )
            raise BrokenPipeError(errno.EPIPE, str(error)) from error
        self._record(request, RequestOutcome.SERVED)

    def _start(
        self, status: int, headers: HeaderFields, length: int | None
    ) -> tuple[str, list[tuple[str, str]]]:
        """Return status line and headers of an answer of this connection."""
        fields = list(headers)
        if length is not None:
            fields.append(("Content-Length", str(length)))
        if self.is_draining:
            fields.append(("Connection", "close"))
        return status_line(status), fields

    def _record(self, request: EdgeRequest, outcome: RequestOutcome) -> None:
        elapsed_s = time.monotonic() - request.arrived_s
        self.metrics.record_finished(request, outcome, elapsed_s)
        log.routine(
            "finished",
            request=request.name,
            outcome=outcome.value,
            route=request.route.name,
            workspace=request.workspace,
            after_ms=_milliseconds(elapsed_s),
            sends=request.sends,
            events_passed=request.events_passed,
            first_event_ms=_milliseconds(request.first_event_s),
            longest_gap_ms=_milliseconds(request.longest_gap_s),
        )
