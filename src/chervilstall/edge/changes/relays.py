"""Which routers watch the store and relay its changes to the others of their zone.

All routers of a zone know the same registered routers and choose the same relays, so
nothing has to be agreed on. A router whose view differs for a moment asks one that
refuses, or watches the store itself.
"""

import math
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from chervilstall.edge.peers.directory import PeerDirectory
from chervilstall.ids import VmId, ZoneName
from chervilstall.platform.peers import Peer
from chervilstall.rendezvous import rendezvous_score

ROUTERS_MIN = 12
"""Routers of a zone from which on relays save the store calls."""

RELAYS_MIN = 2
ROUTERS_PER_RELAY = 32


@dataclass
class RelayChoice:
    """Chooses the relays of the own zone, and the one that this router asks.

    `own` is this router's entry, once it is registered. Those with the fastest links
    relay, since a relay sends each change many times.
    """

    directory: PeerDirectory
    own: Peer | None = None
    _relays: list[Peer] = field(default_factory=list)
    _watcher_count: int = 1
    _generation: int = -1
    _avoided_until_s: dict[VmId, float] = field(default_factory=dict)

    @property
    def is_relay(self) -> bool:
        """Return whether this router relays changes to others."""
        self._update()
        return self.own is not None and self.own in self._relays

    @property
    def has_relays(self) -> bool:
        """Return whether others relay changes to this router."""
        self._update()
        return bool(self._relays) and self.own not in self._relays

    @property
    def watcher_count(self) -> int:
        """Return how many routers of all zones may watch the store at the same time.

        A router that watches although its zone has relays can't reach them, and others
        may be in the same situation.
        """
        if self.has_relays:
            return len(self.directory.peers) + 1
        return self._watcher_count

    def choose(self) -> Peer | None:
        """Return the relay to ask, or None if this router watches the store itself."""
        self._update()
        if self.own is None or self.own in self._relays:
            return None
        now_s = time.monotonic()
        reachable = [
            relay
            for relay in self._relays
            if self._avoided_until_s.get(relay.vm, 0.0) <= now_s
        ]
        vm = self.own.vm
        return max(
            reachable, key=lambda relay: rendezvous_score(vm, relay.vm), default=None
        )

    def avoid(self, relay: Peer, for_s: float) -> None:
        """Don't ask a relay for a time."""
        self._avoided_until_s[relay.vm] = time.monotonic() + for_s

    def _update(self) -> None:
        if self._generation == self.directory.generation or self.own is None:
            return
        self._generation = self.directory.generation
        routers = [self.own, *self.directory.peers]
        zone = [router for router in routers if router.zone == self.own.zone]
        self._relays = choose_relays(zone)
        self._watcher_count = count_watchers(routers)


def choose_relays(routers: Iterable[Peer]) -> list[Peer]:
    """Return the relays among the routers of one zone; none if they are few."""
    able = [router for router in routers if router.relay_address is not None]
    return sorted(able, key=_rank)[: _relay_count(len(able))]


def count_watchers(routers: Iterable[Peer]) -> int:
    """Return how many routers watch the store themselves, over all zones."""
    unable_count = 0
    able_counts: Counter[ZoneName] = Counter()
    for router in routers:
        if router.relay_address is None:
            unable_count += 1
            continue
        able_counts[router.zone] += 1
    watching = (_relay_count(count) or count for count in able_counts.values())
    return unable_count + sum(watching)


def _relay_count(router_count: int) -> int:
    if router_count < ROUTERS_MIN:
        return 0
    return max(RELAYS_MIN, math.ceil(router_count / ROUTERS_PER_RELAY))


def _rank(router: Peer) -> tuple[float, int]:
    return (-router.link_mbps, rendezvous_score(router.zone, router.vm))
