"""Sums of the load of whole zones, told to routers of other zones.

Each router listens to one router of each other zone. The routers of two zones are
paired in the order of their rings, so that each has about one listener a zone.
"""

import random
import time
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from chervilstall.edge.loads.keys import TargetKeys, target_key
from chervilstall.edge.loads.messages import (
    FIGURE_MAX,
    PREFILL_UNIT_MS,
    TOKENS_UNIT,
    LoadMessage,
)
from chervilstall.edge.loads.receiver import LoadReceiver
from chervilstall.edge.loads.reporter import LoadReporter, build_message
from chervilstall.ids import VmId, ZoneName
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.peer_loads import NO_LOAD, PeerLoads, TargetLoad
from chervilstall.platform.peers import Peer
from chervilstall.rendezvous import rendezvous_score

BYTES_PER_S_MAX = 2_700.0
"""Bytes that a router may send and receive a second for the sums of zones."""

INTERVAL_MIN_S = 0.8
INTERVAL_MAX_S = 0.92
"""Longest time between two messages; where the bytes don't last for it, none are sent.

With the age of the figures in a sum, this is less than the time after which it expires.
"""

SUMMED_AGE_MAX_S = 0.7
"""Age of a router's figures up to which they are part of a sum.

The load of a router whose figures are older is estimated from the others.
"""

SILENCE_S = 3.0
"""Time without figures of a zone after which another of its routers is listened to."""


def sums_interval_s(other_zones: int, message_bytes: float) -> float | None:
    """Return the time between two messages with sums; None if they are too large."""
    seconds = 2 * other_zones * message_bytes / BYTES_PER_S_MAX
    return None if seconds > INTERVAL_MAX_S else max(INTERVAL_MIN_S, seconds)


@dataclass
class ZoneSums:
    """Builds the sums of the own zone, and applies those of other zones."""

    vm: VmId
    chooser: PathChooser
    keys: TargetKeys
    run: int = field(default_factory=lambda: random.getrandbits(48))
    sources: dict[VmId, Peer] = field(default_factory=dict)
    _receiver: LoadReceiver = field(init=False)
    _sequence: int = 0
    _skipped: dict[ZoneName, int] = field(default_factory=lambda: defaultdict(int))
    _heard_at_s: dict[ZoneName, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        zones = PeerLoads()
        self.chooser.peer_loads.other_zones = zones
        self._receiver = LoadReceiver(self.vm, zones, self.keys)

    def next_message(self, reporter: LoadReporter) -> LoadMessage | None:
        """Return the load of this zone's routers, estimated where they don't report.

        There is nothing to tell while no other router of the zone has just reported.
        """
        own = reporter.current_loads()
        recent = self.chooser.peer_loads.recent_sums(SUMMED_AGE_MAX_S)
        known_routers = 1 + recent.routers
        factor = max(1.0, self.chooser.routers_of_zone / known_routers)
        if known_routers == 1 and factor > 1.0:
            return None
        sums: dict[int, TargetLoad] = {}
        for incarnation in own.keys() | recent.loads.keys():
            load = _scaled_sum(
                own.get(incarnation, NO_LOAD),
                recent.loads.get(incarnation, NO_LOAD),
                factor,
            )
            if load != NO_LOAD:
                sums[target_key(incarnation)] = load
        self._sequence += 1
        return build_message(
            self.vm,
            self.run,
            self._sequence,
            True,
            sums,
            None,
            round(known_routers * factor),
            time.monotonic() - recent.taken_at_s,
        )

    def handle(self, message: LoadMessage, not_before_s: float) -> bool:
        """Apply the sums of another zone; return False if nobody asked the sender."""
        source = self.sources.get(VmId(message.vm))
        if source is None or not message.is_full:
            return False
        self._heard_at_s[source.zone] = time.monotonic()
        # One report a zone: the zone's name stands for the VM that sends its sums.
        self._receiver.handle(message, not_before_s, VmId(source.zone))
        return True

    def update_sources(self, own: Peer, peers: Iterable[Peer]) -> None:
        """Choose the routers to listen to, others for zones that are silent."""
        zones: dict[ZoneName, list[Peer]] = defaultdict(list)
        for peer in [own, *peers]:
            if peer.loads_address is not None:
                zones[peer.zone].append(peer)
        rings = {zone: sorted(zones[zone], key=_ring_order) for zone in zones}
        position = rings[own.zone].index(own) / len(rings[own.zone])
        now_s = time.monotonic()
        self.sources = {}
        for zone, ring in rings.items():
            if zone == own.zone:
                continue
            if now_s - self._heard_at_s.setdefault(zone, now_s) > SILENCE_S:
                self._heard_at_s[zone] = now_s
                self._skipped[zone] += 1
            index = int(position * len(ring)) + self._skipped[zone]
            source = ring[index % len(ring)]
            self.sources[source.vm] = source
        self._receiver.retain({VmId(zone) for zone in rings})

    def clear(self) -> None:
        """Drop all figures."""
        self.sources = {}
        self._receiver.retain(set())


def _ring_order(peer: Peer) -> int:
    return rendezvous_score("loads", peer.vm)


def _scaled_sum(own: TargetLoad, zone: TargetLoad, factor: float) -> TargetLoad:
    """Return the sum of two loads times a factor, in the units of the messages."""

    def scaled(figure: float, unit: int) -> int:
        return min(FIGURE_MAX, round(figure * factor / unit)) * unit

    return TargetLoad(
        scaled(own.tokens + zone.tokens, TOKENS_UNIT),
        scaled(own.requests + zone.requests, 1),
        scaled(own.prefill_ms + zone.prefill_ms, PREFILL_UNIT_MS),
    )
