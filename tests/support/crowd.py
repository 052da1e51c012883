"""Crowds of clients that send or read what they like, on plain sockets."""

import socket
from collections.abc import Callable, Iterable, Iterator

import gevent

from chervilstall.settings.option import Address
from chervilstall.standin.platform_fixtures import API_KEY, CALLER_HOST
from tests.support.platform import open_connection

HEAD_LINES = 95
HEAD_LINE_BYTES = 60_000
BODY_BYTES = 4_000_000
BODY_SHORT_BYTES = 10
PIECE_BYTES = 50_000
SLOW_READ_BUFFER_BYTES = 4096
"""Receive buffer of a slow reader; the usual one would take a long answer whole."""

ENDLESS_BYTES = 6_000_000
"""What a client without end sends at most."""

LAST_CHUNK = b"\r\n0\r\n\r\n"
READ_REST_S = 2.0

Sender = Callable[[], Iterable[bytes]]


def request_line(path: str = "/lookup/a", number: int = 0) -> bytes:
    """Return a request line and the headers that every request needs."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\nAttempt-Id: crowd-{number}\r\n"
        f"Credential: {API_KEY}\r\nDeadline-Ms: 20000\r\n"
    ).encode()


def long_lines() -> Iterator[bytes]:
    """Send many long header lines and no end of the head."""
    yield request_line()
    for number in range(HEAD_LINES):
        yield b"X-%d: " % number + b"x" * HEAD_LINE_BYTES + b"\r\n"


def endless_line() -> Iterator[bytes]:
    """Send a request line without an end."""
    yield b"POST /"
    for _ in range(ENDLESS_BYTES // PIECE_BYTES):
        yield b"x" * PIECE_BYTES


def empty_lines() -> Iterator[bytes]:
    """Send empty lines where a request should begin."""
    for _ in range(ENDLESS_BYTES // PIECE_BYTES):
        yield b"\r\n" * (PIECE_BYTES // 2)


def body_with_length() -> Iterator[bytes]:
    """Send a body that stops just short of its stated length."""
    yield request_line() + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield b"x" * PIECE_BYTES
    yield b"x" * (PIECE_BYTES - BODY_SHORT_BYTES)


def body_in_chunks() -> Iterator[bytes]:
    """Send a chunked body without its last chunk."""
    yield request_line() + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield b"%x\r\n" % PIECE_BYTES + b"x" * PIECE_BYTES + b"\r\n"


def small_body() -> Iterator[bytes]:
    """Send the first half of a small body."""
    yield request_line() + b"Content-Length: 200\r\n\r\n" + b"x" * 100


def silence() -> Iterator[bytes]:
    """Send nothing."""
    return iter(())


CROWDS: dict[str, Sender] = {
    "long header lines": long_lines,
    "a request line without end": endless_line,
    "empty lines without end": empty_lines,
    "bodies with a length that stop short": body_with_length,
    "chunked bodies that stop short": body_in_chunks,
    "small bodies that stop short": small_body,
    "nothing": silence,
}


class Crowd:
    """Clients that each send what they have and leave their connections open."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.connections: list[socket.socket] = []
        self.answers: dict[socket.socket, bytes] = {}

    def send_all(self, count: int, sender: Sender) -> None:
        """Let `count` clients send; return when none can send any more."""
        tasks = [gevent.spawn(self._send, sender) for _ in range(count)]
        gevent.joinall(tasks)

    def _send(self, sender: Sender) -> None:
        try:
            connection = open_connection(self.address)
            self.connections.append(connection)
            for piece in sender():
                connection.sendall(piece)
        except OSError:
            # The router refuses or closes the connection, which it is allowed to.
            return

    def read_slowly(self, count: int, path: str) -> None:
        """Let `count` clients send requests and read a few bytes of each answer."""
        tasks = [gevent.spawn(self._read, path, number) for number in range(count)]
        gevent.joinall(tasks)

    def _read(self, path: str, number: int) -> None:
        try:
            connection = socket.socket()
            connection.settimeout(10.0)
            self.connections.append(connection)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BUFFER_BYTES
            )
            connection.connect((self.address.host, self.address.port))
            request = request_line(path, number) + b"Token-Count: 100,60\r\n"
            connection.sendall(request + b"Content-Length: 0\r\n\r\n")
            self.answers[connection] = connection.recv(100)
        except OSError:
            # The router refuses or closes the connection, which it is allowed to.
            return

    def read_rest(self, connection: socket.socket) -> bytes:
        """Return all that comes on a connection until it ends or the caller leaves."""
        answer = bytearray(self.answers.get(connection, b""))
        connection.settimeout(READ_REST_S)
        try:
            while not answer.endswith(LAST_CHUNK):
                piece = connection.recv(PIECE_BYTES)
                if not piece:
                    break
                answer += piece
        except OSError:
            # A reset, or a router that sends no more.
            return bytes(answer)
        return bytes(answer)

    def stop(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.close()
