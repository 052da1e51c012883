"""Entries of routers that are gone from the store, and still count for a while.

The leases of all routers may end at once, in an outage of the store or as that comes
back from an earlier copy. The routers run on and register again.
"""

import time
from collections.abc import Callable, Set
from dataclasses import dataclass, field

import gevent

COUNTED_S = 8.0
"""Time in which all routers register again where the store has lost their leases."""

DROP_DELAY_S = 0.1


@dataclass
class MissingEntries:
    """Keys whose entries are gone, with the monotonic times since which they are.

    `drop` is called with those that weren't written again within `COUNTED_S`.
    """

    drop: Callable[[Set[str]], object]
    _since_s: dict[str, float] = field(default_factory=dict)

    def add(self, keys: Set[str]) -> None:
        """Note that entries are gone."""
        if not keys:
            return
        now_s = time.monotonic()
        for key in keys:
            self._since_s.setdefault(key, now_s)
        gevent.spawn_later(COUNTED_S + DROP_DELAY_S, self._drop_due)

    def discard(self, key: str) -> None:
        """Note that an entry is there."""
        self._since_s.pop(key, None)

    def _drop_due(self) -> None:
        until_s = time.monotonic() - COUNTED_S
        due = {key for key, since_s in self._since_s.items() if since_s <= until_s}
        for key in due:
            del self._since_s[key]
        if due:
            self.drop(due)
