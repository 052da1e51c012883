"""Connections on which bytes come without end, so that nobody has to wait for them."""

import gc
import io
import itertools
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import gevent

from chervilstall.target.response import SingleResponse
from chervilstall.turns import await_turn
from chervilstall.wsgi import Server
from chervilstall.wsgi_handler import Handler

SENT_MAX_BYTES = 20_000_000
"""What comes at most, so that a test of code without a bound ends."""

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = CHUNKED + b"2\r\nok\r\n0\r\n"
EVENT = b"id: 1\ndata: token\n\n"

ANSWERS = {
    "header lines behind the last chunk": (LAST_CHUNK, b"X-Field: value\r\n"),
    "one header line behind the last chunk": (LAST_CHUNK + b"X-Field: ", b"x"),
    "the extension of a chunk": (CHUNKED + b"2;name=", b"x"),
    "digits of a chunk's size": (CHUNKED, b"0"),
    "header lines": (OK, b"X-Field: value\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n"),
    "the same event": (CHUNKED, b"%x\r\n%s\r\n" % (len(EVENT), EVENT)),
    "a body without a length": (OK + b"\r\n", b"x"),
    "a chunked answer with fields behind it": (
        LAST_CHUNK + b"Attempt-Id: another\r\n\r\n",
        b"",
    ),
}
"""What comes first, and what is repeated, by the name of the answer."""


@dataclass
class EndlessSocket:
    """A socket with bytes at each read, until a number of them or a time is reached."""

    first: bytes
    repeated: bytes
    taken_max_bytes: float = SENT_MAX_BYTES
    ends_at_s: float = float("inf")
    taken_bytes: int = 0
    is_closed: bool = False

    def recv(self, size: int) -> bytes:
        """Return exactly `size` bytes, less at the end."""
        is_late = time.monotonic() >= self.ends_at_s
        if is_late or self.taken_bytes >= self.taken_max_bytes:
            return b""
        start = self.taken_bytes
        data = self.first[start : start + size]
        if len(data) < size and self.repeated:
            offset = (start + len(data) - len(self.first)) % len(self.repeated)
            count = (size - len(data)) // len(self.repeated) + 2
            data += (self.repeated * count)[offset:][: size - len(data)]
        self.taken_bytes += len(data)
        return data

    def close(self) -> None:
        """Record that the reader gave the connection up."""
        self.is_closed = True


class OneSocketPool:
    """The pool of a response over a single socket."""

    def return_socket(self, sock: Any) -> None:
        """Take the socket back after a whole response."""

    def release_socket(self, sock: Any) -> None:
        """Close the socket."""
        sock.close()


def open_response(sock: EndlessSocket) -> SingleResponse:
    """Read the head of a response."""
    return SingleResponse(sock, OneSocketPool(), method="GET")


def kept_bytes(response: SingleResponse) -> int:
    """Return the size of what a response has kept besides its status."""
    fields = itertools.chain(*response.items())
    unfinished = (response._current_header_field, response._current_header_value)
    texts = [text for text in (*fields, *unfinished) if text is not None]
    return response.unread_bytes + sum(len(text) for text in texts)


@dataclass
class TurnWatch:
    """Measures how long this thread computes between two turns of another task.

    Time in which the thread isn't run doesn't count, so that a busy machine doesn't.
    Neither does a collection of the objects of before: the product's processes freeze
    theirs, too (`telemetry.gc_tuning`).
    """

    longest_s: float = 0.0
    _latest_s: float = field(default=0.0, repr=False)

    def measure(self, action: Callable[[], object]) -> object:
        """Run an action and return what it returns."""
        gc.collect()
        gc.freeze()
        self._latest_s = time.thread_time()
        task = gevent.spawn(self._watch)
        await_turn()
        try:
            return action()
        finally:
            # The task may not get a turn after the action and before its own end.
            self._note_turn()
            task.kill()
            gc.unfreeze()

    def _watch(self) -> None:
        while True:
            await_turn()
            self._note_turn()

    def _note_turn(self) -> None:
        now_s = time.thread_time()
        self.longest_s = max(self.longest_s, now_s - self._latest_s)
        self._latest_s = now_s


REQUEST = b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /body HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE_BYTES = 60_000

REQUESTS = {
    "requests one behind the other": (b"", REQUEST),
    "a body in chunks of one byte": (POST, b"1\r\nx\r\n"),
    "header lines behind the last chunk of a body": (
        POST + b"2\r\nok\r\n0\r\n",
        b"X-Field: value\r\n",
    ),
}


def request_pieces(name: str) -> Iterator[bytes]:
    """Yield what a client sends, in pieces and without end."""
    first, repeated = REQUESTS[name]
    yield first
    while True:
        yield repeated * (PIECE_BYTES // len(repeated))


class CountingReader(io.RawIOBase):
    """A raw stream that counts in its server what is read of all connections."""

    def __init__(self, stream: io.RawIOBase, server: "CountingServer") -> None:
        super().__init__()
        self._stream = stream
        self._server = server

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: memoryview) -> int | None:  # type: ignore[override]
        """Read into a buffer and count."""
        count = self._stream.readinto(buffer)
        self._server.read_bytes += count or 0
        return count


class CountingHandler(Handler):
    """The handler of the product, over a reader that counts."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        reader = CountingReader(self.rfile.detach(), self.server)
        self.rfile = io.BufferedReader(reader)


class CountingServer(Server):
    """A listener that tells how many bytes it has read.

    What a client could send doesn't tell that: the buffers of both sockets take
    megabytes before the listener's process is run.
    """

    handler_class = CountingHandler
    read_bytes = 0
