"""Interfaces of the platform's store and VM list.

The store assigns each write a version from one increasing sequence. Each call counts
against the store's rate limits; a watch counts as one call however long it waits.
Values hold at most `VALUE_MAX_BYTES`.
"""

from enum import Enum
from typing import Annotated, Protocol

import msgspec

from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import Epoch, VmId, ZoneName
from chervilstall.settings.option import MAX_PORT

VALUE_MAX_BYTES = 1_000_000
ABSENT_VERSION = 0


class StoreFailed(ChervilstallError):
    """A store call failed, and it is not known whether a write took effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.STORE_UNAVAILABLE, message)


class StoreRefused(StoreFailed):
    """A store call failed and was certainly not executed."""


class ResponseTooLarge(StoreFailed):
    """The response was larger than wanted; it was not read."""


class StoreEntry(msgspec.Struct, frozen=True):
    """A key's value and the version of the write that set it."""

    key: str
    value: bytes
    version: int


class SwapResult(msgspec.Struct, frozen=True):
    """Whether a compare-and-swap wrote, and the version of the key after it."""

    is_swapped: bool
    version: int


class WatchAnswer(msgspec.Struct, frozen=True):
    """Entries written after the requested version, and the store's present version."""

    version: int
    entries: tuple[StoreEntry, ...]


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as recorded in the store. `epoch` increases with every new holder."""

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
    """A VM in the platform's list, which lags behind."""

    vm: VmId
    zone: ZoneName
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
    state: VmState = VmState.LIVE


class LeaseStore(Protocol):
    """The lease operations of a store. Every method may raise StoreFailed."""

    def acquire_lease(
        self, name: str, holder: str, ttl_s: float, note: str = ""
    ) -> LeaseRecord:
        """Acquire or renew a lease, or return the record of its present holder."""

    def release_lease(self, name: str, holder: str) -> None:
        """Release a lease. It is not an error if `holder` doesn't hold it."""


class Store(LeaseStore, Protocol):
    """The platform's key-value store. Every method may raise StoreFailed."""

    def get(self, key: str) -> StoreEntry | None:
        """Return a key's entry, or None if it is absent."""

    def list_entries(self, prefix: str) -> tuple[StoreEntry, ...]:
        """Return the entries whose keys start with a prefix, ordered by key."""

    def put(self, key: str, value: bytes) -> int:
        """Write a key and return its new version."""

    def compare_and_swap(
        self, key: str, value: bytes, expected_version: int
    ) -> SwapResult:
        """Write a key if its version is the expected one; 0 expects absence."""

    def delete(self, key: str) -> None:
        """Delete a key. It is not an error if the key is absent."""

    def watch(self, prefix: str, after_version: int, wait_s: float) -> WatchAnswer:
        """Return entries above a version, waiting up to `wait_s` for the first."""

    def list_leases(self, prefix: str) -> tuple[LeaseRecord, ...]:
        """Return the unexpired leases whose names start with a prefix."""


class VmList(Protocol):
    """The platform's list of live and leaving VMs, which lags behind."""

    def list_vms(self) -> tuple[VmRecord, ...]:
        """Return the VMs as of some time ago. May raise StoreFailed."""
