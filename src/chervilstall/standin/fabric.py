"""Pipeline of stand-in engines, which pass activations over simulated links."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

import gevent
from msgspec.structs import replace

from chervilstall.ids import RequestId, TargetId
from chervilstall.standin.engine import Engine
from chervilstall.standin.faults import FaultKind
from chervilstall.standin.ledger import LayerRun, Ledger
from chervilstall.standin.processor import Processor
from chervilstall.standin.text import token_at
from chervilstall.target.contract import (
    CancelOrder,
    EventKind,
    ExportOrder,
    GenerateOrder,
    Hop,
    Priority,
    StreamEvent,
)

HANG_S = 3_600.0
"""Sleep of a fault that never answers; far above the timeouts of callers."""
REPEAT_PAUSE_S = 0.01
OTHER_REQUEST = RequestId("0" * 32)


class StageDied(Exception):
    """Raised when a stage is dead, out of reach or unable to run the order."""

    def __init__(self, target: TargetId) -> None:
        super().__init__(target)
        self.target = target


class StopResponding(Exception):
    """Raised where a fault stops sending but keeps the connection open."""


class CloseConnection(Exception):
    """Raised where a fault closes the connection."""


def _repeat(event: StreamEvent) -> Iterator[StreamEvent]:
    """Yield an event until the connection is closed."""
    while True:
        gevent.sleep(REPEAT_PAUSE_S)
        yield event


@dataclass
class Fabric:
    """The stand-in engines and the links between them.

    Links are keyed by the zones of their ends, in the direction of transfer:
    `link_delays_s` adds a fixed delay, `link_processors` limits the throughput between
    two zones, and `cut_links` makes transfers fail. With `records_layer_runs` False,
    the ledger only counts the layers that each target ran, and KV positions don't
    advance.
    """

    ledger: Ledger = field(default_factory=Ledger)
    engines: dict[TargetId, Engine] = field(default_factory=dict)
    link_delays_s: dict[tuple[str, str], float] = field(default_factory=dict)
    link_processors: dict[tuple[str, str], Processor] = field(default_factory=dict)
    cut_links: set[tuple[str, str]] = field(default_factory=set)
    records_layer_runs: bool = True

    def __post_init__(self) -> None:
        self._handles = itertools.count()

    def add(self, engine: Engine) -> Engine:
        """Add an engine and return it."""
        self.engines[engine.target] = engine
        return engine

    def generate(self, head: Engine, order: GenerateOrder) -> Iterator[StreamEvent]:
        """Yield the events of an order that `head` has accepted.

        Raises StopResponding or CloseConnection where a fault interrupts the
        connection.
        """
        key = (order.request, order.attempt)
        stages = [self._find_engine(hop) for hop in order.route]
        for stage in stages:
            stage.in_flight += 1
            stage.record_load()
        try:
            yield from self._generate_events(head, order, stages)
        except StageDied as error:
            yield StreamEvent(
                order.request, order.attempt, EventKind.ERROR, target=error.target
            )
        finally:
            for stage in stages:
                stage.in_flight -= 1
                stage.record_load()
                stage.cancelled.discard(key)
            head.progress.pop(key, None)

    def _generate_events(
        self, head: Engine, order: GenerateOrder, stages: list[Engine]
    ) -> Iterator[StreamEvent]:
        key = (order.request, order.attempt)
        head.progress[key] = order.position
        accepted = StreamEvent(order.request, order.attempt, EventKind.ACCEPTED)
        yield accepted
        if head.faults.trigger(FaultKind.REPEATED_ACCEPT):
            yield from _repeat(accepted)
        if head.faults.trigger(FaultKind.DIE_AFTER_ACCEPT):
            self.kill(head)
            raise CloseConnection
        is_crashing = bool(head.crashing_text) and head.crashing_text in order.prompt
        if self.records_layer_runs:
            self.ledger.prompts[order.request] = order.prompt
            self.ledger.start_positions[key] = order.position
        self._prefill(order, stages)
        for position in range(order.position, order.max_tokens):
            if key in head.cancelled:
                return
            sent = position - order.position
            if is_crashing and sent == head.tokens_before_crash:
                self._crash(head)
                raise CloseConnection
            self._apply_faults(head, position)
            self._run_layers(order, stages, position)
            head.progress[key] = position + 1
            yield from self._token_events(head, order, position)
        self._apply_faults(head, order.max_tokens)
        yield StreamEvent(
            order.request,
            order.attempt,
            EventKind.END,
            position=order.max_tokens,  # type: ignore[arg-type]
            finish="length",
        )

    def _apply_faults(self, head: Engine, position: int) -> None:
        slow = head.faults.trigger(FaultKind.SLOW, position)
        if slow:
            gevent.sleep(slow.delay_s)
        if head.faults.trigger(FaultKind.SILENT_AT_POSITION, position):
            raise StopResponding
        if head.faults.trigger(FaultKind.CLOSE_AT_POSITION, position):
            raise CloseConnection

    def _token_events(
        self, head: Engine, order: GenerateOrder, position: int
    ) -> Iterator[StreamEvent]:
        token = token_at(
            order.model, order.version, order.adapter, order.prompt, position
        )
        event = StreamEvent(
            order.request,
            order.attempt,
            EventKind.TOKEN,
            position,  # type: ignore[arg-type]
            token,
        )
        if head.faults.trigger(FaultKind.WRONG_REQUEST, position):
            yield replace(event, request=OTHER_REQUEST, token="crossed ")
        if head.faults.trigger(FaultKind.OLD_ATTEMPT, position):
            yield replace(event, attempt=order.attempt - 1, token="old ")
        if head.faults.trigger(FaultKind.TRUNCATED, position):
            end = EventKind.END
            yield replace(event, kind=end, token="", finish="length")
        if head.faults.trigger(FaultKind.OVERSIZED, position):
            yield replace(event, token="x" * 100_000)
        if head.faults.trigger(FaultKind.OUT_OF_ORDER, position):
            yield replace(event, position=position + 1, token="early ")
        if head.faults.trigger(FaultKind.REPEATED_OLD_ATTEMPT, position):
            yield from _repeat(replace(event, attempt=order.attempt - 1, token="old "))
        yield event
        if head.faults.trigger(FaultKind.REPEATED_TOKEN, position):
            yield from _repeat(event)
        if head.faults.trigger(FaultKind.DUPLICATE_TOKEN, position):
            yield replace(event, token="again ")

    def _find_engine(self, hop: Hop) -> Engine:
        engine = self.engines.get(hop.target)
        if engine is None:
            raise StageDied(hop.target)
        return engine

    def _prefill(self, order: GenerateOrder, stages: list[Engine]) -> None:
        key = (order.request, order.attempt)
        for index, (hop, stage) in enumerate(zip(order.route, stages)):
            self._check_alive(stage)
            if index:
                refusal_reason = stage.refusal_reason(order, hop)
                if refusal_reason:
                    raise StageDied(stage.target)
            if order.kv_handles:
                self._import_kv_state(order, stage)
                continue
            uncached_share = 1.0 - stage.access_cache(order.prompt)
            prefill_blocks = (
                len(order.prompt) / 32 * uncached_share + len(order.delivered) / 4
            )
            stage.processor.run(prefill_blocks * hop.layers / 4, order.priority)
            stage.kv_positions[key] = order.position

    def _import_kv_state(self, order: GenerateOrder, stage: Engine) -> None:
        key = (order.request, order.attempt)
        for handle in order.kv_handles:
            for source in self.engines.values():
                if handle in source.exported_positions and not source.is_dead:
                    stage.kv_positions[key] = source.exported_positions[handle]
                    break
            else:
                raise StageDied(stage.target)

    def _run_layers(
        self, order: GenerateOrder, stages: list[Engine], position: int
    ) -> None:
        previous: Engine | None = None
        for hop, stage in zip(order.route, stages):
            self._transfer(previous, stage, order.priority)
            self._check_alive(stage)
            if stage.faults.trigger(FaultKind.DIE_AT_POSITION, position):
                self.kill(stage)
                raise StageDied(stage.target)
            stage.processor.run(hop.layers, order.priority)
            self._check_alive(stage)
            self._record_layer_run(order, stage, hop, position)
            previous = stage

    def _record_layer_run(
        self, order: GenerateOrder, stage: Engine, hop: Hop, position: int
    ) -> None:
        counts = self.ledger.layer_run_counts
        counts[stage.target] = counts.get(stage.target, 0) + hop.layers
        if not self.records_layer_runs:
            return
        key = (order.request, order.attempt)
        stage.kv_positions[key] = position + 1
        self.ledger.layer_runs.append(
            LayerRun(
                order.request,
                order.attempt,
                position,
                stage.target,
                hop.first_layer,
                hop.end_layer,
            )
        )

    def _transfer(
        self, previous: Engine | None, stage: Engine, priority: Priority
    ) -> None:
        if previous is None:
            return
        zone_pair = (previous.options.zone, stage.options.zone)
        if zone_pair in self.cut_links:
            raise StageDied(stage.target)
        delay_s = self.link_delays_s.get(zone_pair, 0.0)
        if delay_s:
            gevent.sleep(delay_s)
        link = self.link_processors.get(zone_pair)
        if link is not None and zone_pair[0] != zone_pair[1]:
            link.run(1.0, priority)

    def _check_alive(self, stage: Engine) -> None:
        if stage.is_dead:
            raise StageDied(stage.target)

    def _crash(self, engine: Engine) -> None:
        """Kill an engine that starts again after its `restart_s`."""
        engine.crashes += 1
        self.kill(engine)
        gevent.spawn_later(engine.restart_s, setattr, engine, "is_dead", False)

    def kill(self, engine: Engine) -> None:
        """Mark an engine as dead and drop its KV states and its prefix cache."""
        engine.is_dead = True
        engine.kv_positions.clear()
        engine.exported_positions.clear()
        engine.cache.clear()

    def cancel(self, engine: Engine, order: CancelOrder) -> None:
        """Stop an attempt at its next position."""
        engine.cancelled.add((order.request, order.attempt))

    def export(self, engine: Engine, order: ExportOrder) -> str | None:
        """Export a KV state and return its handle.

        Returns None if the engine is dead or the state doesn't reach the position.
        """
        reached_position = engine.kv_positions.get((order.request, order.attempt), -1)
        if engine.is_dead or reached_position < order.position:
            return None
        handle = f"{engine.target}/{next(self._handles)}"
        engine.exported_positions[handle] = order.position
        return handle
