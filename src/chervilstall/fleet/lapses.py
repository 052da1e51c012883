"""Targets whose entries vanished just after an outage of the store."""

import time
from dataclasses import dataclass, field

from chervilstall.ids import TargetId

LAPSE_SHARE = 0.8
"""Share of the drain bound within which a target must re-register after an outage."""

OUTAGE_GRACE_S = 0.5
"""Time after an outage during which a deleted entry may merely have expired."""


@dataclass
class LapsedEntries:
    """Entries that may merely have expired in an outage, with the time of that.

    All times are monotonic seconds.
    """

    _at_s: dict[TargetId, float] = field(default_factory=dict)
    _outage_end_s: float = float("-inf")

    def note_outage(self) -> None:
        """Record that the store is unavailable, or was until now."""
        self._outage_end_s = time.monotonic()

    def add(self, target_id: TargetId) -> bool:
        """Record a deleted entry; return whether it may merely have expired."""
        now_s = time.monotonic()
        if now_s >= self._outage_end_s + OUTAGE_GRACE_S:
            return False
        self._at_s.setdefault(target_id, now_s)
        return True

    def discard(self, target_id: TargetId) -> None:
        """Forget a target that has an entry again, or is gone."""
        self._at_s.pop(target_id, None)

    def has_lapsed(self, target_id: TargetId, drain_s: float) -> bool:
        """Return whether a target's entry has been missing for too long.

        The entry may also have been deleted because the target leaves, so the target
        is used no longer than a draining one would be.
        """
        at_s = self._at_s.get(target_id)
        return at_s is not None and time.monotonic() - at_s > LAPSE_SHARE * drain_s

    def all_lapsed(self, drain_s: float) -> list[TargetId]:
        """Return the targets whose entries have been missing for too long."""
        return [each for each in self._at_s if self.has_lapsed(each, drain_s)]
