"""When a router tries to acquire the planner's lease.

All routers learn at the same moment that the lease is free. They try one after the
other, and those that learn meanwhile that it is held again don't call the store.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass

import gevent

from chervilstall.ids import VmId
from chervilstall.lease.holder import LeaseHolder
from chervilstall.platform.kv import Entry
from chervilstall.platform.leases import lease_key
from chervilstall.rendezvous import rendezvous_score

TURN_S = 0.25
"""Time between the attempts of two routers, in which the first one's is heard of."""

TURNS_MAX = 40
CHECK_INTERVAL_S = 10.0
ROUTERS_PER_INTERVAL = 8
"""Routers from which on each of them checks a lease held by another less often."""


@dataclass
class PlannerStandby:
    """Follows the key of a lease, and wakes its holder when it is this router's turn.

    `routers` returns the registered routers.
    """

    lease: LeaseHolder
    vm: VmId
    routers: Callable[[], Collection[VmId]]
    _is_held: bool = False

    @property
    def key(self) -> str:
        """Return the store key of the lease."""
        return lease_key(self.lease.name)

    def handle_entry(self, entry: Entry) -> None:
        """Apply a change of the lease's key."""
        self._update(entry.value is not None)

    def handle_full_read(self, keys: Collection[str]) -> None:
        """Take from a full read whether the lease is held."""
        self._update(self.key in keys)

    def update_interval(self) -> None:
        """Set how often a lease that is held is checked, whatever the store told."""
        share = max(1.0, len(self.routers()) / ROUTERS_PER_INTERVAL)
        self.lease.standby_interval_s = CHECK_INTERVAL_S * share

    def _update(self, is_held: bool) -> None:
        self._is_held = is_held
        if not is_held:
            gevent.spawn_later(self._turn() * TURN_S, self._try)

    def _turn(self) -> int:
        own_score = rendezvous_score(self.lease.name, self.vm)
        ahead = [
            vm
            for vm in self.routers()
            if rendezvous_score(self.lease.name, vm) > own_score
        ]
        return min(len(ahead), TURNS_MAX)

    def _try(self) -> None:
        if not self._is_held:
            self.lease.wake()
