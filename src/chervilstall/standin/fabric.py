"""The fabric over which the stages of stand-in engines pass activations."""

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

FOREVER_S = 3_600.0
CROSSED_REQUEST = RequestId("0" * 32)


class StageDied(Exception):
    """A stage of the route is gone."""

    def __init__(self, target: TargetId) -> None:
        super().__init__(target)
        self.target = target


class GoSilent(Exception):
    """The connection is to swallow bytes from here on."""


class CloseNow(Exception):
    """The connection is to be closed from here on."""


@dataclass
class Fabric:
    """The stand-in engines and the links between them."""

    ledger: Ledger = field(default_factory=Ledger)
    engines: dict[TargetId, Engine] = field(default_factory=dict)
    link_delays_s: dict[tuple[str, str], float] = field(default_factory=dict)
    link_processors: dict[tuple[str, str], Processor] = field(default_factory=dict)
    cut_links: set[tuple[str, str]] = field(default_factory=set)
    records_layer_runs: bool = True

    def __post_init__(self) -> None:
        self._handles = itertools.count()

    def add(self, engine: Engine) -> Engine:
        """Add an engine."""
        self.engines[engine.target] = engine
        return engine

    def generate(self, head: Engine, order: GenerateOrder) -> Iterator[StreamEvent]:
        """Yield the events of an order that `head` has accepted.

        Raises GoSilent or CloseNow where a fault cuts the connection.
        """
        key = (order.request, order.attempt)
        stages = [self._stage(hop) for hop in order.route]
        for stage in stages:
            stage.in_flight += 1
            stage.note_load()
        try:
            yield from self._events(head, order, stages)
        except StageDied as died:
            yield StreamEvent(
                order.request, order.attempt, EventKind.ERROR, target=died.target
            )
        finally:
            for stage in stages:
                stage.in_flight -= 1
                stage.note_load()
                stage.cancelled.discard(key)
            head.progress.pop(key, None)

    def _events(
        self, head: Engine, order: GenerateOrder, stages: list[Engine]
    ) -> Iterator[StreamEvent]:
        key = (order.request, order.attempt)
        head.progress[key] = order.position
        yield StreamEvent(order.request, order.attempt, EventKind.ACCEPTED)
        if head.faults.take(FaultKind.DIE_AFTER_ACCEPT):
            self.kill(head)
            raise CloseNow
        if self.records_layer_runs:
            self.ledger.prompts[order.request] = order.prompt
            self.ledger.starts[key] = order.position
        self._prefill(order, stages)
        for position in range(order.position, order.max_tokens):
            if key in head.cancelled:
                return
            self._break_at(head, position)
            self._run_position(order, stages, position)
            head.progress[key] = position + 1
            yield from self._token_events(head, order, position)
        self._break_at(head, order.max_tokens)
        yield StreamEvent(
            order.request,
            order.attempt,
            EventKind.END,
            position=order.max_tokens,  # type: ignore[arg-type]
            finish="length",
        )

    def _break_at(self, head: Engine, position: int) -> None:
        slow = head.faults.take(FaultKind.SLOW, position)
        if slow:
            gevent.sleep(slow.delay_s)
        if head.faults.take(FaultKind.SILENT_AT_POSITION, position):
            raise GoSilent
        if head.faults.take(FaultKind.CLOSE_AT_POSITION, position):
            raise CloseNow

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
        if head.faults.take(FaultKind.WRONG_REQUEST, position):
            yield replace(event, request=CROSSED_REQUEST, token="crossed ")
        if head.faults.take(FaultKind.OLD_ATTEMPT, position):
            yield replace(event, attempt=order.attempt - 1, token="old ")
        if head.faults.take(FaultKind.TRUNCATED, position):
            end = EventKind.END
            yield replace(event, kind=end, token="", finish="length")
        if head.faults.take(FaultKind.OVERSIZED, position):
            yield replace(event, token="x" * 100_000)
        if head.faults.take(FaultKind.OUT_OF_ORDER, position):
            yield replace(event, position=position + 1, token="early ")
        yield event
        if head.faults.take(FaultKind.DOUBLED, position):
            yield replace(event, token="again ")

    def _stage(self, hop: Hop) -> Engine:
        engine = self.engines.get(hop.target)
        if engine is None:
            raise StageDied(hop.target)
        return engine

    def _prefill(self, order: GenerateOrder, stages: list[Engine]) -> None:
        key = (order.request, order.attempt)
        for index, (hop, stage) in enumerate(zip(order.route, stages)):
            self._require_alive(stage)
            if index:
                refusal = stage.refusal(order, hop)
                if refusal:
                    raise StageDied(stage.target)
            if order.kv_handles:
                self._import(order, stage)
                continue
            uncached = 1.0 - stage.cached_share(order.prompt)
            blocks = len(order.prompt) / 32 * uncached + len(order.delivered) / 4
            stage.processor.run(blocks * hop.layers / 4, order.priority)
            stage.kv_positions[key] = order.position

    def _import(self, order: GenerateOrder, stage: Engine) -> None:
        key = (order.request, order.attempt)
        for handle in order.kv_handles:
            for source in self.engines.values():
                if handle in source.exported and not source.is_dead:
                    stage.kv_positions[key] = source.exported[handle]
                    break
            else:
                raise StageDied(stage.target)

    def _run_position(
        self, order: GenerateOrder, stages: list[Engine], position: int
    ) -> None:
        previous: Engine | None = None
        for hop, stage in zip(order.route, stages):
            self._cross_link(previous, stage, order.priority)
            self._require_alive(stage)
            if stage.faults.take(FaultKind.DIE_AT_POSITION, position):
                self.kill(stage)
                raise StageDied(stage.target)
            stage.processor.run(hop.layers, order.priority)
            self._require_alive(stage)
            self._record(order, stage, hop, position)
            previous = stage

    def _record(
        self, order: GenerateOrder, stage: Engine, hop: Hop, position: int
    ) -> None:
        counts = self.ledger.layer_counts
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

    def _cross_link(
        self, previous: Engine | None, stage: Engine, priority: Priority
    ) -> None:
        if previous is None:
            return
        pair = (previous.options.zone, stage.options.zone)
        if pair in self.cut_links:
            raise StageDied(stage.target)
        delay_s = self.link_delays_s.get(pair, 0.0)
        if delay_s:
            gevent.sleep(delay_s)
        link = self.link_processors.get(pair)
        if link is not None and pair[0] != pair[1]:
            link.run(1.0, priority)

    def _require_alive(self, stage: Engine) -> None:
        if stage.is_dead:
            raise StageDied(stage.target)

    def kill(self, engine: Engine) -> None:
        """Kill an engine; its KV states are lost."""
        engine.is_dead = True
        engine.kv_positions.clear()
        engine.exported.clear()
        engine.cache.clear()

    def cancel(self, engine: Engine, order: CancelOrder) -> None:
        """Stop an attempt at its next position."""
        engine.cancelled.add((order.request, order.attempt))

    def export(self, engine: Engine, order: ExportOrder) -> str | None:
        """Keep a KV state readable under a handle, if it reaches the position."""
        held = engine.kv_positions.get((order.request, order.attempt), -1)
        if engine.is_dead or held < order.position:
            return None
        handle = f"{engine.target}/{next(self._handles)}"
        engine.exported[handle] = order.position
        return handle
