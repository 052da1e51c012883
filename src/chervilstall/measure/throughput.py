"""Throughput against the max-flow bound, beside round robin and least in flight.

Stand-in accelerators and links spend real time on each layer and token. As many
requests as keep every chooser saturated run in a closed loop; the rate is counted
after a warm-up. Choosers take turns on the same fleet.
"""

import random
import time
from collections import Counter
from dataclasses import dataclass, field

import gevent

from chervilstall.measure.baselines import (
    Choice,
    Chooser,
    LeastInFlight,
    RoundRobin,
    Selecting,
)
from chervilstall.measure.shapes import CAPABILITY, SHAPES, Shape
from chervilstall.measure.statistics import median
from chervilstall.routing.flow import FlowPlan, solve_flow
from chervilstall.standin.processor import Processor
from chervilstall.target.contract import Hop, Priority

CLIENTS = 480
TOKENS_MIN = 4
TOKENS_MAX = 28
WARM_UP_S = 3.0
MEASURED_S = 6.0
NO_ROOM_WAIT_S = 0.005
TURNS = 2
ROUTERS_PER_ZONE = 2
CHOOSERS = ("achieved", "round_robin", "least_in_flight")


@dataclass
class Accelerators:
    """Processors for every engine and link of a shape."""

    shape: Shape
    processors: dict[str, Processor] = field(default_factory=dict)
    links: dict[tuple[str, str], Processor] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for engine in self.shape.engines:
            self.processors[engine.target] = Processor(engine.layer_tokens_per_s)
            self.zones[engine.target] = engine.stage_class.zone
        for pair, rate in self.shape.links_tokens_per_s.items():
            self.links[pair] = Processor(rate)

    def run_token(self, hops: tuple[Hop, ...], priority: Priority) -> None:
        """Spend what one token costs along a chain."""
        previous = ""
        for hop in hops:
            zone = self.zones[hop.target]
            if previous and previous != zone:
                self.links[(previous, zone)].run(1.0, priority)
            self.processors[hop.target].run(hop.layers, priority)
            previous = zone

    def stop(self) -> None:
        """Stop every processor."""
        for processor in [*self.processors.values(), *self.links.values()]:
            processor.stop()


class ClosedLoop:
    """Clients that send one request after the other, spread over routers.

    Each router has a chooser of its own and knows only what it sent itself.
    """

    def __init__(self, shape: Shape, choosers: list[Chooser], seed: int) -> None:
        self.accelerators = Accelerators(shape)
        self.choosers = choosers
        self.tokens = 0
        self.by_client: Counter[int] = Counter()
        self._rng = random.Random(seed)
        self._tasks = [gevent.spawn(self._client, n) for n in range(CLIENTS)]

    def _client(self, number: int) -> None:
        chooser = self.choosers[number % len(self.choosers)]
        while True:
            tokens = self._rng.randint(TOKENS_MIN, TOKENS_MAX)
            choice = chooser.choose(tokens, Priority.DRAFT)
            if choice is None:
                gevent.sleep(NO_ROOM_WAIT_S)
                continue
            self._run(choice, tokens, number)
            chooser.finish(choice)

    def _run(self, choice: Choice, tokens: int, number: int) -> None:
        for _ in range(tokens):
            self.accelerators.run_token(choice.hops, Priority.DRAFT)
            self.tokens += 1
            self.by_client[number] += 1

    def stop(self) -> None:
        """Stop the clients and accelerators."""
        gevent.killall(self._tasks)
        self.accelerators.stop()


def measure_choosers(shape: Shape, choosers: list[Chooser], seed: int) -> float:
    """Return the token rate that routers with these choosers achieve."""
    loop = ClosedLoop(shape, choosers, seed)
    gevent.sleep(WARM_UP_S)
    before = loop.tokens
    started_at_s = time.monotonic()
    gevent.sleep(MEASURED_S)
    rate = (loop.tokens - before) / (time.monotonic() - started_at_s)
    loop.stop()
    return rate


def make_choosers(name: str, shape: Shape, seed: int) -> list[Chooser]:
    """Return one chooser for each of two routers per zone."""
    choosers: list[Chooser] = []
    for number in range(ROUTERS_PER_ZONE):
        for zone in shape.zones:
            match name:
                case "achieved":
                    router = f"{zone}-{number}"
                    choosers.append(Selecting(shape, zone, router, seed + number))
                case "round_robin":
                    choosers.append(RoundRobin(shape, seed + len(choosers)))
                case "least_in_flight":
                    choosers.append(LeastInFlight(shape))
    return choosers


def run_throughput(shape_name: str, seed: int, scale: float) -> dict[str, object]:
    """Return the achieved share of the bound for each chooser."""
    shape = SHAPES[shape_name](random.Random(seed), scale)
    plan: FlowPlan = solve_flow(
        shape.fleet().capabilities[CAPABILITY], shape.links_tokens_per_s
    )
    rates: dict[str, list[float]] = {}
    for turn in range(TURNS):
        for name in CHOOSERS:
            choosers = make_choosers(name, shape, seed + turn)
            rate = measure_choosers(shape, choosers, seed + turn)
            rates.setdefault(name, []).append(rate)
    figures: dict[str, object] = {
        "experiment": "throughput",
        "shape": shape_name,
        "seed": seed,
        "bound_tokens_per_s": plan.bound_tokens_per_s,
        "limited_by": list(plan.limited_by),
    }
    for name, values in rates.items():
        figures[f"{name}_ratio"] = median(values) / plan.bound_tokens_per_s
    return figures
