"""A model of routers that restart while each retries as often as its budget allows.

The real budgets run on a simulated clock, without a network. Only the times of callers'
requests and of retries are kept, as the targets see them.
"""

import bisect
import dataclasses
import random
import time
from dataclasses import dataclass, field

from chervilstall.edge.limits.budget import FleetRetryBudget
from chervilstall.edge.registry import ROUTERS_ASSUMED
from tests.support.clock import Clock
from tests.support.model_targets import SERVICE
from tests.support.platform import BOUNDS

FLEET_BOUNDS = dataclasses.replace(BOUNDS, retry_extra=196.0)
STEP_S = 0.1
DURATION_S = 60.0
RESTART_MIN_S = 20.0
RESTART_MAX_S = 32.0


@dataclass(frozen=True)
class RestartCase:
    """What happens in one run of the model.

    The routers restart one after the other, `gap_s` apart, or all at once if it is 0,
    and are down for `down_s`; all of it happens `restarts` times, `interval_s` apart. A
    new process learns `count_lag_s` later how many routers there are. Retries are
    wanted all the time from `wanted_after_s` on.
    """

    routers: int
    requests_per_s: float
    gap_s: float
    restarts: int
    interval_s: float
    restart_at_s: float
    wanted_after_s: float
    down_s: float
    count_lag_s: float
    is_resume: bool = True


@dataclass
class RestartingFleet:
    """Plays one case and keeps the times of requests and retries."""

    case: RestartCase
    rng: random.Random
    requests_s: list[float] = field(default_factory=list)
    retries_s: list[float] = field(default_factory=list)

    def play(self) -> None:
        """Play the case on a clock of its own."""
        clock = Clock()
        began_at_s = clock.now_s
        budgets = [
            FleetRetryBudget(FLEET_BOUNDS, self.case.routers)
            for _ in range(self.case.routers)
        ]
        try:
            for step in range(int(DURATION_S / STEP_S)):
                after_s = step * STEP_S
                clock.now_s = began_at_s + after_s
                live = self._live_budgets(budgets, after_s)
                self._ask(live, after_s)
                if after_s >= self.case.wanted_after_s:
                    self._retry(live, after_s)
        finally:
            clock.stop()

    def _live_budgets(
        self, budgets: list[FleetRetryBudget], after_s: float
    ) -> list[FleetRetryBudget]:
        """Restart the routers that are due; return the budgets of those that run."""
        live = []
        for index in range(len(budgets)):
            up_for_s = self._up_for_s(index, after_s)
            if up_for_s < 0.0:
                continue
            if up_for_s < STEP_S:
                budgets[index] = FleetRetryBudget(
                    FLEET_BOUNDS, ROUTERS_ASSUMED, time.monotonic()
                )
            if up_for_s >= self.case.count_lag_s:
                budgets[index].router_count = self.case.routers
            live.append(budgets[index])
        return live

    def _up_for_s(self, index: int, after_s: float) -> float:
        """Return for how long a router's process has run; negative while it is down."""
        case = self.case
        first_s = case.restart_at_s + index * case.gap_s
        since_first_s = after_s - first_s
        if since_first_s < 0.0:
            return float("inf")
        number = min(int(since_first_s / case.interval_s), case.restarts - 1)
        return since_first_s - number * case.interval_s - case.down_s

    def _ask(self, live: list[FleetRetryBudget], after_s: float) -> None:
        mean = self.case.requests_per_s * STEP_S
        count = int(mean) + (self.rng.random() < mean % 1.0)
        for _ in range(count):
            self.requests_s.append(after_s)
            if live:
                self.rng.choice(live).record_request(SERVICE.name)

    def _retry(self, live: list[FleetRetryBudget], after_s: float) -> None:
        for budget in live:
            while budget.try_spend(SERVICE.name, self.case.is_resume):
                self.retries_s.append(after_s)

    def worst_excess(self) -> float:
        """Return by how much the retries of any window are above the users' bound."""
        return worst_excess(self.requests_s, self.retries_s)


def worst_excess(requests_s: list[float], retries_s: list[float]) -> float:
    """Return by how much the retries of any window are above the users' bound.

    Requests count in the window, in the one before it or in the one half a window
    before it, whichever has most. All times are sorted.
    """
    window_s = FLEET_BOUNDS.retry_window_s
    worst = float("-inf")
    for end_s in sorted(set(retries_s)):
        retries = _count(retries_s, end_s - window_s, end_s)
        requests = max(
            _count(requests_s, end_s - shift_s - window_s, end_s - shift_s)
            for shift_s in (0.0, window_s / 2.0, window_s)
        )
        bound = FLEET_BOUNDS.retry_ratio * requests + FLEET_BOUNDS.retry_extra
        worst = max(worst, retries - bound)
    return worst


def _count(times_s: list[float], after_s: float, until_s: float) -> int:
    """Return how many sorted times lie after one moment and until another."""
    # Times are multiples of the step; the half step avoids errors of rounding.
    first = bisect.bisect_right(times_s, after_s + STEP_S / 2.0)
    return bisect.bisect_right(times_s, until_s + STEP_S / 2.0) - first


def draw_case(
    routers: int, gap_s: float, restarts: int, rng: random.Random
) -> RestartCase:
    """Return a case whose restarts often follow soon after many retries."""
    restart_at_s = rng.uniform(RESTART_MIN_S, RESTART_MAX_S)
    wanted_before_s = rng.choice((0.2, rng.uniform(0.2, 10.0), RESTART_MIN_S))
    return RestartCase(
        routers,
        requests_per_s=rng.uniform(1.0, 6.0) * routers,
        gap_s=gap_s,
        restarts=restarts,
        interval_s=rng.uniform(2.0, 5.0),
        restart_at_s=restart_at_s,
        wanted_after_s=restart_at_s - wanted_before_s,
        down_s=rng.uniform(0.3, 1.5),
        count_lag_s=rng.uniform(0.0, 0.5),
        is_resume=rng.random() < 0.7,
    )
