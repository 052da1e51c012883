"""Sharing of crashes and of parts under quarantine, through the store.

No request waits for the store: each router decides on what it knows, and tasks of their
own write what the others should know.
"""

import random
import time
from dataclasses import dataclass, field, replace

import gevent

from chervilstall.edge.registry import RouterRegistry
from chervilstall.ids import CrashId, PartId
from chervilstall.platform.handlers import FullRead
from chervilstall.platform.kv import Entry, PlatformStore
from chervilstall.platform.quarantine import (
    CRASHES_PREFIX,
    decode_crashes,
    decode_entry,
    encode_crashes,
    encode_entry,
    quarantine_key,
)
from chervilstall.quarantine.evidence import EVIDENCE_VALID_S
from chervilstall.quarantine.prompts import PromptQuarantine
from chervilstall.quarantine.quarantined import KEPT_S
from chervilstall.quarantine.records import (
    ClaimTrial,
    Clear,
    CrashReport,
    PartKey,
    Propose,
    QuarantineAction,
    QuarantineEntry,
)
from chervilstall.store.contract import StoreFailed
from chervilstall.telemetry.events import EventLog

log = EventLog("members")

CRASHES_KEPT_S = 5.0
"""Time for which a shared crash stays in the store and is written with later ones.

A router that reads the store as a whole sees the latest version of a key only.
"""

CRASHES_MAX = 16
WRITE_PAUSE_S = 0.05
SPREAD_MAX_S = 0.2
"""Upper bound of a random delay, after which another router may have been first."""

RETRY_S = 0.5
RETRIES_MAX = 20

_Fingerprint = tuple[
    CrashId, tuple[PartId, ...], tuple[PartId, ...], tuple[PartId, ...]
]


@dataclass
class _StoredEntry:
    key: PartKey
    revision: int


@dataclass
class QuarantineSharing:
    """Carries out what the quarantine asks for, and tells it what other routers shared.

    `_unshared` and `_shared` hold crashes that this router saw, with their monotonic
    times, before and after they were written. `_heard` holds, by store key, the reports
    of other routers that were told last, whatever their age; each is told again with
    later ones.
    """

    quarantine: PromptQuarantine
    registry: RouterRegistry
    store: PlatformStore
    _stored: dict[str, _StoredEntry] = field(default_factory=dict)
    _heard: dict[str, frozenset[_Fingerprint]] = field(default_factory=dict)
    _unshared: list[tuple[float, CrashReport]] = field(default_factory=list)
    _shared: list[tuple[float, CrashReport]] = field(default_factory=list)
    _is_writing_crashes: bool = False
    _has_read: bool = False

    # What this router shares

    def share_crash(self, report: CrashReport) -> None:
        """Tell the quarantine and the other routers of a crash that this router saw."""
        report = self.quarantine.with_begun_parts(report)
        self.quarantine.record_crash(report)
        self._unshared.append((time.monotonic() - report.age_s, report))
        if not self._is_writing_crashes:
            self._is_writing_crashes = True
            gevent.spawn(self._write_crashes)

    def _write_crashes(self) -> None:
        try:
            while self._unshared:
                self._write_unshared()
        finally:
            self._is_writing_crashes = False

    def _write_unshared(self) -> None:
        """Write the crashes that the others don't know, and those just before."""
        now_s = time.monotonic()
        self._unshared = [
            each for each in self._unshared if now_s - each[0] < EVIDENCE_VALID_S
        ][-CRASHES_MAX:]
        self._shared = [
            each for each in self._shared if now_s - each[0] < CRASHES_KEPT_S
        ][-CRASHES_MAX:]
        unshared = list(self._unshared)
        try:
            self._write_crash_list(self._shared + unshared)
        except StoreFailed as error:
            log.warning("crashes not shared", why=error.message)
            gevent.sleep(RETRY_S)
            return
        self._unshared = self._unshared[len(unshared) :]
        self._shared += unshared
        gevent.sleep(WRITE_PAUSE_S)

    def _write_crash_list(self, crashes: list[tuple[float, CrashReport]]) -> None:
        """Write crashes under a lease that ends before their ages are out of date."""
        now_s = time.monotonic()
        reports = tuple(replace(report, age_s=now_s - at_s) for at_s, report in crashes)
        lease = self.store.open_lease(CRASHES_KEPT_S)
        self.store.write(
            CRASHES_PREFIX + self.registry.vm,
            encode_crashes(reports),
            None,
            lease.lease_id,
        )

    def carry_out(self, action: QuarantineAction) -> None:
        """Carry out an action in a task of its own."""
        match action:
            case Propose(entry):
                log.warning(
                    "part under quarantine",
                    service=entry.key.service,
                    prompt_part=entry.key.part,
                    stage=entry.key.stage.value,
                    evidence_age_s=round(entry.evidence_age_s, 2),
                )
                gevent.spawn(self._propose, entry)
            case Clear(key):
                log.warning(
                    "part released",
                    service=key.service,
                    prompt_part=key.part,
                    stage=key.stage.value,
                )
                gevent.spawn(self._clear, key)
            case ClaimTrial(entry):
                gevent.spawn(self._claim_trial, entry)

    def _propose(self, entry: QuarantineEntry) -> None:
        known = self._stored.get(quarantine_key(entry.key))
        revision = known.revision if known is not None else 0
        for _ in range(RETRIES_MAX):
            gevent.sleep(random.uniform(0.0, SPREAD_MAX_S))
            known = self._stored.get(quarantine_key(entry.key))
            if known is not None and known.revision != revision:
                # Another router has written it meanwhile.
                return
            if not self.quarantine.is_quarantined(entry.key):
                return
            try:
                self._write_entry(entry, None)
                return
            except StoreFailed as error:
                log.warning("quarantine not shared", why=error.message)
                gevent.sleep(RETRY_S)

    def _write_entry(
        self, entry: QuarantineEntry, expected_revision: int | None
    ) -> int | None:
        """Write an entry, which outlives this router; return its revision or None."""
        lease = self.store.open_lease(KEPT_S)
        return self.store.write(
            quarantine_key(entry.key),
            encode_entry(entry),
            expected_revision,
            lease.lease_id,
        )

    def _clear(self, key: PartKey) -> None:
        store_key = quarantine_key(key)
        for _ in range(RETRIES_MAX):
            gevent.sleep(random.uniform(0.0, SPREAD_MAX_S))
            if store_key not in self._stored:
                return
            try:
                self.store.remove(store_key)
                return
            except StoreFailed as error:
                log.warning("part not released", why=error.message)
                gevent.sleep(RETRY_S)

    def _claim_trial(self, entry: QuarantineEntry) -> None:
        known = self._stored.get(quarantine_key(entry.key))
        if known is None:
            self.quarantine.deny_trial(entry.key)
            return
        try:
            revision = self._write_entry(entry, known.revision)
        except StoreFailed as error:
            log.warning("trial not claimed", why=error.message)
            revision = None
        if revision is None:
            self.quarantine.deny_trial(entry.key)
            return
        log.info("trial of a part", prompt_part=entry.key.part, trials=entry.trials)
        self.quarantine.apply_entry(entry)
        self.quarantine.grant_trial(entry.key)

    # What other routers shared

    def handle_crashes(self, entry: Entry) -> None:
        """Apply a changed entry below `CRASHES_PREFIX`."""
        if entry.value is None:
            self._heard.pop(entry.key, None)
            return
        if entry.key == CRASHES_PREFIX + self.registry.vm:
            return
        reports = decode_crashes(entry.value)
        if reports is None:
            log.warning("shared crashes not readable", key=entry.key)
            return
        heard_before = self._heard.get(entry.key, frozenset())
        heard = {_fingerprint(report): report for report in reports}
        self._heard[entry.key] = frozenset(heard)
        for fingerprint, report in heard.items():
            if fingerprint not in heard_before:
                self.quarantine.record_crash(report)

    def handle_entry(self, entry: Entry) -> None:
        """Apply a changed entry below `QUARANTINE_PREFIX`."""
        if entry.value is None:
            stored = self._stored.pop(entry.key, None)
            if stored is not None:
                self.quarantine.remove_entry(stored.key)
            return
        shared = decode_entry(entry.value)
        if shared is None or quarantine_key(shared.key) != entry.key:
            log.warning("quarantine entry not readable", key=entry.key)
            return
        self._stored[entry.key] = _StoredEntry(shared.key, entry.revision)
        self.quarantine.apply_entry(shared, is_old=not self._has_read)

    def handle_full_read(self, full_read: FullRead) -> None:
        """Write entries again that a full read of the store did not return."""
        self._has_read = True
        present = set(full_read.keys)
        for store_key in list(self._stored):
            if store_key not in present:
                del self._stored[store_key]
        for entry in self.quarantine.entries:
            if quarantine_key(entry.key) not in present:
                gevent.spawn(self._propose, entry)


def _fingerprint(report: CrashReport) -> _Fingerprint:
    """Return what is the same as a router tells a report again, later."""
    requests = tuple([each.digest for each in report.requests])
    later_requests = tuple([each.digest for each in report.later_requests])
    return report.crash, report.parts, requests, later_requests
