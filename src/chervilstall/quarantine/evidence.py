"""Evidence against parts of prompts and whole requests, from crashes of targets."""

import time
from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from operator import itemgetter

from chervilstall.ids import CrashId, PartId, ServiceName
from chervilstall.quarantine.records import CrashReport, PartKey, Stage

KEYS_MAX = 4_096
"""Limit on the parts with evidence; callers can name any number of parts."""

BEGUN_KEYS_MAX = 4_096
"""Limit on the parts of prompts whose answers are remembered, and on the requests."""

EVIDENCE_VALID_S = 120.0
SAME_CAUSE_S = 0.1
"""Crashes that are closer together than this count as one.

Targets that die at the same moment do so of something else than a prompt. Those that
die one after the other of the repeats of one request may do so faster.
"""


@dataclass
class PartEvidence:
    """The crashes that speak against one part, with their monotonic times.

    `passed_before` is how many answers of the service had passed as the first of them
    became known, and `has_passed_before` is true if any with the part had. `sent_at_s`
    is when the target got the latest copy of a whole request. `holders` are the digests
    of the requests that held a part of prompts, or the copies of a whole request.
    """

    passed_before: int
    crashed_at_s: dict[CrashId, float] = field(default_factory=dict)
    has_passed_before: bool = False
    sent_at_s: dict[CrashId, float] = field(default_factory=dict)
    holders: dict[CrashId, set[str]] = field(default_factory=dict)

    @property
    def first_at_s(self) -> float:
        """Return the time of the first crash."""
        return min(self.crashed_at_s.values())

    @property
    def latest_at_s(self) -> float:
        """Return the time of the latest crash."""
        return max(self.crashed_at_s.values())

    @property
    def crashes(self) -> int:
        """Return the number of crashes, those of the same moment counted once.

        A target that got a request after another had crashed on it did not die together
        with that one.
        """
        count = 0
        counted_at_s = float("-inf")
        for crash, at_s in sorted(self.crashed_at_s.items(), key=itemgetter(1)):
            sent_at_s = self.sent_at_s.get(crash, float("-inf"))
            if at_s - counted_at_s >= SAME_CAUSE_S or sent_at_s >= counted_at_s:
                count += 1
                counted_at_s = at_s
        return count

    @property
    def is_of_one_request(self) -> bool:
        """Return whether one and the same request was there at every crash.

        Of a whole request this is one and the same copy.
        """
        holders = [self.holders.get(crash, set()) for crash in self.crashed_at_s]
        return bool(set.intersection(*holders))

    def drop(self, crash: CrashId) -> None:
        """Drop a crash that has another cause."""
        self.crashed_at_s.pop(crash, None)
        self.sent_at_s.pop(crash, None)
        self.holders.pop(crash, None)


@dataclass
class EvidenceLog:
    """Evidence of one stage, and the parts with which answers passed it lately.

    A part that crashes targets crashes each one that begins an answer on it. One answer
    that begins therefore voids all evidence against the request and the parts of its
    prompt. To pass the later `stage`, it has to end.
    """

    stage: Stage = Stage.BEGUN
    evidence: dict[PartKey, PartEvidence] = field(default_factory=dict)
    _passed_counts: Counter[ServiceName] = field(default_factory=Counter)
    _explained_at_s: dict[CrashId, float] = field(default_factory=dict)
    _passed_at_s: OrderedDict[PartKey, float] = field(default_factory=OrderedDict)
    _answered_at_s: OrderedDict[PartKey, float] = field(default_factory=OrderedDict)
    _voided_at_s: OrderedDict[PartKey, float] = field(default_factory=OrderedDict)

    def add_crash(self, report: CrashReport) -> list[PartKey]:
        """Add a crash and return the parts against which it is new evidence."""
        if report.crash in self._explained_at_s:
            return []
        at_s = time.monotonic() - report.age_s
        added = []
        for part in report.parts:
            key = PartKey(report.service, part, self.stage)
            known = self._evidence_since(key, at_s)
            if known is None:
                continue
            if part in report.begun_parts or self.has_passed(key):
                known.has_passed_before = True
            holders = known.holders.setdefault(report.crash, set())
            holders.update(report.holders(part))
            if report.crash not in known.crashed_at_s:
                known.crashed_at_s[report.crash] = at_s
                added.append(key)
        for request in report.requests:
            key = PartKey(report.service, request.digest, self.stage)
            known = self._evidence_since(key, at_s)
            if known is None:
                continue
            sent_at_s = known.sent_at_s.get(report.crash, float("-inf"))
            known.sent_at_s[report.crash] = max(sent_at_s, at_s - request.held_s)
            if request.copy:
                known.holders.setdefault(report.crash, set()).add(request.copy)
            if report.crash not in known.crashed_at_s:
                known.crashed_at_s[report.crash] = at_s
                added.append(key)
        self._limit()
        return [key for key in added if key in self.evidence]

    def _evidence_since(self, key: PartKey, at_s: float) -> PartEvidence | None:
        """Return the evidence against a part, None if a crash at `at_s` is not any."""
        if max(self.passed_at_s(key), self.voided_at_s(key)) >= at_s:
            return None
        known = self.evidence.get(key)
        if known is None:
            passed_before = self._passed_counts[key.service]
            known = self.evidence[key] = PartEvidence(passed_before)
        return known

    def add_passed(self, service: ServiceName, keys: Iterable[PartKey]) -> None:
        """Add an answer that passed; `keys` are its request and its prompt's parts."""
        self._passed_counts[service] += 1
        for key in keys:
            self.evidence.pop(key, None)
            _remember(self._passed_times_s(key), key)

    def _passed_times_s(self, key: PartKey) -> OrderedDict[PartKey, float]:
        """Return the times of answers; the many requests don't push out parts."""
        return self._answered_at_s if key.is_request else self._passed_at_s

    def void(self, key: PartKey) -> None:
        """Drop all evidence against a part that dates from before now."""
        self.evidence.pop(key, None)
        _remember(self._voided_at_s, key)

    def passed_count(self, service: ServiceName) -> int:
        """Return how many answers of a service have passed since the start."""
        return self._passed_counts[service]

    def others_passed(self, key: PartKey) -> int:
        """Return how many answers passed since the first crash against a part.

        None of them had the part, since one with it would have voided the evidence.
        """
        return self._passed_counts[key.service] - self.evidence[key].passed_before

    def passed_at_s(self, key: PartKey) -> float:
        """Return when the latest answer with a part passed, as a monotonic time."""
        return self._passed_times_s(key).get(key, float("-inf"))

    def has_passed(self, key: PartKey) -> bool:
        """Return whether an answer with a part is known to have passed."""
        return key in self._passed_times_s(key)

    def voided_at_s(self, key: PartKey) -> float:
        """Return when the evidence against a part was dropped, as a monotonic time."""
        return self._voided_at_s.get(key, float("-inf"))

    @property
    def passed_services(self) -> list[ServiceName]:
        """Return the services of which answers have passed since the start."""
        return list(self._passed_counts)

    def explain(
        self, crashes: Collection[CrashId], causes: Collection[PartId] = ()
    ) -> None:
        """Drop crashes as evidence, since `causes` under quarantine explain them.

        They remain evidence against the parts of prompts that a request among the
        causes holds, since such a part may crash the next request, too.
        """
        now_s = time.monotonic()
        for crash in crashes:
            self._explained_at_s[crash] = now_s
        for key, known in list(self.evidence.items()):
            for crash in crashes:
                if known.holders.get(crash, set()).isdisjoint(causes):
                    known.drop(crash)
            if not known.crashed_at_s:
                del self.evidence[key]

    def expire(self) -> None:
        """Drop evidence whose latest crash is long past."""
        from_s = time.monotonic() - EVIDENCE_VALID_S
        for crash, at_s in list(self._explained_at_s.items()):
            if at_s < from_s:
                del self._explained_at_s[crash]
        for key, known in list(self.evidence.items()):
            if known.latest_at_s < from_s:
                del self.evidence[key]

    def _limit(self) -> None:
        """Keep the parts with the most crashes, then those with the latest."""
        if len(self.evidence) <= KEYS_MAX:
            return

        def rank(key: PartKey) -> tuple[int, float]:
            known = self.evidence[key]
            return len(known.crashed_at_s), known.latest_at_s

        for key in sorted(self.evidence, key=rank)[: len(self.evidence) - KEYS_MAX]:
            del self.evidence[key]


def _remember(times: OrderedDict[PartKey, float], key: PartKey) -> None:
    """Record the present time for a part, and forget the part recorded first."""
    times[key] = time.monotonic()
    times.move_to_end(key)
    if len(times) > BEGUN_KEYS_MAX:
        times.popitem(last=False)
