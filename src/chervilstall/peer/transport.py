"""Calls between processes: a server that answers and clients that ask.

A server answers each request in a task of its own, so a waiting pull holds up
nothing. A client has one connection to one peer. Its calls end at their timeout, and
the connection of a call that timed out is replaced, since it may have gone silent for
good; the caller decides whether to ask again.
"""

import itertools
from collections import OrderedDict
from collections.abc import Callable
from typing import TypeVar

import gevent
import gevent.pool
import msgspec
import zmq.green as zmq
from gevent.event import AsyncResult

from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.peer.keys import (
    ZAP_ADDRESS,
    FleetKeys,
    authenticate,
    secure_client,
    secure_server,
)
from chervilstall.peer.messages import Envelope, Message, Refused
from chervilstall.settings.option import Address
from chervilstall.telemetry.logs import ComponentLog

log = ComponentLog("peer")

T = TypeVar("T", bound=Message)

HANDLERS_MAX = 5_000
HIGH_WATER_MARK = 10_000
MESSAGE_MAX_BYTES = 64_000_000
CONNECTIONS_MAX = 48
HEARTBEAT_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


class PeerTraffic:
    """Bytes and messages of this process, both ways."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.messages = 0

    def sent(self, size_bytes: int) -> None:
        """Count a message sent."""
        self.sent_bytes += size_bytes
        self.messages += 1

    def received(self, size_bytes: int) -> None:
        """Count a message received."""
        self.received_bytes += size_bytes
        self.messages += 1


def _new_socket(context: zmq.Context, kind: int) -> zmq.Socket:
    socket = context.socket(kind)
    socket.linger = 0
    socket.sndhwm = HIGH_WATER_MARK
    socket.rcvhwm = HIGH_WATER_MARK
    socket.maxmsgsize = MESSAGE_MAX_BYTES
    socket.heartbeat_ivl = HEARTBEAT_MS
    socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
    return socket


class PeerServer:
    """Answers the requests of other processes.

    `handler` returns the reply to a message; an error it raises is answered as
    `Refused`. With `keys`, only holders of the fleet's key get in.
    """

    def __init__(
        self,
        address: Address,
        handler: Callable[[Message], Message],
        keys: FleetKeys | None = None,
        traffic: PeerTraffic | None = None,
    ) -> None:
        self.traffic = traffic or PeerTraffic()
        self.address = address
        self._handler = handler
        self._keys = keys
        self._context = zmq.Context()
        self._socket = _new_socket(self._context, zmq.ROUTER)
        self._pool = gevent.pool.Pool(HANDLERS_MAX)
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Bind and start answering."""
        if self._keys is not None:
            zap = self._context.socket(zmq.REP)
            zap.linger = 0
            zap.bind(ZAP_ADDRESS)
            self._tasks.append(gevent.spawn(authenticate, zap, self._keys))
            secure_server(self._socket, self._keys)
        port = self.address.port
        if port:
            self._socket.bind(f"tcp://{self.address.host}:{port}")
        else:
            port = self._socket.bind_to_random_port(f"tcp://{self.address.host}")
        self.address = Address(self.address.host, port)
        self._tasks.append(gevent.spawn(self._receive))

    def _receive(self) -> None:
        while True:
            identity, *frames = self._socket.recv_multipart()
            data = frames[-1] if frames else b""
            self.traffic.received(len(data))
            try:
                envelope = _decoder.decode(data)
            except msgspec.DecodeError as error:
                log.warning("Dropped a malformed message: %s.", error)
                continue
            self._pool.spawn(self._answer, identity, envelope)

    def _answer(self, identity: bytes, envelope: Envelope) -> None:
        try:
            reply = self._handler(envelope.body)
        except ChervilstallError as error:
            reply = Refused(str(error))
        except Exception as error:
            log.error("A request failed with %r.", error)
            reply = Refused("an internal failure")
        data = _encoder.encode(Envelope(envelope.call, reply))
        try:
            self._socket.send_multipart([identity, data], zmq.NOBLOCK)
            self.traffic.sent(len(data))
        except zmq.ZMQError:
            # The peer is gone or does not read; it will ask again.
            return

    def stop(self) -> None:
        """Stop answering."""
        gevent.killall(self._tasks, block=False)
        self._pool.kill(block=False)
        self._context.destroy(linger=0)


class PeerClient:
    """Asks one other process."""

    def __init__(
        self,
        address: Address,
        keys: FleetKeys | None = None,
        traffic: PeerTraffic | None = None,
    ) -> None:
        self.address = address
        self.traffic = traffic or PeerTraffic()
        self.resets = 0
        self._keys = keys
        self._calls = itertools.count(1)
        self._pending: dict[int, AsyncResult] = {}
        self._socket: zmq.Socket | None = None
        self._reader: gevent.Greenlet | None = None

    def call(self, message: Message, timeout_s: float) -> Message:
        """Ask and return the reply. Raises PEER_UNAVAILABLE at the timeout."""
        number = next(self._calls)
        result: AsyncResult = AsyncResult()
        self._pending[number] = result
        data = _encoder.encode(Envelope(number, message))
        socket = None
        try:
            socket = self._connected()
            socket.send(data, zmq.NOBLOCK)
            self.traffic.sent(len(data))
            return result.get(timeout=timeout_s)
        except (gevent.Timeout, zmq.ZMQError) as error:
            if socket is not None:
                self._reset(socket)
            raise ChervilstallError(
                ErrorKind.PEER_UNAVAILABLE, f"no answer from {self.address}"
            ) from error
        finally:
            self._pending.pop(number, None)

    def ask(self, message: Message, kind: type[T], timeout_s: float) -> T:
        """Ask for a reply of one kind; any other raises PEER_UNAVAILABLE."""
        reply = self.call(message, timeout_s)
        if isinstance(reply, kind):
            return reply
        reason = reply.reason if isinstance(reply, Refused) else type(reply).__name__
        raise ChervilstallError(
            ErrorKind.PEER_UNAVAILABLE, f"{self.address} answered: {reason}"
        )

    @property
    def is_busy(self) -> bool:
        """Return whether a call waits for its answer."""
        return bool(self._pending)

    def _connected(self) -> zmq.Socket:
        if self._socket is not None:
            return self._socket
        socket = _new_socket(zmq.Context.instance(), zmq.DEALER)
        if self._keys is not None:
            secure_client(socket, self._keys)
        socket.connect(f"tcp://{self.address.host}:{self.address.port}")
        self._socket = socket
        self._reader = gevent.spawn(self._read, socket)
        return socket

    def _read(self, socket: zmq.Socket) -> None:
        while True:
            try:
                data = socket.recv()
            except zmq.ZMQError:
                # The connection was closed under us.
                return
            self.traffic.received(len(data))
            try:
                envelope = _decoder.decode(data)
            except msgspec.DecodeError:
                continue
            pending = self._pending.get(envelope.call)
            if pending is not None:
                pending.set(envelope.body)

    def _reset(self, socket: zmq.Socket) -> None:
        if self._socket is not socket:
            return
        self.resets += 1
        self.stop()

    def stop(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._reader is not None:
            self._reader.kill(block=False)
            self._reader = None
        if self._socket is not None:
            self._socket.close(linger=0)
            self._socket = None


class PeerClientPool:
    """Clients by peer address, a bounded number of them connected.

    Probing reaches every member in turn; connections to those not asked for longest
    are closed, so descriptors do not grow with the fleet.
    """

    def __init__(
        self,
        keys: FleetKeys | None = None,
        traffic: PeerTraffic | None = None,
        connections_max: int = CONNECTIONS_MAX,
    ) -> None:
        self.traffic = traffic or PeerTraffic()
        self.connections_max = connections_max
        self._keys = keys
        self._clients: OrderedDict[Address, PeerClient] = OrderedDict()

    def client(self, address: Address) -> PeerClient:
        """Return the client of an address."""
        client = self._clients.get(address)
        if client is None:
            client = PeerClient(address, self._keys, self.traffic)
            self._clients[address] = client
            self._close_oldest()
        self._clients.move_to_end(address)
        return client

    def _close_oldest(self) -> None:
        excess = len(self._clients) - self.connections_max
        if excess <= 0:
            return
        for address, client in list(self._clients.items()):
            if client.is_busy:
                continue
            client.stop()
            del self._clients[address]
            excess -= 1
            if excess <= 0:
                return

    def retain(self, addresses: set[Address]) -> None:
        """Close the connections to every other address."""
        for address in set(self._clients) - addresses:
            self._clients.pop(address).stop()

    def stop(self) -> None:
        """Close every connection."""
        self.retain(set())
