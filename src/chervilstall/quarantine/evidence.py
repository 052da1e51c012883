"""Evidence against parts of prompts, from crashes of targets."""

import time
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from chervilstall.ids import CrashId, ServiceName
from chervilstall.quarantine.records import CrashReport, PartKey

KEYS_MAX = 4_096
"""Limit on the parts with evidence; callers can name any number of parts."""

BEGUN_KEYS_MAX = 4_096
EVIDENCE_VALID_S = 120.0
SAME_CAUSE_S = 0.1
"""Crashes that are closer together than this count as one.

Targets that die at the same moment do so of something else than a prompt.
"""


@dataclass
class PartEvidence:
    """The crashes that speak against one part, with their monotonic times.

    `others_begun` counts the answers of the service that began since the first of them
    without the part. `was_begun` says that answers with the part have begun before.
    """

    crashed_at_s: dict[CrashId, float] = field(default_factory=dict)
    others_begun: int = 0
    was_begun: bool = False

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
        """Return the number of crashes, those of the same moment counted once."""
        count = 0
        counted_at_s = float("-inf")
        for at_s in sorted(self.crashed_at_s.values()):
            if at_s - counted_at_s >= SAME_CAUSE_S:
                count += 1
                counted_at_s = at_s
        return count


@dataclass
class EvidenceLog:
    """Evidence against parts, and the parts with which answers began lately.

    A part that crashes targets crashes each one that begins an answer on it. One answer
    that begins therefore voids all evidence against the parts of its prompt.
    """

    evidence: dict[PartKey, PartEvidence] = field(default_factory=dict)
    _explained_at_s: dict[CrashId, float] = field(default_factory=dict)
    _begun_at_s: OrderedDict[PartKey, float] = field(default_factory=OrderedDict)

    def add_crash(self, report: CrashReport) -> list[PartKey]:
        """Add a crash and return the parts against which it is new evidence."""
        if report.crash in self._explained_at_s:
            return []
        at_s = time.monotonic() - report.age_s
        added = []
        for part in report.parts:
            key = PartKey(report.service, part)
            if self.begun_at_s(key) >= at_s:
                continue
            known = self.evidence.setdefault(key, PartEvidence())
            if part in report.begun_parts or self.has_begun(key):
                known.was_begun = True
            if report.crash in known.crashed_at_s:
                continue
            known.crashed_at_s[report.crash] = at_s
            added.append(key)
        self._limit()
        return [key for key in added if key in self.evidence]

    def add_begun(self, service: ServiceName, keys: Iterable[PartKey]) -> list[PartKey]:
        """Add an answer that began; return the parts with evidence that are not in it.

        `keys` are the parts of its prompt.
        """
        for key in keys:
            self.void(key)
        others = [key for key in self.evidence if key.service == service]
        for key in others:
            self.evidence[key].others_begun += 1
        return others

    def void(self, key: PartKey) -> None:
        """Record that an answer with a part has begun, here or at another router."""
        self._begun_at_s[key] = time.monotonic()
        self._begun_at_s.move_to_end(key)
        self.evidence.pop(key, None)
        if len(self._begun_at_s) > BEGUN_KEYS_MAX:
            self._begun_at_s.popitem(last=False)

    def begun_at_s(self, key: PartKey) -> float:
        """Return when the latest answer with a part began, as a monotonic time."""
        return self._begun_at_s.get(key, float("-inf"))

    def has_begun(self, key: PartKey) -> bool:
        """Return whether an answer with a part is known to have begun."""
        return key in self._begun_at_s

    def explain(self, crashes: Iterable[CrashId]) -> None:
        """Drop crashes as evidence, since a part under quarantine is their cause."""
        now_s = time.monotonic()
        for crash in crashes:
            self._explained_at_s[crash] = now_s
        for key, known in list(self.evidence.items()):
            for crash in crashes:
                known.crashed_at_s.pop(crash, None)
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
