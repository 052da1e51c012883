"""Looking at targets directly while the store cannot be followed.

Loads end and targets die or leave also while the store is away. A router then asks the
targets of its own zone for their reports and their health, one after the other, and the
router that plans asks those of every zone.
"""

import time
from dataclasses import dataclass

import gevent

from chervilstall.fleet.records import Service, Target
from chervilstall.fleet.view import FleetView, SuspicionKind
from chervilstall.ids import ZoneName
from chervilstall.placement.planner import PlacementPlanner
from chervilstall.platform.targets import TargetHealth, fetch_health, fetch_report

BLIND_S = 1.0
"""Time without the store after which targets are asked directly."""

ROUND_S = 2.0
TICK_S = 0.25


@dataclass
class Survey:
    """Asks targets for what they hold while the store is away."""

    fleet_view: FleetView
    zone: ZoneName
    planner: PlacementPlanner

    def run(self) -> None:
        """Ask round by round for the life of the process; one task runs this."""
        while True:
            gevent.sleep(TICK_S)
            if self._is_blind():
                self._round()

    def _is_blind(self) -> bool:
        since_s = self.fleet_view.outage_since_s
        return since_s is not None and time.monotonic() - since_s > BLIND_S

    def _round(self) -> None:
        targets = self._targets()
        for target, service in targets:
            if not self._is_blind():
                return
            gevent.spawn(self._ask, target, service.health_path)
            gevent.sleep(ROUND_S / len(targets))

    def _targets(self) -> list[tuple[Target, Service]]:
        """Return the targets to ask, each with its service."""
        configuration = self.fleet_view.configuration
        if configuration is None:
            return []
        chosen: list[tuple[Target, Service]] = []
        for target in list(self.fleet_view.targets.values()):
            service = configuration.services.get(target.service)
            if service is None or service.pipeline is None:
                continue
            if target.zone == self.zone or self.planner.is_planning:
                chosen.append((target, service))
        return chosen

    def _ask(self, target: Target, health_path: str) -> None:
        report = fetch_report(target.address, ROUND_S / 2.0)
        if report is None:
            return
        self.fleet_view.apply_report(target, report.layers)
        if not health_path:
            return
        if fetch_health(target, health_path, ROUND_S / 2.0) is TargetHealth.CLOSED:
            # It leaves or fails, and no entry can tell which.
            self.fleet_view.suspect(
                target, "says it is closed", shared=False, kind=SuspicionKind.REFUSING
            )
            self.planner.handle_suspicion(target, SuspicionKind.REFUSING)
