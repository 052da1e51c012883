"""Which routers of a zone report to each other, and how often.

Every router of a zone orders the registered ones in the same ring and exchanges reports
with the nearest ones on both sides, so that each has as many listeners as it has
routers to listen to, and nothing has to be agreed on.
"""

from collections.abc import Iterable

from chervilstall.ids import VmId
from chervilstall.platform.peers import Peer
from chervilstall.rendezvous import rendezvous_score

BYTES_PER_S_MAX = 10_700.0
"""Bytes that a router may send and receive a second for reports.

With those for the sums of zones, they stay below the 14 KB/s allowed to a router.
"""

NEIGHBOURS_MAX = 20
NEIGHBOURS_MIN = 4
"""Least neighbours: with five routers' figures the error of an estimate for the whole
zone is below half of that from one router's figures."""

TARGETS_FOR_NEIGHBOURS = 4_200
"""Targets of a zone times neighbours for which a router's bytes last, see
`docs/CAPACITY.md`."""

INTERVAL_MIN_S = 0.25
INTERVAL_MAX_S = 1.4
"""Longest time between two reports; a report that is not replaced expires later."""


def neighbour_limit(zone_targets: int) -> int:
    """Return the number of routers to exchange reports with, an even number."""
    affordable = TARGETS_FOR_NEIGHBOURS // max(1, zone_targets) // 2 * 2
    return min(NEIGHBOURS_MAX, max(NEIGHBOURS_MIN, affordable))


def choose_neighbours(own: Peer, peers: Iterable[Peer], limit: int) -> dict[VmId, Peer]:
    """Return the routers that this one exchanges reports with.

    Where a zone has no more than `limit` others, these are all of them.
    """
    zone = [peer for peer in peers if peer.zone == own.zone and peer.vm != own.vm]
    able = [peer for peer in zone if peer.loads_address is not None]
    if len(able) <= limit:
        return {peer.vm: peer for peer in able}
    ring = sorted([own, *able], key=lambda peer: rendezvous_score("loads", peer.vm))
    position = ring.index(own)
    steps = [*range(-(limit // 2), 0), *range(1, limit // 2 + 1)]
    chosen = [ring[(position + step) % len(ring)] for step in steps]
    return {peer.vm: peer for peer in chosen}


def interval_s(neighbours: int, message_bytes: float) -> float:
    """Return the time between two reports of a router.

    Each neighbour is sent a message of that mean size, and sends one of about the same
    size.
    """
    seconds = 2 * neighbours * message_bytes / BYTES_PER_S_MAX
    return min(INTERVAL_MAX_S, max(INTERVAL_MIN_S, seconds))
