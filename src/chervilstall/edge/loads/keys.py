"""Short keys that name target incarnations in messages between routers."""

import functools
import time
import zlib
from dataclasses import dataclass, field

from chervilstall.fleet.records import TargetIncarnation
from chervilstall.fleet.view import FleetView

KEY_BITS = 26
"""Of 7,300 targets, 0.4 pairs are expected to have the same key.

Each of such a pair may be given the load of the other.
"""

REBUILD_INTERVAL_S = 0.5
KEY_CACHE_ENTRIES = 16_384


@functools.lru_cache(maxsize=KEY_CACHE_ENTRIES)
def target_key(incarnation: TargetIncarnation) -> int:
    """Return the key of an incarnation, the same in each router."""
    name = f"{incarnation.target_id}/{incarnation.started_at_ms}"
    return zlib.crc32(name.encode()) >> (32 - KEY_BITS)


@dataclass
class TargetKeys:
    """Finds the incarnations of known targets by their keys."""

    fleet_view: FleetView
    _incarnations: dict[int, TargetIncarnation] = field(default_factory=dict)
    _rebuilt_at_s: float = float("-inf")

    def find(self, key: int) -> TargetIncarnation | None:
        """Return the incarnation with a key, or None if no such target is known."""
        found = self._incarnations.get(key)
        now_s = time.monotonic()
        if found is not None or now_s < self._rebuilt_at_s + REBUILD_INTERVAL_S:
            return found
        self._rebuilt_at_s = now_s
        incarnations = (each.incarnation for each in self.fleet_view.targets.values())
        self._incarnations = {target_key(each): each for each in incarnations}
        return self._incarnations.get(key)
