"""Steps for a router that reaches some targets, of some zones or of each."""

import random
from dataclasses import replace
from unittest.mock import patch

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.reach import targets as reach_targets
from chervilstall.edge.reach.targets import TargetReach
from chervilstall.fleet.view import FleetView
from chervilstall.ids import VmId, ZoneName
from chervilstall.settings.option import Address
from tests.support.agent_fleet import eventually
from tests.support.model_targets import SERVICE, make_target
from tests.support.partly_cut_router import PartCase, PartlyCutRouter

SEEDS = range(6)
OWN_ZONE = ZoneName("zone-0")
DRAIN_S = 3.0


@given("targets of a service in each of {zones:d} zones, {count:d} in each")
def add_targets(context: Context, zones: int, count: int) -> None:
    context.fleet_view = FleetView(DRAIN_S)
    for zone in range(zones):
        for number in range(count):
            target = make_target(f"t-{zone}-{number}", f"zone-{zone}", 0, 8)
            address = Address(f"10.{zone}.0.{number + 1}", 80)
            target = replace(target, address=address)
            context.fleet_view.targets[target.id] = target


def responds(context: Context, address: Address) -> bool:
    """Return whether a target in a zone that is within reach has an address."""
    return int(address.host.split(".")[1]) in context.zones_within_reach


@given("a router that reaches {which} of them")
def build_router(context: Context, which: str) -> None:
    zones = {"its own zone only": {0}, "one other zone only": {1}, "none": set()}
    context.zones_within_reach = zones[which]
    patched = patch.object(
        reach_targets, "responds", lambda address, _: responds(context, address)
    )
    patched.start()
    context.add_cleanup(patched.stop)
    limiter = TargetRateLimiter(VmId("vm-1"), OWN_ZONE)
    context.reach = TargetReach(context.fleet_view, limiter)


@when("it examines its links {times:d} times, as often anew")
def examine_often(context: Context, times: int) -> None:
    context.lost = 0
    for _ in range(times):
        context.reach.out_of_reach.clear()
        context.reach.examine(SERVICE.name).join()
        context.lost += context.reach.is_out_of_reach(SERVICE.name)


@then("it never takes the targets for out of reach")
def check_never_lost(context: Context) -> None:
    assert context.lost == 0, context.lost


@when("it examines its links")
def examine(context: Context) -> None:
    context.reach.examine(SERVICE.name).join()
    assert context.reach.is_out_of_reach(SERVICE.name)


@when("its own zone is within reach again")
def heal_own_zone(context: Context) -> None:
    context.zones_within_reach = {0}
    task = gevent.spawn(context.reach.run)
    context.add_cleanup(task.kill)


@then("within {within_s:d} second it takes the targets for within reach")
def check_regained(context: Context, within_s: int) -> None:
    eventually(lambda: not context.reach.out_of_reach, within_s)


@given("a router that reaches {reached:d} of {targets:d} targets of a plain service")
def set_part(context: Context, reached: int, targets: int) -> None:
    context.part = (targets, reached)


@when("it is sent 0.2, 1 and 5 requests a second, whose callers wait 1.2 seconds")
def play_part(context: Context) -> None:
    context.shares = {}
    for requests_per_s in (0.2, 1.0, 5.0):
        for seed in SEEDS:
            case = PartCase(*context.part, requests_per_s)
            router = PartlyCutRouter(case, random.Random(seed))
            router.play()
            context.shares[requests_per_s, seed] = router.served_share


@then("it serves {served:d} in {of:d} of them, or another router does")
def check_part(context: Context, served: int, of: int) -> None:
    assert min(context.shares.values()) >= served / of, context.shares
