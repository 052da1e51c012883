"""The bound on what the checks of all routers together cost each target.

A connection costs a target about a millisecond. Where all streams are slow, each router
would check all targets on their paths as often as it may.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

CHECKS_PER_TARGET_S = 5.0
"""Checks a second that a target gets on average: half a percent of its time."""

BURST = 32.0
"""Checks that a router may make at once: all stages of the longest path."""


@dataclass
class ConnectAllowance:
    """A token bucket of checks; `targets` and `routers` return how many there are.

    Each router has an equal part of the checks that all targets may get.
    """

    targets: Callable[[], int]
    routers: Callable[[], int]
    _left: float = BURST
    _counted_at_s: float = float("-inf")

    def take(self) -> bool:
        """Take one check; return False while none is left."""
        now_s = time.monotonic()
        rate_per_s = CHECKS_PER_TARGET_S * self.targets() / max(1, self.routers())
        added = rate_per_s * (now_s - self._counted_at_s)
        self._left = min(BURST, self._left + added)
        self._counted_at_s = now_s
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
