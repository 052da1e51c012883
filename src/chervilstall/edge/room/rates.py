"""A rate measured over the last seconds."""

import math
from dataclasses import dataclass

RATE_TIME_S = 3.0
"""Time constant: long enough for several requests, shorter than a wave of demand."""


@dataclass
class DecayingRate:
    """The rate of amounts added, of which each counts less as it ages.

    >>> rate = DecayingRate()
    >>> rate.add(6.0, now_s=1.0)
    >>> rate.per_s(now_s=1.0)
    2.0
    """

    _sum: float = 0.0
    _at_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount at a time of the caller's clock."""
        self._decay(now_s)
        self._sum += amount

    def per_s(self, now_s: float) -> float:
        """Return the present rate per second."""
        self._decay(now_s)
        return self._sum / RATE_TIME_S

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._at_s
        if elapsed_s > 0.0:
            self._sum *= math.exp(-elapsed_s / RATE_TIME_S)
            self._at_s = now_s
