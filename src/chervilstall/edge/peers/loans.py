"""Retries that a router without targets borrows from routers that reach them.

When a router loses all targets, all its streams need a retry at one moment, more than
its share of the fleet's budget. Others have the same share and need none.
"""

from dataclasses import dataclass, field

import gevent

from chervilstall.edge.limits.budget import FleetRetryBudget
from chervilstall.edge.peers.reach_report import fetch_report
from chervilstall.edge.peers.search import ReachSearch
from chervilstall.edge.reach.targets import TargetReach
from chervilstall.edge.request import EdgeRequest
from chervilstall.ids import RequestId, ServiceName
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

LENDERS_MAX = 8
"""Routers asked in one turn."""

LOAN_MAX = 4
"""Retries asked of one router, so that many lend a few."""

PAUSE_S = 0.2
"""Time after a turn in which no more is asked for the same service."""

EMPTY_PAUSE_S = 1.0
"""The same after a turn in which nobody lent anything."""


@dataclass
class RetryLoans:
    """Borrows a retry for each stream that needs one and can't have an own one."""

    search: ReachSearch
    target_reach: TargetReach
    budget: FleetRetryBudget
    _waiting: dict[ServiceName, set[RequestId]] = field(default_factory=dict)

    def request(self, request: EdgeRequest) -> None:
        """Borrow a retry for a stream, in a task of its own.

        Does nothing while targets are within reach, or if that is going on already.
        """
        service = request.service.name
        if not self.target_reach.is_out_of_reach(service):
            return
        waiting = self._waiting.get(service)
        if waiting is not None:
            waiting.add(request.request_id)
            return
        self._waiting[service] = {request.request_id}
        gevent.spawn(self._borrow, service)

    def _borrow(self, service: ServiceName) -> None:
        try:
            borrowed = self._ask_in_turn(service)
            log.info("retries borrowed", service=service, count=borrowed)
            gevent.sleep(PAUSE_S if borrowed else EMPTY_PAUSE_S)
        finally:
            del self._waiting[service]

    def _ask_in_turn(self, service: ServiceName) -> int:
        """Ask routers for loans until there are enough; return how many were given."""
        borrowed = 0
        for _ in range(LENDERS_MAX):
            missing = len(self._waiting[service]) - borrowed
            peer = self.search.choose(service)
            if missing < 1 or peer is None:
                break
            wanted = min(missing, LOAN_MAX)
            report = fetch_report(peer, service, wanted)
            if report is not None:
                # Whatever a report says, no more is taken than was asked for.
                lent = min(report.lent, wanted)
                self.budget.add_loan(service, lent)
                borrowed += lent
        return borrowed
