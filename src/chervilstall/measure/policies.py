"""Policies that choose a chain for each request.

The selector of the router is compared with round robin and with least requests in
flight, which know neither capacities nor links.
"""

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


class ChainPolicy(Protocol):
    """Chooses a chain for each request and is notified when the request ends."""

    def choose(self, tokens: float, priority: Priority) -> "ChosenChain | None":
        """Return a chain, or None if no chain has free capacity.

        `tokens` is the number of tokens that the request will generate.
        """

    def finish(self, chain: "ChosenChain") -> None:
        """Release what the request on this chain held."""


@dataclass
class ChosenChain:
    """A chain, with its reservation if the policy made one."""

    hops: tuple[Hop, ...]
    reservation: ChainReservation | None = None


def engine_hop(engine: EngineTarget, first: int, end: int) -> Hop:
    """Return a hop that runs the layers [first, end) of an engine."""
    return Hop(engine.target, engine.address.host, engine.address.port, first, end)


@dataclass
class RoundRobinPolicy:
    """Uses, for each stage, the next engine that holds the first missing layer.

    `offset` is the position in the list of engines at which the rotation starts.
    """

    shape: Shape
    offset: int = 0

    def __post_init__(self) -> None:
        start = self.offset % len(self.shape.engines)
        rotation = self.shape.engines[start:] + self.shape.engines[:start]
        self._engine_cycle = itertools.cycle(rotation)

    def choose(self, tokens: float, priority: Priority) -> ChosenChain | None:
        """Return the next chain of the rotation."""
        hops = []
        layer = 0
        while layer < LAYERS:
            engine = self._next_engine(layer)
            end = engine.stage_class.end_layer
            hops.append(engine_hop(engine, layer, end))
            layer = end
        return ChosenChain(tuple(hops))

    def _next_engine(self, layer: int) -> EngineTarget:
        for engine in self._engine_cycle:
            stage = engine.stage_class
            if stage.first_layer <= layer < stage.end_layer:
                return engine
        raise AssertionError("unreachable: itertools.cycle does not end")

    def finish(self, chain: ChosenChain) -> None:
        """Do nothing: round robin keeps no state per request."""


@dataclass
class LeastInFlightPolicy:
    """Uses, for each stage, the engine with the fewest requests in flight."""

    shape: Shape
    in_flight: dict[TargetId, int] = field(default_factory=dict)

    def choose(self, tokens: float, priority: Priority) -> ChosenChain | None:
        """Return the chain of the engines with the fewest requests in flight."""
        hops = []
        layer = 0
        while layer < LAYERS:
            candidates = [
                engine
                for engine in self.shape.engines
                if engine.stage_class.first_layer <= layer
                and layer < engine.stage_class.end_layer
            ]
            engine = min(
                candidates,
                key=lambda candidate: self.in_flight.get(candidate.target, 0),
            )
            end = engine.stage_class.end_layer
            hops.append(engine_hop(engine, layer, end))
            self.in_flight[engine.target] = self.in_flight.get(engine.target, 0) + 1
            layer = end
        return ChosenChain(tuple(hops))

    def finish(self, chain: ChosenChain) -> None:
        """Subtract the request from the counts of its engines."""
        for hop in chain.hops:
            self.in_flight[hop.target] -= 1


class SelectorPolicy:
    """The `ChainSelector` of one router.

    `name` identifies the router for subsetting; `seed` makes its draws repeatable.
    """

    def __init__(self, shape: Shape, zone: ZoneName, name: str, seed: int) -> None:
        self.selector = ChainSelector(RoutingSettings(), zone, name, seed)
        self.selector.update(shape.fleet())

    def choose(self, tokens: float, priority: Priority) -> ChosenChain | None:
        """Return a chain that the selector has reserved."""
        request = ChainRequest(CAPABILITY, priority, tokens)
        reservation = self.selector.reserve(request)
        return ChosenChain(reservation.hops, reservation) if reservation else None

    def finish(self, chain: ChosenChain) -> None:
        """Release the reservation and record the request as successful."""
        if chain.reservation is not None:
            self.selector.release(chain.reservation)
            self.selector.record_success(chain.reservation)
