"""The home of one slot of idempotency keys.

The home is the only process that judges the slot's keys. A claim is durable in the
platform's store before it is answered, many claims in one write. A home that takes a
slot over reads the log first; where its predecessor did not close the log, first
attempts may have run unrecorded for as long as a home without the store may go on,
and a repeat that is not found in that time is answered "in doubt".
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import gevent
from gevent.event import Event

from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.idempotency.log import LogFenced, SegmentLog
from chervilstall.idempotency.records import (
    ClaimRecord,
    CloseRecord,
    HoleRecord,
    OpenRecord,
    OutcomeRecord,
    Record,
    WithdrawRecord,
)
from chervilstall.ids import Epoch, RequestId, SlotName
from chervilstall.peer.claims import (
    ClaimAnswer,
    Claimed,
    ClaimRequest,
    InDoubt,
    Mismatched,
    Outcome,
    OutcomeReport,
    Repeated,
    Unavailable,
)
from chervilstall.rendezvous import rendezvous_choice
from chervilstall.settings.agents import IdempotencySettings
from chervilstall.store.contract import Store, StoreFailed

CLEANING_INTERVAL_S = 5.0
CLOCK_SKEW_S = 2.0
HOLE_AFTER_S = 0.2
RECORD_OVERHEAD_BYTES = 200
CLOSE_TIMEOUT_S = 2.0


class HomeState(Enum):
    """Life of a home."""

    OPENING = "opening"
    SERVING = "serving"
    CLOSING = "closing"
    CLOSED = "closed"


@dataclass
class KeyState:
    """What is known of one key."""

    body: str
    request: RequestId
    at_s: float
    outcome: Outcome | None = None
    is_durable: bool = False
    done: Event = field(default_factory=Event)


@dataclass
class _Batch:
    records: list[Record] = field(default_factory=list)
    size_bytes: int = 0
    durable: Event = field(default_factory=Event)
    keys: list[KeyState] = field(default_factory=list)


class SlotHome:
    """Judges the keys of one slot. `serve` runs in one task until closed."""

    def __init__(
        self,
        store: Store,
        slot: SlotName,
        epoch: Epoch,
        settings: IdempotencySettings,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.slot = slot
        self.epoch = epoch
        self.settings = settings
        self.state = HomeState.OPENING
        self.log = SegmentLog(store, slot, wall_clock)
        self._wall_clock = wall_clock
        self._keys: dict[str, KeyState] = {}
        self._holes: list[HoleRecord] = []
        self._batch = _Batch()
        self._has_work = Event()
        self._cleaned_at_s = 0.0
        self._hole: HoleRecord | None = None

    @property
    def key_count(self) -> int:
        """Return the number of keys in memory."""
        return len(self._keys)

    # Opening and serving

    def open(self) -> None:
        """Read the log and take it over. Raises StoreFailed or LogFenced."""
        while True:
            stored = self.log.read()
            self._keys.clear()
            self._holes.clear()
            for item in stored:
                for record in item.segment.records:
                    self._replay(record)
            records: list[Record] = [OpenRecord(self.epoch)]
            if stored and not _is_closed(stored[-1].segment.records):
                written_at_s = stored[-1].segment.written_at_s
                records.append(self._presumed_hole(written_at_s))
            try:
                self.log.append(tuple(records), lambda: True)
                break
            except LogFenced:
                # The list was read from an old copy, or another home was faster;
                # the number now free tells which.
                gevent.sleep(self.settings.commit_interval_s)
        self._holes += [item for item in records if isinstance(item, HoleRecord)]
        self.state = HomeState.SERVING

    def _presumed_hole(self, from_s: float) -> HoleRecord:
        until_s = self._wall_clock() + self.settings.hole_max_s
        return HoleRecord(from_s - CLOCK_SKEW_S, until_s)

    def _replay(self, record: Record) -> None:
        match record:
            case ClaimRecord():
                state = KeyState(record.body, record.request, record.at_s)
                state.is_durable = True
                self._keys[record.key] = state
            case OutcomeRecord():
                held = self._keys.get(record.key)
                if held is not None and held.request == record.request:
                    held.outcome = record.outcome
                    held.done.set()
            case WithdrawRecord():
                held = self._keys.get(record.key)
                if held is not None and held.request == record.request:
                    del self._keys[record.key]
            case HoleRecord():
                self._holes.append(record)

    def serve(self) -> None:
        """Commit batches and clean until closed or taken over."""
        try:
            while self.state is HomeState.SERVING:
                self._has_work.wait(CLEANING_INTERVAL_S)
                gevent.sleep(self.settings.commit_interval_s)
                self._commit()
                self._clean_if_due()
        except (LogFenced, StoreFailed):
            self.state = HomeState.CLOSED
        finally:
            self._fail_pending()

    def _commit(self) -> None:
        batch = self._batch
        self._has_work.clear()
        if not batch.records:
            return
        self._batch = _Batch()
        self.log.append(tuple(batch.records), lambda: self.state is HomeState.CLOSED)
        for state in batch.keys:
            state.is_durable = True
        batch.durable.set()
        # Everything that ran while the store was away is now recorded.
        self._hole = None

    def _clean_if_due(self) -> None:
        now_s = self._wall_clock()
        if now_s - self._cleaned_at_s < CLEANING_INTERVAL_S:
            return
        self._cleaned_at_s = now_s
        oldest_s = now_s - self.settings.retention_s - CLOCK_SKEW_S
        self._holes = [hole for hole in self._holes if hole.until_s >= oldest_s]
        for key, state in list(self._keys.items()):
            if state.at_s >= oldest_s:
                break
            del self._keys[key]
        try:
            self.log.clean(oldest_s)
        except StoreFailed:
            return

    def close(self) -> None:
        """Write what is pending and close the log, so that no hole is presumed."""
        if self.state is not HomeState.SERVING:
            self.state = HomeState.CLOSED
            return
        self.state = HomeState.CLOSING
        is_closed = False
        try:
            with gevent.Timeout(CLOSE_TIMEOUT_S, False):
                records = (*self._batch.records, CloseRecord(self.epoch))
                self.log.append(records, lambda: False)
                is_closed = True
        except (LogFenced, StoreFailed):
            is_closed = False
        self.state = HomeState.CLOSED
        if is_closed:
            for state in self._batch.keys:
                state.is_durable = True
            self._batch.durable.set()
        self._fail_pending()

    def abandon(self) -> None:
        """Stop at once, writing nothing; what a lost lease calls for."""
        self.state = HomeState.CLOSED
        self._has_work.set()
        self._fail_pending()

    def _fail_pending(self) -> None:
        self._batch.durable.set()

    # Judging

    def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Judge a claim; see `ClaimRequest`."""
        if self.state is not HomeState.SERVING:
            return Unavailable(f"slot {self.slot} is {self.state.value} here")
        held = self._keys.get(request.key)
        if held is not None:
            return self._judge_repeat(held, request)
        if self._is_in_doubt(request):
            return InDoubt("the key may have run while the store was away")
        return self._claim_new(request)

    def _is_in_doubt(self, request: ClaimRequest) -> bool:
        if request.is_first or not request.allows_hole:
            return False
        oldest_s = self._wall_clock() - self.settings.retention_s
        return any(hole.until_s >= oldest_s for hole in self._holes)

    def _judge_repeat(self, held: KeyState, request: ClaimRequest) -> ClaimAnswer:
        if held.body != request.body:
            return Mismatched()
        if held.request == request.request:
            # The same claim again: its answer was lost between the processes.
            return Claimed(self.slot) if held.is_durable else InDoubt("pending")
        held.done.wait(request.wait_s)
        if held.outcome is not None:
            return Repeated(held.outcome)
        if self._keys.get(request.key) is not held:
            return Unavailable("the first request did not run; send it again")
        return InDoubt("the first request has no recorded outcome")

    def _claim_new(self, request: ClaimRequest) -> ClaimAnswer:
        state = KeyState(request.body, request.request, self._wall_clock())
        self._keys[request.key] = state
        record = ClaimRecord(request.key, request.body, request.request, state.at_s)
        batch = self._add(record, RECORD_OVERHEAD_BYTES)
        batch.keys.append(state)
        timeout_s = min(request.wait_s, self.settings.claim_timeout_s)
        if request.allows_hole and request.is_first:
            if batch.durable.wait(min(HOLE_AFTER_S, timeout_s)):
                return self._settled(state, request)
            if self.log.failing_since_s is not None:
                return self._claim_in_hole()
            timeout_s -= HOLE_AFTER_S
        batch.durable.wait(max(0.0, timeout_s))
        return self._settled(state, request)

    def _settled(self, state: KeyState, request: ClaimRequest) -> ClaimAnswer:
        if state.is_durable:
            return Claimed(self.slot)
        self._withdraw(request.key, request.request)
        return Unavailable("the claim could not be made durable")

    def _claim_in_hole(self) -> ClaimAnswer:
        if self._hole is None:
            now_s = self._wall_clock()
            self._hole = HoleRecord(
                now_s - CLOCK_SKEW_S, now_s + self.settings.hole_max_s
            )
        if self._wall_clock() > self._hole.until_s:
            return Unavailable("the store has been away for too long")
        return Claimed(self.slot, in_hole=True)

    def report(self, report: OutcomeReport) -> bool:
        """Record an outcome, or free the key of a request that did not run."""
        if self.state is not HomeState.SERVING:
            return False
        held = self._keys.get(report.key)
        if held is None or held.request != report.request:
            return False
        if report.outcome is None:
            self._withdraw(report.key, report.request)
            return True
        held.outcome = report.outcome
        held.done.set()
        size_bytes = RECORD_OVERHEAD_BYTES + len(report.outcome.body)
        self._add(OutcomeRecord(report.key, report.request, report.outcome), size_bytes)
        return True

    def _withdraw(self, key: str, request: RequestId) -> None:
        held = self._keys.get(key)
        if held is None or held.request != request:
            return
        del self._keys[key]
        held.done.set()
        self._add(WithdrawRecord(key, request), RECORD_OVERHEAD_BYTES)

    def _add(self, record: Record, size_bytes: int) -> _Batch:
        batch = self._batch
        if batch.size_bytes + size_bytes > self.settings.segment_max_bytes:
            self._wait_for_room(batch)
            batch = self._batch
        batch.records.append(record)
        batch.size_bytes += size_bytes
        self._has_work.set()
        return batch

    def _wait_for_room(self, full: _Batch) -> None:
        with gevent.Timeout(self.settings.claim_timeout_s, False):
            while self._batch is full and self.state is HomeState.SERVING:
                gevent.sleep(self.settings.commit_interval_s)


def _is_closed(records: tuple[Record, ...]) -> bool:
    return any(isinstance(record, CloseRecord) for record in records)


class LocalClaimService:
    """Homes of this process, as a claim service; for embedding and tests."""

    def __init__(self, homes: dict[SlotName, SlotHome]) -> None:
        self.homes = homes

    def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Claim at the key's home."""
        return self.homes[slot_for_key(request.key, list(self.homes))].claim(request)

    def report(self, report: OutcomeReport) -> bool:
        """Report at the key's home."""
        return self.homes[slot_for_key(report.key, list(self.homes))].report(report)


def slot_for_key(key: str, slots: list[SlotName]) -> SlotName:
    """Return the slot that a key belongs to, by rendezvous hashing."""
    chosen = rendezvous_choice(key, slots)
    if chosen is None:
        raise ChervilstallError(ErrorKind.HOME_UNAVAILABLE, "there are no slots")
    return SlotName(chosen)
