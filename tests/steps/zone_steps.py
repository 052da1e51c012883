"""Steps for an availability zone, or a single target of it, that stops responding."""

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.standin.platform_target import Behaviour
from tests.support.agent_fleet import eventually
from tests.support.platform import ZONES
from tests.support.platform_scenario import send_draft

OWN_TARGETS, OTHER_TARGETS = ((f"a-{zone}", f"b-{zone}") for zone in ZONES)


def suspect_unresponsive(context: Context, names: tuple[str, ...]) -> None:
    for name in names:
        context.platform.targets[name].is_silent = True
    fleet_view = context.router.fleet_view
    fleet_view.suspect(fleet_view.targets[names[0]], "test")


def is_avoided(context: Context, name: str) -> bool:
    fleet_view = context.router.fleet_view
    return fleet_view.is_suspected(fleet_view.targets[name])


@when("the other zone stops responding and one of its targets is suspected")
def stop_other_zone(context: Context) -> None:
    suspect_unresponsive(context, OTHER_TARGETS)


@then("the whole zone is avoided")
def check_zone_avoided(context: Context) -> None:
    eventually(lambda: all(is_avoided(context, each) for each in OTHER_TARGETS))


@when("the other zone responds again")
def resume_other_zone(context: Context) -> None:
    for name in OTHER_TARGETS:
        context.platform.targets[name].is_silent = False


@then("the whole zone is used")
def check_zone_used(context: Context) -> None:
    fleet_view = context.router.fleet_view
    eventually(lambda: not fleet_view.unreachable_zones)
    fleet_view.clear_suspicion(fleet_view.targets[OTHER_TARGETS[0]])
    assert not any(is_avoided(context, each) for each in OTHER_TARGETS)


@when("one target of the other zone stops responding and is suspected")
def stop_one_target(context: Context) -> None:
    suspect_unresponsive(context, OTHER_TARGETS[:1])


@then("only that target is avoided a second later")
def check_one_avoided(context: Context) -> None:
    gevent.sleep(1.0)
    assert [is_avoided(context, each) for each in OTHER_TARGETS] == [
        True,
        False,
    ]


@given("the own zone's targets are suspected for a moment")
def suspect_own_zone(context: Context) -> None:
    fleet_view = context.router.fleet_view
    for name in OWN_TARGETS:
        fleet_view.suspect(fleet_view.targets[name], "test", for_s=1.0, shared=False)


@when("the other zone stops responding during a draft of {events:d} events")
def stop_zone_during_draft(context: Context, events: int) -> None:
    draft = gevent.spawn(send_draft, context, events)
    first = context.platform.targets[OTHER_TARGETS[0]]
    eventually(lambda: first.log.runs)
    first.stalled_on = str(first.address)
    first.behaviour = Behaviour.STALL_STREAM
    fleet_view = context.router.fleet_view
    for name in OWN_TARGETS:
        fleet_view.clear_suspicion(fleet_view.targets[name])
    for name in OTHER_TARGETS:
        context.platform.targets[name].is_silent = True
    draft.join()


@then("the targets of the own zone have gone on with it")
def check_resumed(context: Context) -> None:
    first = context.platform.targets[OWN_TARGETS[0]]
    assert [run.request for run in first.log.runs] == ["r1"], first.log.runs
