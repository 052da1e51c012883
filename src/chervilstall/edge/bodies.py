"""A bound on the bodies of requests that a router holds at once."""

from types import TracebackType

from chervilstall.errors import ChervilstallError, ErrorKind

BODIES_MAX_BYTES = 64_000_000
"""A fifth of the memory of the smallest VM that is planned for."""

RETURN_S = 1.0


class BodyRoom:
    """Memory for bodies, shared by all requests of a router.

    `reserve` makes a share for one request; leaving its `with` block gives it back.

    >>> room = BodyRoom(bytes_max=1_000)
    >>> with room.reserve(600):
    ...     room.used_bytes
    600
    >>> room.used_bytes
    0
    """

    def __init__(self, bytes_max: int = BODIES_MAX_BYTES) -> None:
        self.bytes_max = bytes_max
        self.used_bytes = 0

    def reserve(self, size_bytes: int) -> "BodyShare":
        """Return a share of `size_bytes`. Raises OVERLOADED where it does not fit."""
        if self.used_bytes + size_bytes > self.bytes_max:
            raise ChervilstallError(
                ErrorKind.OVERLOADED, "no memory for another body", RETURN_S
            )
        return BodyShare(self, size_bytes)


class BodyShare:
    """One request's share of a `BodyRoom`."""

    def __init__(self, room: BodyRoom, size_bytes: int) -> None:
        self._room = room
        self._size_bytes = size_bytes
        room.used_bytes += size_bytes

    def shrink(self, size_bytes: int) -> None:
        """Give back what a body turned out not to need."""
        self._room.used_bytes -= self._size_bytes - size_bytes
        self._size_bytes = size_bytes

    def __enter__(self) -> "BodyShare":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.shrink(0)
