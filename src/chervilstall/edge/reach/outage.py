"""Polling of targets while the store is unavailable.

Targets also finish loading, die or leave during a store outage. A router then polls the
reports and the health of the targets in its own availability zone, one after the other.
The router that holds the planner lease polls the targets of every zone.
"""

import time
from dataclasses import dataclass

import gevent

from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.fleet.records import Service, Target
from chervilstall.fleet.suspicion import SuspicionKind
from chervilstall.fleet.view import FleetView
from chervilstall.ids import ZoneName
from chervilstall.placement.planner import PlacementPlanner
from chervilstall.platform.targets import (
    NoReport,
    TargetHealth,
    TargetReport,
    fetch_health,
    fetch_report,
)

OUTAGE_DELAY_S = 1.0
"""Time without the store after which targets are polled."""

POLL_ROUND_S = 2.0
"""Time over which the polls of one round are spread."""

CHECK_INTERVAL_S = 0.25


@dataclass
class OutagePoller:
    """Polls targets for their layers and their health during a store outage."""

    fleet_view: FleetView
    zone: ZoneName
    planner: PlacementPlanner
    rate_limiter: TargetRateLimiter

    def run(self) -> None:
        """Poll in rounds until the process ends; one task runs this."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            if self._is_polling_due():
                self._poll_round()

    def _is_polling_due(self) -> bool:
        lost_since_s = self.fleet_view.outage_since_s
        return (
            lost_since_s is not None
            and time.monotonic() - lost_since_s > OUTAGE_DELAY_S
        )

    def _poll_round(self) -> None:
        targets = self._targets_to_poll()
        for target, service in targets:
            if not self._is_polling_due():
                return
            gevent.spawn(self._poll, target, service.health_path)
            gevent.sleep(POLL_ROUND_S / len(targets))

    def _targets_to_poll(self) -> list[tuple[Target, Service]]:
        """Return the targets to poll, each with its service."""
        configuration = self.fleet_view.configuration
        if configuration is None:
            return []
        chosen: list[tuple[Target, Service]] = []
        for target in list(self.fleet_view.targets.values()):
            service = configuration.services.get(target.service)
            if service is None or service.pipeline is None:
                continue
            if self.rate_limiter.limit_per_s(target) is not None:
                # Its requests are worth more than its report.
                continue
            if target.zone == self.zone or self.planner.is_planning:
                chosen.append((target, service))
        return chosen

    def _poll(self, target: Target, health_path: str) -> None:
        report = fetch_report(target, POLL_ROUND_S / 2.0)
        if report is NoReport.MISDIRECTED:
            self._avoid(target, report.value)
        if not isinstance(report, TargetReport):
            return
        self.fleet_view.apply_report(target, report.layers)
        if report.is_leaving:
            self.fleet_view.note_leaving(target.incarnation, by="report")
        if not health_path:
            return
        if fetch_health(target, health_path, POLL_ROUND_S / 2.0) is TargetHealth.CLOSED:
            # The target is leaving or failing; without the store, no entry says which.
            self._avoid(target, "reports that it is closed")

    def _avoid(self, target: Target, reason: str) -> None:
        """Avoid a target of which is known that it takes no work."""
        kind = SuspicionKind.REFUSING
        self.fleet_view.suspect(target, reason, shared=False, kind=kind)
        self.planner.handle_suspicion(target, kind)
