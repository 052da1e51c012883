"""How much more or less than its share a router may use, learnt from the targets.

The capacity divided by the number of routers is only a first guess of what a router may
use: demand differs between routers, and requests may take more memory than they
declare. The factor grows while the limit holds requests back and targets answer in
time, and shrinks while targets refuse requests or answer late.
"""

import time
from dataclasses import dataclass

from chervilstall.clock import Clock
from chervilstall.settings.edge import AdmissionByRoomSettings
from chervilstall.telemetry.events import EventLog

log = EventLog("room")

STEP_S = 0.25
SAMPLE_WEIGHT = 0.08
SHORT_MAX = 0.1
"""Part of the answers that are refused or late from which the factor shrinks."""

CALM_MAX = 0.05
"""The same, below which it may grow."""

SHRINK_FACTOR = 0.88
SHRINK_INTERVAL_S = 0.5
"""Shortest time between two steps down: about the time to a first event."""

FAST_GROWTH = 1.2
SLOW_GROWTH = 1.03
NEAR_LAST_PEAK = 0.85
"""Part of the factor at the last shortage up to which it grows fast again."""

USE_MIN = 0.5
"""Part of its share that a router must use to take a late answer for a shortage."""

SHORT_DECAY = 0.98
"""Factor per step by which the measured part of bad answers fades without answers."""


@dataclass
class ShareScale:
    """The factor of a router's share for one service.

    `is_covered` says that the load of nearly all routers is known: what is free is
    known then, and the factor doesn't exceed 1.
    """

    settings: AdmissionByRoomSettings
    clock: Clock = time.monotonic
    value: float = 1.0
    short_part: float = 0.0
    _has_held_back: bool = False
    _peak: float = float("inf")
    _stepped_at_s: float = float("-inf")
    _shrunk_at_s: float = float("-inf")

    def record_answer(self, is_short: bool) -> None:
        """Record whether targets refused a request or began its answer late."""
        sample = 1.0 if is_short else 0.0
        self.short_part += SAMPLE_WEIGHT * (sample - self.short_part)

    def note_held_back(self) -> None:
        """Record that the limit delayed or refused a request."""
        self._has_held_back = True

    def update(self, used_share: float, is_covered: bool) -> float:
        """Return the factor; `used_share` is the use divided by the router's share."""
        now_s = self.clock()
        if is_covered:
            self.value = min(self.value, 1.0)
        if now_s - self._stepped_at_s < STEP_S:
            return self.value
        self._stepped_at_s = now_s
        self.short_part *= SHORT_DECAY
        if self.short_part > SHORT_MAX:
            self._shrink(used_share)
        elif self.short_part < CALM_MAX and (self._has_held_back or self.value < 1.0):
            self._grow(is_covered)
        self._has_held_back = False
        return self.value

    def _shrink(self, used_share: float) -> None:
        if self.clock() - self._shrunk_at_s < SHRINK_INTERVAL_S:
            return
        if used_share < USE_MIN:
            # With that much room, faults rather than a shortage make answers late.
            return
        self._peak = self.value
        # Without a higher use, a lower limit is not what the answers tell about.
        value = min(self.value, max(used_share, 1.0)) * SHRINK_FACTOR
        self.value = max(self.settings.share_scale_min, value)
        # The effect shows only in the answers to requests that are sent from now on.
        self._shrunk_at_s = self.clock()
        self.short_part = (SHORT_MAX + CALM_MAX) / 2.0
        log.info("share shrinks", scale=round(self.value, 2), used=round(used_share, 2))

    def _grow(self, is_covered: bool) -> None:
        is_near = self.value > self._peak * NEAR_LAST_PEAK
        growth = SLOW_GROWTH if is_near else FAST_GROWTH
        maximum = 1.0 if is_covered else self.settings.share_scale_max
        self.value = min(maximum, self.value * growth)
        if self.value > self._peak:
            self._peak = float("inf")
