"""Which parts of prompts were at the latest crashes, whatever explains them."""

from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from chervilstall.ids import CrashId, PartId
from chervilstall.quarantine.records import CrashReport

CRASHES_MAX = 128
PARTS_MAX = 256
"""Limits on what is kept, some 3 MB; callers can name any number of parts."""


@dataclass
class CrashPresence:
    """The parts of prompts that each of the latest crashes ended requests with.

    Parts with which a reporting router has seen answers are left out: they can't be the
    new part that explains crashes.
    """

    _parts: OrderedDict[CrashId, set[PartId]] = field(default_factory=OrderedDict)
    _answered: OrderedDict[PartId, None] = field(default_factory=OrderedDict)

    def add(self, report: CrashReport) -> None:
        """Add what a report names, which may be one of several of its crash."""
        for part in report.begun_parts[:PARTS_MAX]:
            self._answered[part] = None
            self._answered.move_to_end(part)
        while len(self._answered) > CRASHES_MAX * PARTS_MAX:
            self._answered.popitem(last=False)
        known = self._parts.setdefault(report.crash, set())
        known.update(report.parts[: max(0, PARTS_MAX - len(known))])
        if len(self._parts) > CRASHES_MAX:
            self._parts.popitem(last=False)

    def with_part(self, part: PartId) -> list[CrashId]:
        """Return the crashes that a part was at."""
        return [crash for crash, parts in self._parts.items() if part in parts]

    def is_explained(
        self,
        crashes: Collection[CrashId],
        has_begun: Callable[[PartId], bool],
        but: PartId,
        causes: Collection[PartId],
    ) -> bool:
        """Return whether others than one part explain the crashes that are known here.

        One of `causes` was at each, or the same part without an answer at all of them.
        """
        known = [self._parts[crash] for crash in crashes if crash in self._parts]
        if not known:
            return False
        if not any(parts.isdisjoint(causes) for parts in known):
            return True
        at_all = set.intersection(*known) - self._answered.keys() - {but}
        return not all(has_begun(part) for part in at_all)
