"""Steps about placing the layers of models."""

import dataclasses
import random
import time

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.fleet.records import NO_LAYERS, AcceleratorType, LayerRange, Pipeline
from chervilstall.fleet.view import FleetView, SuspicionKind
from chervilstall.ids import Epoch, TargetId, VmId, ZoneName
from chervilstall.lease.holder import LeaseHolder
from chervilstall.placement.group import Holder
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


def make_fleet(zones: dict[str, list[float]]) -> dict[str, Holder]:
    """Return empty targets of the given memories, by name."""
    fleet: dict[str, Holder] = {}
    for zone, sizes in zones.items():
        for number, size in enumerate(sizes):
            name = f"{zone}-{number}"
            fleet[name] = Holder(TargetId(name), ZoneName(zone), size, NO_LAYERS)
    return fleet


def carry_out(fleet: dict[str, Holder]) -> int:
    """Carry out one plan at once and return the number of orders."""
    changes = plan(MODEL, fleet.values())
    for change in changes:
        holder = fleet[change.target]
        assert len(change.layers) * MODEL.layer_mb <= holder.memory_mb, change
        fleet[change.target] = dataclasses.replace(holder, layers=change.layers)
    return len(changes)


def counts(fleet: dict[str, Holder], zone: str = "") -> list[int]:
    """Return how many targets hold each layer, of one zone or all."""
    held = [0] * MODEL.layers
    for holder in fleet.values():
        if zone and holder.zone != zone:
            continue
        for layer in range(holder.layers.first, holder.layers.end):
            held[layer] += 1
    return held


@given("three zones of mixed targets")
def three_zones(context: Context) -> None:
    context.fleet = make_fleet(ZONES)


@given("two zones with half of the memory that the model needs")
def half_zones(context: Context) -> None:
    context.fleet = make_fleet({"one": [MIDDLE] * 3, "two": [MIDDLE] * 3})


@given("a zone with the memory for two covers")
def large_zone(context: Context) -> None:
    sizes = [LARGE] + [MIDDLE] * 2 + [SMALL] * 12 + [LEAST] * 14
    context.fleet = make_fleet({"one": sizes})


@then("after the loss of any one target every layer is still held")
def check_held_twice(context: Context) -> None:
    assert min(counts(context.fleet)) >= 2, counts(context.fleet)


@then("every target has room for {requests:d} requests")
def check_room_for(context: Context, requests: int) -> None:
    tokens = requests * MODEL.typical_tokens
    for holder in context.fleet.values():
        most = MODEL.layers_max(holder.memory_mb, tokens)
        assert len(holder.layers) <= most, holder


@when("the plan is carried out")
def carry_out_once(context: Context) -> None:
    carry_out(context.fleet)


@then("each zone covers every layer")
def check_zones(context: Context) -> None:
    for zone in ZONES:
        assert min(counts(context.fleet, zone)) >= 1, zone


@then("no target holds more than its memory")
def check_memory(context: Context) -> None:
    for holder in context.fleet.values():
        assert len(holder.layers) * MODEL.layer_mb <= holder.memory_mb, holder


@then("both zones together cover every layer")
def check_joined(context: Context) -> None:
    assert min(counts(context.fleet)) >= 1


@then("after the loss of any one target its zone covers every layer again")
def check_any_loss(context: Context) -> None:
    for name, lost in context.fleet.items():
        fleet = dict(context.fleet)
        del fleet[name]
        carry_out(fleet)
        assert min(counts(fleet, lost.zone)) >= 1, name


@then("another plan changes nothing")
def check_still(context: Context) -> None:
    assert plan(MODEL, context.fleet.values()) == []


@when("an empty target joins")
def join(context: Context) -> None:
    holder = Holder(TargetId("new"), ZoneName("two"), SMALL, NO_LAYERS)
    context.fleet["new"] = holder


@then("only the new target gets an order")
def check_only_new(context: Context) -> None:
    changes = plan(MODEL, context.fleet.values())
    assert [change.target for change in changes] == ["new"], changes


@given("a zone whose targets are filled unevenly")
def uneven(context: Context) -> None:
    sizes = [MIDDLE] * 3 + [SMALL] * 7
    context.fleet = make_fleet({"one": sizes})
    filled = [11, 6, 15, 10, 10, 2, 8, 6, 6, 6]
    first = 0
    for name, number in zip(list(context.fleet), filled, strict=True):
        layers = LayerRange(first, first + number)
        context.fleet[name] = dataclasses.replace(context.fleet[name], layers=layers)
        first += number


@when("plans are carried out until nothing changes")
def until_still(context: Context) -> None:
    context.fewest = min(counts(context.fleet))
    for _ in range(60):
        changed = carry_out(context.fleet)
        context.fewest = min(context.fewest, min(counts(context.fleet)))
        if not changed:
            return
    raise AssertionError("the plans never came to rest")


@then("no layer was ever missing")
def check_never_missing(context: Context) -> None:
    assert context.fewest >= 1


@then("every target has the planned room for requests")
def check_room(context: Context) -> None:
    least = 24 * MODEL.typical_tokens
    for holder in context.fleet.values():
        assert len(holder.layers) <= MODEL.layers_max(holder.memory_mb, least), holder


@then("for 60 drawn fleets and losses no order exceeds a target's memory")
def check_drawn(context: Context) -> None:
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
            # `carry_out` checks each order against the target's memory.
            carry_out(fleet)
            if len(fleet) > 1:
                del fleet[rng.choice(sorted(fleet))]


# Carrying out


@given("a platform with four empty model targets in a zone")
def empty_targets(context: Context) -> None:
    platform = context.platform = Platform()
    context.stoppables.append(platform)
    platform.start()
    for number in range(4):
        platform.add_target(f"m{number}", "drafts", "ba-hall")
    context.stoppables.append(Entries(platform))


class Entries:
    """Keeps the entries of model targets in step with what they hold."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.known: dict[str, LayerRange] = {}
        self.task = gevent.spawn(self._follow)

    def _follow(self) -> None:
        while True:
            for name, target in self.platform.targets.items():
                if self.known.get(name, NO_LAYERS) != target.layers:
                    self.known[name] = target.layers
                    self.platform.register(name, "drafts", "ba-hall")
            gevent.sleep(0.02)

    def stop(self) -> None:
        """Stop following."""
        self.task.kill()


@given("one target already began an order that no entry shows")
def hidden_order(context: Context) -> None:
    context.platform.targets["m2"].orders_begun = 3


@when("a router starts")
def start_router(context: Context) -> None:
    context.router = context.platform.add_router()


@when("two routers start")
def start_routers(context: Context) -> None:
    context.router = context.platform.add_router()
    context.platform.add_router("za-hall")


def is_covered(targets: list[PlatformTarget]) -> bool:
    """Return whether targets cover every layer."""
    held = [0] * LAYERS
    for target in targets:
        for layer in range(target.layers.first, target.layers.end):
            held[layer] += 1
    return min(held) >= 1


@then("the targets cover every layer")
def check_covered(context: Context) -> None:
    targets = list(context.platform.targets.values())
    eventually(lambda: is_covered(targets))
    eventually(lambda: all(len(target.layers) for target in targets))


@then("each target began one order")
def check_one_order(context: Context) -> None:
    gevent.sleep(1.5)
    begun = [target.orders_begun for target in context.platform.targets.values()]
    assert begun == [1, 1, 1, 1], begun


@then("every order named the count that its target had begun")
def check_counts(context: Context) -> None:
    check_covered(context)
    orders = context.platform.targets["m2"].log.orders
    assert [order["expected"] for order in orders] == [3], orders


@when("the store {trouble} and a target dies")
def store_and_target_die(context: Context, trouble: str) -> None:
    state = context.platform.store.state
    state.is_silent = trouble == "is silent"
    state.error_status = 503
    state.changed.set()
    # The lease runs out meanwhile; nobody else can take it.
    gevent.sleep(2.5)
    targets = context.platform.targets
    sole = [name for name, each in targets.items() if not _is_copied(targets, name)]
    context.dead = (sole or sorted(targets))[0]
    targets[context.dead].stop()
    target = context.router.fleet_view.targets[context.dead]
    context.router.fleet_view.suspect(target, "test")


@when("the store is silent and a target leaves")
def store_silent_and_leaving(context: Context) -> None:
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


def _is_copied(targets: dict[str, PlatformTarget], name: str) -> bool:
    others = [each for other, each in targets.items() if other != name]
    return is_covered(others)


@then("the remaining targets cover every layer again")
def check_remaining(context: Context) -> None:
    targets = context.platform.targets
    others = [each for name, each in targets.items() if name != context.dead]
    eventually(lambda: is_covered(others))


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
        doubted = [
            name for name, t in fleet_view.targets.items() if fleet_view.is_suspected(t)
        ]
        held = {name: str(target.layers) for name, target in fleet_view.targets.items()}
        raise AssertionError(f"{answers[-1]}, avoided {doubted}, held {held}") from None


def start_planner(context: Context, store: object, clock: list[float]) -> LeaseHolder:
    """Start a planner that holds a lease of 2 s and has planned under it."""
    settings = LeaseSettings(ttl_s=2.0, margin_s=0.4)
    lease = LeaseHolder(store, "planner", "me", settings, clock=lambda: clock[0])
    lease.step()
    context.planner = PlacementPlanner(FleetView(2.0), lease)
    context.planner._tenure = context.planner._present_tenure()
    assert context.planner._tenure is not None
    return lease


@given("a planner whose lease another router has taken meanwhile")
def paused_planner(context: Context) -> None:
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


@given("a planner whose renewal waits while its lease runs out")
def waiting_planner(context: Context) -> None:
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


@then("it may give orders")
def check_may_order(context: Context) -> None:
    assert context.planner._present_tenure() is not None
    context.renewal.kill()


@then("it gives no order")
def check_no_order(context: Context) -> None:
    # Woken by chance before and after the lease was asked for again.
    assert context.planner._present_tenure() is None
    context.planner.lease.step()
    assert context.planner._present_tenure() is None


@when("a router of another zone suspects a healthy target")
def foreign_suspicion(context: Context) -> None:
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


@then("no further order is given")
def check_no_further(context: Context) -> None:
    ends_at_s = time.monotonic() + 1.0
    while time.monotonic() < ends_at_s:
        assert context.router.planner.orders_sent == context.orders
        gevent.sleep(0.05)
