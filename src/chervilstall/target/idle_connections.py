"""Idle connections to targets, each kept after a complete answer for a later request.

An answer that belongs to another request must not reach a caller. A connection is
therefore used again only if nothing has come over it since its last answer, and never
for a request ID that it has carried before: an extra answer to that ID could not be
told from the right one.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent.socket
from geventhttpclient import HTTPClient

from chervilstall.fleet.records import TargetIncarnation
from chervilstall.ids import RequestId
from chervilstall.settings.option import Address
from chervilstall.waiting import find_readable, is_readable

REQUESTS_MAX = 64
"""Requests over one connection; bounds the memory for the IDs that it has carried."""


@dataclass(eq=False)
class TargetConnection:
    """A connection to one start of a target.

    `requests` holds the hashes of the request IDs that it has carried. While it is
    idle, it may be used until `until_s`, a monotonic time.
    """

    client: HTTPClient
    address: Address
    incarnation: TargetIncarnation
    requests: set[int] = field(default_factory=set)
    until_s: float = 0.0

    @property
    def socket(self) -> gevent.socket.socket:
        """Return the open socket."""
        pool: Any = self.client._connection_pool
        return pool.socket

    def close(self) -> None:
        """Close the connection."""
        self.client.close()

    def may_carry(self, request: RequestId) -> bool:
        """Return whether a request has an ID that the connection hasn't carried."""
        return bool(request) and hash(request) not in self.requests

    def is_sound(self, incarnation: TargetIncarnation, now_s: float) -> bool:
        """Return whether the idle connection may be used for a request to a target.

        A readable connection was closed, or has bytes that belong to no request.
        """
        if self.incarnation != incarnation or now_s >= self.until_s:
            return False
        return not is_readable(self.socket)


class IdleConnections:
    """The idle connections of one process, by address and in order of last use.

    The one that was used last is taken first, so that surplus ones expire.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._by_address: dict[Address, list[TargetConnection]] = {}
        self._in_order: dict[TargetConnection, None] = {}

    def __len__(self) -> int:
        return len(self._in_order)

    def count(self, address: Address) -> int:
        """Return the number of idle connections to an address."""
        return len(self._by_address.get(address, ()))

    def take(
        self, address: Address, incarnation: TargetIncarnation, request: RequestId
    ) -> TargetConnection | None:
        """Return a sound connection that has not carried a request ID, or None.

        Connections that turn out to be unsound are closed.
        """
        now_s = self._clock()
        for connection in reversed(self._by_address.get(address, [])[:]):
            if not connection.is_sound(incarnation, now_s):
                self._close(connection)
                continue
            if connection.may_carry(request):
                self._remove(connection)
                return connection
        return None

    def keep(self, connection: TargetConnection, idle_s: float) -> None:
        """Keep a connection that has carried a complete answer for `idle_s` seconds."""
        connection.until_s = self._clock() + idle_s
        self._by_address.setdefault(connection.address, []).append(connection)
        self._in_order[connection] = None

    def drop(self, address: Address) -> int:
        """Close the connections to an address, and return how many there were."""
        dropped = self._by_address.get(address, [])[:]
        for connection in dropped:
            self._close(connection)
        return len(dropped)

    def limit(self, total: int) -> None:
        """Close those that have been idle for longest until at most `total` remain."""
        while len(self._in_order) > max(0, total):
            self._close(next(iter(self._in_order)))

    def limit_to(self, address: Address, count: int) -> None:
        """Close the least recently used ones to an address beyond `count`."""
        connections = self._by_address.get(address, [])
        surplus = len(connections) - max(0, count)
        for connection in connections[: max(0, surplus)]:
            self._close(connection)

    def expire(self, idle_max: Callable[[Address, TargetIncarnation], int]) -> None:
        """Close those that can't be used, and those beyond the bound of their target.

        `idle_max` returns how many connections to a target may be idle.
        """
        now_s = self._clock()
        readable = find_readable(each.socket for each in self._in_order)
        for connections in list(self._by_address.values()):
            newest = connections[-1]
            surplus = len(connections) - idle_max(newest.address, newest.incarnation)
            for index, connection in enumerate(connections[:]):
                is_expired = now_s >= connection.until_s
                is_outdated = connection.incarnation != newest.incarnation
                has_bytes = connection.socket.fileno() in readable
                if index < surplus or is_expired or is_outdated or has_bytes:
                    self._close(connection)

    def _remove(self, connection: TargetConnection) -> None:
        del self._in_order[connection]
        connections = self._by_address[connection.address]
        connections.remove(connection)
        if not connections:
            del self._by_address[connection.address]

    def _close(self, connection: TargetConnection) -> None:
        self._remove(connection)
        connection.close()
