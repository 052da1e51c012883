"""Sends this router's load on targets to others of its zone, and receives theirs.

Each router publishes on its third internal port and subscribes to its neighbours. All
sockets are read and written without waiting, by one task. The transport is imported
when the exchange first comes into force, so that routers without it start sooner.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent

from chervilstall.edge.loads.keys import TargetKeys
from chervilstall.edge.loads.messages import (
    MESSAGE_MAX_BYTES,
    decode_message,
    encode_message,
)
from chervilstall.edge.loads.neighbours import (
    INTERVAL_MIN_S,
    choose_neighbours,
    interval_s,
    neighbour_limit,
)
from chervilstall.edge.loads.receiver import LoadReceiver
from chervilstall.edge.loads.reporter import LoadReporter
from chervilstall.edge.loads.zones import (
    INTERVAL_MAX_S,
    ZoneSums,
    sums_interval_s,
)
from chervilstall.edge.peers.directory import PeerDirectory
from chervilstall.fleet.view import FleetView
from chervilstall.ids import VmId
from chervilstall.paths.choice import PathChooser
from chervilstall.platform.peers import Peer
from chervilstall.settings.option import Address
from chervilstall.telemetry.events import EventLog

if TYPE_CHECKING:
    import zmq

log = EventLog("loads")

READ_INTERVAL_S = 0.1
CHECK_INTERVAL_S = 0.5
"""Time between checks whether the exchange is in force, and of the neighbours."""

BIND_RETRY_S = 10.0
WAITING_MESSAGES_MAX = 8
"""Messages kept for each neighbour that doesn't read; further ones are dropped."""

RECONNECT_MS = 200
RECONNECT_MAX_MS = 2_000
HEARTBEAT_MS = 2_000
HEARTBEAT_TIMEOUT_MS = 4_000
SIZE_WEIGHT = 0.2
"""Weight of the latest message in the moving average of sizes."""

FRAME_BYTES = 2
"""Bytes that ZMTP adds to a short message."""

REPORT_PREFIXES = (b"m", b"z")
SUMS_PREFIX = b"S"
"""First byte of messages with the sums of a zone, which neighbours don't read."""


@dataclass
class _Sockets:
    context: "zmq.Context[zmq.Socket[bytes]]"
    publisher: "zmq.Socket[bytes]"
    subscriber: "zmq.Socket[bytes]"
    zones: "zmq.Socket[bytes]"

    def close(self) -> None:
        self.context.destroy(linger=0)


@dataclass
class LoadExchange:
    """Exchanges load with the neighbours while `is_in_force` returns True.

    `own` is this router's entry, once it is registered. A router without an address for
    the exchange, or whose address can't be bound, takes no part.
    """

    directory: PeerDirectory
    fleet_view: FleetView
    chooser: PathChooser
    is_in_force: Callable[[], bool]
    own: Peer | None = None
    sent_bytes: int = 0
    received_bytes: int = 0
    messages_dropped: int = 0
    _reporter: LoadReporter = field(init=False)
    _receiver: LoadReceiver = field(init=False)
    _zone_sums: ZoneSums = field(init=False)
    _sockets: _Sockets | None = None
    _neighbours: dict[VmId, Address] = field(default_factory=dict)
    _sources: set[Address] = field(default_factory=set)
    _bind_at_s: float = float("-inf")
    _check_at_s: float = float("-inf")
    _send_at_s: float = float("-inf")
    _send_sums_at_s: float = float("-inf")
    _mean_bytes: float = 0.0

    def __post_init__(self) -> None:
        vm = self.directory.vm
        self._reporter = LoadReporter(vm, self.chooser.load)
        keys = TargetKeys(self.fleet_view)
        self._receiver = LoadReceiver(vm, self.chooser.peer_loads, keys)
        self._zone_sums = ZoneSums(vm, self.chooser, keys)

    def run(self) -> None:
        """Exchange load until the process ends; one task runs this."""
        read_at_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            if now_s >= self._check_at_s:
                self._check_at_s = now_s + CHECK_INTERVAL_S
                self._check()
            if self._sockets is None:
                read_at_s = now_s
                gevent.sleep(CHECK_INTERVAL_S)
                continue
            self._read(self._sockets.subscriber, len(self._neighbours), read_at_s)
            self._read(self._sockets.zones, len(self._sources), read_at_s)
            read_at_s = now_s
            if now_s >= self._send_at_s:
                self._send(self._sockets)
            if now_s >= self._send_sums_at_s:
                self._send_sums(self._sockets)
            gevent.sleep(READ_INTERVAL_S)

    def _check(self) -> None:
        """Start or stop as configured, and follow changes of the neighbours."""
        if not self.is_in_force():
            if self._sockets is not None:
                log.info("load exchange ended")
                self.stop()
            return
        if self._sockets is None:
            self._start()
        if self._sockets is not None:
            self._update_neighbours(self._sockets)
            self._update_sources(self._sockets)

    def _start(self) -> None:
        own = self.own
        if own is None or own.loads_address is None:
            return
        if time.monotonic() < self._bind_at_s:
            return
        self._bind_at_s = time.monotonic() + BIND_RETRY_S
        import zmq

        sockets = _open_sockets()
        try:
            sockets.publisher.bind(f"tcp://{own.loads_address}")
        except zmq.ZMQError as error:
            # Others estimate this router's load as they do for any that doesn't report.
            sockets.close()
            log.error("load not exchanged", at=str(own.loads_address), why=str(error))
            return
        self._sockets = sockets
        log.info("load exchange started", at=str(own.loads_address))

    def _update_neighbours(self, sockets: _Sockets) -> None:
        assert self.own is not None
        zone = self.own.zone
        targets = self.fleet_view.targets.values()
        zone_targets = sum(target.zone == zone for target in targets)
        limit = neighbour_limit(zone_targets)
        chosen = choose_neighbours(self.own, self.directory.peers, limit)
        addresses = {
            vm: peer.loads_address
            for vm, peer in chosen.items()
            if peer.loads_address is not None
        }
        if addresses == self._neighbours:
            return
        before, now = set(self._neighbours.values()), set(addresses.values())
        self._neighbours = addresses
        self._receiver.retain(set(addresses))
        self._reconnect(sockets.subscriber, before, now)
        log.info("neighbours changed", neighbours=len(addresses), limit=limit)

    def _update_sources(self, sockets: _Sockets) -> None:
        """Listen to one router of each other zone."""
        assert self.own is not None
        self._zone_sums.update_sources(self.own, self.directory.peers)
        sources = self._zone_sums.sources.values()
        now = {peer.loads_address for peer in sources if peer.loads_address}
        self._reconnect(sockets.zones, self._sources, now)
        self._sources = now

    def _reconnect(
        self, socket: "zmq.Socket[bytes]", before: set[Address], now: set[Address]
    ) -> None:
        for address in before - now:
            self._call(socket.disconnect, address)
        for address in now - before:
            self._call(socket.connect, address)

    def _call(self, function: Callable[[str], object], address: Address) -> None:
        import zmq

        try:
            function(f"tcp://{address}")
        except zmq.ZMQError as error:
            log.warning("neighbour not used", at=str(address), why=str(error))

    def _read(
        self, socket: "zmq.Socket[bytes]", senders: int, read_at_s: float
    ) -> None:
        """Apply all messages that arrived since `read_at_s`."""
        import zmq

        # A router that sends without end doesn't keep this task.
        for _ in range(WAITING_MESSAGES_MAX * max(1, senders)):
            try:
                data = socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.received_bytes += len(data) + FRAME_BYTES
            self._handle(data, read_at_s)

    def _handle(self, data: bytes, read_at_s: float) -> None:
        is_sum = data.startswith(SUMS_PREFIX)
        try:
            message = decode_message(data.removeprefix(SUMS_PREFIX))
        except ValueError as error:
            self._drop(str(error), len(data))
            return
        if is_sum:
            if not self._zone_sums.handle(message, read_at_s):
                self._drop("not a sum of a zone listened to", len(data), message.vm)
            return
        if message.vm not in self._neighbours:
            self._drop("not from a neighbour", len(data), message.vm)
            return
        self._receiver.handle(message, read_at_s)

    def _drop(self, why: str, size_bytes: int, vm: str = "") -> None:
        self.messages_dropped += 1
        log.routine("load message dropped", why=why, size=size_bytes, vm=vm)

    def _send(self, sockets: _Sockets) -> None:
        """Publish this router's load, and set the time of the next message."""
        import zmq

        self._send_at_s = time.monotonic() + INTERVAL_MIN_S
        try:
            data = encode_message(self._reporter.next_message())
            sockets.publisher.send(data, zmq.NOBLOCK)
        except (ValueError, zmq.ZMQError) as error:
            log.warning("load not reported", why=str(error))
            return
        size = len(data) + FRAME_BYTES
        neighbours = len(self._neighbours)
        self.sent_bytes += size * neighbours
        self._mean_bytes += SIZE_WEIGHT * (size - self._mean_bytes)
        seconds = interval_s(neighbours, self._mean_bytes)
        self._send_at_s = time.monotonic() + seconds - READ_INTERVAL_S / 2

    def _send_sums(self, sockets: _Sockets) -> None:
        """Publish the sums of the zone, unless they are too large."""
        import zmq

        self._send_sums_at_s = time.monotonic() + INTERVAL_MAX_S
        other_zones = len(self._sources)
        message = self._zone_sums.next_message(self._reporter) if other_zones else None
        if message is None:
            return
        try:
            data = SUMS_PREFIX + encode_message(message)
            size = len(data) + FRAME_BYTES
            seconds = sums_interval_s(other_zones, size)
            if seconds is None:
                log.routine("sums too large", size=size, zones=other_zones)
                return
            sockets.publisher.send(data, zmq.NOBLOCK)
        except (ValueError, zmq.ZMQError) as error:
            log.warning("load of the zone not reported", why=str(error))
            return
        self.sent_bytes += size * other_zones
        self._send_sums_at_s = time.monotonic() + seconds

    def set_gauges(self, gauges: dict[str, float]) -> None:
        """Set the metrics of the exchange."""
        loads = self.chooser.peer_loads
        gauges["load_reporting_routers"] = loads.reporting_routers
        gauges["load_age_seconds"] = round(loads.age_s, 3)
        gauges["load_covered_routers"] = loads.covered_routers
        gauges["load_neighbours"] = len(self._neighbours)
        gauges["load_sent_bytes_total"] = self.sent_bytes
        gauges["load_received_bytes_total"] = self.received_bytes
        gauges["load_messages_dropped_total"] = self.messages_dropped

    def stop(self) -> None:
        """Close all connections and drop all figures."""
        self._neighbours, self._sources = {}, set()
        self._receiver.retain(set())
        self._zone_sums.clear()
        if self._sockets is not None:
            self._sockets.close()
            self._sockets = None


def _open_sockets() -> _Sockets:
    import zmq

    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    publisher = context.socket(zmq.PUB)
    subscriber, zones = context.socket(zmq.SUB), context.socket(zmq.SUB)
    for socket in (publisher, subscriber, zones):
        socket.linger = 0
        socket.sndhwm = WAITING_MESSAGES_MAX
        socket.rcvhwm = WAITING_MESSAGES_MAX
        # Larger messages cost a neighbour its connection, without a line in the log.
        socket.maxmsgsize = 2 * MESSAGE_MAX_BYTES
        socket.heartbeat_ivl = HEARTBEAT_MS
        socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        socket.reconnect_ivl = RECONNECT_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS
    for prefix in REPORT_PREFIXES:
        subscriber.subscribe(prefix)
    zones.subscribe(SUMS_PREFIX)
    return _Sockets(context, publisher, subscriber, zones)
