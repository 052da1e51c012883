"""Which connections a listener closes first when it has too many."""

import heapq
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

Connection = TypeVar("Connection")


class Silence(Enum):
    """What a connection that runs no request waits for."""

    REFUSED = "refused"
    FIRST_BYTE = "first_byte"
    NEXT_REQUEST = "next_request"
    HEAD = "head"


CLOSING_ORDER = {kind: place for place, kind in enumerate(Silence)}
"""The end of a refused request, a peer that never sent anything, and so on."""


@dataclass(frozen=True)
class SilentConnection(Generic[Connection]):
    """A connection that runs no request, and the address of its peer."""

    connection: Connection
    silence: Silence
    address: str


def choose_to_close(
    silent: Iterable[SilentConnection[Connection]], count: int
) -> list[SilentConnection[Connection]]:
    """Return the connections to close first; `silent` has the oldest of a kind first.

    Within a kind, those of the address with the most connections come first. Callers
    behind a load balancer share an address, so addresses have no limits of their own.
    """
    connections = list(silent)
    per_address = Counter(each.address for each in connections)
    # Equal keys keep their order.
    return heapq.nsmallest(
        count,
        connections,
        key=lambda each: (CLOSING_ORDER[each.silence], -per_address[each.address]),
    )
