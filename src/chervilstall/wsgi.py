"""The WSGI server that all HTTP listeners of the project use.

gevent's server leaves Nagle's algorithm enabled, so the body of a keep-alive response
waits for the peer's delayed acknowledgement. The handler here disables it, limits the
time that a peer may take to send its headers, and responds to malformed requests in
JSON.
"""

import struct
import time
from collections.abc import Callable, Iterable
from contextlib import closing
from socket import (
    IPPROTO_TCP,
    MSG_DONTWAIT,
    MSG_PEEK,
    SHUT_RDWR,
    SHUT_WR,
    SO_LINGER,
    SOL_SOCKET,
    TCP_NODELAY,
    socket,
)
from typing import Any

import gevent
import gevent.pool
import gevent.socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from chervilstall.http_response import (
    HttpResponse,
    StartResponse,
    json_response,
    status_line,
)
from chervilstall.settings.option import Address
from chervilstall.waiting import is_readable
from chervilstall.wsgi_input import UndrainedInput

Environ = dict[str, Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

QUIET_POLL_S = 0.05
QUIET_POLLS_MIN = 2
"""Polls without a request after which none is about to be read either."""

ACCEPT_MAX_S = 0.2
"""Longest time for accepting the connections that wait as a listener is closed."""

ACCEPT_POLL_S = 0.001
LINGER_S = 1.0
LINGER_BYTES = 4_000_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""

REQUEST_TARGET_KEY = "chervilstall.target"
"""Environment key of the request target, exactly as it was sent."""

HEADERS_KEY = "chervilstall.headers"
"""Environment key of the header fields, in the order in which they were sent."""

SOCKET_KEY = "chervilstall.socket"
"""Environment key of the socket of the caller's connection."""


def read_body(environ: Environ) -> bytes:
    """Read the whole request body of a trusted peer."""
    return environ["wsgi.input"].read()


class HeaderTimeout(ValueError):
    """A peer took too long to send its headers."""


class NullLog:
    """Discards the server's access log; components write logs of their own."""

    def write(self, message: str) -> None:
        """Discard `message`."""


class Handler(WSGIHandler):
    """Connection handler with TCP_NODELAY, a header deadline and JSON errors.

    One task serves one connection. The server that owns the handler provides the
    deadlines and the response to malformed requests. A connection whose request body
    was not read completely is closed after the response.
    """

    wsgi_input: UndrainedInput
    _write_buffer: bytearray | None = None
    _has_read_request = False

    def log_request(self) -> None:
        """Log nothing; components write logs of their own."""

    def _write_with_headers(self, data: bytes) -> None:
        # Send the headers and the first chunk of the body in one write.
        self._write_buffer = bytearray()
        super()._write_with_headers(data)
        buffered, self._write_buffer = self._write_buffer, None
        super()._sendall(buffered)

    def _sendall(self, data: bytes) -> None:
        if self._write_buffer is not None:
            self._write_buffer += data
            return
        super()._sendall(data)

    def handle(self) -> None:
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        # Applies to every read and write, so a peer that stops reading is disconnected.
        self.socket.settimeout(self.server.idle_timeout_s)
        super().handle()

    def read_requestline(self) -> str:
        if self.server.is_closing_idle and self._has_read_request:
            return ""
        self._has_read_request = True
        self.server.idle.add(self)
        try:
            return self._await_requestline()
        finally:
            self.server.idle.discard(self)

    def has_unread_bytes(self) -> bool:
        """Return whether the socket has received bytes that no task has read yet."""
        try:
            return bool(self.socket._sock.recv(1, MSG_PEEK | MSG_DONTWAIT))
        except OSError:
            # Nothing has come, or the peer has already closed the connection.
            return False

    def _await_requestline(self) -> str:
        with gevent.Timeout(self.server.idle_timeout_s, False):
            return super().read_requestline()
        return ""

    def read_request(self, raw_requestline: str) -> bool:
        with gevent.Timeout(self.server.header_timeout_s, HeaderTimeout):
            return super().read_request(raw_requestline)

    def get_environ(self) -> Environ:
        environ = super().get_environ()
        environ[REQUEST_TARGET_KEY] = self.path
        environ[HEADERS_KEY] = self.headers.items()
        environ[SOCKET_KEY] = self.socket
        body = environ["wsgi.input"]
        environ["wsgi.input"] = self.wsgi_input = UndrainedInput(
            body.rfile, body.content_length, body.socket, body.chunked_input
        )
        return environ

    def handle_one_request(self) -> bool | None:
        result = super().handle_one_request()
        if isinstance(result, tuple):
            self._send_error(int(result[0]))
            return None
        if result and self.wsgi_input.has_unread_bytes:
            self._linger()
            return None
        return result

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if isinstance(ex, HeaderTimeout):
            return "408", b""
        text = str(ex)
        if "Line too long" in text or "more than" in text:
            return "431", b""
        return "400", b""

    def run_application(self) -> None:
        try:
            super().run_application()
        except BaseException:
            # Also the end of the task, by which a stop of the server ends a response.
            self._mark_response_as_cut()
            raise

    def _mark_response_as_cut(self) -> None:
        """Let the connection be reset where its regular end would end the response."""
        is_framed = self.response_use_chunked or (
            self.provided_content_length is not None
        )
        if is_framed or not self.headers_sent:
            return
        try:
            self.socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        except OSError:
            # The peer has already closed the connection.
            return

    def handle_error(self, t: type, v: object, tb: object) -> None:
        """Close the connection without an error if the peer is gone or timed out."""
        if issubclass(t, OSError):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)

    def _send_error_response_if_possible(self, error_code: int) -> None:
        # The application was already called, so this isn't just a malformed request.
        self.close_connection = True
        if not self.response_length:
            self._send_error(500)

    def _send_error(self, status: int) -> None:
        response = self.server.bad_request_response(status)
        lines = [f"HTTP/1.1 {status_line(response.status)}"]
        lines += [f"{name}: {value}" for name, value in response.headers]
        lines += [f"Content-Length: {len(response.body)}", "Connection: close", "", ""]
        self.close_connection = True
        try:
            self.socket.sendall("\r\n".join(lines).encode("latin-1") + response.body)
        except OSError:
            return
        self._linger()

    def _linger(self) -> None:
        """Wait for the peer to close before closing the socket.

        Closing a socket with unread bytes sends a reset, which could discard the
        response before the peer has read it.
        """
        try:
            with gevent.Timeout(LINGER_S, False):
                self.socket.shutdown(SHUT_WR)
                remaining_bytes = LINGER_BYTES
                while remaining_bytes > 0:
                    chunk = self.socket.recv(remaining_bytes)
                    if not chunk:
                        return
                    remaining_bytes -= len(chunk)
        except OSError:
            return


def default_bad_request_response(status: int) -> HttpResponse:
    """Return the response to a request that could not be parsed."""
    return json_response(status, {"error": status_line(status)})


def _listener_and_host(address: Address | socket) -> tuple[Any, str]:
    """Return the listener argument for gevent's server, and the host."""
    match address:
        case Address(host, port):
            return (host, port), host
        case socket():
            listener = gevent.socket.socket(fileno=address.detach())
            listener.setblocking(False)
            return listener, listener.getsockname()[0]


class Server(WSGIServer):
    """A WSGI server that runs one task per connection.

    `address` may also be a socket that is already listening. `bad_request_response`
    builds the response to a request that the HTTP parser rejected, from its status.
    With port 0 the operating system chooses a port; read `bound_address` after
    `start`.
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
        self._handshakes = 0
        listener, host = _listener_and_host(address)
        super().__init__(
            listener,
            application,
            log=NullLog(),
            error_log=NullLog(),
            spawn=self.connections,
            # Otherwise the server would look up the name of its own address in DNS.
            environ={"SERVER_NAME": host},
            **ssl_arguments,
        )

    @property
    def bound_address(self) -> Address:
        """Return the address that the listener is bound to."""
        return Address(self.server_host, self.server_port)

    @property
    def busy_connections(self) -> int:
        """Return the number of connections that read, serve or have got a request."""
        unread = sum(handler.has_unread_bytes() for handler in self.idle)
        silent = len(self.idle) + self._handshakes
        return len(self.connections) - silent + unread

    def wrap_socket_and_handle(self, client_socket: Any, address: Any) -> Any:
        """Serve a TLS connection; until its handshake is over it asks for nothing."""
        self._handshakes += 1
        try:
            with gevent.Timeout(self.header_timeout_s, HeaderTimeout):
                tls_socket = self.wrap_socket(client_socket, **self.ssl_args)
        except (OSError, HeaderTimeout):
            client_socket.close()
            return None
        finally:
            self._handshakes -= 1
        with closing(tls_socket):
            return self.handle(tls_socket, address)

    def wait_until_quiet(
        self, count_running: Callable[[], int], until_s: float
    ) -> bool:
        """Wait until no request runs or is being read; return whether that is so.

        `count_running` returns the number of requests that the application runs, and
        `until_s` is the monotonic time at which the wait ends at the latest.
        """
        quiet_polls = 0
        while quiet_polls < QUIET_POLLS_MIN and time.monotonic() < until_s:
            gevent.sleep(QUIET_POLL_S)
            is_busy = count_running() or self.busy_connections
            quiet_polls = 0 if is_busy else quiet_polls + 1
        return quiet_polls >= QUIET_POLLS_MIN

    def set_timeouts(self, header_timeout_s: float, idle_timeout_s: float) -> None:
        """Change the timeouts, from the next request of each connection on."""
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s

    def close_idle(self) -> None:
        """Close idle connections, and others as soon as they become idle.

        A new connection still gets a response to its first request.
        """
        self.is_closing_idle = True
        for handler in list(self.idle):
            try:
                if not handler.has_unread_bytes():
                    handler.socket.shutdown(SHUT_RDWR)
            except OSError:
                # The peer has already closed the connection.
                continue

    def stop_listening(self) -> None:
        """Close the listener once every connection that waits there is accepted.

        The operating system would reset those that still wait, whose callers may have
        sent their requests already.
        """
        until_s = time.monotonic() + ACCEPT_MAX_S
        while self._has_waiting_connections() and time.monotonic() < until_s:
            gevent.sleep(ACCEPT_POLL_S)
        self.close()

    def _has_waiting_connections(self) -> bool:
        return not self.closed and is_readable(self.socket)

    def kill_connections(self) -> None:
        """Close the listener and terminate every open connection."""
        self.close()
        self.connections.kill(block=False)
