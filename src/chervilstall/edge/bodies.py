"""Reading of request bodies, and a limit on the memory that they take together."""

from dataclasses import dataclass, field
from types import TracebackType

import gevent

from chervilstall.edge.draining import shutting_down_error
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.records import CallerLimits
from chervilstall.wsgi import Environ

BODIES_MAX_BYTES = 64_000_000
"""A fifth of the memory of the smallest VM that the router is meant for."""

RETRY_AFTER_S = 1.0


class BodyMemory:
    """Memory for request bodies, shared by all requests of a router.

    `reserve` sets memory aside for one request; the end of its `with` block frees it.

    >>> memory = BodyMemory(bytes_max=1_000)
    >>> with memory.reserve(600):
    ...     memory.used_bytes
    600
    >>> memory.used_bytes
    0
    """

    def __init__(self, bytes_max: int = BODIES_MAX_BYTES) -> None:
        self.bytes_max = bytes_max
        self.used_bytes = 0

    def reserve(self, size_bytes: int) -> "BodyReservation":
        """Return a reservation. Raises OVERLOADED where the memory does not suffice."""
        if self.used_bytes + size_bytes > self.bytes_max:
            raise ChervilstallError(
                ErrorKind.OVERLOADED,
                "not enough memory for the request body",
                RETRY_AFTER_S,
            )
        return BodyReservation(self, size_bytes)


class BodyReservation:
    """Memory reserved for the body of one request."""

    def __init__(self, memory: BodyMemory, size_bytes: int) -> None:
        self._memory = memory
        self._size_bytes = size_bytes
        memory.used_bytes += size_bytes

    def shrink(self, size_bytes: int) -> None:
        """Reduce the reservation to the size that the body turned out to have."""
        self._memory.used_bytes -= self._size_bytes - size_bytes
        self._size_bytes = size_bytes

    def __enter__(self) -> "BodyReservation":
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.shrink(0)


class _Interrupted(Exception):
    """The router stops while a body is still arriving."""


@dataclass
class BodyReader:
    """Reads the bodies of requests, and interrupts this when the router stops."""

    _tasks: set[gevent.Greenlet] = field(default_factory=set)

    def read(self, environ: Environ, limits: CallerLimits) -> bytes:
        """Return a request's body. Raises ChervilstallError for one late or too large.

        It also raises if the body is interrupted.
        """
        task = gevent.getcurrent()
        self._tasks.add(task)
        try:
            with gevent.Timeout(limits.idle_timeout_s, TimeoutError):
                body = environ["wsgi.input"].read(limits.body_bytes + 1)
        except TimeoutError as error:
            raise ChervilstallError(
                ErrorKind.REQUEST_TIMEOUT, "the body did not arrive in time"
            ) from error
        except _Interrupted as error:
            raise shutting_down_error() from error
        finally:
            self._tasks.discard(task)
        if len(body) > limits.body_bytes:
            raise ChervilstallError(ErrorKind.BODY_TOO_LARGE, f"{len(body)} bytes")
        return body

    def interrupt_all(self) -> None:
        """End every read, so that its request can still be refused."""
        for task in list(self._tasks):
            task.kill(_Interrupted(), block=False)
