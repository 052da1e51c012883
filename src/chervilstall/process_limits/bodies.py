"""Reading of a request body into memory that is accounted for."""

from collections.abc import Callable

import gevent

from chervilstall.process_limits.memory import Holding
from chervilstall.wsgi import Environ

READ_BYTES = 65_536
CHUNKED_READ_BYTES = 4_096
"""Each chunk of a read is an object of its own, many times as large as a tiny chunk."""


class BodyEvicted(Exception):
    """The memory of a body that is still arriving is needed for others."""


class ArrivingBody:
    """The part of a body that has arrived, and the task that reads the rest."""

    def __init__(self, environ: Environ, holding: Holding, bytes_max: int) -> None:
        self.pieces: list[bytes] = []
        self._environ = environ
        self._holding = holding
        self._bytes_max = bytes_max
        self._task = gevent.getcurrent()
        self._is_reading = True
        holding.allow_eviction(self._evict)

    def read(self) -> bytes:
        """Return the body, or its first `bytes_max` bytes and one more."""
        remaining_bytes = self._bytes_max + 1
        piece_bytes = CHUNKED_READ_BYTES
        length = self._environ.get("CONTENT_LENGTH")
        if length:
            remaining_bytes = min(remaining_bytes, int(length))
            piece_bytes = READ_BYTES
        elif "HTTP_TRANSFER_ENCODING" not in self._environ:
            remaining_bytes = 0
        while remaining_bytes > 0:
            size_bytes = min(piece_bytes, remaining_bytes)
            self._holding.grow(size_bytes)
            piece = self._environ["wsgi.input"].read(size_bytes)
            self._check_evicted()
            self._holding.shrink(size_bytes - len(piece))
            self._holding.record_progress(len(piece))
            if not piece:
                break
            self.pieces.append(piece)
            remaining_bytes -= len(piece)
        return b"".join(self.pieces)

    def _check_evicted(self) -> None:
        if self._holding.is_evicted:
            raise BodyEvicted

    def _evict(self) -> None:
        self.pieces.clear()
        self.interrupt(BodyEvicted)

    def interrupt(self, error: Callable[[], Exception]) -> None:
        """Let the read raise an error, unless it has ended by then."""
        gevent.get_hub().loop.run_callback(self._throw, error)

    def _throw(self, error: Callable[[], Exception]) -> None:
        if self._is_reading:
            self._task.throw(error())

    def end(self) -> None:
        """Let nothing interrupt the task any more."""
        self._is_reading = False
        self._holding.forbid_eviction()
