"""Steps for the admission by room, in a model of a fleet."""

import math

from behave import given, then, when
from behave.runner import Context

from chervilstall.admission.leased_shares import fair_level
from tests.support.room_fleet import HOLD_S, Call, Demand, RoomFleet

SEED = 1
RUN_S = 30.0
MEASURED_FROM_S = 5.0
MEASURED_TO_S = 28.0
STEP_AT_S = 10.0
PRIORITIES = (0, 1, 2)
WAVE_S = 13.0
SAMPLE_S = 0.1
MEAN_SAMPLES = 10
"""Samples of one second, over which the use of the targets is averaged."""


@given("{routers:d} routers {reports} reports of each other's load")
def make_fleet(context: Context, routers: int, reports: str) -> None:
    context.room_fleet = RoomFleet(routers, SEED, reports == "with")


@given(
    "{routers:d} routers {reports} reports, some with three times the demand of others"
)
def make_uneven_fleet(context: Context, routers: int, reports: str) -> None:
    context.room_fleet = RoomFleet(routers, SEED, reports == "with", True)


@when("streams of three priorities come at {load:g} times the capacity")
def run_load(context: Context, load: float) -> None:
    demands = [Demand(each, "all", lambda _: load / 3) for each in PRIORITIES]
    context.room_fleet.run(demands, RUN_S)


@when("one workspace asks for twice the capacity and two for a quarter each")
def run_workspaces(context: Context) -> None:
    demands = [Demand(0, "large", lambda _: 2.0)]
    demands += [Demand(0, name, lambda _: 0.25) for name in ("small-1", "small-2")]
    context.room_fleet.run(demands, RUN_S)


@when("the demand of three priorities rises from 0.5 to 2 times the capacity")
def run_step(context: Context) -> None:
    fleet: RoomFleet = context.room_fleet
    context.pool_uses = []

    def observe() -> None:
        queued = fleet.pool_queued / fleet.capacity
        context.pool_uses.append((fleet.pool_tokens / fleet.capacity, queued))
        if fleet.now_s < MEASURED_TO_S:
            fleet.at(fleet.now_s + SAMPLE_S, observe)

    fleet.at(STEP_AT_S + 2.0, observe)
    demands = [
        Demand(each, "all", lambda at_s: (0.5 if at_s < STEP_AT_S else 2.0) / 3)
        for each in PRIORITIES
    ]
    fleet.run(demands, RUN_S)


@when("the demand of three priorities rises and falls by half every 13 s")
def run_waves(context: Context) -> None:
    def load(at_s: float) -> float:
        return 1.2 * (1.0 + 0.5 * math.sin(2.0 * math.pi * at_s / WAVE_S)) / 3

    demands = [Demand(each, "all", load) for each in PRIORITIES]
    context.room_fleet.run(demands, RUN_S)


def served_part(fleet: RoomFleet, priority: int) -> float:
    """Return the part of the streams of a priority that were served in time."""

    def is_of_priority(call: Call) -> bool:
        return call.demand.priority == priority

    return fleet.served(is_of_priority, MEASURED_FROM_S, MEASURED_TO_S)


@then("at least {part:g} of what the targets can run is served in time")
def check_throughput(context: Context, part: float) -> None:
    throughput = context.room_fleet.throughput(MEASURED_FROM_S, MEASURED_TO_S)
    assert throughput >= part, throughput


@then("at least {part:g} of the most urgent streams are served in time")
def check_urgent(context: Context, part: float) -> None:
    served = served_part(context.room_fleet, 0)
    assert served >= part, served


@then("at least {part:g} of the streams of every priority are served in time")
def check_all_served(context: Context, part: float) -> None:
    served = [served_part(context.room_fleet, each) for each in PRIORITIES]
    assert min(served) >= part, served


@then("no priority is served {excess:g} less often than a less urgent one")
def check_order(context: Context, excess: float) -> None:
    served = [served_part(context.room_fleet, each) for each in PRIORITIES]
    for priority, part in enumerate(served):
        assert part + excess >= max(served[priority:]), served


@then("each workspace gets at least {part:g} of its fair share")
def check_fair_shares(context: Context, part: float) -> None:
    fleet: RoomFleet = context.room_fleet
    run_tokens = fleet.capacity / HOLD_S * (MEASURED_TO_S - MEASURED_FROM_S)
    asked = {
        name: fleet.tokens_asked(name, MEASURED_FROM_S, MEASURED_TO_S)
        for name in ("large", "small-1", "small-2")
    }
    level = fair_level(list(asked.values()), run_tokens)
    for name, tokens in asked.items():
        fair = min(level, tokens)
        served = fleet.tokens_served(name, MEASURED_FROM_S, MEASURED_TO_S)
        assert served >= part * fair, (name, served / fair)


@then("from 2 s after the step the targets are full and little waits there")
def check_steady(context: Context) -> None:
    uses = context.pool_uses
    for first in range(0, len(uses) - MEAN_SAMPLES, MEAN_SAMPLES):
        second = uses[first : first + MEAN_SAMPLES]
        used = sum(each for each, _ in second) / MEAN_SAMPLES
        queued = sum(each for _, each in second) / MEAN_SAMPLES
        assert used >= 0.9 and queued <= 0.1, (first, used, queued)
