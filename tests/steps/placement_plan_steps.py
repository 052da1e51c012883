"""Steps for plans of the placement of model layers."""

import dataclasses
import random
import time

from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.server import PLANNER_LEASE_MARGIN_S, PLANNER_LEASE_TTL_S
from chervilstall.fleet.records import NO_LAYERS, LayerRange
from chervilstall.ids import TargetId, ZoneName
from chervilstall.placement.group import LayerHolder
from chervilstall.placement.plan import plan
from tests.support.large_pipeline import LARGE_PIPELINE

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
    changes = plan(LARGE_PIPELINE, fleet.values())
    for change in changes:
        holder = fleet[change.target_id]
        assert len(change.layers) * LARGE_PIPELINE.layer_mb <= holder.memory_mb, change
        fleet[change.target_id] = dataclasses.replace(holder, layers=change.layers)
    return len(changes)


def count_holders(fleet: dict[str, LayerHolder], zone: str = "") -> list[int]:
    """Return how many targets hold each layer, in one zone or in all."""
    counts = [0] * LARGE_PIPELINE.layers
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
    tokens = requests * LARGE_PIPELINE.typical_tokens
    for holder in context.fleet.values():
        limit = LARGE_PIPELINE.layers_max(holder.memory_mb, tokens)
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
        assert len(holder.layers) * LARGE_PIPELINE.layer_mb <= holder.memory_mb, holder


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
    assert plan(LARGE_PIPELINE, context.fleet.values()) == []


@when("an empty target joins")
def add_empty_target(context: Context) -> None:
    holder = LayerHolder(TargetId("new"), ZoneName("two"), SMALL, NO_LAYERS)
    context.fleet["new"] = holder


@then("only the new target gets an order")
def check_only_new(context: Context) -> None:
    changes = plan(LARGE_PIPELINE, context.fleet.values())
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
    tokens = 24 * LARGE_PIPELINE.typical_tokens
    for holder in context.fleet.values():
        assert len(holder.layers) <= LARGE_PIPELINE.layers_max(
            holder.memory_mb, tokens
        ), holder


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


REPLACED = {"one": 6, "two": 7, "three": 8}
PLANS_MAX = 20


@when("most targets of each zone are replaced by empty ones")
def replace_targets(context: Context) -> None:
    for zone, count in REPLACED.items():
        for number in range(count):
            name = f"{zone}-{number}"
            holder = dataclasses.replace(context.fleet[name], layers=NO_LAYERS)
            context.fleet[name] = holder


@then("a plan starts at most twice the loads that run at full speed")
def check_few_loads(context: Context) -> None:
    missing = {zone: count_holders(context.fleet, zone).count(0) for zone in ZONES}
    context.first_zone = min(missing, key=lambda zone: missing[zone])
    changes = apply_plan(context.fleet)
    assert 0 < changes <= 2 * LARGE_PIPELINE.loads_at_once, changes


@then("it completes the copy that misses the fewest layers")
def check_first_copy(context: Context) -> None:
    assert min(count_holders(context.fleet, context.first_zone)) >= 1


@then("every copy is whole after some more plans")
def check_all_copies(context: Context) -> None:
    for _ in range(PLANS_MAX):
        apply_plan(context.fleet)
    check_zones(context)


@given("{count:d} empty targets in five zones")
def make_empty_fleet(context: Context, count: int) -> None:
    rng = random.Random(count)
    sizes = [rng.choice([MIDDLE, SMALL, LEAST]) for _ in range(count)]
    context.fleet = make_fleet({f"zone-{n}": sizes[n::5] for n in range(5)})


@then("a plan for them takes less processor time than the planner's lease leaves")
def check_plan_time(context: Context) -> None:
    began_s = time.process_time()
    changes = plan(LARGE_PIPELINE, context.fleet.values())
    taken_s = time.process_time() - began_s
    assert changes
    assert taken_s < PLANNER_LEASE_TTL_S - PLANNER_LEASE_MARGIN_S, taken_s
