"""Spill-over of requests from a router's own availability zone to all zones."""

from dataclasses import dataclass

from chervilstall.settings.processes import RoutingSettings

RATIO_SMOOTHING = 0.05
"""Weight of a new sample in the exponential moving average."""

RATIO_MAX = 10.0
"""Bound on one sample, also used where the own zone has no capacity left."""


@dataclass
class SpillOver:
    """Hysteresis over the drain time of the own zone, relative to all zones.

    `ratio` is a moving average: the expected drain time of the best chain inside the
    zone, divided by that of the best one drawn from all zones. Spilling starts above
    `spill_enter_ratio` and ends below `spill_leave_ratio`, so that it does not switch
    on every small change. `switches` counts the changes in either direction.
    """

    settings: RoutingSettings
    is_spilling: bool = False
    ratio: float = 1.0
    switches: int = 0

    def observe(
        self, own_zone_drain_s: float | None, all_zones_drain_s: float | None
    ) -> None:
        """Update the ratio from a pair of drain times in seconds.

        None means that no chain has capacity; without any in all zones the ratio
        stays as it is.
        """
        if all_zones_drain_s is None:
            return
        sample = RATIO_MAX
        if own_zone_drain_s is not None and all_zones_drain_s > 0.0:
            sample = min(RATIO_MAX, max(0.0, own_zone_drain_s) / all_zones_drain_s)
        self.ratio += (sample - self.ratio) * RATIO_SMOOTHING
        if self.is_spilling and self.ratio < self.settings.spill_leave_ratio:
            self._switch(False)
        elif not self.is_spilling and self.ratio > self.settings.spill_enter_ratio:
            self._switch(True)

    def _switch(self, is_spilling: bool) -> None:
        self.is_spilling = is_spilling
        self.switches += 1
