"""Probes of other availability zones, to detect a zone that cannot be reached.

A zone that is cut off looks like many dead targets, and detecting them one by one costs
each request a connection timeout. When a target in another zone is suspected, a few of
the zone's targets are probed at the same time. If none responds, the whole zone is
avoided until one does.
"""

import random
import time
from dataclasses import dataclass, field

import gevent

from chervilstall.fleet.records import Target
from chervilstall.fleet.view import FleetView
from chervilstall.ids import ZoneName
from chervilstall.platform.targets import fetch_report

PROBES_MAX = 3
"""Targets probed at once.

One lost packet or dead target must not make the whole zone count as unreachable.
"""

PROBE_TIMEOUT_S = 0.4
"""A target responds within a millisecond or two; a lost packet costs 0.2 s."""

CHECK_INTERVAL_S = 2.0
RECOVERY_INTERVAL_S = 0.5


@dataclass
class ZoneProber:
    """Keeps track of the other zones that this router cannot reach."""

    fleet_view: FleetView
    own_zone: ZoneName
    _checked_at_s: dict[ZoneName, float] = field(default_factory=dict)

    def run(self) -> None:
        """Probe unreachable zones until the process ends; one task runs this."""
        while True:
            gevent.sleep(RECOVERY_INTERVAL_S)
            for zone in list(self.fleet_view.unreachable_zones):
                if not self._targets(zone) or self._is_responding(zone, 1):
                    self.fleet_view.mark_zone_reachable(zone)

    def check_zone_of(self, target: Target) -> None:
        """Probe the zone of an unresponsive target, unless it was probed just now."""
        zone = target.zone
        if zone == self.own_zone or zone in self.fleet_view.unreachable_zones:
            return
        now_s = time.monotonic()
        if now_s - self._checked_at_s.get(zone, -CHECK_INTERVAL_S) < CHECK_INTERVAL_S:
            return
        self._checked_at_s[zone] = now_s
        gevent.spawn(self._check_zone, zone)

    def _check_zone(self, zone: ZoneName) -> None:
        if not self._is_responding(zone, PROBES_MAX):
            self.fleet_view.mark_zone_unreachable(zone)

    def _is_responding(self, zone: ZoneName, probes_max: int) -> bool:
        """Probe some targets of a zone at once, and return whether any responds."""
        targets = self._targets(zone)
        probed = random.sample(targets, min(probes_max, len(targets)))
        probes = [gevent.spawn(fetch_report, each, PROBE_TIMEOUT_S) for each in probed]
        gevent.joinall(probes)
        return any(probe.value is not None for probe in probes)

    def _targets(self, zone: ZoneName) -> list[Target]:
        return [each for each in self.fleet_view.targets.values() if each.zone == zone]
