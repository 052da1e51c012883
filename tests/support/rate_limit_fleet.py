"""A model of routers before one target that names a limit, without a network.

Events run in the order of a simulated clock: callers' requests and bursts of resumed
streams at the routers, arrivals at the target, its answers, the store's deliveries of
what a router shared, and restarts and joins of routers.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from chervilstall.edge.limits.rate_limits import WINDOW_S, TargetRateLimiter
from chervilstall.fleet.records import NO_LAYERS, Target, TargetReadiness
from chervilstall.ids import ServiceName, TargetId, VmId, ZoneName
from chervilstall.settings.option import Address
from tests.support.clock import Clock
from tests.support.rate_limit_rule import Arrival

ZONES = tuple(ZoneName(name) for name in ("ba-hall", "za-hall", "ke-hall"))
TARGET = Target(
    TargetId("t"),
    0,
    ServiceName("drafts"),
    Address("10.0.0.1", 80),
    ZONES[0],
    TargetReadiness.READY,
    "card",
    NO_LAYERS,
    1,
)
NAMED_AFTER_S = 8.0
DURATION_S = 30.0
PRESSED_AFTER_S = 1.5
PRESS_INTERVAL_S = 0.05
USUAL_RATE_RATIO = 3.5
"""Rate of requests before the limit, divided by the limit."""


@dataclass(frozen=True)
class FleetCase:
    """What happens in one run of the model.

    `store_lag_s` is how long a shared limit or a joining router takes to become known.
    `cut_routers` neither share nor hear of limits and of routers that join.
    `burst_requests` reach the routers at once, twice in the run. With `is_pressed` all
    routers always have a request to send. `late_s` is how long a request may be on its
    way to the target; with `is_late_by_turns` all of one window are and none of the
    next.
    """

    routers: int
    limit_per_s: float
    store_lag_s: float = 0.3
    late_s: float = 0.05
    cut_routers: int = 0
    restarts: int = 0
    joins: int = 0
    burst_requests: int = 0
    is_pressed: bool = False
    is_late_by_turns: bool = False
    lifted_at_s: float = DURATION_S


@dataclass
class LimitedFleet:
    """Plays one case and keeps what the target and the callers saw."""

    case: FleetCase
    rng: random.Random
    arrivals: list[Arrival] = field(default_factory=list)
    told_at_s: dict[int, float] = field(default_factory=dict)
    refused: int = 0
    _limiters: dict[int, TargetRateLimiter] = field(default_factory=dict)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: int = 0

    def play(self) -> None:
        """Play the case on a clock of its own."""
        self.clock = Clock()
        try:
            self._start()
            while self._events:
                self.clock.now_s, _, action = heapq.heappop(self._events)
                action()
        finally:
            self.clock.stop()

    @property
    def named_at_s(self) -> float:
        """Return when the target named its limit, in seconds."""
        return self.began_at_s + NAMED_AFTER_S

    def known_limits(self) -> int:
        """Return how many routers know of a limit."""
        limiters = self._limiters.values()
        return sum(each.limit_per_s(TARGET) is not None for each in limiters)

    def _start(self) -> None:
        case = self.case
        self.began_at_s = self.clock.now_s
        for index in range(case.routers):
            self._add_router(index)
        for index in range(case.routers):
            self._limiters[index].routers = self._registered()
        rate = max(2.0, case.limit_per_s * USUAL_RATE_RATIO)
        at_s = 0.0
        while at_s < DURATION_S:
            at_s += self.rng.expovariate(rate)
            self._at(at_s, self._ask)
        for _ in range(2 * case.burst_requests):
            self._at(NAMED_AFTER_S + self.rng.choice((3.2, 12.0)), self._ask)
        if case.is_pressed:
            self._press()
        for _ in range(case.restarts):
            self._at(NAMED_AFTER_S + self.rng.uniform(0.0, 12.0), self._restart)
        for number in range(case.joins):
            at_s = NAMED_AFTER_S + self.rng.uniform(0.0, 12.0)
            self._at(at_s, lambda index=case.routers + number: self._join(index))

    def _press(self) -> None:
        """Ask at every router all the time, beginning soon after the naming."""
        at_s = NAMED_AFTER_S + PRESSED_AFTER_S
        while at_s < DURATION_S:
            for index in range(self.case.routers):
                self._at(at_s, lambda index=index: self._ask_at(index))
            at_s += PRESS_INTERVAL_S

    def _at(self, after_s: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        event = (self.began_at_s + after_s, self._sequence, action)
        heapq.heappush(self._events, event)

    def _in(self, delay_s: float, action: Callable[[], None]) -> None:
        self._at(self.clock.now_s - self.began_at_s + delay_s, action)

    def _registered(self) -> dict[VmId, ZoneName]:
        return {each.vm: each.zone for each in self._limiters.values()}

    def _add_router(self, index: int) -> None:
        vm = VmId(f"vm-{index}")
        limiter = TargetRateLimiter(vm, ZONES[index % len(ZONES)])
        limiter.on_change = lambda target: self._share(index, limiter)
        self._limiters[index] = limiter

    def _is_cut(self, index: int) -> bool:
        return index < self.case.cut_routers

    # Callers

    def _ask(self) -> None:
        self._ask_at(self.rng.choice(list(self._limiters)))

    def _ask_at(self, index: int) -> None:
        limiter = self._limiters[index]
        if not limiter.may_send(TARGET):
            self.refused += 1
            return
        limiter.record_send(TARGET)
        sent_at_s = self.clock.now_s
        way_s = self._way_s()
        self._in(way_s, lambda: self._arrive(index, limiter, sent_at_s))

    def _way_s(self) -> float:
        if not self.case.is_late_by_turns:
            return self.rng.uniform(0.001, self.case.late_s)
        turn = int((self.clock.now_s - self.named_at_s - PRESSED_AFTER_S) / WINDOW_S)
        return 0.001 if turn % 2 else self.case.late_s

    def _arrive(self, index: int, limiter: TargetRateLimiter, sent_at_s: float) -> None:
        if self._limiters[index] is limiter:
            self.arrivals.append(Arrival(self.clock.now_s, index))
        after_s = self.rng.uniform(0.02, 0.3)
        self._in(after_s, lambda: self._answer(index, limiter, sent_at_s))

    def _answer(self, index: int, limiter: TargetRateLimiter, sent_at_s: float) -> None:
        if self._limiters[index] is not limiter:
            return
        now_s = self.clock.now_s
        is_named = self.named_at_s <= now_s < self.began_at_s + self.case.lifted_at_s
        limit_per_s = self.case.limit_per_s if is_named else None
        limiter.record_response(TARGET, limit_per_s, sent_at_s)
        if is_named:
            self.told_at_s.setdefault(index, now_s)

    # The store

    def _share(self, index: int, source: TargetRateLimiter) -> None:
        if self._is_cut(index):
            return
        limit_per_s = source.limit_per_s(TARGET)

        def deliver() -> None:
            for other, limiter in self._limiters.items():
                if other != index and not self._is_cut(other):
                    limiter.apply_limit(TARGET, limit_per_s)

        self._in(self.rng.uniform(0.01, self.case.store_lag_s), deliver)

    # Routers

    def _restart(self) -> None:
        """Replace a router; the rule excuses what it sent before."""
        index = self.rng.choice(list(self._limiters))
        self._add_router(index)
        self._limiters[index].routers = self._registered()
        self.told_at_s.pop(index, None)
        self.arrivals = [each for each in self.arrivals if each.router != index]

    def _join(self, index: int) -> None:
        self._add_router(index)
        self._limiters[index].routers = self._registered()

        def become_known(limiter: TargetRateLimiter) -> None:
            limiter.routers = self._registered()

        for other, limiter in self._limiters.items():
            if other != index and not self._is_cut(other):
                delay_s = self.rng.uniform(0.01, self.case.store_lag_s)
                self._in(delay_s, lambda limiter=limiter: become_known(limiter))
