"""Whether targets refuse so many requests that the router has to choose among them.

The room of a service is an estimate: requests take less or more memory than they
declare, and targets may run more of them than the estimate shows. While targets take
nearly all requests, none needs to be refused before it is sent.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from chervilstall.clock import Clock
from chervilstall.telemetry.events import EventLog

log = EventLog("room")

REFUSED_PART_MIN = 0.1
"""Part of the requests refused by targets from which there is a shortage.

Targets that crash, drain or unload layers refuse a few in a hundred.
"""

REFUSED_MIN = 5
"""Refusals within a second below which their part says nothing."""

CHECK_INTERVAL_S = 0.1
KEPT_S = 5.0
"""Time for which a shortage lasts after the last sign of it."""

UNCONFIRMED_MAX_S = 15.0
"""Time after the last sign by targets in which a router's own refusals are signs.

Targets refuse few requests while routers hold them back, but an estimate that is too
low must not keep a shortage up that is over.
"""


@dataclass(frozen=True)
class RecentRefusals:
    """Requests of the last second, and how many of them targets refused."""

    requests: int
    refusals: int


@dataclass
class ShortageDetector:
    """Tells from refusals of the last second whether there is a shortage.

    `read` returns those of this router and of the others that report. A request that
    this router refuses for lack of room is a sign as well, for a while after those.
    """

    read: Callable[[], RecentRefusals]
    clock: Clock = time.monotonic
    _until_s: float = float("-inf")
    _checked_at_s: float = float("-inf")
    _confirmed_at_s: float = float("-inf")

    @property
    def was_present(self) -> bool:
        """Return whether the latest check found a shortage that still lasts."""
        return self.clock() < self._until_s

    def is_present(self) -> bool:
        """Return whether there is a shortage at present."""
        now_s = self.clock()
        if now_s - self._checked_at_s >= CHECK_INTERVAL_S:
            self._checked_at_s = now_s
            self._check(now_s)
        return self.was_present

    def _check(self, now_s: float) -> None:
        recent = self.read()
        if recent.refusals < REFUSED_MIN:
            return
        if recent.refusals < REFUSED_PART_MIN * recent.requests:
            return
        if now_s >= self._until_s:
            log.warning(
                "targets are short of room",
                refusals=recent.refusals,
                requests=recent.requests,
            )
        self._until_s = now_s + KEPT_S
        self._confirmed_at_s = now_s

    def note_held_back(self) -> None:
        """Record that this router refused a request for lack of room."""
        until_s = min(self.clock() + KEPT_S, self._confirmed_at_s + UNCONFIRMED_MAX_S)
        self._until_s = max(self._until_s, until_s)
