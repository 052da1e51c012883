"""Decides which parts of prompts and which requests are kept away from the targets.

A part is put under quarantine after three crashes of targets that held a request with
it and had not begun to answer that request, if no answer with the part has begun since
the first of them while others have. Crashes later in an answer are counted by stages,
of which each is refuted by answers that get further (`stages.py`). Parts with which
answers have begun before need more, and the crashes that a part under quarantine
explains speak against no other. A part under quarantine at one service is put under
quarantine at the others as well, except where answers with it have begun.

A request as a whole is one more part, which only its repeats share. Three crashes put
it under quarantine if no repeat was answered since the first of them. Where it explains
as many crashes as a part of its prompt, only the request is refused.

The module needs no network: a router tells it what it saw and what the others shared,
and carries out the actions that it asks for.

Example::

    quarantine = PromptQuarantine(on_action=sharing.carry_out)
    quarantine.record_crash(CrashReport(CrashId("t1@0"), service, parts))
    quarantine.refused_part(service, parts)    # the part under quarantine, or None
"""

import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace

from chervilstall.ids import CrashId, PartId, ServiceName
from chervilstall.quarantine.crash_times import CrashTimes
from chervilstall.quarantine.evidence import EVIDENCE_VALID_S, EvidenceLog
from chervilstall.quarantine.presence import CrashPresence
from chervilstall.quarantine.quarantined import QuarantinedPart
from chervilstall.quarantine.records import (
    ClaimTrial,
    Clear,
    CrashReport,
    PartKey,
    Propose,
    QuarantineAction,
    QuarantineEntry,
)
from chervilstall.quarantine.reports import (
    STAGES,
    WHOLE,
    all_parts,
    report_at,
    with_known_parts,
)
from chervilstall.quarantine.stages import StageEvidence

SUSPECT_CRASHES_MIN = 2
ENFORCE_AFTER_S = 0.5
"""Time after which an entry is in force unless a router knows that it is wrong."""

DELIVERY_MAX_S = 1.0
"""Time that an entry may need from its proposal to the other routers."""

CARRY_OVER_AFTER_S = 2.0
"""Time from a quarantine at one service until it holds at others.

Routers that know of answers of another service with the part release it there before.
"""

SAME_PARTS_MAX = 8
"""Limit on the parts put under quarantine together; a caller may name any number."""


def _ignore(action: QuarantineAction) -> None:
    """Carry out nothing."""


@dataclass
class PromptQuarantine:
    """The decisions of one router on parts of prompts.

    `on_action` is called with what should be shared with the other routers. Proposals
    also take effect here without the others, which may be out of reach.
    """

    on_action: Callable[[QuarantineAction], None] = _ignore
    _stages: list[StageEvidence] = field(
        default_factory=lambda: [StageEvidence(stage) for stage in STAGES]
    )
    _crash_times: CrashTimes = field(default_factory=CrashTimes)
    _presence: CrashPresence = field(default_factory=CrashPresence)
    _quarantined: dict[PartKey, QuarantinedPart] = field(default_factory=dict)
    _crashed_services: dict[PartId, set[ServiceName]] = field(default_factory=dict)

    def _log(self, stage: int = 0) -> EvidenceLog:
        return self._stages[stage].log

    # Requests

    def refused_part(
        self, service: ServiceName, parts: Iterable[PartId]
    ) -> PartId | None:
        """Return the part because of which a request must not be sent, or None.

        A trial that this router has claimed lets one request through.
        """
        if not self._quarantined:
            return None
        now_s = time.monotonic()
        on_trial = []
        refused_part = None
        for part in parts:
            key = PartKey(service, part)
            if part in self._crashed_services:
                self._carry_over(key)
            known = self._quarantined.get(key)
            if known is None or now_s < known.in_force_at_s:
                continue
            if not known.entry.is_carried_over and self._is_refuted(known.entry):
                self._release(key)
                continue
            for each in (known, *self._carried_from(known.entry)):
                each.asked_at_s = now_s
            if known.has_trial:
                on_trial.append(known)
                continue
            self._ask_for_trial(known, now_s)
            refused_part = part
        if refused_part is not None:
            return refused_part
        for known in on_trial:
            known.has_trial = False
        return None

    def is_suspect(self, service: ServiceName, parts: Iterable[PartId]) -> bool:
        """Return whether a request that lost its target should not be sent again."""
        for part in parts:
            known = self._log().evidence.get(PartKey(service, part))
            if known is None or known.was_begun:
                continue
            if len(known.crashed_at_s) >= SUSPECT_CRASHES_MIN:
                return True
        return False

    def record_begun(
        self,
        service: ServiceName,
        parts: Iterable[PartId],
        stages: Iterable[int] = STAGES,
        sent_at_s: float | None = None,
    ) -> None:
        """Record that an answer to a request with these parts has passed some stages.

        One of the parts is the request as a whole. It speaks for them against crashes
        of before `sent_at_s`, the time of its sending; None is the present.
        """
        now_s = time.monotonic()
        at_s = now_s if sent_at_s is None else sent_at_s
        keys = [PartKey(service, part) for part in parts]
        for stage in stages:
            # Answers come to the first stage soon enough after they were sent.
            self._log(stage).add_begun(service, keys, at_s if stage else now_s)
            for key in keys:
                known = self._quarantined.get(key)
                if known is not None and known.is_refuted_by(stage, at_s):
                    self._release(key)
        for evidence in self._stages:
            often = evidence.often_crashed
            self._conclude(evidence, [key for key in often if key.service == service])

    def record_crash(self, report: CrashReport) -> None:
        """Record a crash that this router or another one saw."""
        report = self._crash_times.identify(report)
        self._presence.add(report)
        if self._is_explained(report):
            self._explain([report.crash])
            return
        added = [(each, each.add_crash(report)) for each in self._stages]
        for evidence, keys in added:
            self._conclude(evidence, keys)

    def _is_explained(self, report: CrashReport) -> bool:
        """Return whether a part under quarantine explains a crash."""
        for key in all_parts(report):
            known = self._quarantined.get(key)
            if known is None:
                continue
            at_stage = report_at(report, known.entry.stage)
            digests = (request.digest for request in at_stage.requests)
            if key.part in at_stage.parts or key.part in digests:
                return True
        return False

    def _explain(
        self, crashes: Collection[CrashId], causes: Collection[PartId] = ()
    ) -> None:
        for evidence in self._stages:
            evidence.log.explain(crashes, causes)

    def with_begun_parts(self, report: CrashReport) -> CrashReport:
        """Return a report with what this router knows of the crash and the parts."""
        known = with_known_parts(report, self._log(), self._log(WHOLE))
        return replace(known, crash=self._crash_times.name(report))

    def _conclude(self, evidence: StageEvidence, keys: Iterable[PartKey]) -> None:
        """Put those parts under quarantine that explain the crashes best."""
        candidates = [key for key in keys if key not in self._quarantined]
        while same := evidence.likeliest(candidates):
            crashes = set(evidence.log.evidence[same[0]].crashed_at_s)
            for key in same[:SAME_PARTS_MAX]:
                self._propose(key, evidence)
            self._explain(crashes, {key.part for key in same})
            candidates = [key for key in candidates if key not in same]

    def _propose(self, key: PartKey, evidence: StageEvidence) -> None:
        known = evidence.log.evidence[key]
        entry = QuarantineEntry(
            key,
            time.monotonic() - known.first_at_s,
            tuple(sorted(known.crashed_at_s)),
            not known.was_begun and not key.is_request,
            stage=evidence.stage,
        )
        # Others must know this entry before those that are carried over from it.
        self.on_action(Propose(entry))
        self._add(entry, ENFORCE_AFTER_S)

    def _carry_over(self, key: PartKey) -> None:
        """Put a part that crashes another service's targets under quarantine, too."""
        if key in self._quarantined or self._is_harmless_here(key):
            return
        entry = QuarantineEntry(key, 0.0)
        self._add(entry, self._carried_delay_s(key.part))
        self.on_action(Propose(entry))

    def _is_harmless_here(self, key: PartKey) -> bool:
        """Return whether a quarantine at another service must not be carried over."""
        since_s = self._crashing_since_s(key.part) - ENFORCE_AFTER_S - DELIVERY_MAX_S
        log = self._log()
        return log.has_begun(key) or log.voided_at_s(key) > since_s

    def _crashing_since_s(self, part: PartId) -> float:
        """Return since when a part is kept away from a service that it crashed."""
        services = self._crashed_services.get(part, set())
        keys = [PartKey(service, part) for service in services]
        times_s = [self._quarantined[key].in_force_at_s for key in keys]
        return min(times_s, default=float("-inf"))

    def _carried_from(self, entry: QuarantineEntry) -> list[QuarantinedPart]:
        """Return what is known of the services from which an entry was carried over."""
        if not entry.is_carried_over:
            return []
        part = entry.key.part
        services = self._crashed_services.get(part, set())
        return [self._quarantined[PartKey(service, part)] for service in services]

    def _carried_delay_s(self, part: PartId) -> float:
        """Return the time until a quarantine at one service holds at others."""
        if part not in self._crashed_services:
            return CARRY_OVER_AFTER_S
        from_s = self._crashing_since_s(part) + CARRY_OVER_AFTER_S
        return max(0.0, from_s - time.monotonic())

    def _release(self, key: PartKey) -> None:
        self.on_action(Clear(key))
        self.remove_entry(key)

    def _ask_for_trial(self, known: QuarantinedPart, now_s: float) -> None:
        if not known.is_trial_due(now_s):
            return
        entry = known.entry
        known.is_claiming = True
        self.on_action(ClaimTrial(replace(entry, trials=entry.trials + 1)))

    # What the routers share

    def apply_entry(self, entry: QuarantineEntry, is_old: bool = False) -> None:
        """Apply an entry that this or another router wrote.

        An entry that `is_old`, as one read at the start, is in force at once.
        """
        known = self._quarantined.get(entry.key)
        if known is None and not is_old and self._is_refuted(entry):
            self._release(entry.key)
            return
        crashes = {self._crash_times.known_as(crash) for crash in entry.crashes}
        if entry.is_new:
            # Its proposer may not have known of all crashes that the part was at.
            crashes.update(self._presence.with_part(entry.key.part))
        self._explain(crashes, {entry.key.part})
        if known is None:
            delay_s = ENFORCE_AFTER_S
            if entry.is_carried_over:
                delay_s = self._carried_delay_s(entry.key.part)
            self._add(entry, 0.0 if is_old else delay_s)
            return
        now_s = time.monotonic()
        known.kept_at_s = now_s
        if entry.trials > known.entry.trials:
            known.tried_at_s = now_s
            known.is_claiming = False
            known.entry = replace(known.entry, trials=entry.trials)

    def _is_refuted(self, entry: QuarantineEntry) -> bool:
        """Return whether what this router knows refutes an entry.

        An answer that was sent before the crashes says nothing of the time since then.
        It counts only where a part that never was answered explains them as well.
        """
        if entry.is_carried_over:
            return self._is_harmless_here(entry.key)
        log = self._log(entry.stage)
        first_at_s = time.monotonic() - entry.evidence_age_s
        if log.begun_at_s(entry.key) > first_at_s:
            return True
        if entry.is_new and not log.has_begun(entry.key):
            return False
        return self._is_explained_by_new(entry)

    def _is_explained_by_new(self, entry: QuarantineEntry) -> bool:
        """Return whether parts without answers were at all crashes of an entry."""
        service, log = entry.key.service, self._log(entry.stage)
        crashes = {self._crash_times.known_as(crash) for crash in entry.crashes}
        causes = {
            key.part
            for key in self._quarantined
            if key.service == service and key != entry.key and not log.has_begun(key)
        }
        return self._presence.is_explained(
            crashes,
            lambda part: log.has_begun(PartKey(service, part)),
            entry.key.part,
            causes,
        )

    def _add(self, entry: QuarantineEntry, delay_s: float) -> None:
        now_s = time.monotonic()
        first_at_s = now_s - entry.evidence_age_s
        if entry.is_carried_over:
            first_at_s = float("-inf")
        self._quarantined[entry.key] = QuarantinedPart(
            entry, now_s + delay_s, now_s, now_s, now_s, first_at_s
        )
        if entry.is_carried_over:
            return
        key = entry.key
        self._crashed_services.setdefault(key.part, set()).add(key.service)
        if key.is_request:
            # It is carried over once it is asked for at another service.
            return
        for service in self._log().begun_services:
            self._carry_over(PartKey(service, key.part))

    def remove_entry(self, key: PartKey) -> None:
        """Set a part free, and void the evidence of before."""
        known = self._quarantined.pop(key, None)
        for evidence in self._stages:
            evidence.log.void(key)
        if known is None or known.entry.is_carried_over:
            return
        services = self._crashed_services[key.part]
        services.remove(key.service)
        if services:
            return
        del self._crashed_services[key.part]
        for other, carried in list(self._quarantined.items()):
            if other.part == key.part and carried.entry.is_carried_over:
                self._release(other)

    def grant_trial(self, key: PartKey) -> None:
        """Let one request with a part through, as this router claimed the trial."""
        known = self._quarantined.get(key)
        if known is not None:
            known.has_trial = True

    def deny_trial(self, key: PartKey) -> None:
        """Record that another router has claimed the trial, or that none could."""
        known = self._quarantined.get(key)
        if known is not None:
            known.is_claiming = False
            known.tried_at_s = time.monotonic()

    def is_quarantined(self, key: PartKey) -> bool:
        """Return whether a part is under quarantine, or about to be."""
        return key in self._quarantined

    @property
    def entries(self) -> list[QuarantineEntry]:
        """Return the entries of all parts under quarantine."""
        return [known.entry for known in self._quarantined.values()]

    def expire(self) -> None:
        """Drop what is past, and have entries kept that are still needed."""
        for evidence in self._stages:
            evidence.expire()
        self._crash_times.expire(EVIDENCE_VALID_S)
        now_s = time.monotonic()
        for key, known in list(self._quarantined.items()):
            if known.is_past(now_s):
                self.remove_entry(key)
                continue
            if known.must_be_kept(now_s):
                known.kept_at_s = now_s
                self.on_action(Propose(known.entry))
