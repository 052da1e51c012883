"""Steps for a router's view of the fleet."""

import dataclasses
import json
import time

from behave import given, then, when
from behave.runner import Context

from chervilstall.fleet.records import RouterConfiguration, TargetReadiness
from chervilstall.fleet.suspicion import SuspicionKind
from chervilstall.fleet.view import FleetView
from chervilstall.platform.config import decode_configuration
from chervilstall.standin.platform_fixtures import build_configuration
from tests.support.clock import Clock
from tests.support.model_targets import LOCAL, SERVICE, make_target


def make_configuration(version: int) -> RouterConfiguration:
    """Return a decoded configuration of a version."""
    return decode_configuration(json.dumps(build_configuration(version)).encode())


@given("a fleet view with configuration 7")
def add_configuration(context: Context) -> None:
    context.fleet_view = FleetView(drain_s=2.0)
    context.fleet_view.apply_configuration(make_configuration(7), 1)


@when("configuration 5 arrives")
def apply_lower_version(context: Context) -> None:
    context.fleet_view.apply_configuration(make_configuration(5), 2)


@then("configuration 7 is in force")
def check_version_kept(context: Context) -> None:
    assert context.fleet_view.configuration.version == 7


@given("a fleet view with a target")
def add_target_to_view(context: Context) -> None:
    context.fleet_view = FleetView(drain_s=2.0)
    context.target = make_target("a", LOCAL, 0, 8)
    context.fleet_view.update_target(context.target)


@when("the target's entry expires during a store outage")
def expire_in_outage(context: Context) -> None:
    context.fleet_view.note_outage()
    context.fleet_view.remove_target(context.target.id)


@then("the target is still used")
def check_used(context: Context) -> None:
    assert context.fleet_view.ready_targets(SERVICE.name) == [context.target]


@then("it is removed once its entry has stayed away")
def check_removed_later(context: Context) -> None:
    context.fleet_view.expire()
    check_used(context)
    name = context.target.id
    context.fleet_view._lapsed._at_s[name] -= 2.0
    context.fleet_view.expire()
    check_not_used(context)


@when("the target's entry is deleted a second after a store outage")
def delete_after_outage(context: Context) -> None:
    context.fleet_view.note_outage()
    context.fleet_view._lapsed._outage_end_s -= 1.0
    context.fleet_view.remove_target(context.target.id)


@when("the target is found draining {age_s:f} s after the view was complete")
def find_draining_later(context: Context, age_s: float) -> None:
    clock = Clock()
    context.stoppables.append(clock)
    context.fleet_view.note_complete(clock.now_s)
    clock.now_s += age_s
    find_draining(context)


@when("the target is found draining")
def find_draining(context: Context) -> None:
    draining = dataclasses.replace(
        context.target, state=TargetReadiness.DRAINING, revision=2
    )
    context.fleet_view.update_target(draining)


@then("the target may begin a path: {used}")
def check_usable(context: Context, used: str) -> None:
    target = context.fleet_view.targets[context.target.id]
    assert context.fleet_view.is_usable(target) is (used == "yes")


@when("the drain bound has passed")
def pass_drain_bound(context: Context) -> None:
    fleet_view = context.fleet_view
    fleet_view._lapsed._at_s[context.target.id] -= fleet_view.drain_s


@when("the target's entry is deleted")
def delete_entry(context: Context) -> None:
    context.fleet_view.remove_target(context.target.id)


@then("the target is not used")
def check_not_used(context: Context) -> None:
    assert context.fleet_view.ready_targets(SERVICE.name) == []


@when("the target is suspected and restarts under the same id")
def suspect_and_restart(context: Context) -> None:
    context.fleet_view.suspect(context.target, "test", shared=False)
    context.target = dataclasses.replace(context.target, started_at_ms=2, revision=2)
    context.fleet_view.update_target(context.target)


@then("it is avoided for 4, 8 and 16 seconds in turn, and for 4 again once cleared")
def check_suspicion_times(context: Context) -> None:
    fleet_view, target = context.fleet_view, context.target
    durations_s = []
    for turn in range(4):
        if turn == 3:
            fleet_view.clear_suspicion(target)
        fleet_view.suspect(target, "test", shared=False)
        suspicion = fleet_view._suspicions[target.incarnation]
        durations_s.append(round(suspicion.until_s - time.monotonic()))
        suspicion.until_s = 0.0
        fleet_view.expire()
        assert not fleet_view.is_suspected(target)
    assert durations_s == [4, 8, 16, 4], durations_s


@when("the target is suspected as {kind} during a store outage")
def suspect_in_outage(context: Context, kind: str) -> None:
    context.fleet_view.begin_outage(time.monotonic())
    context.fleet_view.suspect(
        context.target, "test", shared=False, kind=SuspicionKind(kind)
    )


@when("the target gives a report")
def give_report(context: Context) -> None:
    context.fleet_view.apply_report(context.target, context.target.layers)


@then("the suspicion has ended: {ends}")
def check_suspicion_ended(context: Context, ends: str) -> None:
    assert context.fleet_view.is_suspected(context.target) is (ends == "no")


@then("it is not suspected")
def check_unsuspected(context: Context) -> None:
    assert not context.fleet_view.is_suspected(context.target)
