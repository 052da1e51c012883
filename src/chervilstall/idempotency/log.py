"""Log of one slot in the platform's store: read, group commit and clean-up."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import msgspec

from chervilstall.clock import Clock
from chervilstall.decoding import decode_untrusted
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.idempotency.records import (
    Record,
    Segment,
    segment_key,
    segment_number,
    segment_prefix,
)
from chervilstall.ids import ChangeId, SlotName, new_change_id
from chervilstall.store.contract import (
    ABSENT_VERSION,
    Store,
    StoreEntry,
    StoreFailed,
)
from chervilstall.telemetry.logs import ComponentLog

RETRY_INTERVAL_S = 0.05
DELETES_PER_CLEANUP_MAX = 50

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Segment)


log = ComponentLog("claims")


def _decode(entry: StoreEntry) -> Segment:
    """Return a segment. Raises StoreFailed if it is malformed.

    A segment isn't left out, since requests that it records may have run.
    """
    try:
        return decode_untrusted(_decoder, entry.value)
    except ValueError as error:
        raise StoreFailed(f"malformed segment {entry.key}: {error}") from error


class LogFenced(ChervilstallError):
    """Another home wrote the next segment, so this home no longer owns the slot."""

    def __init__(self, slot: SlotName) -> None:
        super().__init__(
            ErrorKind.LEASE_LOST, f"slot {slot} was taken over by another home"
        )


@dataclass(frozen=True)
class StoredSegment:
    """A segment and its number in the log."""

    number: int
    segment: Segment


@dataclass
class SegmentLog:
    """Log of one slot. Only one task may append.

    `append` returns only once the segment is durable. If the store's answer is lost,
    the same write is repeated: a conflict with a segment that has the same change
    identity means that the earlier write succeeded.
    """

    store: Store
    slot: SlotName
    wall_clock: Clock = time.time
    next_number: int = 1
    writes: int = 0
    failing_since_s: float | None = None
    _stored_segments: list[tuple[int, float]] = field(default_factory=list)

    def read(self) -> list[StoredSegment]:
        """Read the stored segments and set the next number. Raises StoreFailed."""
        stored = []
        for entry in self.store.list_entries(segment_prefix(self.slot)):
            number = segment_number(entry.key)
            if number is None:
                log.warning("Left out %s, which is no segment.", entry.key)
                continue
            stored.append(StoredSegment(number, _decode(entry)))
        self._stored_segments = [
            (item.number, item.segment.written_at_s) for item in stored
        ]
        if stored:
            self.next_number = stored[-1].number + 1
        return stored

    def append(
        self, records: tuple[Record, ...], is_stopped: Callable[[], bool]
    ) -> None:
        """Write one segment, retrying until it is durable.

        Raises LogFenced if another home wrote a segment with the same number, and
        StoreFailed if `is_stopped` returns True before the write is known to have
        succeeded.
        """
        segment = Segment(new_change_id(), self.wall_clock(), records)
        value = _encoder.encode(segment)
        key = segment_key(self.slot, self.next_number)
        while True:
            try:
                self._create(key, value, segment.change)
                break
            except StoreFailed:
                if self.failing_since_s is None:
                    self.failing_since_s = time.monotonic()
                if is_stopped():
                    raise
                gevent.sleep(RETRY_INTERVAL_S)
        self.failing_since_s = None
        self.writes += 1
        self._stored_segments.append((self.next_number, segment.written_at_s))
        self.next_number += 1

    def _create(self, key: str, value: bytes, change: ChangeId) -> None:
        result = self.store.compare_and_swap(key, value, ABSENT_VERSION)
        if result.is_swapped:
            return
        entry = self.store.get(key)
        if entry is None:
            # The store served a stale read; the caller retries the write.
            raise StoreFailed("stale read: an existing segment was reported absent")
        if _decode(entry).change != change:
            raise LogFenced(self.slot)

    def delete_before(self, cutoff_s: float) -> int:
        """Delete the oldest segments written before a wall-clock cutoff.

        At most `DELETES_PER_CLEANUP_MAX` segments are deleted per call, and never the
        newest one. Returns the number deleted. Raises StoreFailed.
        """
        deleted_count = 0
        while self._stored_segments and deleted_count < DELETES_PER_CLEANUP_MAX:
            number, written_at_s = self._stored_segments[0]
            if written_at_s >= cutoff_s or number + 1 >= self.next_number:
                break
            self.store.delete(segment_key(self.slot, number))
            self._stored_segments.pop(0)
            deleted_count += 1
        return deleted_count
