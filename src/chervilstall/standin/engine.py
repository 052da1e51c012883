"""Stand-in model engines: what they hold, their caches, faults and orders."""

import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field

import gevent

from chervilstall.ids import TargetId
from chervilstall.standin.faults import FaultBoard, FaultKind
from chervilstall.standin.ledger import AttemptKey
from chervilstall.standin.processor import Processor
from chervilstall.target.contract import (
    CacheEvent,
    CacheEvents,
    CacheIndex,
    FencedOrder,
    GenerateOrder,
    Hop,
    LoadReport,
    TargetState,
)
from chervilstall.target.prefixes import prompt_prefix_hashes

CACHE_PREFIXES = 4_000
CACHE_EVENTS_KEPT = 10_000


@dataclass
class EngineOptions:
    """Behaviour of one stand-in engine.

    `cache_event_gap` drops every n-th cache event (0 drops none); `load_lag_s` is the
    age of what it reports as its load; `load_duration_s` is the time that loading
    other weights takes.
    """

    zone: str = "zone-a"
    layer_tokens_per_s: float = 0.0
    concurrency: int = 64
    checks_fencing: bool = True
    secret: str = ""
    load_lag_s: float = 0.2
    cache_event_gap: int = 0
    load_duration_s: float = 0.05


@dataclass
class Engine:
    """One stand-in engine: what it holds, its accelerator, caches and faults."""

    target: TargetId
    state: TargetState
    options: EngineOptions
    faults: FaultBoard = field(default_factory=FaultBoard)
    is_dead: bool = False
    in_flight: int = 0
    highest_fence: int = 0
    orders: list[FencedOrder] = field(default_factory=list)
    kv_positions: dict[AttemptKey, int] = field(default_factory=dict)
    exported: dict[str, int] = field(default_factory=dict)
    cancelled: set[AttemptKey] = field(default_factory=set)
    progress: dict[AttemptKey, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.processor = Processor(self.options.layer_tokens_per_s)
        self.cache: OrderedDict[int, None] = OrderedDict()
        self._cache_events: deque[CacheEvent] = deque(maxlen=CACHE_EVENTS_KEPT)
        self._cache_sequence = 0
        self._loads: deque[tuple[float, int]] = deque(maxlen=1_000)

    def note_load(self) -> None:
        """Remember the load, for reports that lag."""
        self._loads.append((time.monotonic(), self.in_flight))

    def load_report(self) -> LoadReport:
        """Return the load as it was `load_lag_s` ago."""
        now_s = time.monotonic()
        in_flight = 0
        for noted_at_s, value in self._loads:
            if noted_at_s > now_s - self.options.load_lag_s:
                break
            in_flight = value
        return LoadReport(
            in_flight=in_flight,
            waiting=len(self.processor.waiting),
            age_s=self.options.load_lag_s,
            is_leaving=self.state.is_leaving,
            cache_sequence=self._cache_sequence,
        )

    def cached_share(self, prompt: str) -> float:
        """Return the share of the prompt's blocks found in the cache, and touch it."""
        hashes = prompt_prefix_hashes(prompt)
        hits = 0
        for prefix in hashes:
            if prefix not in self.cache:
                break
            self.cache.move_to_end(prefix)
            hits += 1
        for prefix in hashes[hits:]:
            self._cache_insert(prefix)
        return hits / len(hashes) if hashes else 0.0

    def _cache_insert(self, prefix: int) -> None:
        self.cache[prefix] = None
        self._publish(prefix, True)
        if len(self.cache) > CACHE_PREFIXES:
            evicted, _ = self.cache.popitem(last=False)
            self._publish(evicted, False)

    def _publish(self, prefix: int, is_cached: bool) -> None:
        self._cache_sequence += 1
        gap = self.options.cache_event_gap
        if gap and self._cache_sequence % gap == 0:
            return
        event = CacheEvent(self._cache_sequence, prefix, is_cached)
        self._cache_events.append(event)

    def cache_events(self, after: int) -> CacheEvents:
        """Return the cache events above a sequence number."""
        kept = [event for event in self._cache_events if event.sequence > after]
        return CacheEvents(tuple(kept))

    def cache_index(self) -> CacheIndex:
        """Return the whole cache index."""
        return CacheIndex(self._cache_sequence, tuple(self.cache))

    def apply_order(self, order: FencedOrder) -> bool:
        """Apply an order; False where fence or secret make it refuse."""
        if self.options.secret and order.secret != self.options.secret:
            return False
        if self.options.checks_fencing and order.fence < self.highest_fence:
            return False
        self.highest_fence = max(self.highest_fence, order.fence)
        self.orders.append(order)
        gevent.spawn(self._load, order)
        return True

    def _load(self, order: FencedOrder) -> None:
        self.state = TargetState(
            model=order.model,
            version=order.version,
            adapters=order.adapters,
            first_layer=order.first_layer,
            end_layer=order.end_layer,
            is_loading=True,
            is_leaving=self.state.is_leaving,
        )
        gevent.sleep(self.options.load_duration_s)
        self.state = TargetState(
            model=order.model,
            version=order.version,
            adapters=order.adapters,
            first_layer=order.first_layer,
            end_layer=order.end_layer,
            is_leaving=self.state.is_leaving,
        )

    def set_leaving(self, is_leaving: bool) -> None:
        """Announce that the engine is leaving, or stays."""
        held = self.state
        self.state = TargetState(
            held.model,
            held.version,
            held.adapters,
            held.first_layer,
            held.end_layer,
            held.is_loading,
            is_leaving,
        )

    def refusal(self, order: GenerateOrder, hop: Hop) -> str:
        """Return why an order is refused before it starts, or an empty string."""
        if self.faults.take(FaultKind.REFUSE):
            return "overloaded"
        if self.state.is_leaving:
            return "leaving"
        if self.state.is_loading:
            return "loading"
        if (order.model, order.version) != (self.state.model, self.state.version):
            return "model not held"
        if order.adapter and order.adapter not in self.state.adapters:
            return "adapter not held"
        if hop.first_layer < self.state.first_layer:
            return "layer not held"
        if hop.end_layer > self.state.end_layer:
            return "layer not held"
        return ""
