"""Evidence against parts by the stage of an answer at which targets crashed.

A part may crash a target as it begins to answer, or after some events. Answers that
pass the first stage say nothing of the second one, so each has evidence of its own.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from chervilstall.quarantine.evidence import EvidenceLog
from chervilstall.quarantine.records import AnswerStage, CrashReport, PartKey

SUSPECT_CRASHES_MIN = 2

FAMILIAR_BEGUN_MIN = 5
"""Answers of a service after which a router knows the parts that are usual there.

A part that never began is unusual then, and need not wait for other answers: there are
none while it keeps all targets down.
"""


@dataclass(frozen=True)
class StageRules:
    """What puts a part under quarantine at one stage.

    `others_min` answers without the part must have passed the stage meanwhile: where
    nothing is answered at all, the cause is another one. The `known` bounds hold for
    parts with which answers have passed the stage before. `requests_min` is the bound
    for whole requests, which need no other answers. Crashes within `same_cause_s` count
    as one: targets that die at the same moment do so of something else than a prompt.
    With `trusts_familiar` new parts need no other answers at a familiar service.
    """

    crashes_min: int
    known_crashes_min: int
    requests_min: int
    others_min: int
    known_others_min: int
    same_cause_s: float
    trusts_familiar: bool


RULES = {
    AnswerStage.BEGUN: StageRules(3, 4, 3, 3, 10, 0.1, True),
    # Most of the answers in progress at a crash are sound, and a crash of a later
    # target of a path is noticed up to 0.5 s late, so that one crash more is needed,
    # and those of several targets at once are told apart by more time. A router of 77
    # sees few answers of its own: with 10 others, known sound parts were refused for
    # up to 0.8 s, until another router's answer had released them.
    AnswerStage.SETTLED: StageRules(4, 6, 5, 3, 60, 0.5, True),
}


@dataclass
class StageEvidence:
    """The evidence of one stage, and the parts against which it has many crashes."""

    stage: AnswerStage
    log: EvidenceLog = field(default_factory=EvidenceLog)
    _often_crashed: set[PartKey] = field(default_factory=set)

    @property
    def rules(self) -> StageRules:
        """Return what puts a part under quarantine at this stage."""
        return RULES[self.stage]

    def add_crash(self, report: CrashReport) -> list[PartKey]:
        """Add a crash and return the parts against which it is new evidence.

        The report is of this stage.
        """
        added = self.log.add_crash(report)
        crashes_min = min(self.rules.crashes_min, self.rules.requests_min)
        for key in added:
            if len(self.log.evidence[key].crashed_at_s) >= crashes_min:
                self._often_crashed.add(key)
        return added

    def often_crashed(self, service: str) -> list[PartKey]:
        """Return the parts of a service that may only lack answers of others."""
        return [key for key in self._often_crashed if key.service == service]

    def likeliest(self, keys: Iterable[PartKey]) -> list[PartKey]:
        """Return those parts that explain their crashes best, none without evidence.

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
        rules = self.rules
        crashes_min, others_min = rules.crashes_min, rules.others_min
        if known.was_begun:
            crashes_min, others_min = rules.known_crashes_min, rules.known_others_min
        elif key.is_request:
            crashes_min = rules.requests_min
        if known.crashes(rules.same_cause_s) < crashes_min:
            return False
        if key.is_request:
            return True
        if known.is_of_one_request:
            return False
        if rules.trusts_familiar and not known.was_begun and self._is_familiar(key):
            return True
        return self.log.others_begun(key) >= others_min

    def _is_familiar(self, key: PartKey) -> bool:
        return self.log.begun_count(key.service) >= FAMILIAR_BEGUN_MIN

    def expire(self) -> None:
        """Drop what is past."""
        self.log.expire()
        self._often_crashed &= self.log.evidence.keys()
