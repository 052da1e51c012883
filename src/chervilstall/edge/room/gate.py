"""The gate that a stream passes before its first send.

It decides for callers' requests of services with a pipeline. Requests that another
router forwarded were admitted there, and a stream that resumes was admitted before:
they are only counted. So are all requests while the router can't tell the room of a
service.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace

from gevent.event import Event

from chervilstall.admission.fair_queue import QueuedRequest
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.room.classes import ACTIVE_S, RoomRequest
from chervilstall.edge.room.metrics import RefusalReason, RoomMetrics
from chervilstall.edge.room.service import RoomTicket, ServiceRoom
from chervilstall.edge.room.shortage import ShortageDetector
from chervilstall.edge.room.view import RoomView
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import ServiceName, WorkspaceName
from chervilstall.paths.choice import PathChooser
from chervilstall.settings.edge import AdmissionByRoomSettings
from chervilstall.telemetry.events import EventLog
from chervilstall.waiting import wait_until_set

log = EventLog("room")

NO_WORKSPACE = WorkspaceName("")
SERVICES_MAX = 256
"""Services with counts; those that the configuration drops make place for new ones."""


def _never_out_of_reach(service: ServiceName) -> bool:
    return False


@dataclass(frozen=True)
class RoomForecast:
    """Whether a request would start, wait, or be refused at once.

    Without room, it waits, or is refused if `expected_wait_s` exceeds `longest_wait_s`.
    `retry_after_s` holds the bounds of the Retry-After time.
    """

    has_room: bool = True
    expected_wait_s: float = 0.0
    longest_wait_s: float = 0.0
    retry_after_s: tuple[float, float] = (0.0, 0.0)


@dataclass
class RoomGate:
    """Admits streams by room, or refuses them before they are sent.

    `is_in_force` says whether it decides; it counts in any case. `is_out_of_reach`
    returns whether this router reaches no target of a service: another router takes
    its requests then, and no decision is made here. With a `shortage`, it decides only
    while there is one.
    """

    view: RoomView
    settings: AdmissionByRoomSettings
    is_in_force: Callable[[], bool]
    is_out_of_reach: Callable[[ServiceName], bool] = _never_out_of_reach
    shortage: ShortageDetector | None = None
    metrics: RoomMetrics = field(default_factory=RoomMetrics)
    rooms: dict[ServiceName, ServiceRoom] = field(default_factory=dict)
    _tickets: dict[EdgeRequest, RoomTicket] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.view.own_tokens = self.own_tokens

    def own_tokens(self, service: ServiceName) -> float:
        """Return the tokens of this router's requests in flight."""
        room = self.rooms.get(service)
        return room.ledger.tokens if room is not None else 0.0

    @contextmanager
    def hold(self, request: EdgeRequest) -> Iterator[None]:
        """Hold room for a stream while the context lasts.

        Raises ChervilstallError where there is none: the request has not been sent.
        """
        room = self._room(request)
        ticket = self._admit(room, request)
        self._tickets[request] = ticket
        try:
            yield
        finally:
            del self._tickets[request]
            if request.refusals and ticket.is_awaited:
                room.record_refusal(ticket)
            room.release(ticket)

    def record_first_event(self, request: EdgeRequest) -> None:
        """Learn from the time to the first event whether the targets have room."""
        room = self.rooms.get(request.service.name)
        ticket = self._tickets.get(request)
        if room is None or ticket is None:
            return
        if request.refusals:
            room.record_refusal(ticket)
        elif request.sends == 1:
            room.record_first_event(ticket)
        else:
            # After a failed send, the fault has made the answer late.
            ticket.is_awaited = False

    @property
    def saw_shortage(self) -> bool:
        """Return whether the latest check found targets short of room."""
        return self.shortage is not None and self.shortage.was_present

    def forecast(self, request: EdgeRequest, chooser: PathChooser) -> RoomForecast:
        """Return whether a request would be admitted now, without changing anything.

        `chooser` is a copy of the router's own one, with a snapshot of what others
        report. Whether there is a shortage is taken from the latest check.
        """
        decides = self._applies_to(request) and (
            self.shortage is None or self.shortage.was_present
        )
        if not decides:
            return RoomForecast()
        view = replace(
            self.view, chooser=chooser, peer_loads=chooser.peer_loads, _sums={}
        )
        known = self.rooms.get(request.service.name)
        if known is None:
            known = self._new_room(request)
        room = known.detached(view)
        room.limiter.service = request.service
        asked = _describe(request, self.settings)
        queued = room.offer(asked)
        if queued.reservation is not None:
            return RoomForecast()
        wait_s = room.expected_wait_s(asked)
        room.withdraw(asked, queued)
        retry_s = room.retry_after_range_s(asked)
        return RoomForecast(False, wait_s, asked.wait_max_s, retry_s)

    def _new_room(self, request: EdgeRequest) -> ServiceRoom:
        return ServiceRoom(request.service, self.settings, self.view, self.view.clock)

    def _room(self, request: EdgeRequest) -> ServiceRoom:
        service = request.service
        room = self.rooms.get(service.name)
        if room is None:
            self._drop_idle_rooms()
            room = self.rooms[service.name] = self._new_room(request)
        # A later configuration may describe the service differently.
        room.limiter.service = service
        return room

    def _drop_idle_rooms(self) -> None:
        if len(self.rooms) < SERVICES_MAX:
            return
        for name, room in list(self.rooms.items()):
            if room.is_idle:
                del self.rooms[name]

    def _admit(self, room: ServiceRoom, request: EdgeRequest) -> RoomTicket:
        asked = _describe(request, self.settings)
        if not self._decides(request):
            return room.account(asked)
        queued = room.offer(asked)
        if queued.reservation is not None:
            return queued.reservation
        wait_s = room.expected_wait_s(asked)
        if wait_s > asked.wait_max_s:
            raise self._refusal(
                room, request, queued, RefusalReason.NO_ROOM_EXPECTED, wait_s
            )
        try:
            self._wait(request, queued, asked.wait_max_s)
        except BaseException:
            # The task is being killed.
            room.withdraw(asked, queued)
            raise
        waited_s = self.view.clock() - queued.queued_at_s
        self.metrics.record_wait(request.priority, waited_s)
        if request.has_caller_disconnected:
            room.withdraw(asked, queued)
            raise ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, "the caller left")
        if queued.reservation is None:
            raise self._refusal(
                room, request, queued, RefusalReason.WAITED_IN_VAIN, wait_s
            )
        log.routine(
            "admitted after a wait",
            request=request.request_id,
            priority=request.priority,
            waited_ms=round(waited_s * 1e3, 1),
        )
        return queued.reservation

    def _decides(self, request: EdgeRequest) -> bool:
        if not self._applies_to(request):
            return False
        return self.shortage is None or self.shortage.is_present()

    def _applies_to(self, request: EdgeRequest) -> bool:
        """Return whether the gate decides on a request while there is a shortage."""
        if request.forwarding is not None or request.fields.last_event_id:
            return False
        if self.is_out_of_reach(request.service.name):
            return False
        return self.is_in_force()

    @staticmethod
    def _wait(
        request: EdgeRequest, queued: QueuedRequest[RoomTicket], wait_s: float
    ) -> None:
        """Wait until a request starts, its caller leaves or the time is over."""
        ready: Event = queued.ready
        request.abort_callbacks.add(ready.set)
        try:
            wait_until_set(ready, wait_s)
        finally:
            request.abort_callbacks.discard(ready.set)

    def _refusal(
        self,
        room: ServiceRoom,
        request: EdgeRequest,
        queued: QueuedRequest[RoomTicket],
        reason: RefusalReason,
        wait_s: float,
    ) -> ChervilstallError:
        asked = _describe(request, self.settings)
        retry_after_s = room.give_up(asked, queued)
        self.metrics.record_refusal(reason, asked.priority, asked.workspace)
        if self.shortage is not None:
            self.shortage.note_held_back()
        limits = room.limits()
        log.warning(
            "no room",
            request=request.request_id,
            service=request.service.name,
            priority=asked.priority,
            workspace=asked.workspace,
            reason=reason.value,
            tokens=round(asked.tokens),
            own_tokens=round(room.ledger.tokens),
            limit_tokens=round(limits.tokens) if limits else None,
            capacity_tokens=round(limits.estimate.capacity_tokens) if limits else None,
            used_tokens=round(limits.estimate.used_tokens) if limits else None,
            sharers=limits.estimate.sharers if limits else None,
            reporting=limits.estimate.reporting if limits else None,
            age_s=round(limits.estimate.age_s, 2) if limits else None,
            scale=round(room.scale.value, 2),
            expected_wait_s=round(wait_s, 2),
            retry_after_s=round(retry_after_s, 2),
        )
        return ChervilstallError(
            ErrorKind.OVERLOADED, "the targets have no room", retry_after_s
        )


def _describe(request: EdgeRequest, settings: AdmissionByRoomSettings) -> RoomRequest:
    objective_s = request.route.latency_slo_s
    wait_max_s = min(
        objective_s * settings.queue_objective_share, request.remaining_s, ACTIVE_S
    )
    return RoomRequest(
        request.workspace or NO_WORKSPACE,
        request.priority,
        request.expected_tokens,
        wait_max_s,
        request.caller_remaining_s,
        objective_s,
    )


@contextmanager
def hold_room(gate: RoomGate | None, request: EdgeRequest) -> Iterator[None]:
    """Hold room for a stream at a gate, if there is one."""
    if gate is None:
        yield
        return
    with gate.hold(request):
        yield
