"""Evidence by the stage of an answer that targets had reached as they crashed.

A part may crash targets as they begin to answer or only after some events. Each stage
has evidence of its own: a crash counts from the stage that a request's target had not
passed, and an answer that passes a stage voids that stage's evidence against its parts.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from chervilstall.quarantine.evidence import EvidenceLog
from chervilstall.quarantine.records import CrashReport, PartKey
from chervilstall.quarantine.reports import report_at

CRASHES_MIN = (3, 4, 4)
"""Crashes, by stage, that speak against a part with which no answer passed it.

Later stages count all the requests that a target ran as it crashed, most of them sound.
"""

OTHERS_BEGUN_MIN = (3, 3, 3)
"""Answers without the part, by stage, that must have passed it meanwhile.

Where nothing is answered at all, the cause is another one.
"""

KNOWN_CRASHES_MIN = (4, 5, 5)
KNOWN_OTHERS_BEGUN_MIN = (10, 10, 10)
"""The same for parts with which answers have passed the stage before."""

FAMILIAR_BEGUN_MIN = 5
"""Answers of a service after which a router knows the parts that are usual there.

A part that never began is unusual then, and need not wait for other answers: there are
none while it keeps all targets down. New parts are as unusual in later stages until
their first answers end, so that these wait.
"""


@dataclass
class StageEvidence:
    """The evidence of one stage, and the parts against which it has enough crashes."""

    stage: int
    log: EvidenceLog = field(default_factory=EvidenceLog)
    often_crashed: set[PartKey] = field(default_factory=set)

    def add_crash(self, report: CrashReport) -> list[PartKey]:
        """Add a crash and return the parts against which it is new evidence."""
        added = self.log.add_crash(report_at(report, self.stage))
        for key in added:
            crashes = self.log.evidence[key].crashed_at_s
            if len(crashes) >= CRASHES_MIN[self.stage]:
                self.often_crashed.add(key)
        return added

    def likeliest(self, keys: Iterable[PartKey]) -> list[PartKey]:
        """Return those parts that explain the crashes best, none without evidence.

        A request is preferred to the parts of its prompt that explain no more.
        """
        candidates = [key for key in keys if self._has_enough_evidence(key)]
        if not candidates:
            return []
        best = max(candidates, key=self._rank)
        crashes = set(self.log.evidence[best].crashed_at_s)
        # Parts that always came together cannot be told apart.
        return [
            key
            for key in candidates
            if self._rank(key) == self._rank(best)
            and set(self.log.evidence[key].crashed_at_s) == crashes
        ]

    def _rank(self, key: PartKey) -> tuple[bool, int, bool]:
        known = self.log.evidence[key]
        return not known.was_begun, len(known.crashed_at_s), key.is_request

    def _has_enough_evidence(self, key: PartKey) -> bool:
        known = self.log.evidence.get(key)
        if known is None:
            return False
        crashes_min, others_min = CRASHES_MIN, OTHERS_BEGUN_MIN
        if known.was_begun:
            crashes_min, others_min = KNOWN_CRASHES_MIN, KNOWN_OTHERS_BEGUN_MIN
        if len(known.crashed_at_s) < crashes_min[self.stage]:
            return False
        if known.crashes < crashes_min[self.stage]:
            return False
        if key.is_request:
            return True
        if known.is_of_one_request:
            return False
        if not known.was_begun and self.stage == 0 and self._is_familiar(key):
            return True
        return self.log.others_begun(key) >= others_min[self.stage]

    def _is_familiar(self, key: PartKey) -> bool:
        return self.log.begun_count(key.service) >= FAMILIAR_BEGUN_MIN

    def expire(self) -> None:
        """Drop what is past."""
        self.log.expire()
        self.often_crashed &= self.log.evidence.keys()
