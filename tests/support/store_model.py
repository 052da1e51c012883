"""A model of the store and of one router's link to it, without a network.

Calls take the time that the store and the links need for them. The other routers are
assumed to make the same calls at the same time, so that each gets an equal part of the
store's link.
"""

import random
import time
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from chervilstall.platform.kv import Entry, EntryBatch, HistoryGone
from chervilstall.standin.shared_link import SharedLink
from chervilstall.store.contract import ResponseTooLarge, StoreFailed

STORE_LINK_BYTES_PER_S = 125e6
ANSWER_S = 0.004
ENTRY_OVERHEAD_BYTES = 120
BASE64_RATIO = 4.0 / 3.0
LARGE_BYTES = 100_000
LARGE_CALL_OFFSETS_S = (ANSWER_S - 0.001, ANSWER_S, ANSWER_S + 0.001)
"""Times after the arrival of a call: just before, at and after the store reads."""


@dataclass(frozen=True)
class ModelCase:
    """The size of a fleet, and the link of each of its VMs."""

    routers: int
    link_bytes_per_s: float
    decode_s_per_mb: float = 0.1

    @property
    def rate_bytes_per_s(self) -> float:
        """Return the rate at which one router receives while all do."""
        return min(self.link_bytes_per_s, STORE_LINK_BYTES_PER_S / self.routers)


@dataclass
class StoreModel:
    """Entries and history of a store, with the calls that a router makes.

    While it `is_away`, each call and each watch that waits fails. What is written here
    is written to its `mirrors`, too: the same store, as other routers reach it.

    `calls` counts them. Until `deaf_until_s`, watches hear nothing; `compact` cuts
    them and drops the history. Watches that begin before `begun_deaf_until_s` hear
    nothing as long as they wait. A revision that may be old is that of `stale_s` ago.
    `large_calls` is set to the time at which a call that
    will return a large value arrived.
    """

    case: ModelCase
    rng: random.Random
    calls: int = 0
    revision: int = 1
    values: dict[str, Entry] = field(default_factory=dict)
    history: list[Entry] = field(default_factory=list)
    compacted_revision: int = 0
    deaf_until_s: float = 0.0
    begun_deaf_until_s: float = 0.0
    stale_s: float = 0.0
    is_away: bool = False
    entries_received_at_s: float = float("-inf")
    era: int = 1
    mirrors: list["StoreModel"] = field(default_factory=list)
    large_call_arrived: Event = field(default_factory=Event)
    _written: list[tuple[float, int]] = field(default_factory=list)
    _changed: Event = field(default_factory=Event)
    _link: SharedLink = field(init=False)

    def __post_init__(self) -> None:
        self._link = SharedLink(self.case.rate_bytes_per_s)

    # What the operator and the targets do

    def put(self, key: str, value: bytes | None) -> None:
        """Write a key, or delete it where `value` is None."""
        self.revision += 1
        entry = Entry(key, value, self.revision)
        if value is None:
            self.values.pop(key, None)
        else:
            self.values[key] = entry
        self.history.append(entry)
        self._written.append((time.monotonic(), self.revision))
        self._wake()
        for mirror in self.mirrors:
            mirror.put(key, value)

    def compact(self) -> None:
        """Drop the history and cut every watch."""
        self.compacted_revision = self.revision
        self.deaf_until_s = 0.0
        self._wake()

    def go_away(self) -> None:
        """Fail every call until `come_back`."""
        self.is_away = True
        self._wake()

    def come_back(self) -> None:
        """Answer calls again."""
        self.is_away = False

    def _check_away(self) -> None:
        if self.is_away:
            raise StoreFailed("the store is away")

    def _wake(self) -> None:
        self._changed.set()
        self._changed.clear()

    # What a router calls

    def list_entries(self, prefix: str) -> EntryBatch:
        """Return the entries below a prefix."""
        return self._respond(self._arrive(prefix), self._below(prefix))

    def read_entry(self, key: str) -> EntryBatch:
        """Return the entry of a key."""
        return self._respond(self._arrive(key), self._below(key))

    def recent_revision(self, key: str, timeout_s: float) -> int:
        """Return a revision that may be somewhat old."""
        revision = self._stale_revision()
        with gevent.Timeout(timeout_s, StoreFailed("no response in time")):
            self._arrive(key)
            self._link.carry(ENTRY_OVERHEAD_BYTES)
        return revision

    def watch(
        self, prefix: str, after: int, wait_s: float, size_max_bytes: int | None = None
    ) -> EntryBatch:
        """Return changes after a revision, as the store's watch does."""
        sent_at_s = self._arrive("")
        deadline_s = time.monotonic() + wait_s
        if time.monotonic() < self.begun_deaf_until_s:
            gevent.sleep(wait_s)
        while True:
            if after < self.compacted_revision:
                raise HistoryGone("the history is gone")
            is_deaf = time.monotonic() < self.deaf_until_s
            found = [] if is_deaf else self._changes(prefix, after)
            remaining_s = deadline_s - time.monotonic()
            if found or remaining_s <= 0.0:
                break
            self._changed.wait(remaining_s)
            self._check_away()
        if size_max_bytes is not None and _size_bytes(found) > size_max_bytes:
            raise ResponseTooLarge("the response is too large")
        return self._respond(sent_at_s, found)

    def _stale_revision(self) -> int:
        """Return the revision of `stale_s` ago."""
        until_s = time.monotonic() - self.stale_s
        known = [revision for at_s, revision in self._written if at_s <= until_s]
        return known[-1] if known else 0

    def _below(self, prefix: str) -> list[Entry]:
        return [entry for key, entry in self.values.items() if key.startswith(prefix)]

    def _changes(self, prefix: str, after: int) -> list[Entry]:
        return [
            entry
            for entry in self.history
            if entry.revision > after and entry.key.startswith(prefix)
        ]

    def _arrive(self, prefix: str) -> float:
        """Take a call, and return when it was made."""
        self.calls += 1
        self._check_away()
        sent_at_s = time.monotonic()
        if any(map(_is_large, self._below(prefix))):
            self.large_call_arrived.set()
        gevent.sleep(ANSWER_S)
        return sent_at_s

    def _respond(self, sent_at_s: float, entries: list[Entry]) -> EntryBatch:
        revision = self.revision
        size_bytes = _size_bytes(entries)
        responded_at_s = time.monotonic()
        for _ in self._link.send(bytes(size_bytes)):
            self.entries_received_at_s = time.monotonic()
        gevent.sleep(size_bytes / 1e6 * self.case.decode_s_per_mb)
        return EntryBatch(
            tuple(entries), revision, sent_at_s, responded_at_s, size_bytes
        )


def _size_bytes(entries: list[Entry]) -> int:
    return sum(
        ENTRY_OVERHEAD_BYTES + int(len(entry.value or b"") * BASE64_RATIO)
        for entry in entries
    )


def _is_large(entry: Entry) -> bool:
    return entry.value is not None and len(entry.value) > LARGE_BYTES
