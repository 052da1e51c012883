"""One budget for the bytes that clients make a process hold."""

import time
from collections import Counter
from collections.abc import Callable
from enum import Enum

from chervilstall.telemetry.events import EventLog

log = EventLog("process_limits")

WINDOW_S = 2.0
"""A holding's pace is measured over one to two such windows."""


class HoldingKind(Enum):
    """What a holding is for."""

    BODY = "body"
    ANSWER = "answer"


class MemoryShort(Exception):
    """The budget does not suffice, and nothing slower can make room."""


class Holding:
    """The bytes that one request holds. The end of its `with` block frees them.

    After `allow_eviction` the memory may take the bytes back by a call of `evict`. They
    count as free at once if it drops them, or at the end of the `with` block if the
    holding `frees_late`.
    """

    def __init__(self, memory: "ClientMemory", kind: HoldingKind) -> None:
        self.kind = kind
        self.size_bytes = 0
        self.is_evicted = False
        self._frees_late = False
        self._is_leaving = False
        self._memory = memory
        self._evict: Callable[[], object] | None = None
        self._evictable_from_s = self._window_at_s = memory.clock()
        self._window_bytes = 0
        self._previous_bytes = 0

    def grow(self, size_bytes: int) -> None:
        """Account for bytes before they are read. Raises MemoryShort."""
        if not self._memory.take(self, size_bytes):
            self._memory.refusals[self.kind] += 1
            raise MemoryShort("not enough memory for what clients send and read")

    def try_grow(self, size_bytes: int) -> bool:
        """Account for bytes if only holdings that are not young have to make room."""
        return self._memory.take(self, size_bytes, evict_young=False)

    def can_ever_grow(self, size_bytes: int) -> bool:
        """Return whether the whole memory is large enough for more bytes."""
        return self.size_bytes + size_bytes <= self._memory.large_max_bytes

    def shrink(self, size_bytes: int) -> None:
        """Free a part of the bytes, unless an eviction has freed them."""
        size_bytes = min(size_bytes, self.size_bytes)
        if self._is_leaving:
            self._memory.leaving_bytes -= size_bytes
        self._memory.used_bytes -= size_bytes
        self.size_bytes -= size_bytes

    def allow_eviction(
        self, evict: Callable[[], object], frees_late: bool = False
    ) -> None:
        """Let the memory take the bytes back by a call of `evict`, from now on."""
        self._evict = evict
        self._frees_late = frees_late
        self._evictable_from_s = self._memory.clock()
        self._memory.evictable[self] = None

    def forbid_eviction(self) -> None:
        """Keep the bytes until they are freed."""
        self._evict = None
        self._memory.evictable.pop(self, None)

    def record_progress(self, size_bytes: int) -> None:
        """Record that the client sent or took bytes."""
        self._roll_window()
        self._window_bytes += size_bytes

    def _roll_window(self) -> None:
        now_s = self._memory.clock()
        elapsed_s = now_s - self._window_at_s
        if elapsed_s < WINDOW_S:
            return
        is_next = elapsed_s < 2 * WINDOW_S
        self._previous_bytes = self._window_bytes if is_next else 0
        self._window_bytes = 0
        self._window_at_s = now_s

    @property
    def is_young(self) -> bool:
        """Return whether the client has had little time to send or take anything."""
        return self._memory.clock() - self._evictable_from_s < WINDOW_S

    def rank(self) -> tuple[bool, int, int]:
        """Return the key by which the lowest holding is evicted first.

        Holdings that have just begun come last, then the pace and the size count.
        """
        return self.is_young, self.moved_bytes, -self.size_bytes

    @property
    def moved_bytes(self) -> int:
        """Return how much the client moved in the last one to two windows."""
        self._roll_window()
        return self._previous_bytes + self._window_bytes

    @property
    def is_stalled(self) -> bool:
        """Return whether the client has moved nothing in the last window or more."""
        return not self.is_young and not self.moved_bytes

    def give_way(self) -> None:
        """Give all bytes to another client."""
        evict = self._evict
        self.is_evicted = True
        if self._frees_late:
            self.forbid_eviction()
            self._is_leaving = True
            self._memory.leaving_bytes += self.size_bytes
        else:
            self.free()
        if evict is not None:
            evict()

    def free(self) -> None:
        """Free all bytes."""
        self.forbid_eviction()
        self.shrink(self.size_bytes)

    def __enter__(self) -> "Holding":
        return self

    def __exit__(self, *error: object) -> None:
        self.free()


class RequestMemory:
    """What one request holds: its body, and its head and answer.

    The end of its `with` block frees both.
    """

    def __init__(self, memory: "ClientMemory") -> None:
        self.body = Holding(memory, HoldingKind.BODY)
        self.answer = Holding(memory, HoldingKind.ANSWER)

    def __enter__(self) -> "RequestMemory":
        return self

    def __exit__(self, *error: object) -> None:
        self.body.free()
        self.answer.free()


class ClientMemory:
    """Memory for what clients make a process hold, shared by all of its listeners.

    Of `bytes_max`, `reserve_bytes` are kept for holdings of up to `small_bytes`.
    Where the rest does not suffice, the slowest holding makes room.

    >>> memory = ClientMemory(1_000, reserve_bytes=200, small_bytes=100)
    >>> with memory.hold(HoldingKind.BODY) as holding:
    ...     holding.grow(600)
    ...     memory.used_bytes
    600
    >>> memory.used_bytes
    0
    """

    def __init__(
        self,
        bytes_max: int,
        reserve_bytes: int,
        small_bytes: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.bytes_max = bytes_max
        self.reserve_bytes = reserve_bytes
        self.small_bytes = small_bytes
        self.clock = clock
        self.used_bytes = 0
        self.leaving_bytes = 0
        self.evictable: dict[Holding, None] = {}
        self.evictions: Counter[HoldingKind] = Counter()
        self.refusals: Counter[HoldingKind] = Counter()

    def hold(self, kind: HoldingKind) -> Holding:
        """Return a holding without bytes."""
        return Holding(self, kind)

    @property
    def large_max_bytes(self) -> int:
        """Return how much holdings that are not small may take together."""
        return self.bytes_max - self.reserve_bytes

    def hold_request(self) -> RequestMemory:
        """Return the holdings of a request, without bytes."""
        return RequestMemory(self)

    def take(self, holding: Holding, size_bytes: int, evict_young: bool = True) -> bool:
        """Account for more bytes of a holding; return whether there was room.

        Bytes that are about to be freed are room, unless the holding can wait for them,
        which is so without `evict_young`.
        """
        if holding.is_evicted:
            return False
        is_small = holding.size_bytes + size_bytes <= self.small_bytes
        limit_bytes = self.bytes_max if is_small else self.large_max_bytes
        while self.used_bytes - self.leaving_bytes + size_bytes > limit_bytes:
            slowest = self._slowest(holding, is_small)
            if slowest is None or slowest is holding:
                return False
            if slowest.is_young and not evict_young:
                return False
            self._evict(slowest)
        if not evict_young and self.used_bytes + size_bytes > limit_bytes:
            return False
        holding.size_bytes += size_bytes
        self.used_bytes += size_bytes
        return True

    def _slowest(self, holding: Holding, is_small: bool) -> Holding | None:
        """Return the holding that has to make room; a small one never has to itself."""
        candidates = [
            each
            for each in self.evictable
            if each.size_bytes and not (is_small and each is holding)
        ]
        return min(candidates, key=Holding.rank, default=None)

    def evict_stalled(self, count: int) -> int:
        """Evict holdings whose clients move nothing; return how many there were."""
        stalled = [each for each in self.evictable if each.is_stalled]
        for holding in stalled[:count]:
            self._evict(holding)
        return len(stalled[:count])

    def _evict(self, holding: Holding) -> None:
        self.evictions[holding.kind] += 1
        log.warning(
            "evicted",
            kind=holding.kind.value,
            size_bytes=holding.size_bytes,
            moved_bytes=holding.moved_bytes,
            is_young=holding.is_young,
            used_bytes=self.used_bytes,
        )
        holding.give_way()
