"""Named leases on top of the store's own: a key that lives as long as a lease."""

from dataclasses import dataclass, field

from chervilstall.ids import Epoch
from chervilstall.platform import protocol
from chervilstall.platform.kv import Lease, LeaseEnded, PlatformStore
from chervilstall.store.contract import LeaseRecord

PREFIX = protocol.ROUTER_KEYS_PREFIX + "leases/"


def lease_key(name: str) -> str:
    """Return the key that lives as long as a lease."""
    return PREFIX + name


@dataclass(frozen=True)
class _Held:
    lease: Lease
    epoch: Epoch


@dataclass
class PlatformLeases:
    """Leases whose epoch is the revision of the write that took them."""

    store: PlatformStore
    _held: dict[str, _Held] = field(default_factory=dict)

    def acquire_lease(
        self, name: str, holder: str, ttl_s: float, note: str = ""
    ) -> LeaseRecord:
        """Take or renew a lease, or return the record of its live holder.

        Raises StoreFailed. A renewal that is lost leaves the lease as it was.
        """
        held = self._held.get(name)
        if held is not None:
            try:
                self.store.renew_lease(held.lease)
                return LeaseRecord(name, holder, held.epoch, held.lease.ttl_s, note)
            except LeaseEnded:
                del self._held[name]
        present = self.store.get(lease_key(name))
        if present is not None and present.value is not None:
            return LeaseRecord(
                name, present.value.decode(), Epoch(present.revision), ttl_s / 2.0
            )
        lease = self.store.open_lease(ttl_s)
        revision = self.store.write(lease_key(name), holder.encode(), 0, lease.lease_id)
        if revision is None:
            self.store.end_lease(lease)
            return LeaseRecord(name, "", Epoch(0), ttl_s / 2.0)
        self._held[name] = _Held(lease, Epoch(revision))
        return LeaseRecord(name, holder, Epoch(revision), lease.ttl_s, note)

    def release_lease(self, name: str, holder: str) -> None:
        """Give a lease up; it is not an error not to hold it."""
        held = self._held.pop(name, None)
        if held is not None:
            self.store.end_lease(held.lease)
