"""Which reports are of the same crash of a target.

Routers name a crash by the target's entry. A target that has started again may crash
once more before a router has read its new entry. The names alone would make this the
crash of before, while routers with the new entry report it as another one.
"""

import time
from dataclasses import dataclass, field, replace

from chervilstall.ids import CrashId, TargetId
from chervilstall.quarantine.records import CrashReport

SAME_CRASH_S = 1.0
"""Time in which reports and failures of one target are of the same crash.

It covers the time that a report needs to reach the other routers.
"""


def crash_at(target: TargetId, at_s: float) -> CrashId:
    """Return the name of a crash for a router that knows targets by their ids alone.

    Names that differ by less than SAME_CRASH_S are of one crash.
    """
    return CrashId(f"{target}@{at_s:.3f}")


def crashed_target(crash: CrashId) -> str:
    """Return the target that a crash's name begins with.

    >>> crashed_target(CrashId("t1@1700000000000"))
    't1'
    """
    return crash.rpartition("@")[0]


def names_start(crash: CrashId) -> bool:
    """Return whether the target keeps its id, so that its entry names the start.

    >>> names_start(CrashId("t1@0"))
    False
    """
    return crash.rpartition("@")[2] != "0"


@dataclass
class CrashTimes:
    """The crashes that one router knows of, with their monotonic times, by target.

    `_same_as` holds the names under which other routers reported known crashes.
    """

    _crashed_at_s: dict[str, dict[CrashId, float]] = field(default_factory=dict)
    _same_as: dict[CrashId, CrashId] = field(default_factory=dict)

    def name(self, report: CrashReport) -> CrashId:
        """Return the name of a crash that this router saw itself."""
        if not names_start(report.crash):
            # Each start has an id of its own and crashes once, however late it is seen.
            return report.crash
        known = self._crashes_like(report.crash)
        same = _find_same(known, time.monotonic() - report.age_s)
        if same is not None:
            return same
        crash, number = report.crash, 1
        while self.known_as(crash) in known:
            number += 1
            crash = CrashId(f"{report.crash}+{number}")
        return crash

    def identify(self, report: CrashReport) -> CrashReport:
        """Return a report under the name by which this router knows the crash."""
        crash = self.known_as(report.crash)
        known = self._crashes_like(crash)
        if crash in known:
            return replace(report, crash=crash)
        at_s = time.monotonic() - report.age_s
        same = _find_same(known, at_s)
        if same is None:
            known[crash] = at_s
            return report
        self._same_as[crash] = same
        return replace(report, crash=same)

    def known_as(self, crash: CrashId) -> CrashId:
        """Return the name by which this router knows a crash."""
        return self._same_as.get(crash, crash)

    def _crashes_like(self, crash: CrashId) -> dict[CrashId, float]:
        """Return the known crashes of the same target."""
        return self._crashed_at_s.setdefault(crashed_target(crash), {})

    def expire(self, valid_s: float) -> None:
        """Drop crashes that are longer past than `valid_s`."""
        from_s = time.monotonic() - valid_s
        for target, crashes in list(self._crashed_at_s.items()):
            kept = {crash: at_s for crash, at_s in crashes.items() if at_s >= from_s}
            self._crashed_at_s[target] = kept
            if not kept:
                del self._crashed_at_s[target]
        for crash, known in list(self._same_as.items()):
            if known not in self._crashes_like(known):
                del self._same_as[crash]


def _find_same(crashes: dict[CrashId, float], at_s: float) -> CrashId | None:
    """Return the crash that was at about a time, or None."""
    for crash, crashed_at_s in crashes.items():
        if abs(at_s - crashed_at_s) <= SAME_CRASH_S:
            return crash
    return None
