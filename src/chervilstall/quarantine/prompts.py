"""Decides which parts of prompts and which requests are kept away from the targets.

A part is put under quarantine after three crashes of targets that held a request with
it and had not begun to answer that request, if no answer with the part has begun since
the first of them while others have. Parts with which answers have begun before need
more, and the crashes that a part under quarantine explains speak against no other. A
part under quarantine at one service is put under quarantine at the others as well,
except at those where answers with it have begun.

A part may also crash targets in the middle of an answer. What speaks for that are
requests that lost two targets one after the other so, and only an answer with the part
that came to its end speaks against it; `stages` has the numbers.

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
    ClaimTrial,
    Clear,
    CrashReport,
    PartKey,
    Propose,
    QuarantineAction,
    QuarantineEntry,
    Stage,
    part_keys,
)
from chervilstall.quarantine.reports import with_known_parts
from chervilstall.quarantine.stages import EvidenceStage

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


@dataclass
class PromptQuarantine:
    """The decisions of one router on parts of prompts.

    `on_action` is called with what should be shared with the other routers. Proposals
    also take effect here without the others, which may be out of reach.
    """

    on_action: Callable[[QuarantineAction], object] = lambda action: None
    _stages: dict[Stage, EvidenceStage] = field(init=False)
    _crash_times: CrashTimes = field(default_factory=CrashTimes)
    _quarantined: dict[PartKey, QuarantinedPart] = field(default_factory=dict)
    _crashed_services: dict[tuple[PartId, Stage], set[ServiceName]] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        self._stages = {
            stage: EvidenceStage(stage, self.is_quarantined) for stage in Stage
        }

    def _log(self, stage: Stage) -> EvidenceLog:
        return self._stages[stage].log

    # Requests

    def refused_part(
        self,
        service: ServiceName,
        parts: Iterable[PartId],
        stage: Stage = Stage.BEGUN,
    ) -> PartId | None:
        """Return the part because of which a request must not be sent, or None.

        One whose answer has passed an earlier `stage` is refused for evidence of that
        stage alone. A trial that this router has claimed lets one request through.
        """
        if not self._quarantined:
            return None
        now_s = time.monotonic()
        on_trial = []
        refused_part = None
        for key in part_keys(service, parts, stage):
            if (key.part, key.stage) in self._crashed_services:
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
            refused_part = key.part
        if refused_part is not None:
            return refused_part
        for known in on_trial:
            known.has_trial = False
        return None

    def is_suspect(self, service: ServiceName, parts: Iterable[PartId]) -> bool:
        """Return whether a request that lost its target should not be sent again."""
        for part in parts:
            known = self._log(Stage.BEGUN).evidence.get(PartKey(service, part))
            if known is None or known.has_passed_before:
                continue
            if len(known.crashed_at_s) >= SUSPECT_CRASHES_MIN:
                return True
        return False

    def record_begun(self, service: ServiceName, parts: Iterable[PartId]) -> None:
        """Record that a target has begun to answer a request with these parts.

        One of them is the request as a whole.
        """
        self._record_passed(Stage.BEGUN, service, parts)

    def record_ended(self, service: ServiceName, parts: Iterable[PartId]) -> None:
        """Record that a target has answered a request as a whole, and survived that.

        Its answer has begun before.
        """
        self._record_passed(Stage.ENDED, service, parts)

    def _record_passed(
        self, stage: Stage, service: ServiceName, parts: Iterable[PartId]
    ) -> None:
        keys = [PartKey(service, part, stage) for part in parts]
        evidence = self._stages[stage]
        evidence.add_passed(service, keys)
        for key in keys:
            if key in self._quarantined:
                self._release(key)
        self._quarantine_likeliest(stage, evidence.often_crashed(service))

    def record_crash(self, report: CrashReport) -> None:
        """Record a crash that this router or another one saw."""
        report = self._crash_times.identify(report)
        self._record_crash_at(Stage.BEGUN, report)
        if report.later_requests:
            self._record_crash_at(Stage.ENDED, report.of_later_requests())

    def _record_crash_at(self, stage: Stage, report: CrashReport) -> None:
        """Record what a crash says of one stage."""
        digests = (request.digest for request in report.requests)
        for part in (*report.parts, *digests):
            key = PartKey(report.service, part, stage)
            if key in self._quarantined:
                self._explain(key, [report.crash])
                if not key.is_request or stage is Stage.BEGUN:
                    return
        evidence = self._stages[stage]
        added = evidence.add_crash(report)
        if stage is Stage.ENDED:
            added = evidence.often_crashed(report.service)
        self._quarantine_likeliest(stage, added)

    def _explain(
        self,
        cause: PartKey,
        crashes: Collection[CrashId],
        causes: Collection[PartId] = (),
    ) -> None:
        """Drop crashes as evidence, since a part and others like it explain them.

        A request that had not begun may have stood beside one in its middle.
        """
        for stage, evidence in self._stages.items():
            if not cause.is_request or stage is cause.stage is Stage.BEGUN:
                evidence.log.explain(crashes, causes)

    def with_begun_parts(self, report: CrashReport) -> CrashReport:
        """Return a report of this router with what it knows of the crash and the parts.

        Where callers named very many, some are left out.
        """

        def has_passed(stage: Stage, part: PartId) -> bool:
            return self._log(stage).has_passed(PartKey(report.service, part, stage))

        named = replace(report, crash=self._crash_times.name(report))
        return with_known_parts(named, has_passed)

    def _quarantine_likeliest(self, stage: Stage, keys: list[PartKey]) -> None:
        """Put those parts under quarantine that explain the crashes best."""
        evidence = self._stages[stage]
        while same := evidence.find_likeliest(keys):
            crashes = evidence.crashes_of(same[0])
            for key in same[:SAME_PARTS_MAX]:
                self._propose(key)
            self._explain(same[0], crashes, {key.part for key in same})

    def _propose(self, key: PartKey) -> None:
        known = self._log(key.stage).evidence[key]
        entry = QuarantineEntry(
            key,
            time.monotonic() - known.first_at_s,
            tuple(sorted(known.crashed_at_s)),
            not known.has_passed_before and not key.is_request,
        )
        # Others must know this entry before those that are carried over from it.
        self.on_action(Propose(entry))
        self._add(entry, ENFORCE_AFTER_S)

    def _carry_over(self, key: PartKey) -> None:
        """Put a part that crashes another service's targets under quarantine, too."""
        if key in self._quarantined or self._is_harmless_here(key):
            return
        entry = QuarantineEntry(key, 0.0)
        self._add(entry, self._carried_delay_s(key))
        self.on_action(Propose(entry))

    def _is_harmless_here(self, key: PartKey) -> bool:
        """Return whether a quarantine at another service must not be carried over."""
        log = self._log(key.stage)
        since_s = self._crashing_since_s(key) - ENFORCE_AFTER_S - DELIVERY_MAX_S
        return log.has_passed(key) or log.voided_at_s(key) > since_s

    def _crashed_keys(self, key: PartKey) -> list[PartKey]:
        """Return the part's keys at the services that it crashed."""
        services = self._crashed_services.get((key.part, key.stage), set())
        return [replace(key, service=service) for service in services]

    def _crashing_since_s(self, key: PartKey) -> float:
        """Return since when a part is kept away from a service that it crashed."""
        crashed = self._crashed_keys(key)
        times_s = [self._quarantined[each].in_force_at_s for each in crashed]
        return min(times_s, default=float("-inf"))

    def _carried_from(self, entry: QuarantineEntry) -> list[QuarantinedPart]:
        """Return what is known of the services from which an entry was carried over."""
        if not entry.is_carried_over:
            return []
        return [self._quarantined[each] for each in self._crashed_keys(entry.key)]

    def _carried_delay_s(self, key: PartKey) -> float:
        """Return the time until a quarantine at one service holds at others."""
        if (key.part, key.stage) not in self._crashed_services:
            return CARRY_OVER_AFTER_S
        from_s = self._crashing_since_s(key) + CARRY_OVER_AFTER_S
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
        self._explain(entry.key, crashes, {entry.key.part})
        known = self._quarantined.get(entry.key)
        if known is None:
            if self._is_refuted(entry) and not is_old:
                self._release(entry.key)
                return
            delay_s = ENFORCE_AFTER_S
            if entry.is_carried_over:
                delay_s = self._carried_delay_s(entry.key)
            self._add(entry, 0.0 if is_old else delay_s)
            return
        now_s = time.monotonic()
        known.kept_at_s = now_s
        if entry.trials > known.entry.trials:
            known.tried_at_s = now_s
            known.is_claiming = False
            known.entry = replace(known.entry, trials=entry.trials)

    def _is_refuted(self, entry: QuarantineEntry) -> bool:
        """Return whether this router knows of an answer that refutes an entry."""
        if entry.is_carried_over:
            return self._is_harmless_here(entry.key)
        log = self._log(entry.key.stage)
        if entry.is_new:
            return log.has_passed(entry.key)
        first_at_s = time.monotonic() - entry.evidence_age_s - DELIVERY_MAX_S
        return log.passed_at_s(entry.key) > first_at_s

    def _add(self, entry: QuarantineEntry, delay_s: float) -> None:
        now_s = time.monotonic()
        self._quarantined[entry.key] = QuarantinedPart(
            entry, now_s + delay_s, now_s, now_s, now_s
        )
        if entry.is_carried_over:
            return
        key = entry.key
        crashed = self._crashed_services.setdefault((key.part, key.stage), set())
        crashed.add(key.service)
        if key.is_request:
            # It is carried over once it is asked for at another service.
            return
        for service in self._log(Stage.BEGUN).passed_services:
            self._carry_over(replace(key, service=service))

    def remove_entry(self, key: PartKey) -> None:
        """Set a part free, and void the evidence of before."""
        known = self._quarantined.pop(key, None)
        self._log(key.stage).void(key)
        if known is None or known.entry.is_carried_over:
            return
        services = self._crashed_services[key.part, key.stage]
        services.remove(key.service)
        if services:
            return
        del self._crashed_services[key.part, key.stage]
        for other, carried in list(self._quarantined.items()):
            is_same = replace(other, service=key.service) == key
            if is_same and carried.entry.is_carried_over:
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
        """Return whether a part is under quarantine, or about to be, at a stage."""
        return key in self._quarantined

    def names_quarantined(
        self,
        service: ServiceName,
        parts: Iterable[PartId],
        stage: Stage = Stage.BEGUN,
    ) -> bool:
        """Return whether one of a request's parts is under quarantine, or about to be.

        `stage` is that which the request's answer has to pass next.
        """
        return any(key in self._quarantined for key in part_keys(service, parts, stage))

    @property
    def entries(self) -> list[QuarantineEntry]:
        """Return the entries of all parts under quarantine."""
        return [known.entry for known in self._quarantined.values()]

    def expire(self) -> None:
        """Drop what is past, and have entries kept that are still needed."""
        for stage, evidence in self._stages.items():
            evidence.expire()
            if evidence.rules.wait_s:
                self._quarantine_likeliest(stage, evidence.often_crashed())
        self._crash_times.expire(EVIDENCE_VALID_S)
        now_s = time.monotonic()
        for key, known in list(self._quarantined.items()):
            if known.is_past(now_s):
                self.remove_entry(key)
                continue
            if known.must_be_kept(now_s):
                known.kept_at_s = now_s
                self.on_action(Propose(known.entry))
