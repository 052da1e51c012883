"""Steps for decisions about silence while the event loop is held."""

from unittest.mock import patch

import gevent
from behave import given, then, when
from behave.runner import Context
from gevent.event import Event

from chervilstall.fleet.records import Target
from chervilstall.heard_clock import HeardClock
from chervilstall.ids import ServiceName, TargetId, ZoneName
from tests.steps.standstill_steps import native_sleep
from tests.support.agent_fleet import eventually
from tests.support.clock import Clock
from tests.support.platform import ZONES, send
from tests.support.platform_scenario import own_first

DRAFTS = ServiceName("drafts")
SETTLED_S = 1.0
TURNS = 3


def first_target(context: Context) -> Target:
    """Return the first target of the own zone as the router knows it."""
    return context.router.fleet_view.targets[TargetId(own_first(context).name)]


def hold_during(context: Context, decision: gevent.Greenlet, hold_s: float) -> None:
    """Hold the loop once a decision has made its calls, and wait for the decision."""
    # Each turn of the loop lets the decision go on to its next wait.
    for _ in range(TURNS):
        gevent.sleep(0)
    native_sleep(hold_s)
    decision.join(timeout=10.0)
    assert decision.ready()
    gevent.sleep(SETTLED_S)


def record_losses(context: Context) -> None:
    """Record the services and zones that are ever taken for lost."""
    context.lost = []
    router = context.router
    router.target_reach.on_lost = context.lost.append
    mark = router.fleet_view.mark_zone_unreachable

    def mark_recorded(zone: ZoneName) -> None:
        context.lost.append(zone)
        mark(zone)

    router.fleet_view.mark_zone_unreachable = mark_recorded


@when("the loop is held for {hold_s:g} s during {decision}")
def hold_decision(context: Context, hold_s: float, decision: str) -> None:
    router = context.router
    target = first_target(context)
    record_losses(context)
    match decision:
        case "a probe of links":
            task = gevent.spawn(lambda: router.target_reach.examine(DRAFTS).join())
        case "a probe of another zone":
            task = gevent.spawn(router.zone_prober._check_zone, ZoneName(ZONES[1]))
        case "a planner's probe":
            task = gevent.spawn(router.planner._probe, target)
        case "a query of a first target":
            task = gevent.spawn(router.stream_monitor._diagnose, target)
    hold_during(context, task, hold_s)


@when("the loop is held for {hold_s:g} s as a lookup is sent")
def hold_lookup(context: Context, hold_s: float) -> None:
    router = context.router
    record_losses(context)
    sending = Event()

    def send_held(*arguments: object) -> object:
        sending.set()
        return record_send(*arguments)

    record_send = router.rate_limiter.record_send
    with patch.object(router.rate_limiter, "record_send", send_held):
        task = gevent.spawn(send, router, "/lookup/x", request="late")
        sending.wait()
    hold_during(context, task, hold_s)


@then("nothing is taken for silent")
def check_none_silent(context: Context) -> None:
    router = context.router
    fleet_view = router.fleet_view
    assert not context.lost, context.lost
    assert not router.planner._dead_until_s, router.planner._dead_until_s
    assert not fleet_view._suspicion_counts, fleet_view._suspicion_counts
    suspected = [
        each.id for each in fleet_view.targets.values() if fleet_view.is_suspected(each)
    ]
    assert not suspected, suspected


@when(
    "the first target of the own zone falls silent, and the loop is held for "
    "{hold_s:g} s four times"
)
def hold_repeatedly(context: Context, hold_s: float) -> None:
    own_first(context).is_silent = True
    context.silent = first_target(context)
    context.router.planner.handle_suspicion(context.silent)
    for _ in range(4):
        gevent.sleep(0.1)
        native_sleep(hold_s)


@then("the planner takes it for dead within {within_s:g} s")
def check_dead_in_time(context: Context, within_s: float) -> None:
    planner = context.router.planner
    eventually(lambda: context.silent.incarnation in planner._dead_until_s, within_s)


@given("a clock that is pulsed each {turn_s:g} s")
def add_heard_clock(context: Context, turn_s: float) -> None:
    context.clock = Clock()
    context.stoppables.append(context.clock)
    context.turn_s = turn_s
    context.heard_clock = HeardClock()
    context.began_s = context.clock.now_s


@when("{elapsed_s:g} s have passed")
def pass_time(context: Context, elapsed_s: float) -> None:
    clock, began_s = context.clock, context.began_s
    with context.heard_clock.pulsed():
        turns = int(round(elapsed_s / context.turn_s, 6))
        for turn in range(1, turns + 1):
            clock.now_s = began_s + turn * context.turn_s
            context.heard_clock.pulse()
        clock.now_s = began_s + elapsed_s
        context.heard_s = context.heard_clock.heard_since(began_s)
        context.was_deaf = context.heard_clock.was_deaf_since(began_s)


@then("{heard_s:g} s count as heard, and it was deaf: {deaf}")
def check_heard(context: Context, heard_s: float, deaf: str) -> None:
    assert abs(context.heard_s - heard_s) < 0.001, context.heard_s
    assert context.was_deaf is (deaf == "yes")
