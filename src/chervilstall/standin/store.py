"""Stand-in for the platform's key-value store and VM list, in memory.

Faults: OUTAGE refuses every call, SLOW delays it, LOSE_ANSWER applies a write and
then fails it, RATE_LIMIT refuses, STALE_READS answers reads from an earlier copy.
"""

import time
from collections import deque
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from chervilstall.ids import Epoch
from chervilstall.standin.faults import FaultBoard, FaultKind
from chervilstall.store.contract import (
    ABSENT_VERSION,
    VALUE_MAX_BYTES,
    LeaseRecord,
    StoreEntry,
    StoreFailed,
    StoreRefused,
    SwapResult,
    VmRecord,
    WatchAnswer,
)

RATE_WINDOW_S = 1.0


@dataclass
class _Lease:
    holder: str
    epoch: int
    expires_at_s: float
    note: str


@dataclass
class CallCounts:
    """Calls that the store has served, by method."""

    by_method: dict[str, int] = field(default_factory=dict)

    def add(self, method: str) -> None:
        """Count one call."""
        self.by_method[method] = self.by_method.get(method, 0) + 1

    @property
    def total(self) -> int:
        """Return the number of calls."""
        return sum(self.by_method.values())

    @property
    def writes(self) -> int:
        """Return the number of calls that write."""
        names = ("put", "compare_and_swap", "delete", "acquire_lease")
        return sum(self.by_method.get(name, 0) for name in names)


class MemoryStore:
    """The store contract in memory, with switchable faults and call counts."""

    def __init__(self, reads_per_s: float = 0.0, writes_per_s: float = 0.0) -> None:
        self.faults = FaultBoard()
        self.calls = CallCounts()
        self.reads_per_s = reads_per_s
        self.writes_per_s = writes_per_s
        self.vm_list_lag_s = 0.0
        self._entries: dict[str, StoreEntry] = {}
        self._stale: dict[str, StoreEntry] | None = None
        self._version = 0
        self._changed = Event()
        self._leases: dict[str, _Lease] = {}
        self._epochs: dict[str, int] = {}
        self._vms: dict[str, VmRecord] = {}
        self._vm_history: deque[tuple[float, tuple[VmRecord, ...]]] = deque(maxlen=100)
        self._recent: dict[bool, deque[float]] = {True: deque(), False: deque()}

    # Fault control

    def keep_stale_copy(self) -> None:
        """Remember the present contents as what STALE_READS answers."""
        self._stale = dict(self._entries)

    def _begin(self, method: str, is_write: bool) -> None:
        self.calls.add(method)
        slow = self.faults.take(FaultKind.SLOW)
        if slow:
            gevent.sleep(slow.delay_s)
        if self.faults.take(FaultKind.OUTAGE):
            raise StoreRefused("the store is out of service")
        if self.faults.take(FaultKind.RATE_LIMIT) or self._is_over_rate(is_write):
            raise StoreRefused("too many calls")

    def _is_over_rate(self, is_write: bool) -> bool:
        rate = self.writes_per_s if is_write else self.reads_per_s
        if not rate:
            return False
        recent = self._recent[is_write]
        now_s = time.monotonic()
        while recent and recent[0] < now_s - RATE_WINDOW_S:
            recent.popleft()
        if len(recent) >= rate * RATE_WINDOW_S:
            return True
        recent.append(now_s)
        return False

    def _end_write(self) -> None:
        if self.faults.take(FaultKind.LOSE_ANSWER):
            raise StoreFailed("the answer was lost")

    def _readable(self) -> dict[str, StoreEntry]:
        if self._stale is not None and self.faults.take(FaultKind.STALE_READS):
            return self._stale
        return self._entries

    # Keys

    def get(self, key: str) -> StoreEntry | None:
        """Return a key's entry, or None."""
        self._begin("get", is_write=False)
        return self._readable().get(key)

    def list_entries(self, prefix: str) -> tuple[StoreEntry, ...]:
        """Return the entries below a prefix, ordered by key."""
        self._begin("list_entries", is_write=False)
        entries = self._readable()
        return tuple(entries[key] for key in sorted(entries) if key.startswith(prefix))

    def put(self, key: str, value: bytes) -> int:
        """Write a key."""
        self._begin("put", is_write=True)
        version = self._write(key, value)
        self._end_write()
        return version

    def compare_and_swap(
        self, key: str, value: bytes, expected_version: int
    ) -> SwapResult:
        """Write a key if its version is the expected one."""
        self._begin("compare_and_swap", is_write=True)
        entry = self._entries.get(key)
        version = entry.version if entry else ABSENT_VERSION
        if version != expected_version:
            return SwapResult(False, version)
        version = self._write(key, value)
        self._end_write()
        return SwapResult(True, version)

    def delete(self, key: str) -> None:
        """Delete a key."""
        self._begin("delete", is_write=True)
        self._entries.pop(key, None)
        self._end_write()

    def _write(self, key: str, value: bytes) -> int:
        if len(value) > VALUE_MAX_BYTES:
            raise StoreRefused(f"a value of {len(value)} bytes is too large")
        self._version += 1
        self._entries[key] = StoreEntry(key, value, self._version)
        self._changed.set()
        self._changed.clear()
        return self._version

    def watch(self, prefix: str, after_version: int, wait_s: float) -> WatchAnswer:
        """Wait for entries above a version."""
        self._begin("watch", is_write=False)
        ends_at_s = time.monotonic() + wait_s
        while True:
            found = self._written_after(prefix, after_version)
            remaining_s = ends_at_s - time.monotonic()
            if found or remaining_s <= 0:
                return WatchAnswer(self._version, found)
            self._changed.wait(remaining_s)
            if any(fault.kind is FaultKind.OUTAGE for fault in self.faults.armed):
                raise StoreFailed("the store went away during a watch")

    def _written_after(self, prefix: str, version: int) -> tuple[StoreEntry, ...]:
        found = []
        for key, entry in self._entries.items():
            if entry.version <= version or not key.startswith(prefix):
                continue
            found.append(entry)
        return tuple(sorted(found, key=lambda entry: entry.version))

    # Leases

    def acquire_lease(
        self, name: str, holder: str, ttl_s: float, note: str = ""
    ) -> LeaseRecord:
        """Take or renew a lease, or return the record of its live holder."""
        self._begin("acquire_lease", is_write=True)
        now_s = time.monotonic()
        lease = self._leases.get(name)
        is_free = lease is None or lease.expires_at_s <= now_s
        if lease is None or (is_free and lease.holder != holder) or is_free:
            epoch = self._epochs.get(name, 0) + 1
            self._epochs[name] = epoch
            lease = _Lease(holder, epoch, now_s + ttl_s, note)
            self._leases[name] = lease
        elif lease.holder == holder:
            lease.expires_at_s = now_s + ttl_s
            lease.note = note
        record = self._record(name, lease, now_s)
        self._end_write()
        return record

    def _record(self, name: str, lease: _Lease, now_s: float) -> LeaseRecord:
        remaining_s = lease.expires_at_s - now_s
        return LeaseRecord(
            name, lease.holder, Epoch(lease.epoch), remaining_s, lease.note
        )

    def release_lease(self, name: str, holder: str) -> None:
        """Give a lease up."""
        self._begin("delete", is_write=True)
        lease = self._leases.get(name)
        if lease is not None and lease.holder == holder:
            del self._leases[name]

    def list_leases(self, prefix: str) -> tuple[LeaseRecord, ...]:
        """Return the live leases below a prefix."""
        self._begin("list_leases", is_write=False)
        now_s = time.monotonic()
        records = []
        for name in sorted(self._leases):
            lease = self._leases[name]
            if not name.startswith(prefix) or lease.expires_at_s <= now_s:
                continue
            records.append(self._record(name, lease, now_s))
        return tuple(records)

    # VM list

    def set_vm(self, record: VmRecord) -> None:
        """Add a VM or change its state."""
        self._vms[record.vm] = record
        self._note_vms()

    def remove_vm(self, vm: str) -> None:
        """Remove a VM."""
        self._vms.pop(vm, None)
        self._note_vms()

    def _note_vms(self) -> None:
        self._vm_history.append((time.monotonic(), tuple(self._vms.values())))

    def list_vms(self) -> tuple[VmRecord, ...]:
        """Return the VM list as of `vm_list_lag_s` ago."""
        self._begin("list_vms", is_write=False)
        seen: tuple[VmRecord, ...] = ()
        for noted_at_s, records in self._vm_history:
            if noted_at_s > time.monotonic() - self.vm_list_lag_s:
                break
            seen = records
        return seen
