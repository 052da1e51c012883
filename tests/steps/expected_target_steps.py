"""Steps for calls whose address may belong to another target or router by now."""

import itertools
from dataclasses import replace
from unittest.mock import patch

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.fleet.records import Target, TargetReadiness
from chervilstall.ids import ServiceName, TargetId, ZoneName
from chervilstall.platform.peers import Peer
from tests.steps.forwarding_steps import REQUEST, cut_router, lookup_targets
from tests.steps.placement_order_steps import holds_model
from tests.support.agent_fleet import eventually
from tests.support.platform import ZONES, send
from tests.support.platform_scenario import own_first

DRAFTS = ServiceName("drafts")
OTHER = "of-another-service"


@given('the address of "{name}" belongs to another target by now')
def reuse_address(context: Context, name: str) -> None:
    context.platform.targets[name].name = OTHER


@given(
    "the address of the first target of the own zone belongs to another target by now"
)
def reuse_first_address(context: Context) -> None:
    context.reused = TargetId(own_first(context).name)
    own_first(context).name = OTHER


@given("the addresses of all targets belong to other targets by now")
def reuse_all_addresses(context: Context) -> None:
    for target in context.platform.targets.values():
        target.name = f"{OTHER}-{target.name}"


@then('the remaining targets hold every layer without "{name}"')
def check_held_without(context: Context, name: str) -> None:
    targets = context.platform.targets.items()
    others = [target for each, target in targets if each != name]
    eventually(lambda: holds_model(others), 8.0)
    context.other = context.platform.targets[name]


@then("the other target was ordered nothing")
def check_not_ordered(context: Context) -> None:
    assert not context.other.log.orders, context.other.log.orders


def some_target(context: Context) -> Target:
    """Return a target of the own zone as the router knows it."""
    return context.router.fleet_view.targets[TargetId(own_first(context).name)]


@when("the store is silent for a while")
def silence_store(context: Context) -> None:
    state = context.platform.store.state
    state.is_silent = True
    state.changed.set()
    eventually(lambda: len(calls(context, "/healthz")) > 1, 10.0)


@when("the router examines its links")
def examine_links(context: Context) -> None:
    context.router.target_reach.examine(DRAFTS).join()


@when("the other zone is probed")
def probe_zone(context: Context) -> None:
    assert context.router.zone_prober._is_responding(ZoneName(ZONES[1]), 1)


@given("the router plans from now on")
def await_planning(context: Context) -> None:
    eventually(lambda: context.router.planner.is_planning)
    # The targets that it knows were there before it planned.
    gevent.sleep(1.5)


@when("a target is suspected")
def suspect_target(context: Context) -> None:
    await_planning(context)
    context.router.planner.handle_suspicion(some_target(context))
    eventually(lambda: not context.router.planner._probing)


@when("that target is suspected")
def suspect_reused(context: Context) -> None:
    planner = context.router.planner
    context.silent = []
    planner.on_silence = context.silent.append
    target = context.router.fleet_view.targets[context.reused]
    context.incarnation = target.incarnation
    planner.handle_suspicion(target)
    eventually(lambda: not planner._probing)


@when("the pace of a target is asked for")
def ask_pace(context: Context) -> None:
    context.router.stream_monitor.slow_detector.query(some_target(context))
    eventually(lambda: calls(context, "/chervilstall/report"))


def calls(context: Context, path: str) -> list[tuple[str, str]]:
    """Return the names of the targets that got calls, and whom those were meant for."""
    return [
        (target.name, expected)
        for target in context.platform.targets.values()
        for called, expected in target.log.calls
        if called == path
    ]


@then("{path} calls are made, and each names the target that it is meant for")
def check_named(context: Context, path: str) -> None:
    made = calls(context, path)
    assert made
    assert all(name == expected for name, expected in made), made


@then("the planner takes it for dead")
def check_dead(context: Context) -> None:
    assert context.incarnation in context.router.planner._dead_until_s


@then("no link was examined because of silence")
def check_no_silence(context: Context) -> None:
    assert not context.silent, context.silent


@then("the model is within reach")
def check_within_reach(context: Context) -> None:
    assert not context.router.target_reach.is_out_of_reach(DRAFTS)


@given("the addresses of the other routers belong to targets of lookups by now")
def reuse_router_addresses(context: Context) -> None:
    router = cut_router(context)
    addresses = itertools.cycle([target.address for target in lookup_targets(context)])
    choose = router.reach_search.choose

    def choose_reused(service: ServiceName) -> Peer | None:
        peer = choose(service)
        return None if peer is None else replace(peer, address=next(addresses))

    patched = patch.object(router.reach_search, "choose", choose_reused)
    patched.start()
    context.add_cleanup(patched.stop)


@when("1 lookup is sent to the cut-off router, and is not served")
def send_to_reused(context: Context) -> None:
    response = send(cut_router(context), "/lookup/x", request=REQUEST)
    assert response.status == 503, response


@then("the router takes that target for leaving")
def check_taken_for_leaving(context: Context) -> None:
    eventually(lambda: some_target(context).state is TargetReadiness.DRAINING)
