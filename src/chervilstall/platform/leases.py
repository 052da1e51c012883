"""Named leases, implemented by a store key that is bound to a store lease."""

from dataclasses import dataclass, field

from chervilstall.ids import Epoch
from chervilstall.platform import protocol
from chervilstall.platform.kv import Lease, LeaseEnded, PlatformStore
from chervilstall.store.contract import LeaseRecord

ERA_EPOCHS = 2**40
"""Epochs of one era of the store: more than it has revisions, and with thousands of
eras still exact as a JSON number."""

LEASE_KEYS_PREFIX = protocol.ROUTER_KEYS_PREFIX + "leases/"


def lease_key(name: str) -> str:
    """Return the store key of a named lease."""
    return LEASE_KEYS_PREFIX + name


@dataclass(frozen=True)
class _Held:
    lease: Lease
    epoch: Epoch


@dataclass
class PlatformLeases:
    """Named leases whose epoch grows with each acquisition.

    It is made of the era of the store and the revision of the write that acquired the
    lease, since revisions go back when the store comes back from an earlier copy.
    """

    store: PlatformStore
    _held: dict[str, _Held] = field(default_factory=dict)

    def forget_leases(self) -> None:
        """Forget the leases of an earlier era; their ids may be given out again."""
        self._held.clear()

    def _epoch(self, revision: int) -> Epoch:
        return Epoch(self.store.era * ERA_EPOCHS + revision)

    def acquire_lease(
        self, name: str, holder: str, ttl_s: float, note: str = ""
    ) -> LeaseRecord:
        """Acquire or renew a lease, or return the record of its present holder.

        Raises StoreFailed; a lease whose renewal failed that way still counts as held.
        """
        held = self._held.get(name)
        if held is not None:
            try:
                self.store.renew_lease(held.lease)
                return LeaseRecord(name, holder, held.epoch, held.lease.ttl_s, note)
            except LeaseEnded:
                del self._held[name]
        entry = self.store.get(lease_key(name))
        if entry is not None and entry.value is not None:
            owner = entry.value.decode("utf-8", "replace")
            if owner == holder:
                # The key of a lease that was forgotten; it is never renewed.
                owner = ""
            return LeaseRecord(name, owner, self._epoch(entry.revision), ttl_s / 2.0)
        lease = self.store.open_lease(ttl_s)
        revision = self.store.write(lease_key(name), holder.encode(), 0, lease.lease_id)
        if revision is None:
            self.store.end_lease(lease)
            return LeaseRecord(name, "", Epoch(0), ttl_s / 2.0)
        epoch = self._epoch(revision)
        self._held[name] = _Held(lease, epoch)
        return LeaseRecord(name, holder, epoch, lease.ttl_s, note)

    def release_lease(self, name: str, holder: str) -> None:
        """Release a lease. It is not an error if it isn't held here."""
        held = self._held.pop(name, None)
        if held is not None:
            self.store.end_lease(held.lease)
