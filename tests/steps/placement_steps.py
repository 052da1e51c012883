"""Steps for the placement of model layers."""

import dataclasses
import random
import time

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.fleet.records import NO_LAYERS, AcceleratorType, LayerRange, Pipeline
from chervilstall.fleet.suspicion import SuspicionKind
from chervilstall.fleet.view import FleetView
from chervilstall.ids import Epoch, TargetId, VmId, ZoneName
from chervilstall.lease.holder import LeaseHolder
from chervilstall.placement.group import LayerHolder
from chervilstall.placement.plan import plan
from chervilstall.placement.planner import PlacementPlanner
from chervilstall.platform.suspicions import SharedSuspicion, encode_suspicion
from chervilstall.settings.leases import LeaseSettings
from chervilstall.standin.platform_fixtures import LAYERS
from chervilstall.standin.platform_target import Behaviour, PlatformTarget
from chervilstall.store.contract import LeaseRecord
from tests.support.agent_fleet import eventually
from tests.support.platform import Platform, send
from tests.support.router_harness import Response

MODEL = Pipeline(
    layers=80,
    layer_mb=1750.0,
    kv_bytes_per_token=1_180_000.0,
    step_ms=0.85,
    prefill_tokens_per_s=196_000.0,
    token_transfer_s=43e-6,
    load_s=14.0,
    loads_at_once=6,
    typical_tokens=946.0,
    accelerators={"any": AcceleratorType("any", 1.0, 1.0, 1.0)},
)
LARGE, MIDDLE, SMALL, LEAST = 72_000.0, 36_000.0, 21_600.0, 14_400.0
ZONES = {
    "one": [LARGE, MIDDLE] + [SMALL] * 5 + [LEAST] * 7,
    "two": [MIDDLE] + [SMALL] * 8 + [LEAST] * 3,
    "three": [MIDDLE] * 2 + [SMALL] * 4 + [LEAST] * 7,
}


def make_fleet(zones: dict[str, list[float]]) -> dict[str, LayerHolder]:
    """Return empty targets with the given memory sizes in MB, by name."""
    fleet: dict[str, LayerHolder] = {}
    for zone, sizes in zones.items():
        for number, size in enumerate(sizes):
            name = f"{zone}-{number}"
            fleet[name] = LayerHolder(TargetId(name), ZoneName(zone), size, NO_LAYERS)
    return fleet


def apply_plan(fleet: dict[str, LayerHolder]) -> int:
    """Apply one plan to a fleet and return the number of changes."""
    changes = plan(MODEL, fleet.values())
    for change in changes:
        holder = fleet[change.target_id]
        assert len(change.layers) * MODEL.layer_mb <= holder.memory_mb, change
        fleet[change.target_id] = dataclasses.replace(holder, layers=change.layers)
    return len(changes)


def count_holders(fleet: dict[str, LayerHolder], zone: str = "") -> list[int]:
    """Return how many targets hold each layer, in one zone or in all."""
    counts = [0] * MODEL.layers
    for holder in fleet.values():
        if zone and holder.zone != zone:
            continue
        for layer in range(holder.layers.first, holder.layers.end):
            counts[layer] += 1
    return counts


@given("three zones of mixed targets")
def make_three_zones(context: Context) -> None:
    context.fleet = make_fleet(ZONES)


@given("two zones with half of the memory that the model needs")
def make_half_zones(context: Context) -> None:
    context.fleet = make_fleet({"one": [MIDDLE] * 3, "two": [MIDDLE] * 3})


@given("a zone with the memory for two copies of the model")
def make_large_zone(context: Context) -> None:
    sizes = [LARGE] + [MIDDLE] * 2 + [SMALL] * 12 + [LEAST] * 14
    context.fleet = make_fleet({"one": sizes})


@then("after the loss of any one target every layer is still held")
def check_held_twice(context: Context) -> None:
    assert min(count_holders(context.fleet)) >= 2, count_holders(context.fleet)


@then("every target has memory for {requests:d} requests")
def check_memory_for(context: Context, requests: int) -> None:
    tokens = requests * MODEL.typical_tokens
    for holder in context.fleet.values():
        limit = MODEL.layers_max(holder.memory_mb, tokens)
        assert len(holder.layers) <= limit, holder


@when("the plan is carried out")
def apply_plan_once(context: Context) -> None:
    apply_plan(context.fleet)


@then("each zone holds every layer")
def check_zones(context: Context) -> None:
    for zone in ZONES:
        assert min(count_holders(context.fleet, zone)) >= 1, zone


@then("no target holds more than its memory")
def check_memory(context: Context) -> None:
    for holder in context.fleet.values():
        assert len(holder.layers) * MODEL.layer_mb <= holder.memory_mb, holder


@then("both zones together hold every layer")
def check_joined(context: Context) -> None:
    assert min(count_holders(context.fleet)) >= 1


@then("after the loss of any one target its zone holds every layer again")
def check_repaired(context: Context) -> None:
    for name, lost in context.fleet.items():
        fleet = dict(context.fleet)
        del fleet[name]
        apply_plan(fleet)
        assert min(count_holders(fleet, lost.zone)) >= 1, name


@then("another plan changes nothing")
def check_no_changes(context: Context) -> None:
    assert plan(MODEL, context.fleet.values()) == []


@when("an empty target joins")
def add_empty_target(context: Context) -> None:
    holder = LayerHolder(TargetId("new"), ZoneName("two"), SMALL, NO_LAYERS)
    context.fleet["new"] = holder


@then("only the new target gets an order")
def check_only_new(context: Context) -> None:
    changes = plan(MODEL, context.fleet.values())
    assert [change.target_id for change in changes] == ["new"], changes


@given("a zone whose targets are filled unevenly")
def make_uneven_zone(context: Context) -> None:
    sizes = [MIDDLE] * 3 + [SMALL] * 7
    context.fleet = make_fleet({"one": sizes})
    filled = [11, 6, 15, 10, 10, 2, 8, 6, 6, 6]
    first = 0
    for name, number in zip(list(context.fleet), filled, strict=True):
        layers = LayerRange(first, first + number)
        context.fleet[name] = dataclasses.replace(context.fleet[name], layers=layers)
        first += number


@when("plans are carried out until nothing changes")
def apply_plans(context: Context) -> None:
    context.holders_min = min(count_holders(context.fleet))
    for _ in range(60):
        changed = apply_plan(context.fleet)
        context.holders_min = min(
            context.holders_min, min(count_holders(context.fleet))
        )
        if not changed:
            return
    raise AssertionError("the plans still change after 60 rounds")


@then("no layer was ever missing")
def check_never_missing(context: Context) -> None:
    assert context.holders_min >= 1


@then("every target has the planned memory for requests")
def check_planned_memory(context: Context) -> None:
    tokens = 24 * MODEL.typical_tokens
    for holder in context.fleet.values():
        assert len(holder.layers) <= MODEL.layers_max(holder.memory_mb, tokens), holder


@then("in 60 random fleets with losses no order exceeds a target's memory")
def check_random_fleets(context: Context) -> None:
    rng = random.Random(17)
    for _ in range(60):
        zones = {
            zone: [
                rng.choice([LARGE, MIDDLE, SMALL, LEAST, 1000.0])
                for _ in range(rng.randint(1, 16))
            ]
            for zone in ("one", "two", "three")[: rng.randint(1, 3)]
        }
        fleet = make_fleet(zones)
        for _ in range(12):
            # `apply_plan` asserts that each order fits the target's memory.
            apply_plan(fleet)
            if len(fleet) > 1:
                del fleet[rng.choice(sorted(fleet))]


# Orders


@given("a platform with four empty model targets in a zone")
def add_empty_targets(context: Context) -> None:
    platform = context.platform = Platform()
    context.stoppables.append(platform)
    platform.start()
    for number in range(4):
        platform.add_target(f"m{number}", "drafts", "ba-hall")
    context.stoppables.append(EntryUpdater(platform))


class EntryUpdater:
    """Writes the entry of each model target whenever its layers change."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.written: dict[str, LayerRange] = {}
        self.task = gevent.spawn(self._update)

    def _update(self) -> None:
        while True:
            for name, target in self.platform.targets.items():
                if self.written.get(name, NO_LAYERS) != target.layers:
                    self.written[name] = target.layers
                    self.platform.register(name, "drafts", "ba-hall")
            gevent.sleep(0.02)

    def stop(self) -> None:
        """Stop updating entries."""
        self.task.kill()


@given("one target already began orders that no entry shows")
def set_hidden_orders(context: Context) -> None:
    context.platform.targets["m2"].orders_begun = 3


@when("a router starts")
def start_router(context: Context) -> None:
    context.router = context.platform.add_router()


@when("two routers start")
def start_routers(context: Context) -> None:
    context.router = context.platform.add_router()
    context.platform.add_router("za-hall")


def holds_model(targets: list[PlatformTarget]) -> bool:
    """Return whether targets together hold every layer."""
    held = [0] * LAYERS
    for target in targets:
        for layer in range(target.layers.first, target.layers.end):
            held[layer] += 1
    return min(held) >= 1


@then("the targets hold every layer")
def check_held(context: Context) -> None:
    targets = list(context.platform.targets.values())
    eventually(lambda: holds_model(targets))
    eventually(lambda: all(len(target.layers) for target in targets))


@then("each target began one order")
def check_one_order(context: Context) -> None:
    gevent.sleep(1.5)
    begun = [target.orders_begun for target in context.platform.targets.values()]
    assert begun == [1, 1, 1, 1], begun


@then("every order named the count that its target had begun")
def check_counts(context: Context) -> None:
    check_held(context)
    orders = context.platform.targets["m2"].log.orders
    assert [order["expected"] for order in orders] == [3], orders


@when("the store {trouble} and a target dies")
def fail_store_and_target(context: Context, trouble: str) -> None:
    state = context.platform.store.state
    state.is_silent = trouble == "is silent"
    state.error_status = 503
    state.changed.set()
    # The lease expires meanwhile, but no other router can take it.
    gevent.sleep(2.5)
    targets = context.platform.targets
    irreplaceable = [
        name for name, each in targets.items() if not _is_replaceable(targets, name)
    ]
    context.dead = (irreplaceable or sorted(targets))[0]
    targets[context.dead].stop()
    target = context.router.fleet_view.targets[context.dead]
    context.router.fleet_view.suspect(target, "test")


@when("the store is silent and a target leaves")
def silence_store_and_leave(context: Context) -> None:
    state = context.platform.store.state
    state.is_silent = True
    state.changed.set()
    context.leaving = context.platform.targets["m0"]
    context.leaving.is_leaving = True
    context.leaving.behaviour = Behaviour.REFUSE


@then("the router avoids it before any request")
def check_avoided(context: Context) -> None:
    fleet_view = context.router.fleet_view
    target = fleet_view.targets[context.leaving.name]
    eventually(lambda: fleet_view.is_suspected(target))


def _is_replaceable(targets: dict[str, PlatformTarget], name: str) -> bool:
    others = [each for other, each in targets.items() if other != name]
    return holds_model(others)


@then("the remaining targets hold every layer again")
def check_remaining(context: Context) -> None:
    targets = context.platform.targets
    others = [each for name, each in targets.items() if name != context.dead]
    eventually(lambda: holds_model(others))


@then("requests are still served")
def check_served(context: Context) -> None:
    answers: list[Response] = []

    def is_served() -> bool:
        answers.append(send(context.router, "/draft/x", Token_Count="100,3"))
        return answers[-1].status == 200

    try:
        eventually(is_served)
    except AssertionError:
        fleet_view = context.router.fleet_view
        suspected = [
            name for name, t in fleet_view.targets.items() if fleet_view.is_suspected(t)
        ]
        held = {name: str(target.layers) for name, target in fleet_view.targets.items()}
        raise AssertionError(
            f"{answers[-1]}, suspected {suspected}, held {held}"
        ) from None


def start_planner(context: Context, store: object, clock: list[float]) -> LeaseHolder:
    """Create a planner that holds a lease of 2 s, and return the lease holder."""
    settings = LeaseSettings(ttl_s=2.0, margin_s=0.4)
    lease = LeaseHolder(store, "planner", "me", settings, clock=lambda: clock[0])
    lease.step()
    context.planner = PlacementPlanner(FleetView(2.0), lease)
    context.planner._term = context.planner._current_term()
    assert context.planner._term is not None
    return lease


@given("a planner that was paused while another router took its lease")
def pause_planner(context: Context) -> None:
    clock = [0.0]

    class Store:
        holder = "me"

        def acquire_lease(self, name, holder, ttl_s, note=""):
            return LeaseRecord(name, self.holder, Epoch(1), ttl_s)

        def release_lease(self, name, holder):
            return None

    store = Store()
    start_planner(context, store, clock)
    clock[0] = 10.0
    store.holder = "another"


@given("a planner whose lease expires while its renewal is pending")
def delay_renewal(context: Context) -> None:
    clock = [0.0]

    class Store:
        is_silent = False

        def acquire_lease(self, name, holder, ttl_s, note=""):
            if self.is_silent:
                gevent.sleep(60.0)
            return LeaseRecord(name, holder, Epoch(1), ttl_s)

        def release_lease(self, name, holder):
            return None

    store = Store()
    lease = start_planner(context, store, clock)
    store.is_silent = True
    context.renewal = gevent.spawn(lease.step)
    gevent.sleep(0)
    clock[0] = 3.0


@then("it may send orders")
def check_may_order(context: Context) -> None:
    assert context.planner._current_term() is not None
    context.renewal.kill()


@then("it sends no order")
def check_no_order(context: Context) -> None:
    # The planner may run before or after the lease is requested again.
    assert context.planner._current_term() is None
    context.planner.lease.step()
    assert context.planner._current_term() is None


@when("a router of another zone suspects a healthy target")
def share_suspicion(context: Context) -> None:
    context.orders = context.router.planner.orders_sent
    target = context.router.fleet_view.targets[TargetId("m0")]
    suspect = SharedSuspicion(
        target.id,
        target.started_at_ms,
        VmId("far"),
        ZoneName("za-hall"),
        SuspicionKind.SILENT,
    )
    key = "chervilstall/suspects/m0"
    context.platform.store.state.put(key, encode_suspicion(suspect))


@then("no further order is sent")
def check_no_further(context: Context) -> None:
    ends_at_s = time.monotonic() + 1.0
    while time.monotonic() < ends_at_s:
        assert context.router.planner.orders_sent == context.orders
        gevent.sleep(0.05)
