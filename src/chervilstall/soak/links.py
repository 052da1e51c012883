"""Loopback TCP proxies that can delay, hold, silence or reset connections."""

from dataclasses import dataclass, field
from enum import Enum
from socket import SO_LINGER, SO_REUSEADDR, SOL_SOCKET
from struct import pack

import gevent
import gevent.socket
from gevent.server import StreamServer

from chervilstall.settings.option import Address

READ_BYTES = 65_536
HOLD_POLL_S = 0.02
CONNECT_TIMEOUT_S = 1.0
BACKLOG_CONNECTIONS = 2
"""Connections that fill the backlog of a listener without one."""

LINGER_RESET = pack("ii", 1, 0)
"""Value of SO_LINGER with a timeout of 0, which makes close() send a TCP reset."""


class Direction(Enum):
    """Direction of the bytes on a link."""

    TO_SERVER = "to server"
    TO_CLIENT = "to client"


@dataclass(eq=False)
class _ProxiedConnection:
    """A client socket and its server socket; once silenced, it forwards nothing."""

    client: gevent.socket.socket
    server: gevent.socket.socket
    is_silenced: bool = False

    def close(self) -> None:
        for sock in (self.client, self.server):
            sock.close()

    def reset(self) -> None:
        for sock in (self.client, self.server):
            if not sock.closed:
                sock.setsockopt(SOL_SOCKET, SO_LINGER, LINGER_RESET)
        self.close()


@dataclass
class LinkProxy:
    """A TCP proxy in front of one server, with switchable faults.

    Bytes in the directions of `held_directions` are delivered after the direction is
    released, as in a network partition. `delay_s` is added to every read.
    """

    server_address: Address
    listen_address: Address
    delay_s: float = 0.0
    held_directions: set[Direction] = field(default_factory=set)
    _connections: set[_ProxiedConnection] = field(default_factory=set)
    _listener: StreamServer | None = None
    _refused_address: Address | None = None
    _full_backlog: list[gevent.socket.socket] = field(default_factory=list)

    def start(self) -> None:
        """Start accepting and forwarding connections."""
        address = (self.listen_address.host, self.listen_address.port)
        self._listener = StreamServer(address, self._handle)
        self._listener.start()

    @property
    def address(self) -> Address:
        """Return the address that clients use in place of the server's."""
        if self._refused_address is not None:
            return self._refused_address
        assert self._listener is not None
        return Address(self._listener.server_host, self._listener.server_port)

    def refuse_connections(self) -> None:
        """Refuse new connections; the open ones go on."""
        if self._listener is not None:
            self._refused_address = self.address
            self._listener.close()
            self._listener = None

    def drop_connections(self) -> None:
        """Let new connections hang before they are established, as in a partition.

        The system drops the first packet of each while the backlog is full.
        """
        self.refuse_connections()
        assert self._refused_address is not None
        address = (self._refused_address.host, self._refused_address.port)
        listener = gevent.socket.socket()
        listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(0)
        self._full_backlog = [listener]
        for _ in range(BACKLOG_CONNECTIONS):
            waiting = gevent.socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex(address)
            self._full_backlog.append(waiting)

    def accept_connections(self) -> None:
        """Accept new connections again, at the same address."""
        while self._full_backlog:
            self._full_backlog.pop().close()
        if self._refused_address is not None:
            self.listen_address = self._refused_address
            self._refused_address = None
            self.start()

    def stop(self) -> None:
        """Stop accepting connections and reset the open ones."""
        if self._listener is not None:
            self._listener.close()
        while self._full_backlog:
            self._full_backlog.pop().close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Send a TCP reset on every open connection."""
        for connection in list(self._connections):
            connection.reset()

    def silence_connections(self) -> None:
        """Stop forwarding on the open connections for good; new ones work."""
        for connection in self._connections:
            connection.is_silenced = True

    def _handle(self, client: gevent.socket.socket, _peer: object) -> None:
        try:
            server = gevent.socket.create_connection(
                (self.server_address.host, self.server_address.port), CONNECT_TIMEOUT_S
            )
        except OSError:
            # The server is down. Its client sees a closed connection.
            client.close()
            return
        server.settimeout(None)
        connection = _ProxiedConnection(client, server)
        self._connections.add(connection)
        response_task = gevent.spawn(
            self._forward, connection, server, client, Direction.TO_CLIENT
        )
        try:
            self._forward(connection, client, server, Direction.TO_SERVER)
            response_task.join()
        finally:
            self._connections.discard(connection)
            connection.close()

    def _forward(
        self,
        connection: _ProxiedConnection,
        source: gevent.socket.socket,
        sink: gevent.socket.socket,
        direction: Direction,
    ) -> None:
        try:
            while True:
                data = source.recv(READ_BYTES)
                gevent.sleep(self.delay_s)
                while direction in self.held_directions or connection.is_silenced:
                    gevent.sleep(HOLD_POLL_S)
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            # One side failed; close the other side at once too.
            connection.close()
            return
        # The server closes after its response, the client when it gives up. In both
        # cases nothing more is to be forwarded in the other direction.
        connection.close()
