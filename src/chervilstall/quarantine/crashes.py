"""Names of crashes that one router sees by the failures of its requests.

Failures of a target that come shortly after each other are those of one crash.
"""

import time
from dataclasses import dataclass, field

from chervilstall.ids import CrashId, TargetId
from chervilstall.quarantine.crash_times import SAME_CRASH_S


@dataclass(frozen=True)
class Crash:
    """A crash and the monotonic time at which it was first noticed."""

    crash: CrashId
    at_s: float

    @property
    def age_s(self) -> float:
        """Return the time since the crash, in seconds."""
        return time.monotonic() - self.at_s


@dataclass
class RecentCrashes:
    """The latest crash of each target."""

    _latest: dict[TargetId, Crash] = field(default_factory=dict)

    def identify(self, target: TargetId, lost_at_s: float) -> Crash:
        """Return the crash by which a target lost a request at `lost_at_s`."""
        known = self._latest.get(target)
        if known is None or lost_at_s - known.at_s > SAME_CRASH_S:
            crash = CrashId(f"{target}@{lost_at_s:.3f}")
            known = self._latest[target] = Crash(crash, lost_at_s)
        return known

    def expire(self) -> None:
        """Drop what is past; called once in a while."""
        from_s = time.monotonic() - SAME_CRASH_S
        for target, known in list(self._latest.items()):
            if known.at_s < from_s:
                del self._latest[target]
