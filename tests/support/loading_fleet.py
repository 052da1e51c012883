"""Targets that load layers from a store that all share, and a planner for them.

Orders and reports are calls, without a network. The clock is real; loads are short.
"""

import dataclasses
import random
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from unittest import mock

import gevent

from chervilstall.fleet.records import (
    NO_LAYERS,
    AcceleratorType,
    LayerRange,
    Service,
    Target,
    TargetReadiness,
)
from chervilstall.fleet.view import FleetView
from chervilstall.ids import Epoch, ServiceName, TargetId, ZoneName
from chervilstall.lease.holder import LeaseTerm
from chervilstall.placement import planner as planner_module
from chervilstall.placement.group import LayerHolder
from chervilstall.placement.plan import split_into_groups
from chervilstall.placement.planner import PlacementPlanner
from chervilstall.platform.targets import OrderResponse, PlaceOrder, TargetReport
from chervilstall.settings.option import Address
from tests.support.large_pipeline import LARGE_PIPELINE

SIZES_MB = {"large": 72_000.0, "middle": 36_000.0, "small": 21_600.0, "least": 14_400.0}
ZONES = {
    "one": ["large"] + ["small"] * 3 + ["least"] * 5,
    "two": ["middle"] + ["small"] * 5 + ["least"] * 2,
    "three": ["middle"] + ["small"] * 3 + ["least"] * 5,
    "four": ["small"] * 3 + ["least"] * 5,
    "five": ["middle"] + ["small"] * 5 + ["least"] * 2,
}
PIPELINE = dataclasses.replace(
    LARGE_PIPELINE,
    loads_at_once=3,
    accelerators={
        name: AcceleratorType(name, size_mb, 1.0, 1.0)
        for name, size_mb in SIZES_MB.items()
    },
)
SERVICE = Service(ServiceName("drafts"), 96, "/healthz", PIPELINE)
TICK_S = 0.02
HTTP_CONFLICT = 409
DETECTED_AFTER_S = 0.6
RETURN_AFTER_S = 3.0


def memory_mb(target: Target) -> float:
    """Return the memory of a target."""
    return PIPELINE.accelerators[target.accelerator].memory_mb


@dataclass
class LoadingTarget:
    """A target that takes one order at a time, and drops what an order gives up."""

    target: Target
    orders_begun: int = 0
    goal: LayerRange | None = None
    remaining_s: float = 0.0

    def order(self, order: PlaceOrder) -> int:
        """Return the status of the answer to an order."""
        if self.goal is not None or order.orders_begun != self.orders_begun:
            return HTTP_CONFLICT
        self.orders_begun += 1
        self.goal = order.layers
        kept = range(
            max(self.target.layers.first, order.layers.first),
            min(self.target.layers.end, order.layers.end),
        )
        added = len(order.layers) - len(kept)
        self.remaining_s = PIPELINE.load_s * added / PIPELINE.layers
        self.hold(LayerRange(kept.start, kept.stop) if kept else NO_LAYERS)
        return 202

    def hold(self, layers: LayerRange) -> None:
        """Set the layers that the entry shows."""
        self.target = dataclasses.replace(
            self.target, layers=layers, revision=self.target.revision + 1
        )


class FixedLease:
    """A lease that is always held."""

    name = "planner"
    is_unanswered = False

    def check(self) -> LeaseTerm:
        """Return the term."""
        return LeaseTerm(self.name, Epoch(1))


@dataclass
class LoadingFleet:
    """Three zones of targets, with a planner that places a model on them.

    `refused_orders` counts the orders that did not fit the state of their target.
    """

    seed: int
    refused_orders: int = 0
    targets: dict[Address, LoadingTarget] = field(default_factory=dict)
    _port: int = 1000

    def __post_init__(self) -> None:
        self.host = f"10.0.0.{self.seed + 1}"
        self.rng = random.Random(self.seed)
        self.fleet_view = FleetView(drain_s=2.0)
        self.fleet_view.configuration = mock.Mock(services={SERVICE.name: SERVICE})
        self.fleet_view.are_targets_loaded = True
        self.planner = PlacementPlanner(self.fleet_view, FixedLease())
        for zone, names in ZONES.items():
            for accelerator in names:
                self.add(ZoneName(zone), accelerator)
        self.groups = self.find_groups()
        self.tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Plan and load until `stop`."""
        self.tasks = [gevent.spawn(self.planner.run), gevent.spawn(self.load)]

    def stop(self) -> None:
        """Stop all tasks."""
        gevent.killall(self.tasks)

    def add(self, zone: ZoneName, accelerator: str) -> None:
        """Register an empty target."""
        self._port += 1
        address = Address(self.host, self._port)
        target = Target(
            TargetId(f"t-{self._port}"),
            1,
            SERVICE.name,
            address,
            zone,
            TargetReadiness.READY,
            accelerator,
            NO_LAYERS,
            revision=1,
        )
        self.targets[address] = LoadingTarget(target)
        self.fleet_view.update_target(target)

    def send_order(self, address: Address, order: PlaceOrder) -> OrderResponse:
        """Give an order to a target."""
        gevent.sleep(0.01)
        known = self.targets.get(address)
        if known is None:
            return OrderResponse(0)
        status = known.order(order)
        self.refused_orders += status == HTTP_CONFLICT
        self.fleet_view.update_target(known.target)
        return OrderResponse(status)

    def fetch_report(self, address: Address) -> TargetReport | None:
        """Return the report of a target, or None if it is down."""
        gevent.sleep(0.01)
        known = self.targets.get(address)
        if known is None:
            return None
        layers = known.target.layers
        is_loading = known.goal is not None
        begun = known.orders_begun
        return TargetReport(1.0, is_loading, begun, 0, 0, 0.0, 1.0, (), layers)

    def load(self) -> None:
        """Let all loads progress, each slower where more run than at full speed."""
        stepped_at_s = time.monotonic()
        while True:
            gevent.sleep(TICK_S)
            now_s = time.monotonic()
            elapsed_s, stepped_at_s = now_s - stepped_at_s, now_s
            loading = [each for each in self.targets.values() if each.goal is not None]
            speed = min(1.0, PIPELINE.loads_at_once / max(1, len(loading)))
            for known in loading:
                known.remaining_s -= elapsed_s * speed
                if known.remaining_s <= 0.0:
                    assert known.goal is not None
                    known.hold(known.goal)
                    known.goal = None
                    self.fleet_view.update_target(known.target)

    def crash(self, count: int) -> int:
        """Let targets crash at once; return how many layers they held."""
        lost = self.rng.sample(list(self.targets), count)
        layers = 0
        for address in lost:
            target = self.targets.pop(address).target
            layers += len(target.layers)
            gevent.spawn_later(
                DETECTED_AFTER_S, self.fleet_view.remove_target, target.id
            )
            gevent.spawn_later(
                RETURN_AFTER_S, self.add, target.zone, target.accelerator
            )
        return layers

    def find_groups(self) -> list[set[ZoneName]]:
        """Return the zones that hold the model together, for each copy of it."""
        holders = [
            LayerHolder(
                each.target.id, each.target.zone, memory_mb(each.target), NO_LAYERS
            )
            for each in self.targets.values()
        ]
        groups = split_into_groups(PIPELINE, holders)
        return [{holder.zone for holder in group} for group in groups]

    def holds_model(self, zones: set[ZoneName]) -> bool:
        """Return whether the targets of some zones hold every layer."""
        return not self.count_missing(zones)

    def count_missing(self, zones: set[ZoneName]) -> int:
        """Return how many layers no target of some zones holds."""
        held = {
            layer
            for known in self.targets.values()
            if known.target.zone in zones
            for layer in range(known.target.layers.first, known.target.layers.end)
        }
        return PIPELINE.layers - len(held)

    @property
    def is_placed(self) -> bool:
        """Return whether every target holds layers and none loads any."""
        return all(
            known.goal is None and len(known.target.layers)
            for known in self.targets.values()
        )

    @property
    def is_whole(self) -> bool:
        """Return whether every group of zones holds the whole model."""
        return all(map(self.holds_model, self.groups))


class LoadingFleets:
    """Fleets with the seeds of a scenario; calls reach a fleet by its host."""

    def __init__(self, seeds: range) -> None:
        self.fleets = [LoadingFleet(seed) for seed in seeds]
        self.by_host = {fleet.host: fleet for fleet in self.fleets}
        self.patches = ExitStack()

    def start(self) -> None:
        """Start every fleet."""
        for name in ("send_order", "fetch_report"):
            call = getattr(self, name)
            self.patches.enter_context(mock.patch.object(planner_module, name, call))
        for fleet in self.fleets:
            fleet.start()

    def send_order(self, target: Target, order: PlaceOrder) -> OrderResponse:
        """Give an order to a target."""
        address = target.address
        return self.by_host[address.host].send_order(address, order)

    def fetch_report(
        self, target: Target, timeout_s: float = 1.0
    ) -> TargetReport | None:
        """Return the report of a target, or None if it is down."""
        address = target.address
        return self.by_host[address.host].fetch_report(address)

    def stop(self) -> None:
        """Stop every fleet."""
        for fleet in self.fleets:
            fleet.stop()
        self.patches.close()
