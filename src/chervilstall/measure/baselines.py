"""Chain choosers that the selector is measured against."""

import itertools
from dataclasses import dataclass, field
from typing import Protocol

from chervilstall.ids import TargetId, ZoneName
from chervilstall.measure.shapes import CAPABILITY, LAYERS, Shape
from chervilstall.routing.fleet import EngineTarget
from chervilstall.routing.reservation import ChainRequest, ChainReservation
from chervilstall.routing.selector import ChainSelector
from chervilstall.settings.processes import RoutingSettings
from chervilstall.target.contract import Hop, Priority


class Chooser(Protocol):
    """Chooses a chain for each request and hears of its end."""

    def choose(self, tokens: float, priority: Priority) -> "Choice | None":
        """Return a chain, or None where none has room."""

    def finish(self, choice: "Choice") -> None:
        """Hear that a request ended."""


@dataclass
class Choice:
    """A chosen chain."""

    hops: tuple[Hop, ...]
    placement: ChainReservation | None = None


def hop_of(engine: EngineTarget, first: int, end: int) -> Hop:
    """Return a hop over some layers of an engine."""
    return Hop(engine.target, engine.address.host, engine.address.port, first, end)


@dataclass
class RoundRobin:
    """Takes, for each stage, the next engine that holds the layer due."""

    shape: Shape
    offset: int = 0

    def __post_init__(self) -> None:
        start = self.offset % len(self.shape.engines)
        order = self.shape.engines[start:] + self.shape.engines[:start]
        self._turns = itertools.cycle(order)

    def choose(self, tokens: float, priority: Priority) -> Choice | None:
        """Return the next chain in turn."""
        hops = []
        layer = 0
        while layer < LAYERS:
            engine = self._next(layer)
            end = engine.stage_class.end_layer
            hops.append(hop_of(engine, layer, end))
            layer = end
        return Choice(tuple(hops))

    def _next(self, layer: int) -> EngineTarget:
        for engine in self._turns:
            held = engine.stage_class
            if held.first_layer <= layer < held.end_layer:
                return engine
        raise AssertionError("the cycle never ends")

    def finish(self, choice: Choice) -> None:
        """Nothing is remembered."""


@dataclass
class LeastInFlight:
    """Takes, for each stage, the engine with the fewest requests in flight."""

    shape: Shape
    in_flight: dict[TargetId, int] = field(default_factory=dict)

    def choose(self, tokens: float, priority: Priority) -> Choice | None:
        """Return the chain of least loaded engines."""
        hops = []
        layer = 0
        while layer < LAYERS:
            holding = [
                engine
                for engine in self.shape.engines
                if engine.stage_class.first_layer <= layer
                and layer < engine.stage_class.end_layer
            ]
            engine = min(holding, key=lambda item: self.in_flight.get(item.target, 0))
            end = engine.stage_class.end_layer
            hops.append(hop_of(engine, layer, end))
            self.in_flight[engine.target] = self.in_flight.get(engine.target, 0) + 1
            layer = end
        return Choice(tuple(hops))

    def finish(self, choice: Choice) -> None:
        """Forget the request."""
        for hop in choice.hops:
            self.in_flight[hop.target] -= 1


class Selecting:
    """The project's selector as a chooser."""

    def __init__(self, shape: Shape, zone: ZoneName, name: str, seed: int) -> None:
        self.selector = ChainSelector(RoutingSettings(), zone, name, seed)
        self.selector.update(shape.fleet())

    def choose(self, tokens: float, priority: Priority) -> Choice | None:
        """Return the selector's chain."""
        request = ChainRequest(CAPABILITY, priority, tokens)
        placement = self.selector.reserve(request)
        return Choice(placement.hops, placement) if placement else None

    def finish(self, choice: Choice) -> None:
        """Release the chain."""
        if choice.placement is not None:
            self.selector.release(choice.placement)
            self.selector.record_success(choice.placement)
