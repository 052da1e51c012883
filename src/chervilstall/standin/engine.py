"""Stand-in model engines: loaded weights, prefix cache, faults and orders."""

import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field

import gevent

from chervilstall.ids import TargetId
from chervilstall.standin.faults import FaultInjector, FaultKind
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

CACHE_MAX_PREFIXES = 4_000
CACHE_EVENTS_MAX = 10_000


@dataclass
class EngineOptions:
    """Behaviour of one stand-in engine.

    `cache_event_drop_interval` n drops every n-th cache event; 0 drops none.
    `load_lag_s` is the age of the load that the engine reports. `load_duration_s` is
    the time that loading other weights takes. An empty `secret` accepts orders with
    any secret. `layer_tokens_per_s` 0 makes computation free.
    """

    zone: str = "zone-a"
    layer_tokens_per_s: float = 0.0
    concurrency: int = 64
    checks_fencing: bool = True
    secret: str = ""
    load_lag_s: float = 0.2
    cache_event_drop_interval: int = 0
    load_duration_s: float = 0.05


@dataclass
class Engine:
    """One stand-in engine: its weights, accelerator, prefix cache and faults.

    `kv_positions` holds the position that the KV state of each attempt has reached,
    `exported_positions` that of each exported handle, and `progress` the next position
    of each attempt that this engine heads. A prompt with `crashing_text`, if any, kills
    the engine after `tokens_before_crash` of an attempt, for `restart_s`; `crashes`
    counts these.
    """

    target: TargetId
    state: TargetState
    options: EngineOptions
    faults: FaultInjector = field(default_factory=FaultInjector)
    is_dead: bool = False
    crashing_text: str = ""
    tokens_before_crash: int = 0
    restart_s: float = 0.4
    crashes: int = 0
    in_flight: int = 0
    highest_fence: int = 0
    orders: list[FencedOrder] = field(default_factory=list)
    kv_positions: dict[AttemptKey, int] = field(default_factory=dict)
    exported_positions: dict[str, int] = field(default_factory=dict)
    cancelled: set[AttemptKey] = field(default_factory=set)
    progress: dict[AttemptKey, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.processor = Processor(self.options.layer_tokens_per_s)
        self.cache: OrderedDict[int, None] = OrderedDict()
        self._cache_events: deque[CacheEvent] = deque(maxlen=CACHE_EVENTS_MAX)
        self._cache_sequence = 0
        self._load_samples: deque[tuple[float, int]] = deque(maxlen=1_000)

    def record_load(self) -> None:
        """Record the current load, from which lagging load reports are answered."""
        self._load_samples.append((time.monotonic(), self.in_flight))

    def load_report(self) -> LoadReport:
        """Return the load report, with the number in flight as of `load_lag_s` ago."""
        now_s = time.monotonic()
        in_flight = 0
        for sampled_at_s, sampled_in_flight in self._load_samples:
            if sampled_at_s > now_s - self.options.load_lag_s:
                break
            in_flight = sampled_in_flight
        return LoadReport(
            in_flight=in_flight,
            waiting=len(self.processor.waiting),
            age_s=self.options.load_lag_s,
            is_leaving=self.state.is_leaving,
            cache_sequence=self._cache_sequence,
        )

    def access_cache(self, prompt: str) -> float:
        """Return the share (0 to 1) of the prompt's blocks found in the cache.

        The blocks that were found become the most recently used, and the missing ones
        are added.
        """
        hashes = prompt_prefix_hashes(prompt)
        hit_count = 0
        for prefix in hashes:
            if prefix not in self.cache:
                break
            self.cache.move_to_end(prefix)
            hit_count += 1
        for prefix in hashes[hit_count:]:
            self._insert_into_cache(prefix)
        return hit_count / len(hashes) if hashes else 0.0

    def _insert_into_cache(self, prefix: int) -> None:
        self.cache[prefix] = None
        self._publish_cache_event(prefix, True)
        if len(self.cache) > CACHE_MAX_PREFIXES:
            evicted, _ = self.cache.popitem(last=False)
            self._publish_cache_event(evicted, False)

    def _publish_cache_event(self, prefix: int, is_cached: bool) -> None:
        self._cache_sequence += 1
        drop_interval = self.options.cache_event_drop_interval
        if drop_interval and self._cache_sequence % drop_interval == 0:
            return
        event = CacheEvent(self._cache_sequence, prefix, is_cached)
        self._cache_events.append(event)

    def cache_events(self, after: int) -> CacheEvents:
        """Return the kept cache events with a sequence number above `after`."""
        events = [event for event in self._cache_events if event.sequence > after]
        return CacheEvents(tuple(events))

    def cache_index(self) -> CacheIndex:
        """Return the complete cache index with its sequence number."""
        return CacheIndex(self._cache_sequence, tuple(self.cache))

    def apply_order(self, order: FencedOrder) -> bool:
        """Apply an order and start loading its weights.

        Returns False if the secret is wrong, or if the engine checks fences and this
        one is lower than one already seen.
        """
        if self.options.secret and order.secret != self.options.secret:
            return False
        if self.options.checks_fencing and order.fence < self.highest_fence:
            return False
        self.highest_fence = max(self.highest_fence, order.fence)
        self.orders.append(order)
        gevent.spawn(self._load_weights, order)
        return True

    def _load_weights(self, order: FencedOrder) -> None:
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
        """Set whether the engine announces that it is leaving."""
        current = self.state
        self.state = TargetState(
            current.model,
            current.version,
            current.adapters,
            current.first_layer,
            current.end_layer,
            current.is_loading,
            is_leaving,
        )

    def refusal_reason(self, order: GenerateOrder, hop: Hop) -> str:
        """Return why the engine refuses an order, or an empty string if it accepts."""
        if self.faults.trigger(FaultKind.REFUSE):
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
