"""Registration of this router in the store, and the number of routers that run.

Each router divides limits that hold for the whole fleet by that number.
"""

import random
import time
from collections.abc import Set
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from chervilstall.edge.limits.budget import FleetRetryBudget
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.missing import MissingEntries
from chervilstall.edge.standby import PlannerStandby
from chervilstall.fleet.suspicion import SuspicionKind
from chervilstall.fleet.view import FleetView
from chervilstall.ids import VmId, ZoneName
from chervilstall.paths.choice import PathChooser
from chervilstall.placement.planner import PlacementPlanner
from chervilstall.platform import protocol
from chervilstall.platform.handlers import FullRead
from chervilstall.platform.kv import (
    Entry,
    Lease,
    LeaseEnded,
    PlatformStore,
)
from chervilstall.platform.peers import Peer, encode_peer, peer_key
from chervilstall.platform.suspicions import (
    SharedSuspicion,
    decode_suspicion,
    encode_suspicion,
)
from chervilstall.store.contract import StoreFailed
from chervilstall.telemetry.events import EventLog

log = EventLog("members")

ROUTERS_PREFIX = protocol.ROUTER_KEYS_PREFIX + "routers/"
SUSPICIONS_PREFIX = protocol.ROUTER_KEYS_PREFIX + "suspects/"
LEASE_TTL_S = 60.0
"""A dead router is counted until its lease ends, which only makes shares smaller."""

RENEW_INTERVAL_S = 20.0
RETRY_DELAY_S = 2.0
REGISTRATION_SPREAD_S = 1.0
"""Time over which all routers register again, so that they don't call at one moment."""

ROUTERS_ASSUMED = 2100
"""Number of routers assumed until it is known: the size to design for.

Too high a number is safe.
"""


@dataclass
class RouterRegistry:
    """Registers this router under a lease and counts all registered routers.

    A router whose entry is gone counts for a while: its lease may have ended with all
    others, in an outage of the store or as that came back from an earlier copy. A
    router whose own entry is gone registers again. Routers also share suspicions of
    targets through the store, so that a target that one router found dead is known to
    the planner and to every router. `peer` says where this router takes requests from
    other routers, if it does.
    """

    vm: VmId
    zone: ZoneName
    store: PlatformStore
    fleet_view: FleetView
    budget: FleetRetryBudget
    chooser: PathChooser
    planner: PlacementPlanner
    rate_limiter: TargetRateLimiter
    peer: Peer | None = None
    standby: PlannerStandby = field(init=False)
    _router_zones: dict[str, ZoneName] = field(default_factory=dict)
    _missing: MissingEntries = field(init=False)
    _lease: Lease | None = None
    _registered_revision: int = 0
    _wake_requested: Event = field(default_factory=Event)

    def __post_init__(self) -> None:
        self._missing = MissingEntries(self._drop_routers)
        self.standby = PlannerStandby(
            self.planner.lease, self.vm, lambda: self.rate_limiter.routers
        )

    def run(self) -> None:
        """Register, and renew the lease until the process ends; one task runs this."""
        while True:
            try:
                self._renew_or_register()
                self._wake_requested.wait(RENEW_INTERVAL_S * random.uniform(0.9, 1.1))
                self._wake_requested.clear()
            except StoreFailed as error:
                log.warning("not registered", why=error.message)
                gevent.sleep(RETRY_DELAY_S * random.uniform(0.7, 1.3))

    def _renew_or_register(self) -> None:
        if self._lease is not None:
            try:
                self.store.renew_lease(self._lease)
                return
            except LeaseEnded:
                self._lease = None
        lease = self.store.open_lease(LEASE_TTL_S)
        values = {self.key: self.zone.encode()}
        if self.peer is not None:
            values[peer_key(self.vm)] = encode_peer(self.peer)
        self._registered_revision = self.store.write_all(values, lease.lease_id)
        self._lease = lease

    def handle_new_era(self) -> None:
        """Register again, as the store came back from an earlier copy."""
        self._registered_revision = 0
        self._register_again()

    def _handle_own_gone(self, revision: int) -> None:
        """Register again if the own entry was gone after it had been written."""
        if self._lease and revision > self._registered_revision:
            self._register_again()

    def _register_again(self) -> None:
        self._lease = None
        delay_s = random.uniform(0.0, REGISTRATION_SPREAD_S)
        gevent.spawn_later(delay_s, self._wake_requested.set)

    @property
    def key(self) -> str:
        """Return the store key under which this router is registered."""
        return ROUTERS_PREFIX + self.vm

    def handle_entry(self, entry: Entry) -> None:
        """Apply a changed or deleted entry below `ROUTER_KEYS_PREFIX`."""
        if entry.key.startswith(ROUTERS_PREFIX):
            self._apply_router(entry)
        elif entry.key == self.standby.key:
            self.standby.handle_entry(entry)
        elif entry.key.startswith(SUSPICIONS_PREFIX) and entry.value is not None:
            self._apply_suspicion(entry.value)

    def _apply_router(self, entry: Entry) -> None:
        if entry.value is None:
            self._missing.add({entry.key})
            if entry.key == self.key:
                self._handle_own_gone(entry.revision)
            return
        self._missing.discard(entry.key)
        zone = ZoneName(entry.value.decode("utf-8", "replace"))
        self._router_zones[entry.key] = zone
        self._update_routers()

    def handle_full_read(self, full_read: FullRead) -> None:
        """Note the routers missing from a full listing below `ROUTER_KEYS_PREFIX`."""
        present = set(full_read.keys)
        self._missing.add(self._router_zones.keys() - present)
        self._update_routers()
        if self.key not in present:
            self._handle_own_gone(full_read.revision)
        self.standby.handle_full_read(present)

    def _drop_routers(self, keys: Set[str]) -> None:
        for key in keys:
            self._router_zones.pop(key, None)
        self._update_routers()

    def _update_routers(self) -> None:
        self.rate_limiter.routers = {
            VmId(key.removeprefix(ROUTERS_PREFIX)): zone
            for key, zone in self._router_zones.items()
        }
        router_count = max(1, len(self._router_zones))
        self.budget.router_count = router_count
        self.chooser.router_count = router_count
        zones = list(self._router_zones.values())
        self.chooser.zone_routers = zones.count(self.zone)
        self.standby.update_interval()

    def _apply_suspicion(self, content: bytes) -> None:
        suspicion = decode_suspicion(content)
        if suspicion is None or suspicion.reporter == self.vm:
            return
        target = self.fleet_view.targets.get(suspicion.target)
        if target is None or target.started_at_ms != suspicion.started_at_ms:
            return
        self.planner.handle_suspicion(target, suspicion.doubt)
        if suspicion.zone == self.zone or suspicion.doubt is SuspicionKind.REFUSING:
            # To a router in another zone, a broken link looks like a dead target.
            reason = f"reported by {suspicion.reporter}"
            self.fleet_view.suspect(target, reason, shared=False, kind=suspicion.doubt)

    def write(self, key: str, value: bytes) -> None:
        """Write a key for the other routers that lives as long as this router's lease.

        Raises StoreFailed.
        """
        lease = self._lease.lease_id if self._lease is not None else 0
        self.store.write(key, value, None, lease)

    def share_suspicion(self, suspicion: SharedSuspicion) -> None:
        """Share a suspicion with the other routers; a failure is only logged."""
        key = SUSPICIONS_PREFIX + suspicion.target
        started_at_s = time.monotonic()
        try:
            self.write(key, encode_suspicion(suspicion))
        except StoreFailed as error:
            log.warning(
                "suspicion not shared",
                target=suspicion.target,
                why=error.message,
                after_s=round(time.monotonic() - started_at_s, 2),
            )
