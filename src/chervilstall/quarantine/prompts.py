"""Decides which parts of prompts and which requests are kept away from the targets.

A part is put under quarantine after three crashes of targets that held a request with
it and had not begun to answer that request, if no answer with the part has begun since
the first of them while others have. Crashes after the first events of an answer, or of
a later target of its path, are counted apart, and only answers that came further speak
against these (`stages.py`). Parts with which answers have begun before need more, and
the crashes that a part under quarantine explains speak against no other. A part under
quarantine at one service is put under quarantine at the others as well, except at those
where answers with it have begun.

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
from chervilstall.quarantine.quarantined import QuarantinedPart
from chervilstall.quarantine.records import (
    AnswerStage,
    ClaimTrial,
    Clear,
    CrashReport,
    PartKey,
    Propose,
    QuarantineAction,
    QuarantineEntry,
)
from chervilstall.quarantine.reports import with_known_parts
from chervilstall.quarantine.stages import SUSPECT_CRASHES_MIN, StageEvidence

ENFORCE_AFTER_S = 0.5
"""Time after which an entry is in force unless a router knows that it is wrong."""

KNOWN_ENFORCE_AFTER_S = 2.0
"""The same for parts with which answers have settled before.

Most of them are harmless, and the router that knows may hear of the entry late.
"""

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
    _stages: dict[AnswerStage, StageEvidence] = field(
        default_factory=lambda: {stage: StageEvidence(stage) for stage in AnswerStage}
    )
    _crash_times: CrashTimes = field(default_factory=CrashTimes)
    _quarantined: dict[PartKey, QuarantinedPart] = field(default_factory=dict)
    _crashed_services: dict[PartId, set[ServiceName]] = field(default_factory=dict)

    def _log(self, stage: AnswerStage) -> EvidenceLog:
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
        evidence = self._log(AnswerStage.BEGUN).evidence
        for part in parts:
            known = evidence.get(PartKey(service, part))
            if known is None or known.was_begun:
                continue
            if len(known.crashed_at_s) >= SUSPECT_CRASHES_MIN:
                return True
        return False

    def record_begun(
        self,
        service: ServiceName,
        parts: Iterable[PartId],
        stages: Collection[AnswerStage] = tuple(AnswerStage),
    ) -> None:
        """Record that an answer to a request with these parts has passed some stages.

        One of the parts is the request as a whole.
        """
        keys = [PartKey(service, part) for part in parts]
        for stage in stages:
            evidence = self._stages[stage]
            evidence.log.add_begun(service, keys)
            for key in keys:
                known = self._quarantined.get(key)
                if known is not None and known.entry.stage is stage:
                    self._release(key)
            self._quarantine_likeliest(evidence, evidence.often_crashed(service))

    def record_crash(self, report: CrashReport) -> None:
        """Record a crash that this router or another one saw."""
        report = self._crash_times.identify(report)
        whole = report.at_stage(AnswerStage.SETTLED)
        digests = (request.digest for request in whole.requests)
        parts = (*whole.parts, *digests)
        if any(PartKey(report.service, part) in self._quarantined for part in parts):
            self._explain([report.crash])
            return
        for stage, evidence in self._stages.items():
            added = evidence.add_crash(report if stage is AnswerStage.BEGUN else whole)
            self._quarantine_likeliest(evidence, added)

    def _explain(
        self, crashes: Collection[CrashId], causes: Collection[PartId] = ()
    ) -> None:
        for evidence in self._stages.values():
            evidence.log.explain(crashes, causes)

    def with_begun_parts(self, report: CrashReport) -> CrashReport:
        """Return a report with what this router knows of the crash and the parts."""
        named = replace(report, crash=self._crash_times.name(report))
        return with_known_parts(
            named, self._log(AnswerStage.BEGUN), self._log(AnswerStage.SETTLED)
        )

    def _quarantine_likeliest(
        self, evidence: StageEvidence, keys: Collection[PartKey]
    ) -> None:
        """Put those parts under quarantine that explain the crashes best."""
        while True:
            new = [key for key in keys if key not in self._quarantined]
            same = evidence.likeliest(new)
            if not same:
                return
            crashes = set(evidence.log.evidence[same[0]].crashed_at_s)
            for key in same[:SAME_PARTS_MAX]:
                self._propose(key, evidence)
            self._explain(crashes, {key.part for key in same})

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
        self._add(entry, self._delay_s(entry))

    def _carry_over(self, key: PartKey) -> None:
        """Put a part that crashes another service's targets under quarantine, too."""
        stage = self._crashing_stage(key.part)
        if key in self._quarantined or self._is_harmless_here(key, stage):
            return
        entry = QuarantineEntry(key, 0.0, stage=stage)
        self._add(entry, self._carried_delay_s(key.part))
        self.on_action(Propose(entry))

    def _is_harmless_here(self, key: PartKey, stage: AnswerStage) -> bool:
        """Return whether a quarantine at another service must not be carried over."""
        since_s = self._crashing_since_s(key.part) - ENFORCE_AFTER_S - DELIVERY_MAX_S
        log = self._log(stage)
        return log.has_begun(key) or log.voided_at_s(key) > since_s

    def _crashing_since_s(self, part: PartId) -> float:
        """Return since when a part is kept away from a service that it crashed."""
        times_s = [known.in_force_at_s for known in self._crashing_entries(part)]
        return min(times_s, default=float("-inf"))

    def _crashing_stage(self, part: PartId) -> AnswerStage:
        """Return the stage at which a part crashes targets of other services."""
        stages = {known.entry.stage for known in self._crashing_entries(part)}
        is_begun = AnswerStage.BEGUN in stages
        return AnswerStage.BEGUN if is_begun else AnswerStage.SETTLED

    def _crashing_entries(self, part: PartId) -> list[QuarantinedPart]:
        """Return what is known of a part at the services that it crashed."""
        services = self._crashed_services.get(part, set())
        return [self._quarantined[PartKey(service, part)] for service in services]

    def _carried_from(self, entry: QuarantineEntry) -> list[QuarantinedPart]:
        """Return what is known of the services from which an entry was carried over."""
        return self._crashing_entries(entry.key.part) if entry.is_carried_over else []

    def _delay_s(self, entry: QuarantineEntry) -> float:
        """Return the time until an entry that is not refuted is in force."""
        if entry.is_carried_over:
            return self._carried_delay_s(entry.key.part)
        is_known = not entry.is_new and not entry.key.is_request
        if is_known and entry.stage is AnswerStage.SETTLED:
            return KNOWN_ENFORCE_AFTER_S
        return ENFORCE_AFTER_S

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
        crashes = [self._crash_times.known_as(crash) for crash in entry.crashes]
        self._explain(crashes, {entry.key.part})
        known = self._quarantined.get(entry.key)
        if known is None:
            if self._is_refuted(entry) and not is_old:
                self._release(entry.key)
                return
            self._add(entry, 0.0 if is_old else self._delay_s(entry))
            return
        now_s = time.monotonic()
        known.kept_at_s = now_s
        if entry.trials > known.entry.trials:
            known.tried_at_s = now_s
            known.is_claiming = False
            known.entry = replace(known.entry, trials=entry.trials)

    def _is_refuted(self, entry: QuarantineEntry) -> bool:
        """Return whether this router knows of an answer that refutes an entry.

        An answer of before the crashes refutes one entry at most. A part that crashes
        targets again after its release may have become harmful since that answer.
        """
        if entry.is_carried_over:
            return self._is_harmless_here(entry.key, entry.stage)
        log = self._log(entry.stage)
        begun_at_s = log.begun_at_s(entry.key)
        if entry.is_new and begun_at_s > log.voided_at_s(entry.key):
            return True
        first_at_s = time.monotonic() - entry.evidence_age_s - DELIVERY_MAX_S
        return begun_at_s > first_at_s

    def _add(self, entry: QuarantineEntry, delay_s: float) -> None:
        now_s = time.monotonic()
        self._quarantined[entry.key] = QuarantinedPart(
            entry, now_s + delay_s, now_s, now_s, now_s
        )
        if entry.is_carried_over:
            return
        key = entry.key
        self._crashed_services.setdefault(key.part, set()).add(key.service)
        if key.is_request:
            # It is carried over once it is asked for at another service.
            return
        for service in self._log(AnswerStage.BEGUN).begun_services:
            self._carry_over(PartKey(service, key.part))

    def remove_entry(self, key: PartKey) -> None:
        """Set a part free, and void the evidence of before."""
        known = self._quarantined.pop(key, None)
        for evidence in self._stages.values():
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

    def is_in_force(self, key: PartKey) -> bool:
        """Return whether requests with a part are refused, but for trials."""
        known = self._quarantined.get(key)
        return known is not None and time.monotonic() >= known.in_force_at_s

    @property
    def entries(self) -> list[QuarantineEntry]:
        """Return the entries of all parts under quarantine."""
        return [known.entry for known in self._quarantined.values()]

    def expire(self) -> None:
        """Drop what is past, and have entries kept that are still needed."""
        for evidence in self._stages.values():
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
