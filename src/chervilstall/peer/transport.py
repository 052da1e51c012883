"""Remote calls between processes: a server and clients over ZeroMQ sockets.

A server handles each request in a task of its own, so that a waiting pull does not
block other requests. A client sends its calls to one peer over one connection. If a
call times out, its connection is replaced, since it may never deliver again; the caller
decides whether to retry. The replaced connection is closed when its last call has
ended, so the timeout of a short call loses no reply to a longer one.
"""

import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import gevent
import gevent.pool
import msgspec
import zmq.green as zmq
from gevent.event import AsyncResult

from chervilstall.decoding import decode_untrusted
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.peer.keys import (
    ZAP_ADDRESS,
    FleetKeys,
    secure_client,
    secure_server,
    serve_zap_requests,
)
from chervilstall.peer.messages import Envelope, Message, Refused
from chervilstall.settings.option import Address
from chervilstall.telemetry.logs import ComponentLog
from chervilstall.turns import Turn

log = ComponentLog("peer")

T = TypeVar("T", bound=Message)

REFUSAL_TIMEOUT_S = 0.5
LAST_REPLIES_MS = 100
"""Time in which the last replies may leave; the process stands still for that long."""

HANDLERS_MAX = 5_000
HIGH_WATER_MARK = 10_000
MESSAGE_MAX_BYTES = 64_000_000
CONNECTIONS_MAX = 48
HEARTBEAT_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


class PeerTraffic:
    """Counters of the bytes and messages that this process sent and received."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.messages = 0

    def count_sent(self, size_bytes: int) -> None:
        """Count a sent message of a size in bytes."""
        self.sent_bytes += size_bytes
        self.messages += 1

    def count_received(self, size_bytes: int) -> None:
        """Count a received message of a size in bytes."""
        self.received_bytes += size_bytes
        self.messages += 1


def _new_socket(context: zmq.Context, socket_type: int) -> zmq.Socket:
    socket = context.socket(socket_type)
    socket.linger = 0
    socket.sndhwm = HIGH_WATER_MARK
    socket.rcvhwm = HIGH_WATER_MARK
    socket.maxmsgsize = MESSAGE_MAX_BYTES
    socket.heartbeat_ivl = HEARTBEAT_MS
    socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
    return socket


class PeerServer:
    """Answers the requests of other processes.

    `handler` returns the reply to a message; if it raises an error, the reply is
    `Refused`. With `keys`, only clients with an accepted key can connect.
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
        self._handlers = gevent.pool.Pool(HANDLERS_MAX)
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Bind and start answering.

        If the port of `address` is 0, a free one is chosen and `address` is updated.
        """
        if self._keys is not None:
            zap = self._context.socket(zmq.REP)
            zap.linger = 0
            zap.bind(ZAP_ADDRESS)
            self._tasks.append(gevent.spawn(serve_zap_requests, zap, self._keys))
            secure_server(self._socket, self._keys)
        port = self.address.port
        if port:
            self._socket.bind(f"tcp://{self.address.host}:{port}")
        else:
            port = self._socket.bind_to_random_port(f"tcp://{self.address.host}")
        self.address = Address(self.address.host, port)
        self._tasks.append(gevent.spawn(self._serve))

    def _serve(self) -> None:
        turn = Turn()
        while True:
            turn.give_way()
            routing_id, *frames = self._socket.recv_multipart()
            data = frames[-1] if frames else b""
            self.traffic.count_received(len(data))
            try:
                envelope = decode_untrusted(_decoder, data)
            except ValueError as error:
                log.warning("Dropped a malformed message: %s.", error)
                continue
            self._handlers.spawn(self._answer, routing_id, envelope)

    def _answer(self, routing_id: bytes, envelope: Envelope) -> None:
        try:
            reply = self._handler(envelope.body)
        except ChervilstallError as error:
            reply = Refused(str(error))
        except gevent.GreenletExit:
            reply = Refused("the process is stopping")
        except Exception as error:
            log.error("Request handler raised %r.", error)
            reply = Refused("internal error")
        data = _encoder.encode(Envelope(envelope.call, reply))
        try:
            self._socket.send_multipart([routing_id, data], zmq.NOBLOCK)
            self.traffic.count_sent(len(data))
        except zmq.ZMQError:
            # The client is gone or does not read; it retries if it needs the reply.
            return

    def finish(self) -> None:
        """Take no more requests, refuse those in progress, and close all sockets."""
        gevent.killall(self._tasks, block=False)
        self._handlers.kill(block=True, timeout=REFUSAL_TIMEOUT_S)
        self._context.destroy(linger=LAST_REPLIES_MS)

    def stop(self) -> None:
        """Stop answering and close all sockets at once."""
        gevent.killall(self._tasks, block=False)
        self._handlers.kill(block=False)
        self._context.destroy(linger=0)


@dataclass(eq=False)
class _Connection:
    socket: zmq.Socket
    reader: gevent.Greenlet
    calls: int = 0

    def close(self) -> None:
        self.reader.kill(block=False)
        self.socket.close(linger=0)


class PeerClient:
    """Sends requests to one other process. Calls may run concurrently."""

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
        self._call_numbers = itertools.count(1)
        self._pending: dict[int, AsyncResult] = {}
        self._connection: _Connection | None = None
        self._replaced: set[_Connection] = set()

    def call(self, message: Message, timeout_s: float) -> Message:
        """Send a request and return the reply.

        Raises PEER_UNAVAILABLE if no reply arrives within `timeout_s` seconds.
        """
        call_number = next(self._call_numbers)
        result: AsyncResult = AsyncResult()
        self._pending[call_number] = result
        data = _encoder.encode(Envelope(call_number, message))
        connection = None
        try:
            connection = self._connect()
            connection.calls += 1
            connection.socket.send(data, zmq.NOBLOCK)
            self.traffic.count_sent(len(data))
            return result.get(timeout=timeout_s)
        except (gevent.Timeout, zmq.ZMQError) as error:
            if connection is not None:
                self._replace(connection)
            raise ChervilstallError(
                ErrorKind.PEER_UNAVAILABLE, f"no answer from {self.address}"
            ) from error
        finally:
            self._pending.pop(call_number, None)
            if connection is not None:
                self._end_call(connection)

    def ask(self, message: Message, reply_type: type[T], timeout_s: float) -> T:
        """Send a request and return the reply, which must be of type `reply_type`.

        Raises PEER_UNAVAILABLE on a timeout and for any other type of reply.
        """
        reply = self.call(message, timeout_s)
        if isinstance(reply, reply_type):
            return reply
        reason = reply.reason if isinstance(reply, Refused) else type(reply).__name__
        raise ChervilstallError(
            ErrorKind.PEER_UNAVAILABLE, f"{self.address} replied: {reason}"
        )

    @property
    def is_busy(self) -> bool:
        """Return whether a call is waiting for its reply."""
        return bool(self._pending)

    def _connect(self) -> _Connection:
        if self._connection is not None:
            return self._connection
        socket = _new_socket(zmq.Context.instance(), zmq.DEALER)
        if self._keys is not None:
            secure_client(socket, self._keys)
        socket.connect(f"tcp://{self.address.host}:{self.address.port}")
        reader = gevent.spawn(self._read_replies, socket)
        self._connection = _Connection(socket, reader)
        return self._connection

    def _read_replies(self, socket: zmq.Socket) -> None:
        turn = Turn()
        while True:
            turn.give_way()
            try:
                data = socket.recv()
            except zmq.ZMQError:
                # The socket was closed.
                return
            self.traffic.count_received(len(data))
            try:
                envelope = decode_untrusted(_decoder, data)
            except ValueError as error:
                log.warning("Dropped a malformed reply: %s.", error)
                continue
            pending = self._pending.get(envelope.call)
            if pending is not None:
                pending.set(envelope.body)

    def _replace(self, connection: _Connection) -> None:
        if self._connection is not connection:
            return
        self.resets += 1
        self._connection = None
        self._replaced.add(connection)

    def _end_call(self, connection: _Connection) -> None:
        connection.calls -= 1
        if connection in self._replaced and not connection.calls:
            self._replaced.remove(connection)
            connection.close()

    def stop(self) -> None:
        """Close every connection. The next call opens a new one."""
        for connection in self._replaced:
            connection.close()
        self._replaced.clear()
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class PeerClientPool:
    """Clients by peer address, with a bounded number of connections.

    Probing contacts every member in turn. The least recently used connections are
    closed, so that the number of file descriptors does not grow with the fleet.
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
        """Return the client for an address, creating it if needed."""
        client = self._clients.get(address)
        if client is None:
            client = PeerClient(address, self._keys, self.traffic)
            self._clients[address] = client
            self._close_least_recently_used()
        self._clients.move_to_end(address)
        return client

    def _close_least_recently_used(self) -> None:
        excess_count = len(self._clients) - self.connections_max
        if excess_count <= 0:
            return
        for address, client in list(self._clients.items()):
            if client.is_busy:
                continue
            client.stop()
            del self._clients[address]
            excess_count -= 1
            if excess_count <= 0:
                return

    def retain(self, addresses: set[Address]) -> None:
        """Close the connections to all addresses except these."""
        for address in set(self._clients) - addresses:
            self._clients.pop(address).stop()

    def stop(self) -> None:
        """Close every connection."""
        self.retain(set())
