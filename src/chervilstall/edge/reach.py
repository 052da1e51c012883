"""Whether the targets of another availability zone can be reached at all.

A zone that is cut off looks like many dead targets, and finding them out one by one
costs each request a connection that times out. A few targets of a doubtful zone are
therefore asked at once; where none answers, the whole zone is avoided until one does.
"""

import random
import time
from dataclasses import dataclass, field

import gevent

from chervilstall.fleet.records import Target
from chervilstall.fleet.view import FleetView
from chervilstall.ids import ZoneName
from chervilstall.platform.targets import fetch_report

ASKED_MAX = 3
"""Targets asked at once; a lost packet or a dead target must not cost a zone."""

ANSWER_S = 0.4
"""A target answers within a millisecond or two; a lost packet costs 0.2 s."""

CHECK_AGAIN_S = 2.0
RETURN_TICK_S = 0.5


@dataclass
class ZoneReach:
    """Keeps the belief which other zones are out of this router's reach."""

    fleet_view: FleetView
    own: ZoneName
    _checked_at_s: dict[ZoneName, float] = field(default_factory=dict)

    def run(self) -> None:
        """Look for zones that are back, for the life of the process."""
        while True:
            gevent.sleep(RETURN_TICK_S)
            for zone in list(self.fleet_view.unreachable_zones):
                if not self._targets(zone) or self._is_answering(zone, 1):
                    self.fleet_view.mark_zone_reachable(zone)

    def doubt(self, target: Target) -> None:
        """Look into the zone of a target that gives no sign."""
        zone = target.zone
        if zone == self.own or zone in self.fleet_view.unreachable_zones:
            return
        now_s = time.monotonic()
        if now_s - self._checked_at_s.get(zone, -CHECK_AGAIN_S) < CHECK_AGAIN_S:
            return
        self._checked_at_s[zone] = now_s
        gevent.spawn(self._check, zone)

    def _check(self, zone: ZoneName) -> None:
        if not self._is_answering(zone, ASKED_MAX):
            self.fleet_view.mark_zone_unreachable(zone)

    def _is_answering(self, zone: ZoneName, asked_max: int) -> bool:
        """Ask some targets of a zone at once, and return whether any answers."""
        targets = self._targets(zone)
        asked = random.sample(targets, min(asked_max, len(targets)))
        calls = [gevent.spawn(fetch_report, each.address, ANSWER_S) for each in asked]
        gevent.joinall(calls)
        return any(call.value is not None for call in calls)

    def _targets(self, zone: ZoneName) -> list[Target]:
        return [each for each in self.fleet_view.targets.values() if each.zone == zone]
