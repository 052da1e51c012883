"""The other routers that may bring a request to its targets."""

import random
import time
from collections import defaultdict
from collections.abc import Collection, Iterator, Set
from dataclasses import dataclass, field

from chervilstall.edge.in_turn import in_turn
from chervilstall.edge.missing import MissingEntries
from chervilstall.ids import VmId, ZoneName
from chervilstall.platform.handlers import FullRead
from chervilstall.platform.kv import Entry
from chervilstall.platform.peers import Peer, decode_peer, peer_key
from chervilstall.settings.node import NodeSettings
from chervilstall.settings.option import Address
from chervilstall.telemetry.events import EventLog

log = EventLog("members")


@dataclass
class PeerDirectory:
    """Knows the registered routers, and which of them could not be reached lately.

    A router whose entry is gone is known for a while longer, as its lease may have
    ended with all others. `generation` grows with every change of those known.
    """

    vm: VmId
    zone: ZoneName
    generation: int = 0
    _peers: dict[str, Peer] = field(default_factory=dict)
    _missing: MissingEntries = field(init=False)
    _avoided_until_s: dict[VmId, float] = field(default_factory=dict)
    _by_zone: dict[ZoneName, list[Peer]] = field(default_factory=dict)
    _zones_generation: int = -1

    def __post_init__(self) -> None:
        self._missing = MissingEntries(self._drop)

    def handle_entry(self, entry: Entry) -> None:
        """Apply a changed or deleted entry below `PEERS_PREFIX`."""
        if entry.value is None:
            self._missing.add({entry.key})
            return
        self.generation += 1
        self._missing.discard(entry.key)
        peer = decode_peer(entry.key, entry.value)
        if peer is None:
            log.warning("entry of a router not readable", key=entry.key)
            return
        if peer.vm != self.vm:
            self._peers[entry.key] = peer

    def handle_full_read(self, full_read: FullRead) -> None:
        """Note the routers that a full read of the store did not return."""
        self._missing.add(self._peers.keys() - set(full_read.keys))

    def _drop(self, keys: Set[str]) -> None:
        self.generation += 1
        for key in keys:
            self._peers.pop(key, None)

    @property
    def peers(self) -> Collection[Peer]:
        """Return the other routers that are registered."""
        return self._peers.values()

    def get(self, vm: VmId) -> Peer | None:
        """Return a registered router."""
        return self._peers.get(peer_key(vm))

    def draw_in_turn(self, zone_max: int) -> Iterator[Peer]:
        """Return routers of all zones in turn, at most `zone_max` drawn of each."""
        if self._zones_generation != self.generation:
            self._zones_generation = self.generation
            self._by_zone = defaultdict(list)
            for peer in self._peers.values():
                self._by_zone[peer.zone].append(peer)
        drawn = [
            random.sample(peers, min(zone_max, len(peers)))
            for peers in self._by_zone.values()
        ]
        random.shuffle(drawn)
        return in_turn(drawn)

    def is_usable(self, peer: Peer) -> bool:
        """Return whether a router was not found to be gone lately."""
        return self._avoided_until_s.get(peer.vm, 0.0) <= time.monotonic()

    def avoid(self, peer: Peer, for_s: float) -> None:
        """Don't use a router for a time, as it could not be reached."""
        self._avoided_until_s[peer.vm] = time.monotonic() + for_s


def describe_own(settings: NodeSettings, address: Address) -> Peer:
    """Return what the other routers are told of the router with these settings.

    `address` is the one at which it takes forwarded requests, on its first internal
    port. It relays changes on the next one and reports its load on the one after that,
    if it has them.
    """
    return Peer(
        settings.vm,
        settings.zone,
        address,
        _internal_address(settings, 1),
        settings.link_mbps,
        _internal_address(settings, 2),
    )


def _internal_address(settings: NodeSettings, number: int) -> Address | None:
    """Return the address on an internal port, counted from 0, if there is one."""
    if not settings.ports or settings.ports[0] + number > settings.ports[-1]:
        return None
    return Address(settings.host, settings.ports[0] + number)
