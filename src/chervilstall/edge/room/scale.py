"""How much more or less than its share a router may use, learnt from the targets.

The capacity divided by the number of routers is only a first guess of what a router may
use: demand differs between routers, and requests may take more memory than they
declare. The factor grows while the limit holds requests back and targets answer as fast
as they usually do. It shrinks while they refuse requests or answer late.
"""

import time
from dataclasses import dataclass

from chervilstall.clock import Clock
from chervilstall.settings.edge import AdmissionByRoomSettings
from chervilstall.telemetry.events import EventLog

log = EventLog("room")

STEP_S = 0.25
"""Shortest time between two changes of the factor."""

SAMPLE_WEIGHT = 0.1
"""Weight of the latest answer in the moving average of bad ones."""

DELAY_WEIGHT = 0.2
"""Weight of the latest time to a first event in its moving average."""

GROWTH_USE_MIN = 0.6
"""Part of its limit that a router must use for the limit to grow."""

SHORT_MAX = 0.1
"""Part of the answers that are refused or late from which the factor shrinks."""

CALM_MAX = 0.05
"""The same, below which it may grow."""

DELAY_RISE_MAX = 0.1
"""Rise of the time to the first event, in objectives, up to which the factor grows.

Requests that wait at the targets show in this time before they are late.
"""

USUAL_RISE_PER_S = 0.005
"""Speed at which the usual time to the first event, a minimum, follows a rise."""

SHRINK_FACTOR = 0.92
SHRINK_INTERVAL_S = 0.5
"""Shortest time between two steps down: about the time to a first event."""

GROWTH_DELAY_S = 1.0
"""Time after a step down in which the factor does not grow."""

FAST_GROWTH = 0.25
SLOW_GROWTH = 0.02
"""Growth per step. As it is added and shrinking multiplies, routers get alike."""

FAST_AFTER_S = 20.0
"""Time without a step down after which the factor grows fast beyond its last peak."""

NEAR_LAST_PEAK = 0.85
"""Part of the factor at the last shortage up to which it grows fast again."""

EXCESS_MAX = 2.0
"""Part of its limit by which a router may exceed it for what others leave free for it.

All routers leave free what their most urgent class asks for, so one that is asked for
more of it takes what others don't need.
"""

EXCESS_GROWTH = 0.1
EXCESS_SHRINK_FACTOR = 0.6
COVERED_EXCESS_SHRINK_FACTOR = 0.8
"""The same while other limits hold, as the load of nearly all routers is known."""

COVERED_MAX = 1.0
"""Upper bound while the load of nearly all routers is known, and so what is free."""

USE_MIN = 0.5
"""Part of its share that a router must use to take a late answer for a shortage."""

SHORT_DECAY = 0.98
"""Factor per step by which the measured part of bad answers fades without answers."""


@dataclass
class ShareScale:
    """The factor of a router's share for one service.

    `excess` is the part of its limit by which the router may exceed it for the most
    urgent requests. `short_part` is the recent part of answers that were refused or
    late. `delay` is the recent time to the first event, in units of the objective, and
    `usual_delay` that of targets with room. `update` learns from them.
    """

    settings: AdmissionByRoomSettings
    clock: Clock = time.monotonic
    value: float = 1.0
    excess: float = EXCESS_MAX / 2.0
    short_part: float = 0.0
    delay: float | None = None
    usual_delay: float = float("inf")
    _has_held_back: bool = False
    _peak: float = float("inf")
    _stepped_at_s: float = float("-inf")
    _shrunk_at_s: float = float("-inf")

    def record_answer(self, is_short: bool, delay: float | None = None) -> None:
        """Record whether targets refused a request or began its answer late.

        `delay` is the time to the first event divided by the objective.
        """
        sample = 1.0 if is_short else 0.0
        self.short_part += SAMPLE_WEIGHT * (sample - self.short_part)
        if delay is None:
            return
        if self.delay is None:
            self.delay = delay
        self.delay += DELAY_WEIGHT * (delay - self.delay)

    def hold(self) -> None:
        """Postpone the next step of the factor by a whole interval (`STEP_S`)."""
        self._stepped_at_s = self.clock()

    def note_held_back(self) -> None:
        """Record that the limit delayed or refused a request."""
        self._has_held_back = True

    @property
    def _is_delayed(self) -> bool:
        return self.delay is not None and (
            self.delay > self.usual_delay + DELAY_RISE_MAX
        )

    def update(self, used_share: float, is_covered: bool) -> float:
        """Return the factor; `used_share` is the use divided by the router's share.

        `is_covered` says that the load of nearly all routers is known: what is free is
        known then, and the factor doesn't exceed 1.
        """
        now_s = self.clock()
        if is_covered:
            self.value = min(self.value, COVERED_MAX)
        if now_s - self._stepped_at_s < STEP_S:
            return self.value
        self._stepped_at_s = now_s
        self.short_part *= SHORT_DECAY
        if self.delay is not None:
            risen = self.usual_delay + USUAL_RISE_PER_S * STEP_S
            self.usual_delay = min(self.delay, risen)
        if self.short_part > CALM_MAX or self._is_delayed:
            self.excess *= (
                COVERED_EXCESS_SHRINK_FACTOR if is_covered else EXCESS_SHRINK_FACTOR
            )
        else:
            self.excess = min(EXCESS_MAX, self.excess + EXCESS_GROWTH)
        if self.short_part > SHORT_MAX:
            self._shrink(used_share)
        elif self.value < 1.0 or (
            self._has_held_back and used_share >= self.value * GROWTH_USE_MIN
        ):
            maximum = self.settings.share_scale_max
            self._grow(min(COVERED_MAX, maximum) if is_covered else maximum)
        self._has_held_back = False
        return self.value

    def _shrink(self, used_share: float) -> None:
        now_s = self.clock()
        if now_s - self._shrunk_at_s < SHRINK_INTERVAL_S or used_share < USE_MIN:
            # With that much room, faults rather than a shortage make answers late.
            return
        self._shrunk_at_s = now_s
        self._peak = self.value
        # A factor far above the use has to come down to the use to have an effect.
        value = min(self.value, max(used_share, 1.0) / GROWTH_USE_MIN) * SHRINK_FACTOR
        self.value = max(self.settings.share_scale_min, value)
        # Half way, as most answers to come are to requests that were sent before.
        self.short_part = (SHORT_MAX + CALM_MAX) / 2.0
        log.info(
            "share shrinks",
            scale=round(self.value, 2),
            used=round(used_share, 2),
            delay=None if self.delay is None else round(self.delay, 2),
            usual_delay=round(self.usual_delay, 2) if self.delay is not None else None,
        )

    def _grow(self, maximum: float) -> None:
        if self.short_part >= CALM_MAX or self._is_delayed:
            return
        if self.clock() - self._shrunk_at_s < GROWTH_DELAY_S:
            return
        is_near = self.value > self._peak * NEAR_LAST_PEAK
        is_slow = is_near and self.clock() - self._shrunk_at_s < FAST_AFTER_S
        growth = SLOW_GROWTH if is_slow else FAST_GROWTH
        self.value = min(maximum, self.value + growth)
