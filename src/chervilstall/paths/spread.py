"""Random part of the cost of targets for routers that know each other's load.

With the same figures, all routers would send their requests to the target with the
least load until the next figures arrive, and to another one then. So interchangeable
targets get shares of the requests that fall smoothly with their cost, and the least
loaded ones get little more than targets of mean load.
"""

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from chervilstall.fleet.records import Target
from chervilstall.ids import TargetId

SPREAD_MS = 2.0
"""Cost that reduces a target's share of requests to 1/e."""

ADVANTAGE_MS = 0.3 * SPREAD_MS
"""Most by which a target with less load than the others is cheaper than their mean.

It then gets at most about exp(0.3) = 1.35 times the share of one of the others.
"""

NOISE_MIN, NOISE_MAX = -1.5, 3.0
"""Bounds of the random part, as multiples of `SPREAD_MS`.

Chance alone thus never outweighs the penalty for another zone.
"""


class TargetCost(NamedTuple):
    """Parts of the cost of a target, without the random one.

    The first three are caused by load: requests in flight, queued prompts and memory
    in use. The others are a hop and penalties for a slow, draining or full target.
    """

    requests_ms: float
    prefill_ms: float
    memory_ms: float
    hop_ms: float
    slow_ms: float
    draining_ms: float
    full_ms: float
    capacity_tokens: float

    @property
    def load_ms(self) -> float:
        """Return the part that load causes."""
        return self.requests_ms + self.prefill_ms + self.memory_ms

    @property
    def other_ms(self) -> float:
        """Return the part that doesn't depend on load."""
        return self.hop_ms + self.slow_ms + self.draining_ms + self.full_ms


@dataclass(frozen=True)
class _Holders:
    """Targets of one type that hold a layer.

    `load_ms` and `capacity_tokens` are sums over these targets.
    """

    count: int
    load_ms: float
    capacity_tokens: float

    def least_load_ms(self, cost: TargetCost) -> float:
        """Return the least load cost that one of these targets counts with."""
        if self.count == 1:
            return cost.load_ms
        others_ms = (self.load_ms - cost.load_ms) / (self.count - 1)
        return others_ms - ADVANTAGE_MS


def spread_costs_ms(
    targets: Iterable[Target],
    costs: Mapping[TargetId, TargetCost],
    rng: random.Random | None,
) -> dict[TargetId, float]:
    """Return the costs of targets with their random part.

    Of targets of a type that hold the same layers at the same cost, each is the
    cheapest with a probability in proportion to its capacity. Targets of another type
    compete by their whole cost, so that requests go to a slower type once the load
    of the faster one costs more. Without `rng`, the random part is 0.
    """
    candidates = list(targets)
    kinds = {(target.accelerator, target.layers.first) for target in candidates}
    holders = {kind: _holders(*kind, candidates, costs) for kind in kinds}
    spread: dict[TargetId, float] = {}
    for target in candidates:
        cost = costs[target.id]
        similar = holders[target.accelerator, target.layers.first]
        load_ms = max(cost.load_ms, similar.least_load_ms(cost))
        capacity_share = cost.capacity_tokens / similar.capacity_tokens
        noise = 0.0 if rng is None else _draw_noise(rng, capacity_share)
        spread[target.id] = cost.other_ms + load_ms + SPREAD_MS * noise
    return spread


def _draw_noise(rng: random.Random, capacity_share: float) -> float:
    draw = max(rng.expovariate(1.0), 1e-9) / capacity_share
    return min(NOISE_MAX, max(NOISE_MIN, math.log(draw)))


def _holders(
    accelerator: str,
    layer: int,
    targets: list[Target],
    costs: Mapping[TargetId, TargetCost],
) -> _Holders:
    held = [
        costs[target.id]
        for target in targets
        if target.accelerator == accelerator
        and target.layers.first <= layer < target.layers.end
    ]
    return _Holders(
        len(held),
        sum(cost.load_ms for cost in held),
        sum(cost.capacity_tokens for cost in held),
    )
