"""The store of the model of quarantine, with the watches and outages of the routers."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from chervilstall.edge.crashes.sharing import QuarantineSharing
from chervilstall.ids import VmId
from chervilstall.platform.handlers import FullRead
from chervilstall.platform.kv import Entry, Lease
from chervilstall.platform.quarantine import CRASHES_PREFIX, QUARANTINE_PREFIX
from chervilstall.store.contract import StoreFailed
from tests.support.quarantine_traffic import QuarantineCase
from tests.support.simulated_tasks import SimulatedTasks

CALL_S = (0.002, 0.02)
CALL_TIMEOUT_S = 2.0
DELIVERY_S = (0.005, 0.9)
RECONNECT_S = (0.05, 1.0)

Outage = tuple[float, float]


@dataclass
class StoreWatch:
    """One router's watch. A later watch of the same router replaces it."""

    router: int
    sharing: QuarantineSharing
    latest_s: float = 0.0
    is_closed: bool = False


@dataclass
class SharedStore:
    """Keeps entries by key and delivers each write to every router's watch, in order.

    Times count from the start of the run. `outages` holds the times in which a router
    cannot reach the store. Afterwards it reads the whole store again.
    """

    rng: random.Random
    case: QuarantineCase
    now: Callable[[], float]
    at: Callable[[float, Callable[[], None]], None]
    entries: dict[str, Entry] = field(default_factory=dict)
    outages: dict[int, list[Outage]] = field(default_factory=dict)
    revision: int = 0
    _watches: dict[int, StoreWatch] = field(default_factory=dict)
    _lease_ends_s: dict[int, float] = field(default_factory=dict)
    _history: list[tuple[float, Entry]] = field(default_factory=list)

    def outage_end_s(self, router: int, at_s: float) -> float | None:
        """Return when an outage ends that keeps a router from the store, or None."""
        for first_s, last_s in self.outages_of(router):
            if first_s <= at_s < last_s:
                return last_s
        return None

    def outages_of(self, router: int) -> list[Outage]:
        """Return the times in which a router cannot reach the store."""
        away_s = self.case.store_away_s
        return self.outages.get(router, []) + ([away_s] if away_s else [])

    def return_from_copy(self, copied_at_s: float) -> None:
        """Lose what was written after a time, and take up new writes from there."""
        kept = [each for each in self._history if each[0] <= copied_at_s]
        self._history = kept
        self.entries = {}
        for _, entry in kept:
            self._apply(entry)
        self.revision = kept[-1][1].revision if kept else 0

    # Writes

    def open_lease(self, ttl_s: float) -> Lease:
        """Create a lease that ends after `ttl_s`."""
        lease = Lease(len(self._lease_ends_s) + 1, ttl_s)
        self._lease_ends_s[lease.lease_id] = self.now() + ttl_s
        return lease

    def _end_entry(self, entry: Entry) -> None:
        """Delete an entry at the end of its lease, unless it was written again."""
        if self.entries.get(entry.key) == entry:
            self.write(entry.key, None)

    def write(self, key: str, value: bytes | None, lease: int = 0) -> int:
        """Apply a write and deliver it; return its revision."""
        self.revision += 1
        entry = Entry(key, value, self.revision)
        self._history.append((self.now(), entry))
        self._apply(entry)
        if lease in self._lease_ends_s:
            self.at(self._lease_ends_s[lease], lambda: self._end_entry(entry))
        for watch in self._watches.values():
            self._deliver(watch, entry)
        return self.revision

    def _apply(self, entry: Entry) -> None:
        if entry.value is None:
            self.entries.pop(entry.key, None)
        else:
            self.entries[entry.key] = entry

    # Watches

    def connect(self, router: int, sharing: QuarantineSharing) -> None:
        """Start a router's watch with all that the store holds."""
        if router in self._watches:
            self._watches[router].is_closed = True
        watch = self._watches[router] = StoreWatch(router, sharing)
        self._read_all(watch)
        for _, last_s in self.outages_of(router):
            if last_s > self.now():
                reconnect_s = last_s + self.rng.uniform(*RECONNECT_S)
                self.at(reconnect_s, lambda: self._read_all(watch))

    def _delivery_s(self, router: int) -> float:
        if router < self.case.late_routers:
            return DELIVERY_S[1]
        return self.rng.uniform(*DELIVERY_S)

    def _receive_later(self, watch: StoreWatch, receive: Callable[[], None]) -> None:
        at_s = max(watch.latest_s, self.now() + self._delivery_s(watch.router))
        watch.latest_s = at_s

        def run() -> None:
            is_cut = self.outage_end_s(watch.router, at_s) is not None
            if not watch.is_closed and not is_cut:
                receive()

        self.at(at_s, run)

    def _deliver(self, watch: StoreWatch, entry: Entry) -> None:
        self._receive_later(watch, lambda: self._handle(watch, entry))

    def _read_all(self, watch: StoreWatch) -> None:
        entries = list(self.entries.values())
        keys = [entry.key for entry in entries]
        full_read = FullRead(
            tuple(key for key in keys if key.startswith(QUARANTINE_PREFIX)),
            self.revision,
        )

        def receive() -> None:
            for entry in entries:
                self._handle(watch, entry)
            watch.sharing.handle_full_read(full_read)

        self._receive_later(watch, receive)

    def _handle(self, watch: StoreWatch, entry: Entry) -> None:
        if entry.key.startswith(CRASHES_PREFIX):
            watch.sharing.handle_crashes(entry)
        if entry.key.startswith(QUARANTINE_PREFIX):
            watch.sharing.handle_entry(entry)


@dataclass
class StoreClient:
    """The store as one router calls it, in place of its client and its registry."""

    vm: VmId
    router: int
    shared: SharedStore
    tasks: SimulatedTasks

    def _call(self) -> None:
        now_s = self.shared.now()
        if self.shared.outage_end_s(self.router, now_s) is not None:
            self.tasks.sleep(self.shared.rng.choice((0.01, CALL_TIMEOUT_S)))
            raise StoreFailed("the store is out of reach")
        self.tasks.sleep(self.shared.rng.uniform(*CALL_S))

    def open_lease(self, ttl_s: float) -> Lease:
        """Return a new lease, which is not renewed."""
        self._call()
        return self.shared.open_lease(ttl_s)

    def write(
        self,
        key: str,
        value: bytes,
        expected_revision: int | None = None,
        lease: int = 0,
    ) -> int | None:
        """Write an entry; return its revision, or None if it has another one."""
        self._call()
        stored = self.shared.entries.get(key)
        revision = stored.revision if stored is not None else 0
        if expected_revision is not None and expected_revision != revision:
            return None
        return self.shared.write(key, value, lease)

    def remove(self, key: str) -> None:
        """Delete a key."""
        self._call()
        if key in self.shared.entries:
            self.shared.write(key, None)
