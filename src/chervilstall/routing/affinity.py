"""Which targets probably have which prompt prefixes cached.

Cache events arrive late and with gaps. A gap marks the target's index stale; a stale
index is still used as a hint until it has been read again as a whole. The index of a
target holds a bounded number of prefixes, the oldest dropped first.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from chervilstall.ids import TargetId
from chervilstall.target.contract import CacheEvents, CacheIndex


@dataclass
class _TargetIndex:
    sequence: int = 0
    is_stale: bool = True
    prefixes: OrderedDict[int, None] = field(default_factory=OrderedDict)


@dataclass
class AffinityIndex:
    """Cached prefixes by target and targets by prefix.

    `entries_max` bounds the prefixes per target. `is_stale` answers which targets
    need to be read again.
    """

    entries_max: int
    _targets: dict[TargetId, _TargetIndex] = field(default_factory=dict)
    _holders: dict[int, set[TargetId]] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """Return the number of prefixes held over all targets."""
        return sum(len(index.prefixes) for index in self._targets.values())

    def sequence(self, target: TargetId) -> int:
        """Return the last event number seen from a target."""
        index = self._targets.get(target)
        return index.sequence if index else 0

    def is_stale(self, target: TargetId) -> bool:
        """Return whether a target's index has to be read again as a whole."""
        index = self._targets.get(target)
        return index is None or index.is_stale

    def apply(self, target: TargetId, events: CacheEvents) -> None:
        """Apply events in order; a missing or repeated number marks a gap."""
        index = self._targets.setdefault(target, _TargetIndex())
        for event in events.events:
            if event.sequence <= index.sequence:
                continue
            if event.sequence != index.sequence + 1:
                index.is_stale = True
            index.sequence = event.sequence
            if event.is_cached:
                self._insert(target, index, event.prefix)
            else:
                self._remove(target, index, event.prefix)

    def observe_sequence(self, target: TargetId, sequence: int) -> None:
        """Take in the newest number a target claims; an older one is a restart."""
        index = self._targets.get(target)
        if index is not None and sequence < index.sequence:
            index.is_stale = True

    def replace(self, target: TargetId, whole: CacheIndex) -> None:
        """Replace a target's index by one read as a whole."""
        self.forget(target)
        index = _TargetIndex(whole.sequence, is_stale=False)
        self._targets[target] = index
        for prefix in whole.prefixes[-self.entries_max :] if self.entries_max else ():
            self._insert(target, index, prefix)

    def forget(self, target: TargetId) -> None:
        """Drop everything known of a target."""
        index = self._targets.pop(target, None)
        if index is None:
            return
        for prefix in list(index.prefixes):
            self._remove(target, index, prefix)

    def _insert(self, target: TargetId, index: _TargetIndex, prefix: int) -> None:
        if not self.entries_max:
            return
        index.prefixes[prefix] = None
        index.prefixes.move_to_end(prefix)
        self._holders.setdefault(prefix, set()).add(target)
        if len(index.prefixes) > self.entries_max:
            oldest = next(iter(index.prefixes))
            self._remove(target, index, oldest)

    def _remove(self, target: TargetId, index: _TargetIndex, prefix: int) -> None:
        index.prefixes.pop(prefix, None)
        holders = self._holders.get(prefix)
        if holders is None:
            return
        holders.discard(target)
        if not holders:
            del self._holders[prefix]

    def cached_share(self, target: TargetId, prefixes: Sequence[int]) -> float:
        """Return the share of a prompt's blocks that a target seems to hold."""
        index = self._targets.get(target)
        if index is None or not prefixes:
            return 0.0
        for length in range(len(prefixes), 0, -1):
            if prefixes[length - 1] in index.prefixes:
                return length / len(prefixes)
        return 0.0

    def best_holders(self, prefixes: Sequence[int]) -> frozenset[TargetId]:
        """Return the targets that hold the longest known prefix of a prompt."""
        for prefix in reversed(prefixes):
            holders = self._holders.get(prefix)
            if holders:
                return frozenset(holders)
        return frozenset()
