"""The WSGI server that every HTTP listener of the project uses.

gevent's server leaves Nagle's algorithm on, so the body of a keep-alive answer waits
for the peer's delayed acknowledgement. The handler here turns it off, bounds how long
a peer may take over its headers, and answers malformed requests in JSON.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from socket import (
    IPPROTO_TCP,
    MSG_DONTWAIT,
    MSG_PEEK,
    SHUT_RDWR,
    SHUT_WR,
    TCP_NODELAY,
    socket,
)
from typing import Any

import gevent
import gevent.pool
import gevent.socket
import msgspec
from gevent.pywsgi import Input, WSGIHandler, WSGIServer

from chervilstall.settings.option import Address

Environ = dict[str, Any]
StartResponse = Callable[..., Callable[[bytes], object]]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

LINGER_S = 1.0
LINGER_BYTES = 4_000_000
REQUEST_TARGET_KEY = "chervilstall.target"
"""Environment key of the request target, byte for byte as it was sent."""

HEADERS_KEY = "chervilstall.headers"
"""Environment key of the header fields in the order in which they came."""

SOCKET_KEY = "chervilstall.socket"
"""Environment key of the caller's connection."""

JSON_TYPE = ("Content-Type", "application/json")
STATUS_TEXTS = {
    200: "200 OK",
    201: "201 Created",
    204: "204 No Content",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    403: "403 Forbidden",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    408: "408 Request Timeout",
    409: "409 Conflict",
    413: "413 Content Too Large",
    421: "421 Misdirected Request",
    422: "422 Unprocessable Content",
    429: "429 Too Many Requests",
    431: "431 Request Header Fields Too Large",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}


@dataclass(frozen=True)
class HttpResponse:
    """A whole HTTP answer: status, body and headers beside the length."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = (JSON_TYPE,)

    def start(self, start_response: StartResponse) -> list[bytes]:
        """Send status and headers, and return the body for the server."""
        length = ("Content-Length", str(len(self.body)))
        start_response(status_line(self.status), [*self.headers, length])
        return [self.body]


def status_line(status: int) -> str:
    """Return the status line text of an HTTP status code."""
    return STATUS_TEXTS.get(status, f"{status} Status")


def json_response(status: int, body: object) -> HttpResponse:
    """Return an answer whose body is `body` encoded as JSON."""
    return HttpResponse(status, msgspec.json.encode(body))


def read_body(environ: Environ) -> bytes:
    """Read the whole request body of a trusted peer."""
    return environ["wsgi.input"].read()


class HeadersLate(ValueError):
    """A peer took too long over its headers."""


class QuietLog:
    """Discards the server's own access log; parts log for themselves."""

    def write(self, message: str) -> None:
        """Discard `message`."""


class BoundedInput(Input):
    """A request body that is never read on once its request was answered."""

    is_unread = False

    def _discard(self) -> None:
        left = (self.content_length or 0) - self.position
        is_chunk_left = self.chunked_input and self.chunk_length != 0
        self.is_unread = left > 0 or is_chunk_left


class Handler(WSGIHandler):
    """Connection handler with TCP_NODELAY, a header deadline and JSON errors.

    One task serves one connection. The deadlines and the answer to a malformed
    request come from the server that owns the handler. A connection whose body was
    not read to its end is closed after the answer.
    """

    wsgi_input: BoundedInput
    _held: bytearray | None = None
    _has_served = False

    def log_request(self) -> None:
        """Log nothing here; parts log for themselves."""

    def _write_with_headers(self, data: bytes) -> None:
        # Head and first part of the body go out in one write.
        self._held = bytearray()
        super()._write_with_headers(data)
        held, self._held = self._held, None
        super()._sendall(held)

    def _sendall(self, data: bytes) -> None:
        if self._held is not None:
            self._held += data
            return
        super()._sendall(data)

    def handle(self) -> None:
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        # Bounds every read and write: a peer that stopped reading is cut off.
        self.socket.settimeout(self.server.idle_timeout_s)
        super().handle()

    def read_requestline(self) -> str:
        if self.server.is_closing_idle and self._has_served:
            return ""
        self._has_served = True
        self.server.idle.add(self)
        try:
            return self._await_requestline()
        finally:
            self.server.idle.discard(self)

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that no task has read yet."""
        try:
            return bool(self.socket._sock.recv(1, MSG_PEEK | MSG_DONTWAIT))
        except BlockingIOError:
            return False

    def _await_requestline(self) -> str:
        with gevent.Timeout(self.server.idle_timeout_s, False):
            return super().read_requestline()
        return ""

    def read_request(self, raw_requestline: str) -> bool:
        with gevent.Timeout(self.server.header_timeout_s, HeadersLate):
            return super().read_request(raw_requestline)

    def get_environ(self) -> Environ:
        environ = super().get_environ()
        environ[REQUEST_TARGET_KEY] = self.path
        environ[HEADERS_KEY] = self.headers.items()
        environ[SOCKET_KEY] = self.socket
        body = environ["wsgi.input"]
        environ["wsgi.input"] = self.wsgi_input = BoundedInput(
            body.rfile, body.content_length, body.socket, body.chunked_input
        )
        return environ

    def handle_one_request(self) -> bool | None:
        result = super().handle_one_request()
        if isinstance(result, tuple):
            self._refuse(int(result[0]))
            return None
        if result and self.wsgi_input.is_unread:
            self._linger()
            return None
        return result

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if isinstance(ex, HeadersLate):
            return "408", b""
        text = str(ex)
        if "Line too long" in text or "more than" in text:
            return "431", b""
        return "400", b""

    def handle_error(self, t: type, v: object, tb: object) -> None:
        """Close quietly where the peer is gone or stands still."""
        if issubclass(t, OSError):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)

    def _send_error_response_if_possible(self, error_code: int) -> None:
        # The application has begun, so this is never the caller's mistake alone.
        self.close_connection = True
        if not self.response_length:
            self._refuse(500)

    def _refuse(self, status: int) -> None:
        reply = self.server.bad_request_response(status)
        lines = [f"HTTP/1.1 {status_line(reply.status)}"]
        lines += [f"{name}: {value}" for name, value in reply.headers]
        lines += [f"Content-Length: {len(reply.body)}", "Connection: close", "", ""]
        self.close_connection = True
        try:
            self.socket.sendall("\r\n".join(lines).encode("latin-1") + reply.body)
        except OSError:
            return
        self._linger()

    def _linger(self) -> None:
        """Let the answer arrive before unread bytes make the close a reset."""
        try:
            with gevent.Timeout(LINGER_S, False):
                self.socket.shutdown(SHUT_WR)
                left_bytes = LINGER_BYTES
                while left_bytes > 0:
                    chunk = self.socket.recv(left_bytes)
                    if not chunk:
                        return
                    left_bytes -= len(chunk)
        except OSError:
            return


def default_bad_request_response(status: int) -> HttpResponse:
    """Return the answer to a request that could not be parsed."""
    return json_response(status, {"error": status_line(status)})


def _listener_of(address: Address | socket) -> tuple[Any, str]:
    """Return what gevent's server takes as its listener, and the host."""
    match address:
        case Address(host, port):
            return (host, port), host
        case socket():
            own = gevent.socket.socket(fileno=address.detach())
            own.setblocking(False)
            return own, own.getsockname()[0]


class Server(WSGIServer):
    """A WSGI listener on an address, one task per connection.

    The address may also be a socket that listens already. `bad_request_response` builds
    the answer for a request that HTTP parsing refused, from its status. With port 0 the
    operating system chooses; read `address` after `start`.
    """

    handler_class = Handler

    def __init__(
        self,
        address: Address | socket,
        application: Application,
        connections_max: int = 10_000,
        header_timeout_s: float = 10.0,
        idle_timeout_s: float = 120.0,
        bad_request_response: Callable[
            [int], HttpResponse
        ] = default_bad_request_response,
        **ssl_arguments: Any,
    ) -> None:
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.bad_request_response = bad_request_response
        self.connections = gevent.pool.Pool(connections_max)
        self.idle: set[Handler] = set()
        self.is_closing_idle = False
        listener, host = _listener_of(address)
        super().__init__(
            listener,
            application,
            log=QuietLog(),
            error_log=QuietLog(),
            spawn=self.connections,
            # Set here, or the server asks DNS for the name of its own address.
            environ={"SERVER_NAME": host},
            **ssl_arguments,
        )

    @property
    def bound_address(self) -> Address:
        """Return the address that the listener is bound to."""
        return Address(self.server_host, self.server_port)

    def close_idle(self) -> None:
        """Close connections that wait for a request, now and from now on.

        A new connection still gets its first request answered.
        """
        self.is_closing_idle = True
        for handler in list(self.idle):
            try:
                if not handler.has_unread_bytes():
                    handler.socket.shutdown(SHUT_RDWR)
            except OSError:
                # The peer has closed it already.
                continue

    def kill_connections(self) -> None:
        """Close the listener and cut every open connection."""
        self.close()
        self.connections.kill(block=False)
