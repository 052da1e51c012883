"""Index of the prompt prefixes that each target probably has cached.

Targets publish numbered cache events, which arrive late and may be lost. A missing
number marks the target's index as stale; a stale index still serves as a hint until
the target's whole cache index has been read again. The index of a target holds a
bounded number of prefixes and evicts the least recently added one first.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from chervilstall.ids import TargetId
from chervilstall.target.contract import CacheEvents, CacheIndex


@dataclass
class _TargetIndex:
    sequence: int = 0
    needs_full_read: bool = True
    prefixes: OrderedDict[int, None] = field(default_factory=OrderedDict)


@dataclass
class AffinityIndex:
    """Cached prefixes by target, and targets by cached prefix.

    `entries_max` bounds the prefixes per target; 0 turns the index off. Prefixes are
    the hashes that `chervilstall.target.prefixes.prompt_prefix_hashes` returns,
    shortest prefix first.
    """

    entries_max: int
    _targets: dict[TargetId, _TargetIndex] = field(default_factory=dict)
    _holders: dict[int, set[TargetId]] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """Return the number of entries, summed over all targets."""
        return sum(len(index.prefixes) for index in self._targets.values())

    def sequence(self, target: TargetId) -> int:
        """Return the number of the last event applied for a target, 0 if unknown."""
        index = self._targets.get(target)
        return index.sequence if index else 0

    def is_stale(self, target: TargetId) -> bool:
        """Return whether a target's whole cache index has to be read again."""
        index = self._targets.get(target)
        return index is None or index.needs_full_read

    def apply(self, target: TargetId, events: CacheEvents) -> None:
        """Apply events in order.

        Events that were applied before are skipped. A missing number marks the index
        as stale.
        """
        index = self._targets.setdefault(target, _TargetIndex())
        for event in events.events:
            if event.sequence <= index.sequence:
                continue
            if event.sequence != index.sequence + 1:
                index.needs_full_read = True
            index.sequence = event.sequence
            if event.is_cached:
                self._insert(target, index, event.prefix)
            else:
                self._remove(target, index, event.prefix)

    def observe_sequence(self, target: TargetId, sequence: int) -> None:
        """Compare the newest event number that a target reports with the index.

        A number below the last one applied means that the target has restarted, so
        the index becomes stale.
        """
        index = self._targets.get(target)
        if index is not None and sequence < index.sequence:
            index.needs_full_read = True

    def replace(self, target: TargetId, cache_index: CacheIndex) -> None:
        """Replace a target's index by the whole cache index read from it."""
        self.forget(target)
        index = _TargetIndex(cache_index.sequence, needs_full_read=False)
        self._targets[target] = index
        for prefix in (
            cache_index.prefixes[-self.entries_max :] if self.entries_max else ()
        ):
            self._insert(target, index, prefix)

    def forget(self, target: TargetId) -> None:
        """Remove a target and its prefixes from the index."""
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

    def cached_fraction(self, target: TargetId, prefixes: Sequence[int]) -> float:
        """Return the fraction of a prompt's blocks that a target seems to cache."""
        index = self._targets.get(target)
        if index is None or not prefixes:
            return 0.0
        for length in range(len(prefixes), 0, -1):
            if prefixes[length - 1] in index.prefixes:
                return length / len(prefixes)
        return 0.0

    def longest_prefix_holders(self, prefixes: Sequence[int]) -> frozenset[TargetId]:
        """Return the targets that cache the longest indexed prefix of a prompt."""
        for prefix in reversed(prefixes):
            holders = self._holders.get(prefix)
            if holders:
                return frozenset(holders)
        return frozenset()
