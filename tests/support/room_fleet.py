"""A fleet of routers that admit by room, with a model of the targets and callers.

Time is simulated. The targets are one pool of tokens: a request that finds it full
waits there in order of priority, and is refused if too much waits already. Its first
event is late if the waits at the router and in the pool take longer than the objective.
Callers make one further attempt after the Retry-After time.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from chervilstall.admission.fair_queue import QueuedRequest
from chervilstall.edge.room.classes import RoomRequest
from chervilstall.edge.room.service import RoomTicket, ServiceRoom
from chervilstall.edge.room.view import RoomView
from chervilstall.fleet.records import TargetIncarnation
from chervilstall.fleet.view import FleetView
from chervilstall.ids import WorkspaceName
from chervilstall.paths.choice import PathChooser
from chervilstall.settings.edge import AdmissionByRoomSettings
from tests.support.model_targets import LAYERS, LOCAL, SERVICE, make_target

TOKENS = 100.0
TARGET_TOKENS = 15_000.0
"""What fits at one of the model's targets beside all layers: 12,000 MB at 0.8 MB."""

HOLD_S = 2.0
PREFILL_S = 0.15
QUEUE_SHARE = 0.5
"""Tokens that the pool queues before it refuses, as a share of its capacity."""

DEADLINE_S = 20.0
EXCHANGE_S = 0.25
OBJECTIVES_S = {0: 0.5, 1: 0.5, 2: 1.0}


@dataclass
class Reports:
    """What the other routers last said; the model sets it every `EXCHANGE_S`."""

    covered_routers: int = 0
    age_s: float = EXCHANGE_S
    others_tokens: float = 0.0
    targets: int = 1

    def tokens(self, incarnation: TargetIncarnation) -> float:
        """Return an equal part of the other routers' tokens."""
        return self.others_tokens / self.targets


@dataclass(frozen=True)
class Demand:
    """Requests of one kind. `load` returns a share of the capacity at a time."""

    priority: int
    workspace: str
    load: Callable[[float], float]


@dataclass
class Call:
    """A caller's request with its attempts. `is_served` if it began in time."""

    demand: Demand
    tokens: float
    began_at_s: float
    attempt_at_s: float = 0.0
    attempts: int = 0
    is_served: bool = False
    served_at_s: float = 0.0


@dataclass
class Router:
    """One router: its room, and the calls that wait in its queue."""

    room: ServiceRoom
    reports: Reports
    waiting: dict[int, tuple[Call, QueuedRequest[RoomTicket], RoomRequest]] = field(
        default_factory=dict
    )


class RoomFleet:
    """The model. `weights` are the parts of the demand that the routers get."""

    def __init__(
        self, routers: int, seed: int, reports: bool = True, weights: bool = False
    ) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.has_reports = reports
        # About ten requests at a time for each router.
        targets = max(1, round(routers * 10 * TOKENS / TARGET_TOKENS))
        self.capacity = targets * TARGET_TOKENS
        self.pool_tokens = 0.0
        self.calls: list[Call] = []
        self._pool_queue: list[tuple[int, int, Call, Router, RoomTicket]] = []
        self.pool_queued = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        view = FleetView(drain_s=2.0)
        for number in range(targets):
            view.update_target(make_target(f"t{number}", LOCAL, 0, LAYERS))
        self.view = view
        self.routers = [self._router(routers, targets) for _ in range(routers)]
        # Demand differs by a factor of three between routers.
        parts = [1.0 + 2.0 * (number % 2) * weights for number in range(routers)]
        self.parts = list(itertools.accumulate(parts))

    def _router(self, routers: int, targets: int) -> Router:
        chooser = PathChooser(self.view, LOCAL, router_count=routers)
        reports = Reports(targets=targets)
        room_view = RoomView(
            chooser,
            peer_loads=reports if self.has_reports else None,
            clock=self.clock,
        )
        rng = random.Random(self.rng.random())
        room = ServiceRoom(
            SERVICE, AdmissionByRoomSettings(), room_view, self.clock, rng
        )
        room_view.own_tokens = lambda _: room.ledger.tokens
        return Router(room, reports)

    def clock(self) -> float:
        """Return the simulated time."""
        return self.now_s

    def at(self, moment_s: float, action: Callable[[], None]) -> None:
        """Do something at a later time."""
        heapq.heappush(self._events, (moment_s, next(self._order), action))

    def run(self, demands: list[Demand], duration_s: float) -> None:
        """Let callers come for `duration_s`, and the last attempts end."""
        for demand in demands:
            self._schedule_call(demand, duration_s)
        if self.has_reports:
            self._exchange(duration_s)
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def _exchange(self, until_s: float) -> None:
        total = sum(router.room.ledger.tokens for router in self.routers)
        for router in self.routers:
            router.reports.others_tokens = total - router.room.ledger.tokens
            router.reports.covered_routers = len(self.routers) - 1
        if self.now_s < until_s:
            self.at(self.now_s + EXCHANGE_S, lambda: self._exchange(until_s))

    # Callers

    def _schedule_call(self, demand: Demand, until_s: float) -> None:
        rate = demand.load(self.now_s) * self.capacity / TOKENS / HOLD_S
        moment_s = self.now_s + self.rng.expovariate(max(rate, 1e-3))
        if moment_s < until_s:
            self.at(moment_s, lambda: self._begin_call(demand, until_s))

    def _begin_call(self, demand: Demand, until_s: float) -> None:
        tokens = TOKENS * self.rng.uniform(0.5, 1.5)
        call = Call(demand, tokens, self.now_s)
        self.calls.append(call)
        self._attempt(call)
        self._schedule_call(demand, until_s)

    def _attempt(self, call: Call) -> None:
        call.attempts += 1
        call.attempt_at_s = self.now_s
        (router,) = self.rng.choices(self.routers, cum_weights=self.parts)
        objective_s = OBJECTIVES_S[call.demand.priority]
        remaining_s = DEADLINE_S - (self.now_s - call.began_at_s)
        asked = RoomRequest(
            WorkspaceName(call.demand.workspace),
            call.demand.priority,
            call.tokens,
            objective_s * router.room.settings.queue_objective_share,
            remaining_s,
            objective_s,
        )
        queued = router.room.offer(asked)
        router.waiting[id(call)] = (call, queued, asked)
        self._begin_started(router)
        if id(call) not in router.waiting:
            return
        if router.room.expected_wait_s(asked) > asked.wait_max_s:
            self._give_up(call, router)
        else:
            self.at(self.now_s + asked.wait_max_s, lambda: self._give_up(call, router))

    def _give_up(self, call: Call, router: Router) -> None:
        waiting = router.waiting.pop(id(call), None)
        if waiting is not None:
            retry_after_s = router.room.give_up(waiting[2], waiting[1])
            self._retry(call, retry_after_s)

    def _retry(self, call: Call, after_s: float) -> None:
        if call.attempts < 2:
            self.at(self.now_s + after_s, lambda: self._attempt(call))

    def _begin_started(self, router: Router) -> None:
        for key, (call, queued, _) in list(router.waiting.items()):
            # Sending may end a request, and so begin others, before this goes on.
            if queued.reservation is not None and router.waiting.pop(key, None):
                self._send(call, router, queued.reservation)

    # Targets

    def _send(self, call: Call, router: Router, ticket: RoomTicket) -> None:
        if self.pool_tokens + call.tokens <= self.capacity:
            self._start(call, router, ticket)
        elif self.pool_queued + call.tokens <= QUEUE_SHARE * self.capacity:
            self.pool_queued += call.tokens
            entry = (call.demand.priority, next(self._order), call, router, ticket)
            heapq.heappush(self._pool_queue, entry)
        else:
            router.room.record_refusal(ticket)
            self._release(router, ticket)
            self._retry(call, 1.0 + self.rng.random())

    def _start(self, call: Call, router: Router, ticket: RoomTicket) -> None:
        self.pool_tokens += call.tokens
        first_event_at_s = self.now_s + PREFILL_S
        self.at(first_event_at_s, lambda: router.room.record_first_event(ticket))
        objective_s = OBJECTIVES_S[call.demand.priority]
        call.is_served = first_event_at_s - call.attempt_at_s <= objective_s
        call.served_at_s = self.now_s
        hold_s = HOLD_S * self.rng.uniform(0.7, 1.3)
        self.at(self.now_s + hold_s, lambda: self._end(call, router, ticket))

    def _end(self, call: Call, router: Router, ticket: RoomTicket) -> None:
        self.pool_tokens -= call.tokens
        while self._pool_queue:
            _, _, first, owner, first_ticket = self._pool_queue[0]
            if self.pool_tokens + first.tokens > self.capacity:
                break
            heapq.heappop(self._pool_queue)
            self.pool_queued -= first.tokens
            self._start(first, owner, first_ticket)
        self._release(router, ticket)

    def _release(self, router: Router, ticket: RoomTicket) -> None:
        router.room.release(ticket)
        self._begin_started(router)

    # Results

    def served(self, kind: Callable[[Call], bool], from_s: float, to_s: float) -> float:
        """Return the part of the calls of a kind that were served in time."""
        calls = [
            call
            for call in self.calls
            if kind(call) and from_s <= call.began_at_s < to_s
        ]
        return sum(call.is_served for call in calls) / max(1, len(calls))

    def throughput(self, from_s: float, to_s: float) -> float:
        """Return what was served in time, as a share of what the targets can run."""
        tokens = sum(
            call.tokens
            for call in self.calls
            if call.is_served and from_s <= call.served_at_s < to_s
        )
        return tokens * HOLD_S / (to_s - from_s) / self.capacity

    def tokens_served(self, workspace: str, from_s: float, to_s: float) -> float:
        """Return the tokens of a workspace's calls that were served in time."""
        return sum(
            call.tokens
            for call in self.calls
            if call.is_served
            and call.demand.workspace == workspace
            and from_s <= call.served_at_s < to_s
        )

    def tokens_asked(self, workspace: str, from_s: float, to_s: float) -> float:
        """Return the tokens of a workspace's calls."""
        return sum(
            call.tokens
            for call in self.calls
            if call.demand.workspace == workspace and from_s <= call.began_at_s < to_s
        )
