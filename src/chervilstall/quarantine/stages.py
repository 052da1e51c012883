"""How far answers must get to show that a part is harmless, and what speaks against it.

Evidence is kept for two stages of an answer. A part may crash a target before it has
begun an answer, or in the middle of one. An answer that has begun clears a part of the
first; of the second only one that came to its end does, at a single target.
"""

import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from chervilstall.ids import CrashId, ServiceName
from chervilstall.quarantine.evidence import EvidenceLog
from chervilstall.quarantine.records import CrashReport, PartKey, Stage

LATER_CRASHES_MIN = 2
"""Crashes from which a request in the middle of its answer may be their cause."""


@dataclass(frozen=True)
class StageRules:
    """What it takes to put a part under quarantine at one stage.

    `crashes_min` crashes must speak against a part, and `others_min` answers without it
    must have passed the stage meanwhile: where nothing is answered at all, the cause is
    another one. For parts with which answers have passed the stage before,
    `known_crashes_min` and `known_others_min` hold instead; without them they are never
    put under quarantine. A request as a whole needs `request_crashes_min`.

    After `familiar_min` answers of a service that have passed the stage a router knows
    the parts that are usual there. One that never did is unusual then, and need not
    wait for other answers: there are none while it keeps all targets down. At least
    `wait_s` must have gone by since the first crash.
    """

    crashes_min: int
    others_min: int
    request_crashes_min: int
    known_crashes_min: int | None = None
    known_others_min: int = 0
    familiar_min: int | None = None
    wait_s: float = 0.0


RULES = {
    Stage.BEGUN: StageRules(
        crashes_min=3,
        others_min=3,
        request_crashes_min=3,
        known_crashes_min=4,
        known_others_min=10,
        familiar_min=5,
    ),
    # Most of what runs at a target is in the middle of its answer as the target
    # crashes, so that sound parts need the time to show that they are harmless.
    Stage.ENDED: StageRules(
        crashes_min=4,
        others_min=3,
        request_crashes_min=4,
        familiar_min=5,
        wait_s=2.0,
    ),
}


@dataclass
class EvidenceStage:
    """The evidence of one stage, and which parts it is enough for.

    `is_quarantined` tells whether a part is under quarantine already.
    """

    stage: Stage
    is_quarantined: Callable[[PartKey], bool]
    log: EvidenceLog = field(init=False)
    _often_crashed: set[PartKey] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.log = EvidenceLog(self.stage)

    @property
    def rules(self) -> StageRules:
        """Return what it takes to put a part under quarantine."""
        return RULES[self.stage]

    def add_crash(self, report: CrashReport) -> list[PartKey]:
        """Add a crash and return the parts against which it is new evidence."""
        added = self.log.add_crash(report)
        for key in added:
            if len(self.log.evidence[key].crashed_at_s) >= self.rules.crashes_min:
                self._often_crashed.add(key)
        return added

    def add_passed(self, service: ServiceName, keys: Iterable[PartKey]) -> None:
        """Add an answer that has passed the stage, with its request and its parts."""
        self.log.add_passed(service, keys)

    def often_crashed(self, service: ServiceName | None = None) -> list[PartKey]:
        """Return the parts, of one service or all, that other answers may decide on."""
        return [key for key in self._often_crashed if service in (None, key.service)]

    def find_likeliest(self, keys: Collection[PartKey]) -> list[PartKey]:
        """Return those parts that explain the crashes best, none without evidence.

        Parts that always came together can't be told apart. A request is preferred to
        the parts of its prompt that explain no more.
        """
        candidates = [key for key in keys if self._has_enough_evidence(key)]
        if not candidates:
            return []
        best = max(candidates, key=self._rank)
        crashes = self.crashes_of(best)
        return [
            key
            for key in candidates
            if self._rank(key) == self._rank(best) and self.crashes_of(key) == crashes
        ]

    def crashes_of(self, key: PartKey) -> set[CrashId]:
        """Return the crashes that speak against a part."""
        return set(self.log.evidence[key].crashed_at_s)

    def _rank(self, key: PartKey) -> tuple[bool, int, bool]:
        known = self.log.evidence[key]
        return not known.has_passed_before, len(known.crashed_at_s), key.is_request

    def _has_enough_evidence(self, key: PartKey) -> bool:
        known = self.log.evidence.get(key)
        if known is None or self.is_quarantined(key):
            return False
        if time.monotonic() - known.first_at_s < self.rules.wait_s:
            return False
        crashes_min, others_min = self.rules.crashes_min, self.rules.others_min
        if key.is_request:
            crashes_min = self.rules.request_crashes_min
        elif known.has_passed_before:
            if self.rules.known_crashes_min is None:
                return False
            crashes_min = self.rules.known_crashes_min
            others_min = self.rules.known_others_min
        if len(known.crashed_at_s) < crashes_min or known.crashes < crashes_min:
            return False
        if key.is_request and self.stage is Stage.BEGUN:
            return True
        if known.is_of_one_request:
            return False
        if not known.has_passed_before and self._is_familiar(key.service):
            return True
        return self.log.others_passed(key) >= others_min

    def _is_familiar(self, service: ServiceName) -> bool:
        familiar_min = self.rules.familiar_min
        return familiar_min is not None and (
            self.log.passed_count(service) >= familiar_min
        )

    def expire(self) -> None:
        """Drop evidence whose latest crash is long past."""
        self.log.expire()
        self._often_crashed &= self.log.evidence.keys()
