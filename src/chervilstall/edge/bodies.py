"""Limit on the memory for request bodies that a router holds at the same time."""

from types import TracebackType

from chervilstall.errors import ChervilstallError, ErrorKind

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
