"""Targets that leave, and since when they may have said so."""

import time
from dataclasses import dataclass, field, replace

from chervilstall.fleet.records import Target, TargetIncarnation, TargetReadiness


@dataclass
class LeavingTargets:
    """Draining targets, by incarnation.

    A target that is known to leave for certain stays draining whatever its entry says:
    it may write its entry for another reason, or the entry may be an old one.
    """

    _since_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _certain: set[TargetIncarnation] = field(default_factory=set)

    def apply_to(self, target: Target, since_s: float) -> Target:
        """Record a target's entry, and return the target as it is to be used.

        `since_s` is the earliest monotonic time at which the entry may have changed.
        """
        if target.incarnation in self._certain:
            target = replace(target, state=TargetReadiness.DRAINING)
        if target.state is TargetReadiness.DRAINING:
            self._since_s.setdefault(target.incarnation, since_s)
        else:
            self._since_s.pop(target.incarnation, None)
        return target

    def is_certain(self, target: Target) -> bool:
        """Return whether a target is known to leave for certain."""
        return target.incarnation in self._certain

    def mark_certain(self, target: Target) -> None:
        """Record that a target leaves for certain."""
        self._certain.add(target.incarnation)

    def mark_all_certain(self) -> None:
        """Record that every draining target leaves for certain."""
        self._certain.update(self._since_s)

    def draining_s(self, target: Target) -> float:
        """Return for how long a target may have been leaving; infinite if unknown."""
        since_s = self._since_s.get(target.incarnation, float("-inf"))
        return time.monotonic() - since_s

    def forget(self, target: Target) -> None:
        """Drop the state of a target that is gone."""
        self._since_s.pop(target.incarnation, None)
        self._certain.discard(target.incarnation)
