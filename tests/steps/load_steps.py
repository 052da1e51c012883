"""Steps for the loads with which a fleet repairs a loss."""

import time

import gevent
from behave import given, then, when
from behave.runner import Context

from tests.support.agent_fleet import eventually
from tests.support.loading_fleet import (
    PIPELINE,
    RETURN_AFTER_S,
    LoadingFleet,
    LoadingFleets,
)

SEEDS = range(8)
QUARTER = 10
PLACED_MAX_S = 20.0
RECOVERY_MAX_S = 60.0
SLACK_S = 1.0


@given("fleets of 41 targets in five zones that share three loads at full speed")
def start_fleets(context: Context) -> None:
    model = LoadingFleets(SEEDS)
    context.stoppables.append(model)
    model.start()
    context.fleets = model.fleets
    for fleet in context.fleets:
        eventually(lambda fleet=fleet: fleet.is_placed, PLACED_MAX_S)
        fleet.refused_orders = 0


def lose_and_recover(fleet: LoadingFleet, gaps_s: tuple[float, ...]) -> str:
    """Let targets crash after each of some times; describe a recovery that is late."""
    layers = 0
    for gap_s in gaps_s:
        gevent.sleep(gap_s)
        layers += fleet.crash(QUARTER)
    crashed_at_s = time.monotonic()
    load_s = layers * PIPELINE.load_s / PIPELINE.layers / PIPELINE.loads_at_once
    bound_s = RETURN_AFTER_S + load_s + SLACK_S
    eventually(lambda: fleet.is_whole, RECOVERY_MAX_S)
    whole_after_s = time.monotonic() - crashed_at_s
    if whole_after_s <= bound_s:
        return ""
    return f"seed {fleet.seed}: whole after {whole_after_s:.1f} s of {bound_s:.1f} s"


def run_losses(context: Context, gaps_s: tuple[float, ...]) -> None:
    """Let all fleets lose targets at the same time."""
    tasks = [gevent.spawn(lose_and_recover, fleet, gaps_s) for fleet in context.fleets]
    gevent.joinall(tasks, raise_error=True)
    context.late = [task.value for task in tasks if task.value]


@when("a quarter of the targets crash at once and come back empty")
def lose_once(context: Context) -> None:
    run_losses(context, (0.0,))


@when("a quarter of the targets crash at once and come back empty, twice in 6 s")
def lose_twice(context: Context) -> None:
    run_losses(context, (0.0, 6.0))


@then("every copy is whole again in the time of loading what was lost, and 1 s")
def check_recovered(context: Context) -> None:
    assert not context.late, context.late


@then("no target refuses an order")
def check_no_refusals(context: Context) -> None:
    refused = [fleet.refused_orders for fleet in context.fleets]
    assert not any(refused), refused
