"""Throughput as a share of the max-flow bound, for the selector and simpler policies.

Simulated accelerators and links spend real time on each layer and token. A closed loop
with enough clients to saturate the fleet under every policy runs for a warm-up, then
the token rate is measured. The policies are measured alternately on the same fleet.
"""

import random
import time
from collections import Counter
from dataclasses import dataclass, field

import gevent

from chervilstall.measure.policies import (
    ChainPolicy,
    ChosenChain,
    LeastInFlightPolicy,
    RoundRobinPolicy,
    SelectorPolicy,
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
NO_CAPACITY_RETRY_S = 0.005
ROUNDS = 2
ROUTERS_PER_ZONE = 2
POLICIES = ("achieved", "round_robin", "least_in_flight")


@dataclass
class SimulatedFleet:
    """Simulated processors for the engines and links of a fleet shape."""

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
        """Spend the processing time of one token at each engine and link of a chain."""
        previous_zone = ""
        for hop in hops:
            zone = self.zones[hop.target]
            if previous_zone and previous_zone != zone:
                self.links[(previous_zone, zone)].run(1.0, priority)
            self.processors[hop.target].run(hop.layers, priority)
            previous_zone = zone

    def stop(self) -> None:
        """Stop every processor."""
        for processor in [*self.processors.values(), *self.links.values()]:
            processor.stop()


class ClosedLoopLoad:
    """Clients that send one request after the other, spread over routers.

    Each router has its own policy, which knows only the requests of that router.
    """

    def __init__(self, shape: Shape, policies: list[ChainPolicy], seed: int) -> None:
        self.simulated_fleet = SimulatedFleet(shape)
        self.policies = policies
        self.tokens = 0
        self.tokens_by_client: Counter[int] = Counter()
        self._rng = random.Random(seed)
        self._tasks = [
            gevent.spawn(self._run_client, number) for number in range(CLIENTS)
        ]

    def _run_client(self, number: int) -> None:
        policy = self.policies[number % len(self.policies)]
        while True:
            tokens = self._rng.randint(TOKENS_MIN, TOKENS_MAX)
            chain = policy.choose(tokens, Priority.DRAFT)
            if chain is None:
                gevent.sleep(NO_CAPACITY_RETRY_S)
                continue
            self._generate(chain, tokens, number)
            policy.finish(chain)

    def _generate(self, chain: ChosenChain, tokens: int, number: int) -> None:
        for _ in range(tokens):
            self.simulated_fleet.run_token(chain.hops, Priority.DRAFT)
            self.tokens += 1
            self.tokens_by_client[number] += 1

    def stop(self) -> None:
        """Stop the clients and the simulated fleet."""
        gevent.killall(self._tasks)
        self.simulated_fleet.stop()


def measure_token_rate(shape: Shape, policies: list[ChainPolicy], seed: int) -> float:
    """Return the tokens per second that routers with these policies achieve."""
    load = ClosedLoopLoad(shape, policies, seed)
    gevent.sleep(WARM_UP_S)
    tokens_before = load.tokens
    started_at_s = time.monotonic()
    gevent.sleep(MEASURED_S)
    rate = (load.tokens - tokens_before) / (time.monotonic() - started_at_s)
    load.stop()
    return rate


def make_policies(name: str, shape: Shape, seed: int) -> list[ChainPolicy]:
    """Return one policy for each of ROUTERS_PER_ZONE routers in every zone."""
    policies: list[ChainPolicy] = []
    for number in range(ROUTERS_PER_ZONE):
        for zone in shape.zones:
            match name:
                case "achieved":
                    router_name = f"{zone}-{number}"
                    policies.append(
                        SelectorPolicy(shape, zone, router_name, seed + number)
                    )
                case "round_robin":
                    policies.append(RoundRobinPolicy(shape, seed + len(policies)))
                case "least_in_flight":
                    policies.append(LeastInFlightPolicy(shape))
    return policies


def run_throughput(shape_name: str, seed: int, scale: float) -> dict[str, object]:
    """Return the achieved share of the bound for each policy."""
    shape = SHAPES[shape_name](random.Random(seed), scale)
    plan: FlowPlan = solve_flow(
        shape.fleet().capabilities[CAPABILITY], shape.links_tokens_per_s
    )
    rates: dict[str, list[float]] = {}
    for round_number in range(ROUNDS):
        for name in POLICIES:
            policies = make_policies(name, shape, seed + round_number)
            rate = measure_token_rate(shape, policies, seed + round_number)
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
