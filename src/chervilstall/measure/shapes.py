"""Fleets that the experiments run on.

The `scale` of a fleet multiplies the capacities of its engines and links.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from chervilstall.ids import ModelName, TargetId, ZoneName
from chervilstall.routing.fleet import (
    Capability,
    CapabilityFleet,
    EngineTarget,
    Fleet,
    StageClass,
)
from chervilstall.settings.option import Address

PLACEHOLDER_ADDRESS = Address("127.0.0.1", 1)
CAPABILITY = Capability(ModelName("model"), "v1", "")
LAYERS = 48


@dataclass(frozen=True)
class Shape:
    """A fleet: engines of one capability, and the links between its zones."""

    name: str
    zones: tuple[ZoneName, ...]
    engines: tuple[EngineTarget, ...]
    links_tokens_per_s: dict[tuple[str, str], float]

    def fleet(self, without: frozenset[TargetId] = frozenset()) -> Fleet:
        """Return the fleet as a router sees it, without some targets."""
        classes: dict[StageClass, list[EngineTarget]] = {}
        for engine in self.engines:
            if engine.target not in without:
                classes.setdefault(engine.stage_class, []).append(engine)
        class_engines = {key: tuple(value) for key, value in classes.items()}
        capability_fleet = CapabilityFleet(LAYERS, class_engines)
        return Fleet({CAPABILITY: capability_fleet}, {}, self.links_tokens_per_s)


def _make_engine(
    name: str, zone: str, accelerator: str, first: int, end: int, rate: float
) -> EngineTarget:
    stage_class = StageClass(ZoneName(zone), accelerator, first, end)
    return EngineTarget(TargetId(name), PLACEHOLDER_ADDRESS, stage_class, rate, 64)


def _make_links(
    zones: tuple[ZoneName, ...], rate: Callable[[str, str], float]
) -> dict[tuple[str, str], float]:
    links = {}
    for zone in zones:
        for other in zones:
            if zone != other:
                links[(str(zone), str(other))] = rate(zone, other)
    return links


def make_parcels(rng: random.Random, scale: float = 1.0) -> Shape:
    """Return 40 assistant model servers in three zones.

    There are two kinds of accelerator and two overlapping layer ranges, each about half
    of the model. The capacity of each server varies at random by up to 10%.
    """
    zones = (ZoneName("ba-hall"), ZoneName("za-hall"), ZoneName("ke-hall"))
    engines = []
    for number in range(40):
        zone = zones[number % 3]
        accelerator, rate = (("large", 2_000.0), ("small", 1_000.0))[number % 2]
        first, end = ((0, 26), (22, LAYERS))[(number // 3) % 2]
        jitter = rng.uniform(0.9, 1.1)
        engines.append(
            _make_engine(
                f"b-{number}", zone, accelerator, first, end, rate * jitter * scale
            )
        )
    links = _make_links(zones, lambda zone, other: 400.0 * scale)
    return Shape("parcels", zones, tuple(engines), links)


def make_seating(rng: random.Random, scale: float = 1.0) -> Shape:
    """Return 40 plan model servers in three zones.

    There are two kinds of accelerator and three overlapping layer ranges. The capacity
    of each server varies at random by up to 10%.
    """
    zones = (ZoneName("caudan-hall"), ZoneName("plaine-verte"), ZoneName("champ-mars"))
    layer_ranges = ((0, 18), (14, 34), (30, LAYERS))
    engines = []
    for number in range(40):
        zone = zones[(number // 3) % 3]
        first, end = layer_ranges[number % 3]
        accelerator, rate = (("large", 1_800.0), ("small", 900.0))[(number // 9) % 2]
        jitter = rng.uniform(0.9, 1.1)
        engines.append(
            _make_engine(
                f"s-{number}", zone, accelerator, first, end, rate * jitter * scale
            )
        )
    links = _make_links(zones, lambda zone, other: 300.0 * scale)
    return Shape("seating", zones, tuple(engines), links)


def make_skewed(rng: random.Random, scale: float = 1.0) -> Shape:
    """Return 40 servers with strongly unequal capacities.

    There are three kinds of accelerator and four layer ranges, one of them the whole
    model. The zone `short` holds a fifth of the servers, and its links to `south` have
    a hundredth of the capacity of the others.
    """
    zones = (ZoneName("north"), ZoneName("south"), ZoneName("short"))
    accelerators = (("large", 4_000.0), ("medium", 1_500.0), ("small", 500.0))
    layer_ranges = ((0, 20), (12, 36), (28, LAYERS), (0, LAYERS))
    engines = []
    for number in range(40):
        zone = zones[0 if number % 5 < 2 else 1 if number % 5 < 4 else 2]
        accelerator, rate = accelerators[number % 3]
        first, end = layer_ranges[rng.randrange(4) if number >= 12 else number % 4]
        engines.append(
            _make_engine(f"k-{number}", zone, accelerator, first, end, rate * scale)
        )
    fast, slow = 400.0 * scale, 4.0 * scale

    def rate_between(zone: str, other: str) -> float:
        return slow if "short" in (zone, other) and "south" in (zone, other) else fast

    return Shape("skewed", zones, tuple(engines), _make_links(zones, rate_between))


SHAPES: dict[str, Callable[[random.Random, float], Shape]] = {
    "parcels": make_parcels,
    "seating": make_seating,
    "skewed": make_skewed,
}
