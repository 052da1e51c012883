"""HTTP connections to targets with known send state and bounded age.

geventhttpclient repeats some requests by itself when a pooled connection turns out
closed. A request that may not be repeated therefore goes over a connection of its
own, whose pool hands out a single socket.
"""

import time
from dataclasses import dataclass
from socket import (
    IPPROTO_TCP,
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
from geventhttpclient.response import (
    HTTPParseError,
    HTTPProtocolViolationError,
    HTTPSocketPoolResponse,
)

from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address

POOL_SIZE = 64
SEPARATOR = b"\n\n"
DATA_PREFIX = b"data: "
JSON_HEADERS = {"Content-Type": "application/json"}
PROBE_AFTER_S = 1
PROBE_INTERVAL_S = 1
PROBES_MAX = 2
UNACKNOWLEDGED_MAX_MS = 3_000
INFORMATIONAL_END = 200


class ConnectFailed(OSError):
    """No connection was made, so nothing was sent."""


def tune_socket(sock: gevent.socket.socket) -> None:
    """Send at once, and notice a peer that fell silent within a few seconds.

    A connection whose peer lost power gets no reset. Keep-alive probes find it while
    it waits for an answer, the bound on unacknowledged data while it sends.
    """
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, PROBES_MAX)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS)


class AgedPool(ConnectionPool):
    """A pool that retires connections by age and tells connecting from sending."""

    def __init__(self, age_max_s: float, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.age_max_s = age_max_s
        self._opened_at_s: dict[int, float] = {}

    def after_connect(self, sock: gevent.socket.socket) -> None:
        tune_socket(sock)
        self._opened_at_s[sock.fileno()] = time.monotonic()

    def get_socket(self) -> gevent.socket.socket:
        try:
            return super().get_socket()
        except OSError as error:
            raise ConnectFailed(str(error)) from error

    def return_socket(self, sock: gevent.socket.socket) -> None:
        opened_at_s = self._opened_at_s.get(sock.fileno(), 0.0)
        if time.monotonic() - opened_at_s > self.age_max_s:
            self.release_socket(sock)
            return
        super().return_socket(sock)

    def release_socket(self, sock: gevent.socket.socket) -> None:
        self._opened_at_s.pop(sock.fileno(), None)
        super().release_socket(sock)


class SingleUsePool(AgedPool):
    """A pool that opens one connection and refuses a second.

    The connection stays open until the pool is closed, so that reading can go on
    after a read that timed out.
    """

    def __init__(self, **arguments: Any) -> None:
        super().__init__(age_max_s=0.0, **arguments)
        self.is_opened = False
        self.socket: gevent.socket.socket | None = None

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
            raise ConnectionResetError("a single-use connection is not reopened")
        sock = super().get_socket()
        self.is_opened = True
        self.socket = sock
        return sock


class SingleAnswer(HTTPSocketPoolResponse):
    """An answer that ends where its message ends.

    Bytes behind a whole answer belong to no request. The library would begin a new
    message with them on the same object; here they are dropped.
    """

    final_status = 0

    @property
    def status_code(self) -> int:
        return self.final_status

    def _on_headers_complete(self) -> Any:
        self.final_status = self.get_code()
        return super()._on_headers_complete()

    def _on_message_begin(self) -> None:
        if self.message_complete and self.final_status >= INFORMATIONAL_END:
            raise HTTPProtocolViolationError("bytes behind a whole answer")
        super()._on_message_begin()

    def feed(self, data: str | bytes) -> None:
        try:
            super().feed(data)
        except HTTPParseError:
            is_whole = self.message_complete
            if not is_whole or self.final_status < INFORMATIONAL_END:
                raise
            self._trailing_data_dropped = True


class SingleUseClient(HTTPClient):
    """A client whose request is sent once, whatever happens to its connection."""

    def request(
        self,
        method: str,
        request_uri: str,
        body: Any = b"",
        headers: Any = None,
    ) -> SingleAnswer:
        """Send a request and return its answer once the headers are complete."""
        head = self._build_request(method, request_uri, body=body, headers=headers)
        sock = self._connection_pool.get_socket()
        sock.sendall(head.encode("latin-1") + body)
        return SingleAnswer(
            sock, self._connection_pool, block_size=self.block_size, method=method
        )


def pool_arguments(
    address: Address, settings: TargetSettings, network_timeout_s: float
) -> dict[str, Any]:
    """Return the arguments shared by both pools."""
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
    address: Address, settings: TargetSettings, network_timeout_s: float
) -> HTTPClient:
    """Return a client for requests that may be repeated."""
    client = HTTPClient(address.host, address.port, disable_ipv6=True)
    client._connection_pool = AgedPool(
        settings.connection_age_max_s,
        size=POOL_SIZE,
        **pool_arguments(address, settings, network_timeout_s),
    )
    return client


def single_use_client(
    address: Address, settings: TargetSettings, network_timeout_s: float
) -> HTTPClient:
    """Return a client that sends one request once, over a fresh connection."""
    client = SingleUseClient(address.host, address.port, disable_ipv6=True)
    client.default_headers.clear()
    client._connection_pool = SingleUsePool(
        size=1, **pool_arguments(address, settings, network_timeout_s)
    )
    return client


@dataclass(frozen=True)
class CallResponse:
    """Status, whole body and headers, by lower-case name, of a short call's answer."""

    status: int
    body: bytes
    headers: dict[str, str]


def call_once(
    address: Address,
    settings: TargetSettings,
    timeout_s: float,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> CallResponse:
    """Make one short call over a connection of its own, within `timeout_s` in all.

    Raises ConnectFailed where nothing was sent, and another OSError or an
    HTTPParseError where no whole answer came.
    """
    client = single_use_client(address, settings, timeout_s)
    try:
        with gevent.Timeout(timeout_s, TimeoutError):
            response = client.request(method, path, body=body, headers=headers)
            content = response.read()
    finally:
        client.close()
    headers = {name.lower(): str(value) for name, value in response.headers}
    return CallResponse(response.status_code, content, headers)


def read_server_event(response: Any) -> bytes | None:
    """Return the data of the next server-sent event, or None at the end.

    An event cut off at the end of the message is returned as it is, so that its
    decoding fails instead of the event vanishing.
    """
    line = response.readline(SEPARATOR)
    if not line:
        line = response.read()
    if not line:
        return None
    return line.strip().removeprefix(DATA_PREFIX)
