"""Reading of request bodies out of the memory for what clients send."""

from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from chervilstall.edge.draining import shutting_down_error
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.records import CallerLimits
from chervilstall.process_limits.memory import Holding, MemoryShort
from chervilstall.wsgi import Environ

RETRY_AFTER_S = 1.0
READ_BYTES = 65_536
HEAD_FREE_BYTES = 2_048
"""Size up to which headers count as part of their connection."""

HEAD_COPIES = 3
"""Headers are held as fields, as those for targets, and while they are sent."""

CHUNKED_READ_BYTES = 4_096
"""Each chunk of a read is an object of its own, many times as large as a tiny chunk."""


class _Interrupted(Exception):
    """The router stops while a body is still arriving."""


class _Evicted(Exception):
    """The memory of a body that is still arriving is needed for others."""


def _out_of_memory_error() -> ChervilstallError:
    return ChervilstallError(
        ErrorKind.OVERLOADED, "not enough memory for the request body", RETRY_AFTER_S
    )


def account_head(holding: Holding, size_bytes: int) -> None:
    """Account for a request's headers. Raises OVERLOADED without room."""
    try:
        holding.grow(HEAD_COPIES * max(0, size_bytes - HEAD_FREE_BYTES))
    except MemoryShort as error:
        raise _out_of_memory_error() from error


class _ArrivingBody:
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
            raise _Evicted

    def _evict(self) -> None:
        self.pieces.clear()
        self.interrupt(_Evicted)

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


@dataclass
class BodyReader:
    """Reads the bodies of requests, and interrupts this when the router stops."""

    _arriving: set[_ArrivingBody] = field(default_factory=set)

    def read(self, environ: Environ, limits: CallerLimits, holding: Holding) -> bytes:
        """Return a request's body, accounted for by `holding`.

        Raises ChervilstallError for one that is late, too large, evicted or
        interrupted.
        """
        length = environ.get("CONTENT_LENGTH")
        if length and int(length) > limits.body_bytes:
            raise ChervilstallError(ErrorKind.BODY_TOO_LARGE, f"{length} bytes")
        arriving = _ArrivingBody(environ, holding, limits.body_bytes)
        self._arriving.add(arriving)
        try:
            with gevent.Timeout(limits.idle_timeout_s, TimeoutError):
                body = arriving.read()
        except TimeoutError as error:
            raise ChervilstallError(
                ErrorKind.REQUEST_TIMEOUT, "the body did not arrive in time"
            ) from error
        except _Interrupted as error:
            raise shutting_down_error() from error
        except (_Evicted, MemoryShort) as error:
            raise _out_of_memory_error() from error
        finally:
            arriving.end()
            self._arriving.discard(arriving)
        if len(body) > limits.body_bytes:
            raise ChervilstallError(ErrorKind.BODY_TOO_LARGE, f"{len(body)} bytes")
        return body

    def interrupt_all(self) -> None:
        """End every read, so that its request can still be refused."""
        for arriving in list(self._arriving):
            arriving.interrupt(_Interrupted)
