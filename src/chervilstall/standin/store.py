"""In-memory stand-in for the platform's key-value store and VM list.

Faults: OUTAGE refuses a call and fails waiting watches, SLOW delays a call, LOSE_ANSWER
applies a write and then reports a failure, RATE_LIMIT refuses a call as one too many,
STALE_READS answers reads from an earlier copy of the entries.
"""

import time
from collections import deque
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from chervilstall.ids import Epoch
from chervilstall.standin.faults import FaultInjector, FaultKind
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
    """Number of calls to the store by method, refused ones included."""

    by_method: dict[str, int] = field(default_factory=dict)

    def add(self, method: str) -> None:
        """Count one call."""
        self.by_method[method] = self.by_method.get(method, 0) + 1

    @property
    def total(self) -> int:
        """Return the number of calls of all methods."""
        return sum(self.by_method.values())

    @property
    def writes(self) -> int:
        """Return the number of calls that write keys or leases."""
        names = ("put", "compare_and_swap", "delete", "acquire_lease")
        return sum(self.by_method.get(name, 0) for name in names)


class MemoryStore:
    """In-memory implementation of the store contract, with faults and call counts.

    `reads_per_s` and `writes_per_s` are rate limits, 0 for none. `vm_list_lag_s` is the
    age of the VM list that reads return.
    """

    def __init__(self, reads_per_s: float = 0.0, writes_per_s: float = 0.0) -> None:
        self.faults = FaultInjector()
        self.calls = CallCounts()
        self.reads_per_s = reads_per_s
        self.writes_per_s = writes_per_s
        self.vm_list_lag_s = 0.0
        self._entries: dict[str, StoreEntry] = {}
        self._stale_entries: dict[str, StoreEntry] | None = None
        self._version = 0
        self._entries_changed = Event()
        self._leases: dict[str, _Lease] = {}
        self._epochs: dict[str, int] = {}
        self._vms: dict[str, VmRecord] = {}
        self._vm_history: deque[tuple[float, tuple[VmRecord, ...]]] = deque(maxlen=100)
        self._recent_calls: dict[bool, deque[float]] = {True: deque(), False: deque()}

    # Faults and rate limits

    def keep_stale_copy(self) -> None:
        """Save the current entries as the copy that STALE_READS answers from."""
        self._stale_entries = dict(self._entries)

    def _begin_call(self, method: str, is_write: bool) -> None:
        self.calls.add(method)
        slow = self.faults.trigger(FaultKind.SLOW)
        if slow:
            gevent.sleep(slow.delay_s)
        if self.faults.trigger(FaultKind.OUTAGE):
            raise StoreRefused("the store is out of service")
        if self.faults.trigger(FaultKind.RATE_LIMIT) or self._is_rate_exceeded(
            is_write
        ):
            raise StoreRefused("too many calls")

    def _is_rate_exceeded(self, is_write: bool) -> bool:
        calls_per_s = self.writes_per_s if is_write else self.reads_per_s
        if not calls_per_s:
            return False
        call_times = self._recent_calls[is_write]
        now_s = time.monotonic()
        while call_times and call_times[0] < now_s - RATE_WINDOW_S:
            call_times.popleft()
        if len(call_times) >= calls_per_s * RATE_WINDOW_S:
            return True
        call_times.append(now_s)
        return False

    def _end_write(self) -> None:
        if self.faults.trigger(FaultKind.LOSE_ANSWER):
            raise StoreFailed("the answer was lost")

    def _entries_for_read(self) -> dict[str, StoreEntry]:
        if self._stale_entries is not None and self.faults.trigger(
            FaultKind.STALE_READS
        ):
            return self._stale_entries
        return self._entries

    # Keys

    def get(self, key: str) -> StoreEntry | None:
        """Return the entry of a key, or None if there is none."""
        self._begin_call("get", is_write=False)
        return self._entries_for_read().get(key)

    def list_entries(self, prefix: str) -> tuple[StoreEntry, ...]:
        """Return the entries whose key starts with `prefix`, ordered by key."""
        self._begin_call("list_entries", is_write=False)
        entries = self._entries_for_read()
        return tuple(entries[key] for key in sorted(entries) if key.startswith(prefix))

    def put(self, key: str, value: bytes) -> int:
        """Write a key and return its new version."""
        self._begin_call("put", is_write=True)
        version = self._write(key, value)
        self._end_write()
        return version

    def compare_and_swap(
        self, key: str, value: bytes, expected_version: int
    ) -> SwapResult:
        """Write a key if its version is the expected one.

        ABSENT_VERSION expects that the key doesn't exist.
        """
        self._begin_call("compare_and_swap", is_write=True)
        entry = self._entries.get(key)
        version = entry.version if entry else ABSENT_VERSION
        if version != expected_version:
            return SwapResult(False, version)
        version = self._write(key, value)
        self._end_write()
        return SwapResult(True, version)

    def delete(self, key: str) -> None:
        """Delete a key."""
        self._begin_call("delete", is_write=True)
        self._entries.pop(key, None)
        self._end_write()

    def _write(self, key: str, value: bytes) -> int:
        if len(value) > VALUE_MAX_BYTES:
            raise StoreRefused(f"a value of {len(value)} bytes is too large")
        self._version += 1
        self._entries[key] = StoreEntry(key, value, self._version)
        self._entries_changed.set()
        self._entries_changed.clear()
        return self._version

    def watch(self, prefix: str, after_version: int, wait_s: float) -> WatchAnswer:
        """Return the entries below a prefix that are newer than a version.

        Waits up to `wait_s` for the first of them.
        """
        self._begin_call("watch", is_write=False)
        deadline_s = time.monotonic() + wait_s
        while True:
            entries = self._entries_after(prefix, after_version)
            remaining_s = deadline_s - time.monotonic()
            if entries or remaining_s <= 0:
                return WatchAnswer(self._version, entries)
            self._entries_changed.wait(remaining_s)
            if any(fault.kind is FaultKind.OUTAGE for fault in self.faults.armed):
                raise StoreFailed("the store went out of service during a watch")

    def _entries_after(self, prefix: str, version: int) -> tuple[StoreEntry, ...]:
        entries = []
        for key, entry in self._entries.items():
            if entry.version <= version or not key.startswith(prefix):
                continue
            entries.append(entry)
        return tuple(sorted(entries, key=lambda entry: entry.version))

    # Leases

    def acquire_lease(
        self, name: str, holder: str, ttl_s: float, note: str = ""
    ) -> LeaseRecord:
        """Acquire or renew a lease and return its record.

        A free or expired lease gets a new epoch. While another holder has it, the
        record of that holder is returned unchanged.
        """
        self._begin_call("acquire_lease", is_write=True)
        now_s = time.monotonic()
        lease = self._leases.get(name)
        if lease is None or lease.expires_at_s <= now_s:
            epoch = self._epochs.get(name, 0) + 1
            self._epochs[name] = epoch
            lease = _Lease(holder, epoch, now_s + ttl_s, note)
            self._leases[name] = lease
        elif lease.holder == holder:
            lease.expires_at_s = now_s + ttl_s
            lease.note = note
        record = self._lease_record(name, lease, now_s)
        self._end_write()
        return record

    def _lease_record(self, name: str, lease: _Lease, now_s: float) -> LeaseRecord:
        remaining_s = lease.expires_at_s - now_s
        return LeaseRecord(
            name, lease.holder, Epoch(lease.epoch), remaining_s, lease.note
        )

    def release_lease(self, name: str, holder: str) -> None:
        """Release a lease if `holder` has it."""
        self._begin_call("delete", is_write=True)
        lease = self._leases.get(name)
        if lease is not None and lease.holder == holder:
            del self._leases[name]

    def list_leases(self, prefix: str) -> tuple[LeaseRecord, ...]:
        """Return the unexpired leases whose name starts with `prefix`, by name."""
        self._begin_call("list_leases", is_write=False)
        now_s = time.monotonic()
        records = []
        for name in sorted(self._leases):
            lease = self._leases[name]
            if not name.startswith(prefix) or lease.expires_at_s <= now_s:
                continue
            records.append(self._lease_record(name, lease, now_s))
        return tuple(records)

    # VM list

    def set_vm(self, record: VmRecord) -> None:
        """Add or replace the record of a VM."""
        self._vms[record.vm] = record
        self._record_vms()

    def remove_vm(self, vm: str) -> None:
        """Remove a VM from the list, if it is there."""
        self._vms.pop(vm, None)
        self._record_vms()

    def _record_vms(self) -> None:
        self._vm_history.append((time.monotonic(), tuple(self._vms.values())))

    def list_vms(self) -> tuple[VmRecord, ...]:
        """Return the VM list as of `vm_list_lag_s` ago."""
        self._begin_call("list_vms", is_write=False)
        visible_records: tuple[VmRecord, ...] = ()
        for recorded_at_s, records in self._vm_history:
            if recorded_at_s > time.monotonic() - self.vm_list_lag_s:
                break
            visible_records = records
        return visible_records
