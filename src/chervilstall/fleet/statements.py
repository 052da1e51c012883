"""What targets said about themselves, or what the store acknowledged about them.

A statement belongs to one incarnation of a target and holds for as long as that may
still answer. That its entry expires, comes back, or is read from an older copy of the
store revokes none: only a later statement of the incarnation replaces an earlier one,
and that it leaves is final.
"""

import time
from dataclasses import dataclass, field, replace
from typing import Any

from chervilstall.fleet.records import Target, TargetIncarnation, TargetReadiness
from chervilstall.ids import TargetId, ZoneName
from chervilstall.telemetry.events import EventLog

log = EventLog("fleet")

DEPARTED_MAX = 2048
"""Incarnations without a store entry whose limits and pauses are kept.

These are more than a day's departures, 1,154, from a fleet of 7,300 targets. The
statements of incarnations that have an entry are bounded by the entries.
"""

GONE_MAX = 8192
"""Incarnations remembered as gone; more than a fleet of 7,300 targets, as all entries
may expire at once.
"""


@dataclass(frozen=True, slots=True)
class Leaving:
    """The final statement of an incarnation that it is leaving.

    `since_s` is the earliest monotonic time at which it may have said so.
    """

    since_s: float
    learnt_at_s: float


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The requests a second that an incarnation takes from all routers together.

    `confirmed_at_s` is the monotonic time at which this router last learned of it.
    """

    zone: ZoneName
    per_s: float
    confirmed_at_s: float


@dataclass(frozen=True, slots=True)
class Pause:
    """A time in which an incarnation wants no requests from this router."""

    until_s: float
    learnt_at_s: float


@dataclass(slots=True)
class Gone:
    """That the store had no entry of an incarnation any more.

    The incarnation may merely have been cut off from the store, so an entry that it
    wrote later counts. `heartbeats` is the count in its last entry. `is_doubtful` is
    true once the store came back from a copy, which may hold an entry from before;
    `copy_revision` is the revision of the one that was found in it, if any. `leaving`
    is the statement of the incarnation that it leaves, before or since.
    """

    learnt_at_s: float
    heartbeats: int
    leaving: Leaving | None = None
    is_doubtful: bool = False
    copy_revision: int | None = None


@dataclass
class TargetStatements:
    """Keeps the statements of all incarnations, for all parts of a router.

    What incarnations without an entry said of limits and pauses is dropped from the one
    that departed first on, once there are more than `DEPARTED_MAX`; that they are gone,
    and that they leave, from `GONE_MAX` on.
    """

    leaving: dict[TargetIncarnation, Leaving] = field(default_factory=dict)
    limits: dict[TargetIncarnation, NamedLimit] = field(default_factory=dict)
    pauses: dict[TargetIncarnation, Pause] = field(default_factory=dict)
    gone: dict[TargetIncarnation, Gone] = field(default_factory=dict)
    _present: dict[TargetId, TargetIncarnation] = field(default_factory=dict)
    _gone_last: dict[TargetId, TargetIncarnation] = field(default_factory=dict)
    # The values are unused; the keys are in the order of departure.
    _departed: dict[TargetIncarnation, None] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of statements that are kept."""
        return sum(len(kind) for kind in self._said) + len(self.gone)

    # Entries

    def apply_to(self, target: Target, since_s: float) -> Target | None:
        """Record a target's entry, and return the target as it is to be used.

        `since_s` is the earliest monotonic time at which the entry may have changed.
        The result is None for an entry from before its incarnation was gone.
        """
        target = self._with_start(target)
        incarnation = target.incarnation
        present = self._present.get(target.id)
        if self._is_outdated(target, present):
            log.info(
                "old entry ignored",
                target=target.id,
                started_at_ms=target.started_at_ms,
                heartbeats=target.heartbeats,
                revision=target.revision,
            )
            return None
        if present is not None and present != incarnation:
            self._depart(present, 0)
        self._present[target.id] = incarnation
        self._departed.pop(incarnation, None)
        gone = self.gone.pop(incarnation, None)
        if gone is not None and gone.leaving is not None:
            self.leaving[incarnation] = gone.leaving
        if target.state is TargetReadiness.DRAINING:
            self.note_leaving(incarnation, since_s)
        elif incarnation in self.leaving:
            target = replace(target, state=TargetReadiness.DRAINING)
        return target

    def _with_start(self, target: Target) -> Target:
        """Return a target with the start that it named before, where it names none.

        Such an entry has another writer, or has lost fields. No restart shows in it.
        """
        if target.started_at_ms:
            return target
        known = self._present.get(target.id) or self._gone_last.get(target.id)
        if known is None:
            return target
        return replace(target, started_at_ms=known.started_at_ms)

    def _is_outdated(self, target: Target, present: TargetIncarnation | None) -> bool:
        """Return whether an entry was written before its incarnation was gone."""
        gone = self.gone.get(target.incarnation)
        if gone is None:
            return False
        if present is not None and present.started_at_ms > target.started_at_ms:
            # The target has started again since.
            return True
        if not gone.is_doubtful or not 0 < target.heartbeats <= gone.heartbeats:
            return False
        if gone.copy_revision is None:
            gone.copy_revision = target.revision
        # A target may count its heartbeats anew when it registers again.
        return target.revision <= gone.copy_revision

    def note_gone(self, target: Target) -> None:
        """Record that the store has no entry of a target any more."""
        if self._present.get(target.id) == target.incarnation:
            del self._present[target.id]
        self._depart(target.incarnation, target.heartbeats)

    def _depart(self, incarnation: TargetIncarnation, heartbeats: int) -> None:
        known = self.gone.pop(incarnation, None)
        leaving = self.leaving.pop(incarnation, None)
        if leaving is None and known is not None:
            leaving = known.leaving
        self.gone[incarnation] = Gone(time.monotonic(), heartbeats, leaving)
        self._gone_last[incarnation.target_id] = incarnation
        if len(self.gone) > GONE_MAX:
            oldest = next(iter(self.gone))
            del self.gone[oldest]
            if self._gone_last.get(oldest.target_id) == oldest:
                del self._gone_last[oldest.target_id]
        if any(incarnation in kind for kind in self._said):
            self._keep_departed(incarnation)

    @property
    def _said(self) -> tuple[dict[TargetIncarnation, Any], ...]:
        return self.leaving, self.limits, self.pauses

    def _keep_departed(self, incarnation: TargetIncarnation) -> None:
        """Keep what an incarnation without an entry said, within the bound."""
        self._departed.setdefault(incarnation)
        if len(self._departed) > DEPARTED_MAX:
            oldest = next(iter(self._departed))
            del self._departed[oldest]
            for kind in self._said:
                kind.pop(oldest, None)

    def note_restored(self) -> None:
        """Record that the store came back from a copy, whose entries may be old."""
        for gone in self.gone.values():
            gone.is_doubtful = True
            gone.copy_revision = None

    def is_replaced(self, incarnation: TargetIncarnation) -> bool:
        """Return whether another incarnation of the same target has the entry now."""
        present = self._present.get(incarnation.target_id)
        return present is not None and present != incarnation

    # Statements

    def _note(self, incarnation: TargetIncarnation) -> None:
        if self._present.get(incarnation.target_id) != incarnation:
            self._keep_departed(incarnation)

    def note_leaving(self, incarnation: TargetIncarnation, since_s: float) -> bool:
        """Record that an incarnation leaves; return whether that is new."""
        if self._leaving_of(incarnation) is not None:
            return False
        leaving = Leaving(since_s, time.monotonic())
        gone = self.gone.get(incarnation)
        if gone is not None:
            gone.leaving = leaving
            return True
        self.leaving[incarnation] = leaving
        self._note(incarnation)
        return True

    def _leaving_of(self, incarnation: TargetIncarnation) -> Leaving | None:
        """Return what an incarnation with or without an entry said of leaving."""
        gone = self.gone.get(incarnation)
        if gone is not None:
            return gone.leaving
        return self.leaving.get(incarnation)

    def draining_s(self, target: Target) -> float:
        """Return for how long a target may have been leaving; infinite if unknown."""
        leaving = self._leaving_of(target.incarnation)
        return float("inf") if leaving is None else time.monotonic() - leaving.since_s

    def note_limit(self, target: Target, per_s: float) -> NamedLimit:
        """Record the limit that a target names now."""
        limit = NamedLimit(target.zone, per_s, time.monotonic())
        self.limits[target.incarnation] = limit
        self._note(target.incarnation)
        return limit

    def note_pause(self, target: Target, until_s: float) -> None:
        """Record until when a target wants no requests from this router."""
        self.pauses[target.incarnation] = Pause(until_s, time.monotonic())
        self._note(target.incarnation)
