"""The home of a slot of idempotency keys: the one process that answers its claims.

Keys are hashed to a fixed number of slots, and the agent that holds a slot's lease runs
its home. A claim is written to the platform's store before it is answered; claims that
arrive together share one write (group commit).

A home that takes over a slot reads the slot's log first. While the store is
unreachable, a home may let first attempts run without a durable claim, for at most
`hole_max_s` seconds. If the previous home did not close its log, the new one therefore
assumes that requests may have run unrecorded for that long, and answers a retry of an
unknown key with `InDoubt` until the retention time after that period has passed.
"""

import time
from dataclasses import dataclass, field
from enum import Enum

import gevent
from gevent.event import Event

from chervilstall.clock import Clock
from chervilstall.idempotency.log import LogFenced, SegmentLog
from chervilstall.idempotency.records import (
    ClaimRecord,
    CloseRecord,
    OpenRecord,
    OutcomeRecord,
    Record,
    UnrecordedPeriodRecord,
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
from chervilstall.settings.agents import IdempotencySettings
from chervilstall.store.contract import Store, StoreFailed
from chervilstall.waiting import wait_until_set

CLEANING_INTERVAL_S = 5.0
CLOCK_SKEW_S = 2.0  # allowance for wall-clock differences between VMs
DURABLE_CLAIM_WAIT_S = 0.2  # wait of a first attempt before it may run unrecorded
RECORD_OVERHEAD_BYTES = 200  # estimated size of a record without its outcome's body
CLOSE_TIMEOUT_S = 2.0


class HomeState(Enum):
    """Lifecycle state of a home."""

    OPENING = "opening"
    SERVING = "serving"
    CLOSING = "closing"
    CLOSED = "closed"


@dataclass
class KeyState:
    """State of a claimed key.

    `finished` is set when the outcome is known or the claim was withdrawn.
    """

    body_digest: str
    request_id: RequestId
    claimed_at_s: float
    outcome: Outcome | None = None
    is_durable: bool = False
    finished: Event = field(default_factory=Event)


@dataclass
class _Batch:
    records: list[Record] = field(default_factory=list)
    size_bytes: int = 0
    settled: Event = field(default_factory=Event)  # written, or given up
    key_states: list[KeyState] = field(default_factory=list)


class SlotHome:
    """Answers claims for the keys of one slot.

    Call `open` first, then run `serve` in one task; it returns when the home is closed
    or another home has taken over the slot.
    """

    def __init__(
        self,
        store: Store,
        slot: SlotName,
        epoch: Epoch,
        settings: IdempotencySettings,
        wall_clock: Clock = time.time,
    ) -> None:
        self.slot = slot
        self.epoch = epoch
        self.settings = settings
        self.state = HomeState.OPENING
        self.log = SegmentLog(store, slot, wall_clock)
        self._wall_clock = wall_clock
        self._keys: dict[str, KeyState] = {}
        self._unrecorded_periods: list[UnrecordedPeriodRecord] = []
        self._batch = _Batch()
        self._has_records = Event()
        self._cleaned_at_s = 0.0
        self._own_unrecorded_period: UnrecordedPeriodRecord | None = None

    @property
    def key_count(self) -> int:
        """Return the number of claimed keys in memory."""
        return len(self._keys)

    # Lifecycle

    def open(self) -> None:
        """Read the slot's log and take it over from the previous home.

        Raises StoreFailed.
        """
        while True:
            stored = self.log.read()
            self._keys.clear()
            self._unrecorded_periods.clear()
            for item in stored:
                for record in item.segment.records:
                    self._replay(record)
            records: list[Record] = [OpenRecord(self.epoch)]
            if stored and not _is_closed(stored[-1].segment.records):
                written_at_s = stored[-1].segment.written_at_s
                records.append(self._assumed_unrecorded_period(written_at_s))
            try:
                self.log.append(tuple(records), lambda: True)
                break
            except LogFenced:
                # Either the listing was stale or another home appended meanwhile;
                # reading again finds the next free segment number.
                gevent.sleep(self.settings.commit_interval_s)
        self._unrecorded_periods += [
            item for item in records if isinstance(item, UnrecordedPeriodRecord)
        ]
        self.state = HomeState.SERVING

    def _assumed_unrecorded_period(self, from_s: float) -> UnrecordedPeriodRecord:
        until_s = self._wall_clock() + self.settings.hole_max_s
        return UnrecordedPeriodRecord(from_s - CLOCK_SKEW_S, until_s)

    def _replay(self, record: Record) -> None:
        match record:
            case ClaimRecord():
                state = KeyState(record.body, record.request, record.at_s)
                state.is_durable = True
                self._keys[record.key] = state
            case OutcomeRecord():
                known = self._keys.get(record.key)
                if known is not None and known.request_id == record.request:
                    known.outcome = record.outcome
                    known.finished.set()
            case WithdrawRecord():
                known = self._keys.get(record.key)
                if known is not None and known.request_id == record.request:
                    del self._keys[record.key]
            case UnrecordedPeriodRecord():
                self._unrecorded_periods.append(record)

    def serve(self) -> None:
        """Commit batches and delete expired keys until closed or taken over."""
        try:
            while self.state is HomeState.SERVING:
                self._has_records.wait(CLEANING_INTERVAL_S)
                gevent.sleep(self.settings.commit_interval_s)
                self._commit()
                self._clean_if_due()
        except (LogFenced, StoreFailed):
            self.state = HomeState.CLOSED
        finally:
            self._release_waiters()

    def _commit(self) -> None:
        batch = self._batch
        self._has_records.clear()
        if not batch.records:
            return
        self._batch = _Batch()
        self.log.append(tuple(batch.records), lambda: self.state is HomeState.CLOSED)
        for state in batch.key_states:
            state.is_durable = True
        batch.settled.set()
        # Every request that ran while the store was unreachable is now recorded.
        self._own_unrecorded_period = None

    def _clean_if_due(self) -> None:
        now_s = self._wall_clock()
        if now_s - self._cleaned_at_s < CLEANING_INTERVAL_S:
            return
        self._cleaned_at_s = now_s
        oldest_s = now_s - self.settings.retention_s - CLOCK_SKEW_S
        self._unrecorded_periods = [
            period for period in self._unrecorded_periods if period.until_s >= oldest_s
        ]
        for key, state in list(self._keys.items()):
            if state.claimed_at_s >= oldest_s:
                break
            del self._keys[key]
        try:
            self.log.delete_before(oldest_s)
        except StoreFailed:
            return

    def close(self) -> None:
        """Write pending records and close the log.

        The next home then knows that no request ran unrecorded. If the store does not
        accept the write within `CLOSE_TIMEOUT_S`, pending claims fail.
        """
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
            for state in self._batch.key_states:
                state.is_durable = True
            self._batch.settled.set()
        self._release_waiters()

    def abandon(self) -> None:
        """Stop at once without writing, as required after the lease was lost."""
        self.state = HomeState.CLOSED
        self._has_records.set()
        self._release_waiters()

    def _release_waiters(self) -> None:
        self._batch.settled.set()

    # Claims and outcomes

    def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Answer a claim, waiting up to `request.wait_s` seconds.

        A claim of an unknown key waits until it is durable, a repeat until the first
        request has finished. If the store fails, a first attempt is granted without a
        durable claim where `allows_hole` is set.
        """
        if self.state is not HomeState.SERVING:
            return Unavailable(
                f"home of slot {self.slot} is {self.state.value}, not serving"
            )
        known = self._keys.get(request.key)
        if known is not None:
            return self._answer_repeat(known, request)
        if self._is_in_doubt(request):
            return InDoubt("the key may have run while the store was unreachable")
        return self._claim_new_key(request)

    def _is_in_doubt(self, request: ClaimRequest) -> bool:
        if request.is_first or not request.allows_hole:
            return False
        oldest_s = self._wall_clock() - self.settings.retention_s
        return any(period.until_s >= oldest_s for period in self._unrecorded_periods)

    def _answer_repeat(self, known: KeyState, request: ClaimRequest) -> ClaimAnswer:
        if known.body_digest != request.body:
            return Mismatched()
        if known.request_id == request.request:
            # The router repeats its claim because it did not receive the answer.
            return (
                Claimed(self.slot) if known.is_durable else InDoubt("not durable yet")
            )
        wait_until_set(known.finished, request.wait_s)
        if known.outcome is not None:
            return Repeated(known.outcome)
        if self._keys.get(request.key) is not known:
            return Unavailable("the first request did not run; retry")
        return InDoubt("the first request has no recorded outcome")

    def _claim_new_key(self, request: ClaimRequest) -> ClaimAnswer:
        state = KeyState(request.body, request.request, self._wall_clock())
        self._keys[request.key] = state
        record = ClaimRecord(
            request.key, request.body, request.request, state.claimed_at_s
        )
        batch = self._add_record(record, RECORD_OVERHEAD_BYTES)
        batch.key_states.append(state)
        timeout_s = min(request.wait_s, self.settings.claim_timeout_s)
        if request.allows_hole and request.is_first:
            if wait_until_set(batch.settled, min(DURABLE_CLAIM_WAIT_S, timeout_s)):
                return self._claim_result(state, request)
            if self.log.failing_since_s is not None:
                return self._claim_unrecorded()
            wait_until_set(batch.settled, max(0.0, timeout_s - DURABLE_CLAIM_WAIT_S))
        else:
            wait_until_set(batch.settled, max(0.0, timeout_s))
        return self._claim_result(state, request)

    def _claim_result(self, state: KeyState, request: ClaimRequest) -> ClaimAnswer:
        if state.is_durable:
            return Claimed(self.slot)
        self._withdraw(request.key, request.request)
        return Unavailable("the claim could not be made durable")

    def _claim_unrecorded(self) -> ClaimAnswer:
        if self._own_unrecorded_period is None:
            now_s = self._wall_clock()
            self._own_unrecorded_period = UnrecordedPeriodRecord(
                now_s - CLOCK_SKEW_S, now_s + self.settings.hole_max_s
            )
        if self._wall_clock() > self._own_unrecorded_period.until_s:
            return Unavailable(
                "the store has been unreachable for longer than hole_max_s"
            )
        return Claimed(self.slot, in_hole=True)

    def report(self, report: OutcomeReport) -> bool:
        """Record an outcome, or free the key of a request that did not run.

        Returns False if the home is not serving or the request does not hold the key.
        """
        if self.state is not HomeState.SERVING:
            return False
        known = self._keys.get(report.key)
        if known is None or known.request_id != report.request:
            return False
        if report.outcome is None:
            self._withdraw(report.key, report.request)
            return True
        known.outcome = report.outcome
        known.finished.set()
        size_bytes = RECORD_OVERHEAD_BYTES + len(report.outcome.body)
        self._add_record(
            OutcomeRecord(report.key, report.request, report.outcome), size_bytes
        )
        return True

    def _withdraw(self, key: str, request: RequestId) -> None:
        known = self._keys.get(key)
        if known is None or known.request_id != request:
            return
        del self._keys[key]
        known.finished.set()
        self._add_record(WithdrawRecord(key, request), RECORD_OVERHEAD_BYTES)

    def _add_record(self, record: Record, size_bytes: int) -> _Batch:
        batch = self._batch
        if batch.size_bytes + size_bytes > self.settings.segment_max_bytes:
            self._wait_for_next_batch(batch)
            batch = self._batch
        batch.records.append(record)
        batch.size_bytes += size_bytes
        self._has_records.set()
        return batch

    def _wait_for_next_batch(self, full_batch: _Batch) -> None:
        with gevent.Timeout(self.settings.claim_timeout_s, False):
            while self._batch is full_batch and self.state is HomeState.SERVING:
                gevent.sleep(self.settings.commit_interval_s)


def _is_closed(records: tuple[Record, ...]) -> bool:
    return any(isinstance(record, CloseRecord) for record in records)
