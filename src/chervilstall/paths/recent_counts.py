"""Counts of events within about the last second."""

import time
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Generic, TypeVar

K = TypeVar("K")

KEYS_MAX = 10_000
"""Keys counted within one second; events of further ones are not counted."""


@dataclass
class RecentCounts(Generic[K]):
    """Counts events by key over a sliding second.

    Events of the second before count by the part of it that the window still covers.
    """

    _second: int = 0
    _current: dict[K, int] = field(default_factory=lambda: defaultdict(int))
    _before: dict[K, int] = field(default_factory=dict)

    def add(self, key: K) -> None:
        """Count one event."""
        self._advance()
        if key in self._current or len(self._current) < KEYS_MAX:
            self._current[key] += 1

    def counts(self) -> dict[K, int]:
        """Return the number of events of the last second, by key."""
        covered = 1.0 - self._advance()
        counts = dict(self._current)
        for key, count in self._before.items():
            counts[key] = counts.get(key, 0) + round(count * covered)
        return {key: count for key, count in counts.items() if count}

    def _advance(self) -> float:
        """Start a new second if it is time; return the part of it that has passed."""
        now_s = time.monotonic()
        second = int(now_s)
        if second != self._second:
            is_next = second == self._second + 1
            self._before = self._current if is_next else {}
            self._current = defaultdict(int)
            self._second = second
        return now_s - second
