"""The contract of the platform's store and VM list.

The store gives every write a version from one increasing sequence. Each call counts
against its rates, a waiting watch as one. Values hold at most `VALUE_MAX_BYTES`.
"""

from enum import Enum
from typing import Protocol

import msgspec

from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import Epoch, VmId, ZoneName

VALUE_MAX_BYTES = 1_000_000
ABSENT_VERSION = 0


class StoreFailed(ChervilstallError):
    """A store call failed; whether a write took effect is not known."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.STORE_UNAVAILABLE, message)


class StoreRefused(StoreFailed):
    """The store refused a call before doing anything."""


class StoreEntry(msgspec.Struct, frozen=True):
    """A key's value and the version of the write that made it."""

    key: str
    value: bytes
    version: int


class SwapResult(msgspec.Struct, frozen=True):
    """Result of a compare-and-swap: the key's version after it, and who won."""

    is_swapped: bool
    version: int


class WatchAnswer(msgspec.Struct, frozen=True):
    """Entries of a prefix written above the asked version, and the store's version."""

    version: int
    entries: tuple[StoreEntry, ...]


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as the store knows it. `epoch` grows with every new holder."""

    name: str
    holder: str
    epoch: Epoch
    remaining_s: float
    note: str = ""


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRecord(msgspec.Struct, frozen=True):
    """A VM of the system as the platform's lagging list shows it."""

    vm: VmId
    zone: ZoneName
    host: str
    port: int
    state: VmState = VmState.LIVE


class LeaseStore(Protocol):
    """What a lease holder needs of a store. Every method raises StoreFailed."""

    def acquire_lease(
        self, name: str, holder: str, ttl_s: float, note: str = ""
    ) -> LeaseRecord:
        """Take or renew a lease, or return the record of its live holder."""

    def release_lease(self, name: str, holder: str) -> None:
        """Give a lease up; it is not an error not to hold it."""


class Store(LeaseStore, Protocol):
    """The platform's key-value store. Every method raises StoreFailed."""

    def get(self, key: str) -> StoreEntry | None:
        """Return a key's entry, or None where it is absent."""

    def list_entries(self, prefix: str) -> tuple[StoreEntry, ...]:
        """Return the entries below a prefix, ordered by key."""

    def put(self, key: str, value: bytes) -> int:
        """Write a key and return the version."""

    def compare_and_swap(
        self, key: str, value: bytes, expected_version: int
    ) -> SwapResult:
        """Write a key if its version is the expected one; 0 expects absence."""

    def delete(self, key: str) -> None:
        """Delete a key; absence is not an error."""

    def watch(self, prefix: str, after_version: int, wait_s: float) -> WatchAnswer:
        """Return entries above a version, waiting up to `wait_s` for the first."""

    def list_leases(self, prefix: str) -> tuple[LeaseRecord, ...]:
        """Return the live leases below a prefix."""


class VmList(Protocol):
    """The platform's list of live and leaving VMs; it lags."""

    def list_vms(self) -> tuple[VmRecord, ...]:
        """Return the VMs as of some time ago. Raises StoreFailed."""
