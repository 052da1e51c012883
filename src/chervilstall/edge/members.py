"""How many routers run, so that each can take its share of what all may do."""

import random
import time
from dataclasses import dataclass, field

import gevent

from chervilstall.edge.budget import FleetRetryBudget
from chervilstall.fleet.view import FleetView, SuspicionKind
from chervilstall.ids import VmId, ZoneName
from chervilstall.paths.choice import PathChooser
from chervilstall.placement.planner import PlacementPlanner
from chervilstall.platform import protocol
from chervilstall.platform.kv import (
    Entry,
    Lease,
    LeaseEnded,
    PlatformStore,
)
from chervilstall.platform.leases import lease_key
from chervilstall.platform.suspicions import (
    SharedSuspicion,
    decode_suspicion,
    encode_suspicion,
)
from chervilstall.platform.watcher import StoreWatcher
from chervilstall.store.contract import StoreFailed
from chervilstall.telemetry.events import EventLog

log = EventLog("members")

MEMBERS_PREFIX = protocol.ROUTER_KEYS_PREFIX + "routers/"
SUSPECTS_PREFIX = protocol.ROUTER_KEYS_PREFIX + "suspects/"
LEASE_S = 60.0
"""A router that died counts for so long, which only makes shares smaller."""

RENEW_S = 20.0
RETRY_S = 2.0
ROUTERS_UNKNOWN = 16
"""Assumed number of routers until it is known; too many is the safe side."""


@dataclass
class Members:
    """Registers this router and counts the others.

    The number used never shrinks faster than the leases of routers end. Suspicions of
    targets are shared the same way, so that the planner and every router know of a
    dead target that one router has found.
    """

    vm: VmId
    zone: ZoneName
    store: PlatformStore
    fleet_view: FleetView
    budget: FleetRetryBudget
    chooser: PathChooser
    planner: PlacementPlanner
    store_watcher: StoreWatcher | None = None
    _present: set[str] = field(default_factory=set)
    _lease: Lease | None = None

    def run(self) -> None:
        """Register and renew for the life of the process; one task runs this."""
        while True:
            try:
                self._step()
                gevent.sleep(RENEW_S * random.uniform(0.9, 1.1))
            except StoreFailed as error:
                log.warning("not registered", why=error.message)
                gevent.sleep(RETRY_S * random.uniform(0.7, 1.3))

    def _step(self) -> None:
        if self._lease is not None:
            try:
                self.store.renew_lease(self._lease)
                return
            except LeaseEnded:
                self._lease = None
        lease = self.store.open_lease(LEASE_S)
        self.store.write(self.key, b"", None, lease.lease_id)
        self._lease = lease

    @property
    def key(self) -> str:
        """Return the key under which this router is registered."""
        return MEMBERS_PREFIX + self.vm

    def take(self, entry: Entry) -> None:
        """Take in a change below the product's own prefix."""
        if entry.key.startswith(MEMBERS_PREFIX):
            if entry.value is None:
                self._present.discard(entry.key)
            else:
                self._present.add(entry.key)
            self._count()
        elif entry.key == lease_key(self.planner.lease.name) and entry.value is None:
            self.planner.lease.wake()
        elif entry.key.startswith(SUSPECTS_PREFIX) and entry.value is not None:
            self._doubt(entry.value)

    def take_all(self, keys: list[str]) -> None:
        """Take in a whole reading of the product's own prefix."""
        self._present &= set(keys)
        self._count()

    def _count(self) -> None:
        routers = max(1, len(self._present))
        self.budget.router_count = routers
        self.chooser.router_count = routers
        if self.store_watcher is not None:
            self.store_watcher.set_router_count(len(self._present))

    def _doubt(self, content: bytes) -> None:
        suspect = decode_suspicion(content)
        if suspect is None or suspect.reporter == self.vm:
            return
        target = self.fleet_view.targets.get(suspect.target)
        if target is None or target.started_at_ms != suspect.started_at_ms:
            return
        self.planner.handle_suspicion(target, suspect.doubt)
        if suspect.zone == self.zone or suspect.doubt is SuspicionKind.REFUSING:
            # Seen from another zone, a broken link looks like a dead target.
            reason = f"reported by {suspect.reporter}"
            self.fleet_view.suspect(target, reason, shared=False, kind=suspect.doubt)

    def share(self, suspect: SharedSuspicion) -> None:
        """Share a suspicion with the other routers; failure is only logged."""
        key = SUSPECTS_PREFIX + suspect.target
        lease = self._lease.lease_id if self._lease is not None else 0
        started_s = time.monotonic()
        try:
            self.store.write(key, encode_suspicion(suspect), None, lease)
        except StoreFailed as error:
            log.warning(
                "suspicion not shared",
                target=suspect.target,
                why=error.message,
                after_s=round(time.monotonic() - started_s, 2),
            )
