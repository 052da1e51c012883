"""What a router does about a target that it suspects, besides avoiding it.

Others learn of it, unless no target at all responds to this router: then its own links
are lost. It shares no suspicion in that time and leaves the plan to another router.
"""

from dataclasses import dataclass

import gevent

from chervilstall.edge.reach.targets import TargetReach
from chervilstall.edge.reach.zones import ZoneProber
from chervilstall.edge.registry import RouterRegistry
from chervilstall.fleet.records import Target
from chervilstall.fleet.suspicion import SuspicionKind
from chervilstall.ids import ServiceName, ZoneName
from chervilstall.lease.holder import LeaseHolder
from chervilstall.placement.planner import PlacementPlanner
from chervilstall.platform.suspicions import SharedSuspicion


@dataclass
class SuspicionSharing:
    """Tells the planner and the other routers what this router suspects."""

    zone: ZoneName
    registry: RouterRegistry
    planner: PlacementPlanner
    planner_lease: LeaseHolder
    zone_prober: ZoneProber
    target_reach: TargetReach

    def __post_init__(self) -> None:
        self.planner.on_silence = self.check_links_to
        self.target_reach.on_lost = self.handle_targets_lost
        self.target_reach.on_regained = self.handle_targets_regained

    def check_links_to(self, target: Target) -> None:
        """Find out what is lost besides a silent target: its zone, or all targets."""
        self.zone_prober.check_zone_of(target)
        self.target_reach.notice_failure(target.service)

    def handle_suspicion(self, target: Target, kind: SuspicionKind) -> None:
        """Tell the others of a new suspicion, in a task of its own."""
        gevent.spawn(self._share, target, kind)

    def _share(self, target: Target, kind: SuspicionKind) -> None:
        has_answered = kind is SuspicionKind.REFUSING
        if not has_answered and not self.target_reach.check(target.service):
            return
        self.planner.handle_suspicion(target, kind)
        if not has_answered:
            self.zone_prober.check_zone_of(target)
        self.registry.share_suspicion(
            SharedSuspicion(
                target.id, target.started_at_ms, self.registry.vm, self.zone, kind
            )
        )

    def handle_targets_lost(self, service: ServiceName) -> None:
        """Leave the plan of a pipeline to a router that reaches its targets."""
        if self._is_planned(service):
            self.planner.stand_down()
            gevent.spawn(self.planner_lease.suspend)

    def handle_targets_regained(self, service: ServiceName) -> None:
        """Take part in planning again once every pipeline is within reach."""
        if not any(map(self._is_planned, self.target_reach.out_of_reach)):
            self.planner_lease.resume()

    def _is_planned(self, service: ServiceName) -> bool:
        """Return whether targets of a service hold layers that the planner places."""
        configuration = self.planner.fleet_view.configuration
        if configuration is None or service not in configuration.services:
            return False
        return configuration.services[service].pipeline is not None
