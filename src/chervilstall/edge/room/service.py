"""Which requests of one service begin, wait or are refused, by room and urgency.

A router may use its share of the service's room, times the factor of `ShareScale`, and
what the reports of the other routers show to be free. Within that limit, each class
leaves free what the more urgent classes ask for, and each workspace of a class gets
what it asks for up to a common level. The classes below the most urgent one get a
small rate of tokens under any load.
"""

import copy
import random
import time
from collections import deque
from dataclasses import dataclass, field
from functools import partial

from gevent.event import Event

from chervilstall.admission.fair_queue import QueuedRequest
from chervilstall.clock import Clock
from chervilstall.edge.room.classes import (
    TOKENS_MIN,
    ClassLedger,
    ClassUse,
    RoomRequest,
)
from chervilstall.edge.room.limits import RoomLimiter, RoomLimits
from chervilstall.edge.room.scale import ShareScale
from chervilstall.edge.room.view import RoomView
from chervilstall.fleet.records import Service
from chervilstall.settings.edge import AdmissionByRoomSettings

SMALL_MARGIN = 1.25
"""Allowance for the error of a measured demand, of which few requests are known."""

TURN_KEPT_S = 10.0
"""Time for which a refused workspace keeps its place in the fair order."""

RETRY_AFTER_MIN_S = 0.25
RETRY_AFTER_JITTER = 0.2
REMAINING_SHARE = 1.0 / 3.0
"""Part of the time that a caller has left that it may be told to wait."""

OBJECTIVE_MIN_S = 0.01
PRUNE_INTERVAL_S = 10.0
RATE_MIN = 1e-6


@dataclass(eq=False)
class RoomTicket:
    """A request that holds room since `began_at_s`.

    `is_awaited` is true until its first event has come or is late.
    """

    request: RoomRequest
    began_at_s: float
    is_awaited: bool = False


@dataclass
class ServiceRoom:
    """Admits the requests of one service at one router.

    `offer` starts or queues a request; the caller waits on its `ready` and calls
    `give_up` if it doesn't start in time, `release` when a started one has ended.
    """

    service: Service
    settings: AdmissionByRoomSettings
    view: RoomView
    clock: Clock = time.monotonic
    rng: random.Random = field(default_factory=random.Random)
    ledger: ClassLedger = field(default_factory=ClassLedger)
    scale: ShareScale = field(init=False)
    limiter: RoomLimiter = field(init=False)
    _awaited: deque[RoomTicket] = field(default_factory=deque)
    _pruned_at_s: float = 0.0

    def __post_init__(self) -> None:
        self.scale = ShareScale(self.settings, self.clock)
        self.limiter = RoomLimiter(
            self.service, self.settings, self.view, self.ledger, self.scale, self.clock
        )

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in flight or waits."""
        is_waiting = any(use.queue.length for use in self.ledger.classes.values())
        return self.ledger.tokens < TOKENS_MIN and not is_waiting

    def detached(self, view: RoomView) -> "ServiceRoom":
        """Return a copy to try a request with, whose view of the targets is `view`.

        What begins, ends or waits in the copy has no effect here, and the factor of its
        share is as the latest step left it.
        """
        shared = (self.service, self.settings, self.clock)
        replaced: dict[int, object] = {id(each): each for each in shared}
        replaced[id(self.view)] = view
        for use in self.ledger.classes.values():
            for queued in use.queue.requests():
                replaced[id(queued.ready)] = Event()
        result = copy.deepcopy(self, replaced)
        view.own_tokens = lambda service: result.ledger.tokens
        result.scale.hold()
        return result

    # Requests

    def account(self, request: RoomRequest) -> RoomTicket:
        """Count a request that begins without a decision."""
        now_s = self.clock()
        self.ledger.record_demand(request, now_s)
        self.ledger.take(request)
        self._prune(now_s)
        return RoomTicket(request, now_s)

    def offer(self, request: RoomRequest) -> QueuedRequest[RoomTicket]:
        """Start a request if there is room for it now, or queue it."""
        now_s = self.clock()
        self._prune(now_s)
        self._record_late(now_s)
        self.ledger.record_demand(request, now_s)
        use = self.ledger.use(request.priority)
        reserve = partial(self._reserve, request)
        queued = QueuedRequest(request.workspace, 1.0, request.tokens, reserve, now_s)
        use.queue.push(queued)
        use.queued_tokens += request.tokens
        self.dispatch()
        if queued.reservation is None:
            self.scale.note_held_back()
        return queued

    def withdraw(self, request: RoomRequest, queued: QueuedRequest[RoomTicket]) -> None:
        """Undo an offer that nobody waits for any more."""
        if queued.reservation is not None:
            self.release(queued.reservation)
            return
        use = self.ledger.use(request.priority)
        use.queue.abandon(queued)
        use.queued_tokens = max(0.0, use.queued_tokens - request.tokens)

    def give_up(self, request: RoomRequest, queued: QueuedRequest[RoomTicket]) -> float:
        """Take a request out of the queue; return after how long it should return."""
        now_s = self.clock()
        self.withdraw(request, queued)
        use = self.ledger.use(request.priority)
        use.queue.keep_turn(request.workspace, now_s, now_s + TURN_KEPT_S)
        jitter = self.rng.uniform(-RETRY_AFTER_JITTER, RETRY_AFTER_JITTER)
        retry_after_s = self._retry_after_s(request, use, now_s, jitter)
        use.note_refused(request.tokens, now_s + retry_after_s)
        return retry_after_s

    def record_first_event(self, ticket: RoomTicket) -> None:
        """Record that a target has begun the answer to a request."""
        if ticket.is_awaited:
            ticket.is_awaited = False
            elapsed_s = self.clock() - ticket.began_at_s
            delay = elapsed_s / max(ticket.request.objective_s, OBJECTIVE_MIN_S)
            self.scale.record_answer(delay > 1.0, delay)

    def record_refusal(self, ticket: RoomTicket) -> None:
        """Record that a target had no room for a request."""
        ticket.is_awaited = False
        self.scale.record_answer(is_short=True)

    def _record_late(self, now_s: float) -> None:
        """Record the requests whose first event is late by now, each once.

        They may wait long while targets prefer others, so their events tell too late.
        """
        for ticket in list(self._awaited):
            late_at_s = ticket.began_at_s + ticket.request.objective_s
            if ticket.is_awaited and now_s >= late_at_s:
                ticket.is_awaited = False
                self.scale.record_answer(is_short=True, delay=1.0)
            if not ticket.is_awaited:
                self._awaited.remove(ticket)

    def release(self, ticket: RoomTicket) -> None:
        """Free the room of a request that has ended, and start what waits for it."""
        ticket.is_awaited = False
        held_s = self.clock() - ticket.began_at_s
        self.limiter.note_ended(ticket.request.tokens)
        self.ledger.release(ticket.request, held_s)
        self.dispatch()

    def dispatch(self) -> None:
        """Start queued requests in order as long as there is room for them."""
        for _, use in self.ledger.by_urgency():
            while use.queue.length:
                started = use.queue.start_next()
                if started is None:
                    break
                use.queued_tokens = max(0.0, use.queued_tokens - started.cost)
                started.ready.set()

    # Room

    def limits(self) -> RoomLimits | None:
        """Return the present limits, None while the service's capacity isn't known."""
        return self.limiter.limits()

    def _reserve(self, request: RoomRequest) -> RoomTicket | None:
        """Take the room for a request, or return None if it has to wait."""
        now_s = self.clock()
        limits = self.limiter.limits()
        if limits is not None and not self._has_room(request, limits, now_s):
            if not self._take_floor(request, limits, now_s):
                return None
        if limits is not None:
            self.limiter.note_started(request.tokens, limits)
        self.ledger.take(request)
        ticket = RoomTicket(request, now_s, is_awaited=True)
        self._awaited.append(ticket)
        return ticket

    def _has_room(self, request: RoomRequest, limits: RoomLimits, now_s: float) -> bool:
        own = self.ledger.tokens
        if own < TOKENS_MIN:
            # A share below one request still lets one run at a time.
            return True
        room = self.limiter.class_room(request.priority, limits, now_s)
        if self.ledger.is_most_urgent(request.priority, now_s):
            if self.ledger.has_ranks(now_s) or self._is_small(request, room, now_s):
                room = limits.urgent_tokens
        elif own + request.tokens > limits.tokens:
            return False
        if self.ledger.tokens_from(request.priority) + request.tokens > room:
            return False
        return not self._is_above_level(request, room, now_s)

    def _is_above_level(self, request: RoomRequest, room: float, now_s: float) -> bool:
        """Return whether a workspace has more than its part of its class's room."""
        use = self.ledger.use(request.priority)
        workspace = use.workspaces.get(request.workspace)
        if workspace is None or workspace.tokens < TOKENS_MIN:
            return False
        level = use.level(room, self.ledger.hold_s, self.ledger.mean_tokens, now_s)
        if workspace.tokens + request.tokens <= level:
            return False
        return not self._is_small(request, room, now_s)

    def _is_small(self, request: RoomRequest, room: float, now_s: float) -> bool:
        """Return whether a workspace asks for less than its part of its class's room.

        Others ask for more then. They leave its part free at all routers together, but
        not always at the one that it asks.
        """
        use = self.ledger.use(request.priority)
        workspace = use.workspaces.get(request.workspace)
        if workspace is None:
            return False
        level = use.level(room, self.ledger.hold_s, self.ledger.mean_tokens, now_s)
        asked = workspace.demand.per_s(now_s) * self.ledger.hold_s
        return level < float("inf") and asked < level * SMALL_MARGIN

    def _take_floor(
        self, request: RoomRequest, limits: RoomLimits, now_s: float
    ) -> bool:
        """Use the floor of the classes below the most urgent one.

        They divide it by their demand, so that none gets less than a less urgent one.
        """
        if self.ledger.is_most_urgent(request.priority, now_s):
            return False
        use = self.ledger.use(request.priority)
        demands = [
            each.demand.per_s(now_s)
            for priority, each in self.ledger.classes.items()
            if not self.ledger.is_most_urgent(priority, now_s)
        ]
        part = use.demand.per_s(now_s) / max(sum(demands), RATE_MIN)
        floor = self.settings.floor_share * limits.base_tokens * part
        use.add_floor(floor / self.ledger.hold_s, max(floor, request.tokens), now_s)
        if use.floor_tokens < request.tokens:
            return False
        use.floor_tokens -= request.tokens
        return True

    # Waiting

    def expected_wait_s(self, request: RoomRequest) -> float:
        """Return when a queued request is expected to start, without those refused."""
        now_s = self.clock()
        use = self.ledger.use(request.priority)
        ahead = self._queued_ahead(request, use, now_s)
        return ahead / self._freeing_rate(request, use, now_s)

    def _queued_ahead(self, request: RoomRequest, use: ClassUse, now_s: float) -> float:
        """Return the tokens that have to be freed first, with the request's own."""
        ahead = sum(
            other.queued_tokens for other in self.ledger.more_urgent(request.priority)
        )
        in_class = use.queue.cost_ahead(request.workspace, now_s)
        return ahead + max(request.tokens, in_class)

    def _freeing_rate(self, request: RoomRequest, use: ClassUse, now_s: float) -> float:
        """Return the tokens a second that become free for a request.

        Less urgent classes get only what they and those below free, and the floor. A
        workspace above its level gets only what it frees itself.
        """
        hold_s = max(self.ledger.hold_s, RATE_MIN)
        freeing = self.ledger.tokens_from(request.priority)
        limits = self.limiter.limits()
        if limits is not None:
            room = self.limiter.class_room(request.priority, limits, now_s)
            if self._is_above_level(request, room, now_s):
                freeing = min(freeing, use.workspaces[request.workspace].tokens)
            freeing += self.settings.floor_share * limits.base_tokens
        return max(freeing / hold_s, RATE_MIN)

    def retry_after_range_s(self, request: RoomRequest) -> tuple[float, float]:
        """Return the bounds of the Retry-After that a refused request would get."""
        now_s = self.clock()
        use = self.ledger.use(request.priority)
        low_s = self._retry_after_s(request, use, now_s, -RETRY_AFTER_JITTER)
        return low_s, self._retry_after_s(request, use, now_s, RETRY_AFTER_JITTER)

    def _retry_after_s(
        self, request: RoomRequest, use: ClassUse, now_s: float, jitter: float
    ) -> float:
        """Return when the caller should return, so that callers return in turn."""
        ahead = self._queued_ahead(request, use, now_s) + use.returning_tokens(now_s)
        for other in self.ledger.more_urgent(request.priority):
            ahead += other.returning_tokens(now_s)
        wait_s = ahead / self._freeing_rate(request, use, now_s)
        wait_s = max(RETRY_AFTER_MIN_S, wait_s * (1.0 + jitter))
        return min(wait_s, max(0.0, request.remaining_s) * REMAINING_SHARE)

    def _prune(self, now_s: float) -> None:
        if now_s - self._pruned_at_s >= PRUNE_INTERVAL_S:
            self._pruned_at_s = now_s
            self.ledger.prune(now_s)
