"""The connection handler of the project's WSGI server.

gevent's handler leaves Nagle's algorithm enabled, so the body of a keep-alive response
waits for the peer's delayed acknowledgement. The handler here disables it, checks the
limits on heads while it reads them, and responds to malformed requests in JSON.
"""

import io
import struct
import time
from collections.abc import Callable, Iterable
from socket import (
    IPPROTO_TCP,
    MSG_DONTWAIT,
    MSG_PEEK,
    SHUT_RDWR,
    SHUT_WR,
    SO_LINGER,
    SOL_SOCKET,
    TCP_NODELAY,
)
from typing import Any

import gevent
from gevent.pywsgi import WSGIHandler

from chervilstall.http_response import (
    HttpResponse,
    StartResponse,
    json_response,
    status_line,
)
from chervilstall.process_limits.connections import Silence, SilentConnection
from chervilstall.telemetry.events import EventLog
from chervilstall.turns import Turn, YieldingReader
from chervilstall.wsgi_head import HeaderTimeout, HeadReader, HeadTooLarge
from chervilstall.wsgi_input import UndrainedInput

log = EventLog("listener")

Environ = dict[str, Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

LINGER_S = 1.0
LINGER_BYTES = 4_000_000
LINGER_READ_BYTES = 16_384
"""A larger read would keep megabytes for each peer that sends without end."""

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


class Handler(WSGIHandler):
    """Connection handler with TCP_NODELAY, a header deadline and JSON errors.

    One task serves one connection, and gives way to others also where its peer's bytes
    never let it wait. The server that owns the handler provides the deadlines and the
    response to malformed requests. A connection whose request body was not read
    completely is closed after the response.
    """

    rfile: io.BufferedReader
    wsgi_input: UndrainedInput
    _head: HeadReader
    _head_until_s = 0.0
    _write_buffer: bytearray | None = None
    _has_read_request = False

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._turn = Turn()
        raw_stream = YieldingReader(self.rfile.detach(), self._turn)
        self.rfile = io.BufferedReader(raw_stream)

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
        # Many requests may wait in the buffer, which no read takes from the socket.
        self._turn.give_way()
        if not self._has_next_request():
            return ""
        self._has_read_request = True
        self._head_until_s = time.monotonic() + self.server.header_timeout_s
        self._head = HeadReader(self.rfile, self.server.head_bytes_max)
        self.server.inside_head[self] = None
        with self._head_deadline():
            return self._head.read_request_line()

    def _has_next_request(self) -> bool:
        """Wait for the first byte of a request; return whether one has come.

        A listener at its limit keeps no connection open for another request.
        """
        if self._has_read_request and self.server.connections.full():
            return self.has_unread_bytes() and bool(self.rfile.peek(1))
        self.server.idle[self] = None
        try:
            with gevent.Timeout(self.server.idle_timeout_s, False):
                return bool(self.rfile.peek(1))
        finally:
            self.server.idle.pop(self, None)
        return False

    @property
    def idle_silence(self) -> Silence:
        """Return what the connection waits for while it is idle."""
        return Silence.NEXT_REQUEST if self._has_read_request else Silence.FIRST_BYTE

    def silent_connection(self, silence: Silence) -> "SilentConnection[Handler]":
        """Return this connection for the choice of those to close."""
        return SilentConnection(self, silence, str(self.client_address[0]))

    def disconnect(self) -> None:
        """End the connection; the task that serves it sees its end."""
        try:
            self.socket.shutdown(SHUT_RDWR)
        except OSError:
            # The peer has already closed the connection.
            return

    def _head_deadline(self) -> gevent.Timeout:
        remaining_s = max(0.0, self._head_until_s - time.monotonic())
        return gevent.Timeout(remaining_s, HeaderTimeout)

    def MessageClass(self, *arguments: Any) -> Any:
        """Parse the header fields; gevent passes its own reader, without limits."""
        return super().MessageClass(self._head, *arguments[1:])

    def has_unread_bytes(self) -> bool:
        """Return whether the socket has received bytes that no task has read yet."""
        try:
            return bool(self.socket._sock.recv(1, MSG_PEEK | MSG_DONTWAIT))
        except OSError:
            # Nothing has come, or the peer has already closed the connection.
            return False

    def read_request(self, raw_requestline: str) -> bool:
        try:
            with self._head_deadline():
                return super().read_request(raw_requestline)
        finally:
            self.server.inside_head.pop(self, None)

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
        try:
            result = super().handle_one_request()
        except (HeadTooLarge, HeaderTimeout) as error:
            # Raised by the request line; gevent handles those of the other lines.
            result = self._handle_client_error(error)
        finally:
            self.server.inside_head.pop(self, None)
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
        if (
            isinstance(ex, HeadTooLarge)
            or "Line too long" in text
            or "more than" in text
        ):
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
        self.server.counters[f"refused_{status}"] += 1
        log.routine(
            "request refused unread",
            status=status,
            listener=str(self.server.address),
            address=str(self.client_address[0]),
        )
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
        self.server.lingering[self] = None
        try:
            with gevent.Timeout(LINGER_S, False):
                self.socket.shutdown(SHUT_WR)
                remaining_bytes = LINGER_BYTES
                while remaining_bytes > 0:
                    self._turn.give_way()
                    received_bytes = len(self.socket.recv(LINGER_READ_BYTES))
                    if not received_bytes:
                        return
                    remaining_bytes -= received_bytes
        except OSError:
            return
        finally:
            self.server.lingering.pop(self, None)


def default_bad_request_response(status: int) -> HttpResponse:
    """Return the response to a request that could not be parsed."""
    return json_response(status, {"error": status_line(status)})
