"""Registration of this router in the store, and the number of routers that run.

Each router divides limits that hold for the whole fleet by that number.
"""

import random
import time
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from chervilstall.edge.limits.budget import FleetRetryBudget
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.standby import PlannerStandby
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.suspicion import SuspicionKind
from chervilstall.fleet.view import FleetView
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
REGISTRATION_WAIT_S = 5.0
"""Time in which all routers register again after the store has lost their leases."""

ROUTERS_ASSUMED = 2100
"""Number of routers assumed until it is known: the size to design for.

Too high a number is safe.
"""


@dataclass
class RouterRegistry:
    """Registers this router under a lease and counts all registered routers.

    The count never falls faster than the leases of routers expire. Routers also share
    suspicions of targets through the store, so that a target that one router found dead
    is known to the planner and to every router. `peer` says where this router takes
    requests from other routers, if it does.
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
    _lease: Lease | None = None
    _wake_requested: Event = field(default_factory=Event)
    _missing_kept_until_s: float = float("-inf")

    def __post_init__(self) -> None:
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
        self.store.write_all(values, lease.lease_id)
        self._lease = lease

    def handle_new_era(self) -> None:
        """Register again, as the store came back from an earlier copy without leases.

        Until the other routers have done the same, those that are missing still count.
        """
        self._lease = None
        self._missing_kept_until_s = time.monotonic() + REGISTRATION_WAIT_S
        gevent.spawn_later(REGISTRATION_WAIT_S * 1.1, self._drop_missing)
        self._wake_requested.set()

    def _drop_missing(self) -> None:
        try:
            batch = self.store.list_entries(ROUTERS_PREFIX)
        except StoreFailed as error:
            # Counting too many routers is safe; the next full listing corrects it.
            log.warning("routers not listed", why=error.message)
            return
        retain_keys(self._router_zones, {entry.key for entry in batch.entries})
        self._update_routers()

    @property
    def key(self) -> str:
        """Return the store key under which this router is registered."""
        return ROUTERS_PREFIX + self.vm

    def handle_entry(self, entry: Entry) -> None:
        """Apply a changed or deleted entry below `ROUTER_KEYS_PREFIX`."""
        if entry.key.startswith(ROUTERS_PREFIX):
            if entry.value is None:
                if time.monotonic() >= self._missing_kept_until_s:
                    self._router_zones.pop(entry.key, None)
            else:
                zone = ZoneName(entry.value.decode("utf-8", "replace"))
                self._router_zones[entry.key] = zone
            self._update_routers()
        elif entry.key == self.standby.key:
            self.standby.handle_entry(entry)
        elif entry.key.startswith(SUSPICIONS_PREFIX) and entry.value is not None:
            self._apply_suspicion(entry.value)

    def handle_full_read(self, keys: list[str]) -> None:
        """Drop routers missing from a full listing below `ROUTER_KEYS_PREFIX`."""
        if time.monotonic() >= self._missing_kept_until_s:
            retain_keys(self._router_zones, set(keys))
            self._update_routers()
        self.standby.handle_full_read(keys)

    def _update_routers(self) -> None:
        self.rate_limiter.routers = {
            VmId(key.removeprefix(ROUTERS_PREFIX)): zone
            for key, zone in self._router_zones.items()
        }
        router_count = max(1, len(self._router_zones))
        self.budget.router_count = router_count
        self.chooser.router_count = router_count
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
