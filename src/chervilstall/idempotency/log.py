"""A slot's log in the platform's store: append by group commit, read, clean."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import msgspec

from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.idempotency.records import (
    Record,
    Segment,
    segment_key,
    segment_number,
    segment_prefix,
)
from chervilstall.ids import ChangeId, SlotName, new_change_id
from chervilstall.store.contract import ABSENT_VERSION, Store, StoreFailed

RETRY_S = 0.05
DELETES_PER_CLEANING = 50

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Segment)


class LogFenced(ChervilstallError):
    """Another home wrote the next number: this home's tenure is over."""

    def __init__(self, slot: SlotName) -> None:
        super().__init__(ErrorKind.LEASE_LOST, f"slot {slot} was taken over")


@dataclass(frozen=True)
class StoredSegment:
    """A segment and where it stands in the log."""

    number: int
    segment: Segment


@dataclass
class SegmentLog:
    """One slot's log. A single task appends.

    `append` returns only when the segment is durable. An answer that was lost is
    resolved by trying the same write again: a conflict with one's own change
    identity is a success.
    """

    store: Store
    slot: SlotName
    wall_clock: Callable[[], float] = time.time
    next_number: int = 1
    writes: int = 0
    failing_since_s: float | None = None
    _live: list[tuple[int, float]] = field(default_factory=list)

    def read(self) -> list[StoredSegment]:
        """Read the live segments and set the next number. Raises StoreFailed."""
        stored = []
        for entry in self.store.list_entries(segment_prefix(self.slot)):
            number = segment_number(entry.key)
            stored.append(StoredSegment(number, _decoder.decode(entry.value)))
        self._live = [(item.number, item.segment.written_at_s) for item in stored]
        if stored:
            self.next_number = stored[-1].number + 1
        return stored

    def append(
        self, records: tuple[Record, ...], is_stopped: Callable[[], bool]
    ) -> None:
        """Write one segment, retrying until it is durable.

        Raises LogFenced where another home wrote the number, and STORE_UNAVAILABLE
        when `is_stopped` turns true before the write is certain.
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
                gevent.sleep(RETRY_S)
        self.failing_since_s = None
        self.writes += 1
        self._live.append((self.next_number, segment.written_at_s))
        self.next_number += 1

    def _create(self, key: str, value: bytes, change: ChangeId) -> None:
        result = self.store.compare_and_swap(key, value, ABSENT_VERSION)
        if result.is_swapped:
            return
        entry = self.store.get(key)
        if entry is None:
            # A read that goes back in time; the write is tried again.
            raise StoreFailed("the segment is there and can't be read")
        if _decoder.decode(entry.value).change != change:
            raise LogFenced(self.slot)

    def clean(self, before_s: float) -> int:
        """Delete the oldest segments written before a wall-clock time."""
        deleted = 0
        while self._live and deleted < DELETES_PER_CLEANING:
            number, written_at_s = self._live[0]
            if written_at_s >= before_s or number + 1 >= self.next_number:
                break
            self.store.delete(segment_key(self.slot, number))
            self._live.pop(0)
            deleted += 1
        return deleted
