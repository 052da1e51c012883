"""Loopback proxies that delay, silence, cut or reset what passes through them."""

from dataclasses import dataclass, field
from enum import Enum
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

import gevent
import gevent.socket
from gevent.server import StreamServer

from chervilstall.settings.option import Address

READ_BYTES = 65_536
HOLD_TICK_S = 0.02
CONNECT_S = 1.0
RESET_AT_CLOSE = pack("ii", 1, 0)


class Direction(Enum):
    """Where the bytes of a link go."""

    TO_SERVER = "to server"
    TO_CLIENT = "to client"


@dataclass(eq=False)
class _Pair:
    """One connection through a link; a silenced one never carries a byte again."""

    client: gevent.socket.socket
    server: gevent.socket.socket
    is_silenced: bool = False

    def close(self) -> None:
        for sock in (self.client, self.server):
            sock.close()

    def reset(self) -> None:
        for sock in (self.client, self.server):
            if not sock.closed:
                sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_AT_CLOSE)
        self.close()


@dataclass
class Link:
    """A proxy in front of one server.

    Bytes of the directions in `held` wait until they are released, as behind a
    partition. `delay_s` is added to every read.
    """

    server: Address
    listen: Address
    delay_s: float = 0.0
    held: set[Direction] = field(default_factory=set)
    _pairs: set[_Pair] = field(default_factory=set)
    _listener: StreamServer | None = None

    def start(self) -> None:
        """Start passing connections on."""
        address = (self.listen.host, self.listen.port)
        self._listener = StreamServer(address, self._serve)
        self._listener.start()

    @property
    def address(self) -> Address:
        """Return the address that stands for the server's."""
        assert self._listener is not None
        return Address(self._listener.server_host, self._listener.server_port)

    def stop(self) -> None:
        """Stop and cut every connection."""
        if self._listener is not None:
            self._listener.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for pair in list(self._pairs):
            pair.reset()

    def silence_open(self) -> None:
        """Let every open connection fall silent for good; new ones work."""
        for pair in self._pairs:
            pair.is_silenced = True

    def _serve(self, client: gevent.socket.socket, _peer: object) -> None:
        try:
            server = gevent.socket.create_connection(
                (self.server.host, self.server.port), CONNECT_S
            )
        except OSError:
            # The server is down, which the client is to see as a closed connection.
            client.close()
            return
        server.settimeout(None)
        pair = _Pair(client, server)
        self._pairs.add(pair)
        back = gevent.spawn(self._pump, pair, server, client, Direction.TO_CLIENT)
        try:
            self._pump(pair, client, server, Direction.TO_SERVER)
            back.join()
        finally:
            self._pairs.discard(pair)
            pair.close()

    def _pump(
        self,
        pair: _Pair,
        source: gevent.socket.socket,
        sink: gevent.socket.socket,
        direction: Direction,
    ) -> None:
        try:
            while True:
                data = source.recv(READ_BYTES)
                gevent.sleep(self.delay_s)
                while direction in self.held or pair.is_silenced:
                    gevent.sleep(HOLD_TICK_S)
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            # One end is gone; the other is to learn of it now.
            pair.close()
            return
        # A server's end means the end of its answer; a client's, that it gave up.
        pair.close()
