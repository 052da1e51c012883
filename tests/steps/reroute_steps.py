"""Steps for streams that are given another path while they run."""

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.fleet.records import LayerRange
from chervilstall.ids import TargetId
from chervilstall.standin.platform_target import Behaviour
from tests.support.agent_fleet import eventually
from tests.support.platform import ZONES
from tests.support.platform_scenario import LAST_PART, own_first, send_draft


@given("a second copy of the last part in the own zone")
def add_last_part_copy(context: Context) -> None:
    context.platform.add_target(f"c-{ZONES[0]}", "drafts", ZONES[0], LAST_PART)
    fleet_view = context.router.fleet_view
    eventually(lambda: len(fleet_view.targets) == 5)


@given("the first target stalls on the last part after {events:d} events")
def stall_first(context: Context, events: int) -> None:
    platform = context.platform
    first = own_first(context)
    first.behaviour = Behaviour.STALL_STREAM
    first.events_before_fault = events
    context.stalled_on = platform.targets[f"b-{ZONES[0]}"]
    first.stalled_on = str(context.stalled_on.address)
    # Makes the router prefer the path that stalls over the copy of the last part.
    copy = context.router.fleet_view.targets.get(TargetId(f"c-{ZONES[0]}"))
    if copy is not None:
        context.router.chooser.load.note_full(copy.incarnation, 0.3)


@given("the first target stalls on itself after {events:d} events")
def stall_first_on_itself(context: Context, events: int) -> None:
    first = own_first(context)
    first.behaviour = Behaviour.STALL_STREAM
    first.events_before_fault = events
    first.stalled_on = str(first.address)
    context.suspicions = []
    context.router.fleet_view.on_suspicion = lambda *suspicion: (
        context.suspicions.append(suspicion)
    )


@then("the first target is not suspected")
def check_not_suspected(context: Context) -> None:
    assert not context.suspicions, context.suspicions


@when("a draft of {events:d} events is asked for and a part of its path {changes}")
def change_during_draft(context: Context, events: int, changes: str) -> None:
    first = own_first(context)

    def change() -> None:
        eventually(lambda: first.log.runs)
        path = first.log.runs[0].headers["hop-count"]
        name = next(
            name
            for name, target in context.platform.targets.items()
            if path.endswith(f"{target.address}={LAST_PART.first}-{LAST_PART.end}")
        )
        target = context.platform.targets[name]
        if changes == "leaves":
            context.platform.register(name, "drafts", ZONES[0], state="draining")
            return
        target.layers = LayerRange(LAST_PART.first, LAST_PART.end - 1)
        context.platform.register(name, "drafts", ZONES[0])

    changing = gevent.spawn(change)
    send_draft(context, events)
    changing.get()


@then("the stream {moves} that target")
def check_rerouted(context: Context, moves: str) -> None:
    orders = own_first(context).log.orders
    assert bool(orders) == (moves == "is rerouted around"), orders


@then("the first target was given {count:d} other paths")
def check_reroute_count(context: Context, count: int) -> None:
    orders = own_first(context).log.orders
    assert len(orders) == count, orders


@then("the first target was given another path")
def check_rerouted_path(context: Context) -> None:
    first = own_first(context)
    orders = [order for order in first.log.orders if order["op"] == "repath"]
    assert orders and orders[0]["id"] == "r1", first.log.orders
    assert str(context.stalled_on.address) not in orders[0]["path"]
    assert len(context.platform.executed_request_ids()) == 1, (
        "the stream was sent more than once"
    )
