"""HTTP connections to targets, with bounded age and without hidden retries.

A client with pooled connections repeats a request when a connection turns out to be
closed. One that may not be repeated is therefore sent over a connection of its own,
from a pool that opens a single socket.
"""

import time
from socket import (
    IPPROTO_TCP,
    SHUT_RDWR,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
)
from typing import Any

import gevent
import gevent.socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPConnectionClosed

from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.target.response import UNREAD_MAX_BYTES, SingleResponse
from chervilstall.target.sending import send_first

POOL_SIZE = 64
JSON_HEADERS = {"Content-Type": "application/json"}
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES_MAX = 2
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
JOINED_BODY_MAX_BYTES = 16_384
"""Largest body that is sent in one write with the head, as a copy."""


class ConnectFailed(OSError):
    """The connection could not be established, so nothing was sent."""


def tune_socket(sock: gevent.socket.socket) -> None:
    """Disable Nagle's algorithm and detect an unreachable peer within a few seconds.

    A peer that lost power sends no reset. Keep-alive probes detect it while the
    connection waits for a response, TCP_USER_TIMEOUT while data is unacknowledged.
    """
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES_MAX)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


class AgeLimitedPool(ConnectionPool):
    """A pool that closes connections above an age.

    It raises ConnectFailed where a connection can't be established, so that callers
    can tell this from a failure after sending.
    """

    def __init__(self, age_max_s: float, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.age_max_s = age_max_s
        self._opened_at_s: dict[int, float] = {}
        self._used: set[int] = set()

    def after_connect(self, sock: gevent.socket.socket) -> None:
        tune_socket(sock)
        self._opened_at_s[sock.fileno()] = time.monotonic()
        self._used.discard(sock.fileno())

    def get_socket(self) -> gevent.socket.socket:
        try:
            sock = super().get_socket()
        except OSError as error:
            raise ConnectFailed(str(error)) from error
        return sock

    def was_used(self, sock: gevent.socket.socket) -> bool:
        """Return whether a connection has carried a whole response before."""
        return sock.fileno() in self._used

    def return_socket(self, sock: gevent.socket.socket) -> None:
        opened_at_s = self._opened_at_s.get(sock.fileno(), 0.0)
        if time.monotonic() - opened_at_s > self.age_max_s:
            self.release_socket(sock)
            return
        self._used.add(sock.fileno())
        super().return_socket(sock)

    def release_socket(self, sock: gevent.socket.socket) -> None:
        self._opened_at_s.pop(sock.fileno(), None)
        self._used.discard(sock.fileno())
        super().release_socket(sock)


class SingleUsePool(AgeLimitedPool):
    """A pool that opens one connection and refuses to open a second.

    The connection stays open until the pool is closed, so that reading can continue
    after a read that timed out. `socket` is set as soon as it starts to connect, so
    that another task can end that with `abort`.
    """

    def __init__(self, **arguments: Any) -> None:
        super().__init__(age_max_s=0.0, **arguments)
        self.is_opened = False
        self.is_aborted = False
        self.socket: gevent.socket.socket | None = None

    def _create_tcp_socket(self, *arguments: Any) -> gevent.socket.socket:
        self.socket = super()._create_tcp_socket(*arguments)
        return self.socket

    def return_socket(self, sock: gevent.socket.socket) -> None:
        self.socket = sock

    def release_socket(self, sock: gevent.socket.socket) -> None:
        self.socket = sock

    def close(self) -> None:
        super().close()
        if self.socket is not None:
            self.socket.close()

    def get_socket(self) -> gevent.socket.socket:
        if self.is_opened:
            raise ConnectionResetError("a single-use connection can't be reopened")
        sock = super().get_socket()
        self.socket = sock
        if self.is_aborted:
            raise ConnectFailed("aborted before the request was sent")
        self.is_opened = True
        return sock

    def abort(self) -> None:
        """Shut the connection down; one that is being opened carries no request."""
        self.is_aborted = True
        if self.socket is None:
            return
        try:
            self.socket.shutdown(SHUT_RDWR)
        except OSError:
            # The connection is closed already, or not established yet.
            return


class ReusablePool(SingleUsePool):
    """A pool whose one connection may be used again after a complete response."""

    is_reusable = False

    def return_socket(self, sock: gevent.socket.socket) -> None:
        super().return_socket(sock)
        self.is_reusable = True

    def get_socket(self) -> gevent.socket.socket:
        if not self.is_reusable:
            return super().get_socket()
        self.is_reusable = False
        return self.socket


class BoundedClient(HTTPClient):
    """A client whose responses take a bounded amount of time and memory.

    `unread_max_bytes` is that of its responses.
    """

    unread_max_bytes = UNREAD_MAX_BYTES

    def _exchange(
        self,
        sock: gevent.socket.socket,
        method: str,
        request_uri: str,
        body: Any,
        headers: Any,
    ) -> SingleResponse:
        """Send a request and return its response once the headers are complete.

        Raises NothingSent if no byte of the request was accepted for sending.
        """
        request = self._build_request(method, request_uri, body=body, headers=headers)
        head = request.encode("latin-1")
        try:
            if len(body) > JOINED_BODY_MAX_BYTES:
                send_first(sock, head)
                sock.sendall(body)
            else:
                send_first(sock, head + body)
        except BaseException:
            self._connection_pool.release_socket(sock)
            raise
        response = SingleResponse(
            sock, self._connection_pool, block_size=self.block_size, method=method
        )
        response.unread_max_bytes = self.unread_max_bytes
        return response


class SingleUseClient(BoundedClient):
    """A client that never sends its request again when the connection fails."""

    def request(
        self,
        method: str,
        request_uri: str,
        body: Any = b"",
        headers: Any = None,
    ) -> SingleResponse:
        """Send a request and return its response once the headers are complete.

        Raises NothingSent if no byte of the request was accepted for sending.
        """
        sock = self._connection_pool.get_socket()
        return self._exchange(sock, method, request_uri, body, headers)


class PooledClient(BoundedClient):
    """A client with pooled connections, for requests that may be repeated.

    A request over a connection that was used before, and that ends without a response,
    is sent again over another one.
    """

    def request(
        self,
        method: str,
        request_uri: str,
        body: Any = b"",
        headers: Any = None,
    ) -> SingleResponse:
        """Send a request and return its response once the headers are complete.

        Raises ConnectFailed only where nothing was sent: if a connection for sending it
        again can't be established, the request may have run all the same.
        """
        pool: Any = self._connection_pool
        was_sent = False
        while True:
            try:
                sock = pool.get_socket()
            except ConnectFailed as error:
                if not was_sent:
                    raise
                raise ConnectionResetError("closed before a response") from error
            is_reused = pool.was_used(sock)
            was_sent = True
            try:
                return self._exchange(sock, method, request_uri, body, headers)
            except (HTTPConnectionClosed, ConnectionError):
                if not is_reused:
                    raise


def pool_arguments(
    address: Address, settings: TargetSettings, network_timeout_s: float
) -> dict[str, Any]:
    """Return the constructor arguments that both pools share."""
    return dict(
        connection_host=address.host,
        connection_port=address.port,
        request_host=address.host,
        request_port=address.port,
        disable_ipv6=True,
        connection_timeout=settings.connect_timeout_s,
        network_timeout=network_timeout_s,
    )


def pooled_client(
    address: Address,
    settings: TargetSettings,
    network_timeout_s: float,
    unread_max_bytes: int = UNREAD_MAX_BYTES,
) -> HTTPClient:
    """Return a client with pooled connections, for requests that may be repeated."""
    client = PooledClient(address.host, address.port, disable_ipv6=True)
    client.unread_max_bytes = unread_max_bytes
    client._connection_pool = AgeLimitedPool(
        settings.connection_age_max_s,
        size=POOL_SIZE,
        **pool_arguments(address, settings, network_timeout_s),
    )
    return client


def single_use_client(
    address: Address,
    settings: TargetSettings,
    network_timeout_s: float,
    unread_max_bytes: int = UNREAD_MAX_BYTES,
) -> HTTPClient:
    """Return a client that sends a single request, once, over a new connection."""
    arguments = pool_arguments(address, settings, network_timeout_s)
    return _client(address, SingleUsePool(size=1, **arguments), unread_max_bytes)


def reusable_client(
    address: Address,
    settings: TargetSettings,
    network_timeout_s: float,
    unread_max_bytes: int = UNREAD_MAX_BYTES,
) -> HTTPClient:
    """Return a client for one request after the other over a single connection."""
    arguments = pool_arguments(address, settings, network_timeout_s)
    return _client(address, ReusablePool(size=1, **arguments), unread_max_bytes)


def _client(
    address: Address, pool: SingleUsePool, unread_max_bytes: int
) -> SingleUseClient:
    client = SingleUseClient(address.host, address.port, disable_ipv6=True)
    client.unread_max_bytes = unread_max_bytes
    client.default_headers.clear()
    client._connection_pool = pool
    return client
