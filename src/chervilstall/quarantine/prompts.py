"""Decides which parts of prompts and which requests are kept away from the targets.

A part is put under quarantine after three crashes of targets that held a request with
it and had not begun to answer that request, if no answer with the part has begun since
the first of them while others have. Parts with which answers have begun before need
more, and the crashes that a part under quarantine explains speak against no other. A
part under quarantine at one service is put under quarantine at the others as well,
except at those where answers with it have begun.

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
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from chervilstall.ids import PartId, ServiceName
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
)

CRASHES_MIN = 3
SUSPECT_CRASHES_MIN = 2
OTHERS_BEGUN_MIN = 3
"""Answers without the part that must have begun meanwhile.

Where nothing is answered at all, the cause is another one.
"""

FAMILIAR_BEGUN_MIN = 5
"""Answers of a service after which a router knows the parts that are usual there.

A part that never began is unusual then, and need not wait for other answers: there are
none while it keeps all targets down.
"""

KNOWN_CRASHES_MIN = 4
KNOWN_OTHERS_BEGUN_MIN = 10
"""The same for parts with which answers have begun before."""

ENFORCE_AFTER_S = 0.5
"""Time after which an entry is in force unless a router knows that it is wrong."""

DELIVERY_MAX_S = 1.0
"""Time that an entry may need from its proposal to the other routers."""

CARRY_OVER_AFTER_S = 2.0
"""Time from a quarantine at one service until it holds at others.

Routers that know of answers of another service with the part release it there before.
"""

REPORTED_PARTS_MAX = 2_048
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
    log: EvidenceLog = field(default_factory=EvidenceLog)
    _crash_times: CrashTimes = field(default_factory=CrashTimes)
    _quarantined: dict[PartKey, QuarantinedPart] = field(default_factory=dict)
    _often_crashed: set[PartKey] = field(default_factory=set)
    _crashed_services: dict[PartId, set[ServiceName]] = field(default_factory=dict)

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
        for part in parts:
            known = self.log.evidence.get(PartKey(service, part))
            if known is None or known.was_begun:
                continue
            if len(known.crashed_at_s) >= SUSPECT_CRASHES_MIN:
                return True
        return False

    def record_begun(self, service: ServiceName, parts: Iterable[PartId]) -> None:
        """Record that a target has begun to answer a request with these parts.

        One of them is the request as a whole.
        """
        keys = [PartKey(service, part) for part in parts]
        self.log.add_begun(service, keys)
        for key in keys:
            if key in self._quarantined:
                self._release(key)
        self._quarantine_likeliest(
            [key for key in self._often_crashed if key.service == service]
        )

    def record_crash(self, report: CrashReport) -> None:
        """Record a crash that this router or another one saw."""
        report = self._crash_times.identify(report)
        digests = (request.digest for request in report.requests)
        parts = (*report.parts, *digests)
        if any(PartKey(report.service, part) in self._quarantined for part in parts):
            self.log.explain([report.crash])
            return
        added = self.log.add_crash(report)
        for key in added:
            if len(self.log.evidence[key].crashed_at_s) >= CRASHES_MIN:
                self._often_crashed.add(key)
        self._quarantine_likeliest(added)

    def with_begun_parts(self, report: CrashReport) -> CrashReport:
        """Return a report of this router with what it knows of the crash and the parts.

        Where callers named very many, those with which answers began are left out, and
        then some that differ from crash to crash.
        """

        def has_begun(part: PartId) -> bool:
            return self.log.has_begun(PartKey(report.service, part))

        def rank(part: PartId) -> tuple[bool, int]:
            return has_begun(part), zlib.crc32(f"{report.crash} {part}".encode())

        parts = tuple(sorted(report.parts, key=rank)[:REPORTED_PARTS_MAX])
        return replace(
            report,
            crash=self._crash_times.name(report),
            parts=parts,
            begun_parts=tuple(filter(has_begun, parts)),
        )

    def _quarantine_likeliest(self, keys: list[PartKey]) -> None:
        """Put those parts under quarantine that explain the crashes best.

        A request is preferred to the parts of its prompt that explain no more.
        """
        candidates = [key for key in keys if self._has_enough_evidence(key)]
        while candidates:
            best = max(candidates, key=self._rank)
            crashes = set(self.log.evidence[best].crashed_at_s)
            # Parts that always came together cannot be told apart.
            same = [
                key
                for key in candidates
                if self._rank(key) == self._rank(best)
                and set(self.log.evidence[key].crashed_at_s) == crashes
            ]
            for key in same[:SAME_PARTS_MAX]:
                self._propose(key)
            self.log.explain(crashes, {key.part for key in same})
            candidates = [key for key in candidates if self._has_enough_evidence(key)]

    def _rank(self, key: PartKey) -> tuple[bool, int, bool]:
        known = self.log.evidence[key]
        return not known.was_begun, len(known.crashed_at_s), key.is_request

    def _has_enough_evidence(self, key: PartKey) -> bool:
        known = self.log.evidence.get(key)
        if known is None or key in self._quarantined:
            return False
        crashes_min, others_min = CRASHES_MIN, OTHERS_BEGUN_MIN
        if known.was_begun:
            crashes_min, others_min = KNOWN_CRASHES_MIN, KNOWN_OTHERS_BEGUN_MIN
        if len(known.crashed_at_s) < crashes_min:
            return False
        if known.crashes < crashes_min:
            return False
        if key.is_request:
            return True
        if known.is_of_one_request:
            return False
        if not known.was_begun and self._is_familiar(key.service):
            return True
        return self.log.others_begun(key) >= others_min

    def _is_familiar(self, service: ServiceName) -> bool:
        return self.log.begun_count(service) >= FAMILIAR_BEGUN_MIN

    def _propose(self, key: PartKey) -> None:
        known = self.log.evidence[key]
        entry = QuarantineEntry(
            key,
            time.monotonic() - known.first_at_s,
            tuple(sorted(known.crashed_at_s)),
            not known.was_begun and not key.is_request,
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
        return self.log.has_begun(key) or self.log.voided_at_s(key) > since_s

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
        crashes = [self._crash_times.known_as(crash) for crash in entry.crashes]
        self.log.explain(crashes, {entry.key.part})
        known = self._quarantined.get(entry.key)
        if known is None:
            if self._is_refuted(entry) and not is_old:
                self._release(entry.key)
                return
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
        """Return whether this router knows of an answer that refutes an entry."""
        if entry.is_carried_over:
            return self._is_harmless_here(entry.key)
        if entry.is_new:
            return self.log.has_begun(entry.key)
        first_at_s = time.monotonic() - entry.evidence_age_s - DELIVERY_MAX_S
        return self.log.begun_at_s(entry.key) > first_at_s

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
        for service in self.log.begun_services:
            self._carry_over(PartKey(service, key.part))

    def remove_entry(self, key: PartKey) -> None:
        """Set a part free, and void the evidence of before."""
        known = self._quarantined.pop(key, None)
        self.log.void(key)
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
        self.log.expire()
        self._crash_times.expire(EVIDENCE_VALID_S)
        self._often_crashed &= self.log.evidence.keys()
        now_s = time.monotonic()
        for key, known in list(self._quarantined.items()):
            if known.is_past(now_s):
                self.remove_entry(key)
                continue
            if known.must_be_kept(now_s):
                known.kept_at_s = now_s
                self.on_action(Propose(known.entry))
