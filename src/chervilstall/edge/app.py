"""The WSGI application of the router: routing, admission, relaying, responses."""

import errno
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from chervilstall.edge.answers import AnswerSender
from chervilstall.edge.bodies import BodyReader, account_head
from chervilstall.edge.disconnect import DisconnectMonitor
from chervilstall.edge.draining import (
    DrainSchedule,
    log_interrupted,
    shutting_down_error,
)
from chervilstall.edge.error_responses import error_response
from chervilstall.edge.exchange import CompleteResponse
from chervilstall.edge.limits.budget import FleetRetryBudget
from chervilstall.edge.peers.forwarding import (
    FORWARDING_KEY,
    UNABLE_HEADER,
    UNABLE_KINDS,
    Forwarding,
)
from chervilstall.edge.plain_relay import PlainRelay
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.room.gate import RoomGate, hold_room
from chervilstall.edge.streams.context import StreamBroken, StreamContext
from chervilstall.edge.streams.durations import StreamDurations
from chervilstall.edge.streams.relay import StreamRelay
from chervilstall.edge.traffic_split import choose_service
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.records import Route, RouterConfiguration, Service
from chervilstall.fleet.view import FleetView
from chervilstall.http_response import StartResponse, status_line
from chervilstall.ids import WorkspaceName
from chervilstall.platform.headers import (
    HeaderFields,
    RequestFields,
    ResponseHead,
    read_request_fields,
)
from chervilstall.process_limits.memory import ClientMemory, MemoryShort, RequestMemory
from chervilstall.telemetry.edge_metrics import EdgeMetrics, RequestOutcome
from chervilstall.telemetry.events import EventLog
from chervilstall.waiting import wait_until_set
from chervilstall.wsgi import HEADERS_KEY, REQUEST_TARGET_KEY, SOCKET_KEY, Environ

log = EventLog("edge")

NOT_READY_RETRY_S = 0.5
STARTUP_WAIT_S = 0.5
"""Time after the start in which requests wait for the first listing of the store.

Callers that lost their connection when a process ended reconnect at once, and many of
them make no further attempt. The listing usually takes less than a tenth of this time.
"""


def _to_milliseconds(time_s: float | None) -> float | None:
    return None if time_s is None else round(time_s * 1e3, 1)


@dataclass
class EdgeApplication:
    """Serves callers' requests according to the present view of the fleet.

    Until `startup_wait_until_s`, a monotonic time, requests wait for the first
    configuration. `admitted` holds the requests that are being served, at most
    `requests_max`. `room_gate` admits streams by the room at their targets. `drain` is
    the schedule of a shutdown in progress; `begin_drain` sets it.
    """

    fleet_view: FleetView
    plain_relay: PlainRelay
    stream_context: StreamContext
    budget: FleetRetryBudget
    metrics: EdgeMetrics
    client_memory: ClientMemory
    requests_max: int
    room_gate: RoomGate | None = None
    drain: DrainSchedule | None = None
    running_requests: int = 0
    admitted: set[EdgeRequest] = field(default_factory=set)
    stream_durations: StreamDurations = field(default_factory=StreamDurations)
    body_reader: BodyReader = field(default_factory=BodyReader)
    startup_wait_until_s: float = field(
        default_factory=lambda: time.monotonic() + STARTUP_WAIT_S
    )

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        self.running_requests += 1
        try:
            yield from self._serve(environ, start_response)
        finally:
            self.running_requests -= 1

    def _serve(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        arrived_at_s = time.monotonic()
        fields = read_request_fields(environ[HEADERS_KEY])
        forwarding: Forwarding | None = environ.get(FORWARDING_KEY)
        request = None
        try:
            configuration = self._await_configuration(forwarding)
            with self.client_memory.hold_request() as memory:
                request = self._admit(
                    environ, fields, arrived_at_s, configuration, memory
                )
                monitor = DisconnectMonitor(environ[SOCKET_KEY], request)
                monitor.start()
                self.admitted.add(request)
                sender = AnswerSender(environ[SOCKET_KEY], memory.answer)
                try:
                    yield from self._relay(request, start_response, sender)
                except MemoryShort as error:
                    raise ChervilstallError(
                        ErrorKind.OUTCOME_UNKNOWN, str(error)
                    ) from error
                finally:
                    self.admitted.discard(request)
                    monitor.stop()
        except ChervilstallError as error:
            self._log_refusal(fields, request, error, arrived_at_s)
            response = error_response(error, fields.request)
            if forwarding is not None and error.kind in UNABLE_KINDS:
                headers = (*response.headers, (UNABLE_HEADER, error.kind.value))
                response = replace(response, headers=headers)
            start_response(
                *self._response_start(
                    response.status, response.headers, len(response.body)
                )
            )
            yield response.body

    def _log_refusal(
        self,
        fields: RequestFields,
        request: EdgeRequest | None,
        error: ChervilstallError,
        arrived_at_s: float,
    ) -> None:
        """Log the error that a request ends with; raise if its caller has left."""
        if request is not None and request.has_caller_disconnected:
            self._record_outcome(request, RequestOutcome.CALLER_LEFT)
            raise BrokenPipeError(errno.EPIPE, "the caller left")
        log.warning(
            "refused",
            request=fields.request,
            kind=error.kind.value,
            status=error.response.status,
            why=error.message,
            after_ms=_to_milliseconds(time.monotonic() - arrived_at_s),
            sends=request.sends if request is not None else 0,
            route=request.route.name if request is not None else "",
            retry_after_s=error.retry_after_s if error.response.is_retryable else None,
        )
        if request is not None:
            self._record_outcome(request, RequestOutcome.REFUSED)

    # Admission

    def _await_configuration(
        self, forwarding: Forwarding | None
    ) -> RouterConfiguration:
        """Return the configuration, after a wait if the router has just started.

        A request that another router took by a later version is refused.
        """
        remaining_s = max(0.0, self.startup_wait_until_s - time.monotonic())
        wait_until_set(self.fleet_view.loaded, remaining_s)
        configuration = self.fleet_view.configuration
        if configuration is None:
            raise ChervilstallError(
                ErrorKind.NOT_READY, "no configuration is known yet", NOT_READY_RETRY_S
            )
        if forwarding is None:
            return configuration
        if configuration.version < forwarding.configuration_version:
            raise ChervilstallError(
                ErrorKind.NOT_READY, "the configuration is older", NOT_READY_RETRY_S
            )
        return configuration

    def _admit(
        self,
        environ: Environ,
        fields: RequestFields,
        arrived_at_s: float,
        configuration: RouterConfiguration,
        memory: RequestMemory,
    ) -> EdgeRequest:
        size = sum(len(name) + len(value) + 4 for name, value in environ[HEADERS_KEY])
        if size > configuration.limits.header_bytes:
            raise ChervilstallError(ErrorKind.HEADERS_TOO_LARGE, f"{size} bytes")
        account_head(memory.answer, size)
        target = environ[REQUEST_TARGET_KEY]
        host = fields.host.rpartition(":")[0] or fields.host
        route = configuration.find_route(host.lower(), target.partition("?")[0])
        if route is None:
            raise ChervilstallError(ErrorKind.NOT_FOUND, "no route matches")
        workspace = self._authenticate(configuration, route, fields)
        service = configuration.services.get(choose_service(route, fields.request))
        if service is None:
            raise ChervilstallError(
                ErrorKind.NO_TARGET, "the service of the route is not configured"
            )
        body = self.body_reader.read(environ, configuration.limits, memory.body)
        if len(self.admitted) >= self.requests_max:
            raise ChervilstallError(
                ErrorKind.OVERLOADED, "no descriptor for a connection to a target"
            )
        # Checked after the body, which may take long to arrive.
        self.check_drain(route, service, fields)
        deadline_s = arrived_at_s + route.timeout_s
        if fields.timeout_s is not None:
            deadline_s = min(deadline_s, arrived_at_s + fields.timeout_s)
        if self.drain is not None:
            deadline_s = min(deadline_s, self.drain.answers_until_s)
        forwarding = environ.get(FORWARDING_KEY)
        if forwarding is None:
            # The router that took a forwarded request has counted it.
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
            arrived_at_s,
            deadline_s,
            memory.answer,
            forwarding=forwarding,
        )

    def _authenticate(
        self, configuration: RouterConfiguration, route: Route, fields: RequestFields
    ) -> WorkspaceName | None:
        if not configuration.has_workspaces or route.is_public:
            return None
        workspace = configuration.workspaces.get(fields.credential)
        if workspace is None:
            raise ChervilstallError(
                ErrorKind.UNAUTHENTICATED, "the API key is not known"
            )
        return workspace

    # Shutdown

    def begin_drain(self, schedule: DrainSchedule) -> None:
        """Take only what can still be answered; the caller stops the listeners."""
        self.drain = schedule
        for request in self.admitted:
            request.deadline_s = min(request.deadline_s, schedule.answers_until_s)

    def check_drain(
        self, route: Route, service: Service, fields: RequestFields
    ) -> None:
        """Refuse a request that a shutdown would interrupt, before it is sent."""
        if self.drain is None:
            return
        now_s = time.monotonic()
        if service.pipeline is not None:
            durations = self.stream_durations
            expected_s = durations.expected_s(service.name, fields.answer_tokens)
            is_taken = self.drain.takes_stream(now_s, expected_s, route.is_resumable)
        else:
            expected_s = self.drain.expected_plain_s(now_s, route)
            is_taken = self.drain.takes_plain(now_s, expected_s)
        if not is_taken:
            raise shutting_down_error()

    def answer_all(self) -> None:
        """Give every request in progress its final answer, as at its deadline."""
        for request in list(self.admitted):
            request.expire()
        self.body_reader.interrupt_all()

    def log_unfinished(self) -> None:
        """Log each request that a stop interrupts, and when it had arrived."""
        assert self.drain is not None
        log_interrupted(self.admitted, self.drain.started_at_s)

    # Responses

    def _relay(
        self,
        request: EdgeRequest,
        start_response: StartResponse,
        sender: AnswerSender,
    ) -> Iterator[bytes]:
        if request.service.pipeline is None:
            response = self.plain_relay.run(request)
            yield from self._send_complete(request, response, start_response, sender)
            return
        self.stream_context.record_demand(request)
        with hold_room(self.room_gate, request):
            yield from self._relay_stream(request, start_response, sender)

    def _relay_stream(
        self,
        request: EdgeRequest,
        start_response: StartResponse,
        sender: AnswerSender,
    ) -> Iterator[bytes]:
        relay = StreamRelay(self.stream_context, request)
        try:
            result = relay.begin()
            if isinstance(result, CompleteResponse):
                yield from self._send_complete(request, result, start_response, sender)
                return
            yield from self._forward_stream(
                request, relay, result, start_response, sender
            )
        finally:
            relay.close()

    def _send_complete(
        self,
        request: EdgeRequest,
        response: CompleteResponse,
        start_response: StartResponse,
        sender: AnswerSender,
    ) -> Iterator[bytes]:
        head = response.head
        self._record_outcome(request, RequestOutcome.of_status(head.status))
        start_response(
            *self._response_start(head.status, head.headers, len(response.body))
        )
        yield from sender.send_body(response.body)

    def _forward_stream(
        self,
        request: EdgeRequest,
        relay: StreamRelay,
        head: ResponseHead,
        start_response: StartResponse,
        sender: AnswerSender,
    ) -> Iterator[bytes]:
        start_response(*self._response_start(head.status, head.headers, None))
        request.first_event_s = time.monotonic() - request.arrived_at_s
        self.metrics.record_first_event(request, request.first_event_s)
        if self.room_gate is not None:
            self.room_gate.record_first_event(request)
        try:
            yield from sender.send_events(relay.events())
        except (StreamBroken, MemoryShort) as error:
            outcome = RequestOutcome.BROKEN
            if request.has_caller_disconnected:
                outcome = RequestOutcome.CALLER_LEFT
            self._record_outcome(request, outcome)
            log.warning(
                "stream broken off",
                request=request.request_id,
                why=str(error),
                events_passed=request.events_forwarded,
                caller_left=request.has_caller_disconnected,
            )
            raise BrokenPipeError(errno.EPIPE, str(error)) from error
        if not request.fields.last_event_id:
            self.stream_durations.record(
                request.service.name,
                request.fields.answer_tokens,
                time.monotonic() - request.arrived_at_s,
            )
        self._record_outcome(request, RequestOutcome.SERVED)

    def _response_start(
        self, status: int, headers: HeaderFields, length: int | None
    ) -> tuple[str, list[tuple[str, str]]]:
        """Return status line and headers; while draining, the connection is closed."""
        fields = list(headers)
        if length is not None:
            fields.append(("Content-Length", str(length)))
        if self.drain is not None:
            fields.append(("Connection", "close"))
        return status_line(status), fields

    def _record_outcome(self, request: EdgeRequest, outcome: RequestOutcome) -> None:
        elapsed_s = time.monotonic() - request.arrived_at_s
        self.metrics.record_finished(request, outcome, elapsed_s)
        log.routine(
            "finished",
            request=request.request_id,
            outcome=outcome.value,
            route=request.route.name,
            workspace=request.workspace,
            after_ms=_to_milliseconds(elapsed_s),
            sends=request.sends,
            events_passed=request.events_forwarded,
            first_event_ms=_to_milliseconds(request.first_event_s),
            longest_gap_ms=_to_milliseconds(request.longest_gap_s),
        )
