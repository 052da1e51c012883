"""A model of routers that lose streams at one moment and borrow retries.

The real budgets and loans run on a simulated clock, without a network; a question takes
`QUESTION_S`.
"""

import random
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import patch

from chervilstall.edge.limits.budget import FleetRetryBudget
from chervilstall.edge.peers import loans
from chervilstall.edge.peers.loans import RetryLoans
from chervilstall.edge.peers.reach_report import ReachReport
from chervilstall.ids import RequestId, ServiceName
from tests.support.clock import Clock
from tests.support.model_targets import SERVICE
from tests.support.retry_budget_fleet import FLEET_BOUNDS, worst_excess

QUESTION_S = 0.003
STEP_S = 0.1
BEGIN_S = 15.0
INTERVAL_S = 0.7
PATIENCE_S = 1.5
"""Time that callers wait for the next event of a stream."""

LENDERS_KNOWN = 6
REQUESTS_PER_S = 4.0


@dataclass
class LoanFleet:
    """Plays losses of streams, `times` times, and keeps requests and retries.

    Each time a random half of the routers loses `streams` each. `wanted` counts the
    retries that these need, and `retries_s` holds when each was sent.
    """

    router_count: int
    streams: int
    times: int
    rng: random.Random
    wanted: int = 0
    requests_s: list[float] = field(default_factory=list)
    retries_s: list[float] = field(default_factory=list)

    def play(self) -> None:
        """Play the case on a clock of its own."""
        self.clock = Clock()
        began_at_s = self.clock.now_s
        routers = range(self.router_count)
        self.budgets = [
            FleetRetryBudget(FLEET_BOUNDS, self.router_count) for _ in routers
        ]
        waiting = dict.fromkeys(routers, 0)
        duration_s = BEGIN_S + self.times * INTERVAL_S + PATIENCE_S
        lost = 0
        try:
            with patch.object(loans, "fetch_report", self._fetch_report):
                for step in range(int(duration_s / STEP_S)):
                    after_s = step * STEP_S
                    self.clock.now_s = began_at_s + after_s
                    self._ask(after_s)
                    if lost < self.times and after_s >= BEGIN_S + lost * INTERVAL_S:
                        lost += 1
                        waiting = self._lose_streams()
                    for index, count in waiting.items():
                        waiting[index] = self._resume(index, count, after_s)
        finally:
            self.clock.stop()

    def _ask(self, after_s: float) -> None:
        for budget in self.budgets:
            if self.rng.random() < REQUESTS_PER_S * STEP_S:
                budget.record_request(SERVICE.name)
                self.requests_s.append(after_s)

    def _lose_streams(self) -> dict[int, int]:
        """Let half of the routers lose their targets; return how many streams wait."""
        routers = range(self.router_count)
        self.cut = set(self.rng.sample(routers, self.router_count // 2))
        self.able = [index for index in routers if index not in self.cut]
        self.known = {
            index: self.rng.sample(self.able, min(LENDERS_KNOWN, len(self.able)))
            for index in self.cut
        }
        self.wanted += len(self.cut) * self.streams
        return dict.fromkeys(self.cut, self.streams)

    def _resume(self, index: int, count: int, after_s: float) -> int:
        """Resume streams while there are retries; return how many wait on."""
        budget = self.budgets[index]
        count = self._spend(budget, count, after_s)
        if not count:
            return 0
        search = SimpleNamespace(choose=lambda _: self.rng.choice(self.known[index]))
        borrower = RetryLoans(cast(Any, search), cast(Any, None), budget)
        requests = {RequestId(str(number)) for number in range(count)}
        borrower._waiting[SERVICE.name] = requests
        borrower._ask_in_turn(SERVICE.name)
        return self._spend(budget, count, after_s)

    def _spend(self, budget: FleetRetryBudget, count: int, after_s: float) -> int:
        while count and budget.try_spend(SERVICE.name, is_resume=True):
            count -= 1
            self.retries_s.append(after_s)
        return count

    def _fetch_report(
        self, index: int, service: ServiceName, retries: int
    ) -> ReachReport:
        self.clock.now_s += QUESTION_S
        lent = self.budgets[index].lend(service, retries)
        return ReachReport(1, is_able=True, lent=lent)

    def worst_excess(self) -> float:
        """Return by how much the retries of any window are above the users' bound."""
        return worst_excess(self.requests_s, self.retries_s)
