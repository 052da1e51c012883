"""Steps for a router that reaches some targets, of some zones or of each."""

import random
from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import patch

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.exchange import CONNECT_SETTINGS, Exchange
from chervilstall.edge.exchange_failures import ExchangeFailed, ExchangeFailure
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.reach import targets as reach_targets
from chervilstall.edge.reach.suspicions import SuspicionSharing
from chervilstall.edge.reach.targets import TargetReach
from chervilstall.fleet.view import FleetView
from chervilstall.ids import VmId, ZoneName
from chervilstall.lease.holder import LeaseTerm
from chervilstall.placement import planner as planner_module
from chervilstall.placement.plan import LayerAssignment
from chervilstall.placement.planner import PlacementPlanner
from chervilstall.settings.option import Address
from chervilstall.target.connection import ConnectFailed
from tests.support.agent_fleet import eventually
from tests.support.model_targets import SERVICE, make_target
from tests.support.partly_cut_router import (
    REQUEST_S,
    ModelPlainRequest,
    PartCase,
    PartlyCutRouter,
)
from tests.support.partly_cut_streams import PartlyCutStreams

SEEDS = range(6)
RATES_PER_S = (0.2, 1.0, 5.0)
OWN_ZONE = ZoneName("zone-0")
DRAIN_S = 3.0
KNOWN_WITHIN_S = 2.0


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
        reach_targets, "responds", lambda target, _: responds(context, target.address)
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


@when("a target has responded, and then one fails")
def respond_and_fail(context: Context) -> None:
    context.reach.record_response(SERVICE.name)
    context.reach.check(SERVICE.name)


@then("the router knows that it reaches none")
def check_lost(context: Context) -> None:
    eventually(lambda: context.reach.is_out_of_reach(SERVICE.name), KNOWN_WITHIN_S)


def build_planner(context: Context) -> PlacementPlanner:
    """Return a planner that holds the lease and tells `context.reach` of silence."""
    term = LeaseTerm("planner", 1)
    lease = cast(Any, SimpleNamespace(check=lambda: term))
    planner = PlacementPlanner(context.fleet_view, lease)
    planner._term = term
    prober = cast(Any, SimpleNamespace(check_zone_of=lambda target: None))
    holder = cast(Any, SimpleNamespace(suspend=lambda: None))
    SuspicionSharing(OWN_ZONE, cast(Any, None), planner, holder, prober, context.reach)
    return planner


@when("it plans, and a target {fails}")
def plan(context: Context, fails: str) -> None:
    planner = build_planner(context)
    target = next(iter(context.fleet_view.targets.values()))
    with patch.object(planner_module, "fetch_report", lambda *arguments: None):
        match fails:
            case "returns no report before an order":
                order = LayerAssignment(target.id, target.layers)
                planner._send_order(target, order, planner._term)
            case "that others suspect is silent":
                planner.handle_suspicion(target)
                eventually(lambda: not planner._probing, KNOWN_WITHIN_S)


@when("a request's connect hangs")
def hang(context: Context) -> None:
    reach = context.reach
    request = ModelPlainRequest(cast(Any, None), 0.0)
    notice = reach.failure_notice(SERVICE.name)
    address = Address("10.0.0.1", 80)
    exchange = Exchange(cast(Any, request), address, cast(Any, {}), notice)

    def hang_and_fail(*arguments: object, **options: object) -> None:
        gevent.sleep(CONNECT_SETTINGS.connect_timeout_s)
        context.was_known = reach.is_out_of_reach(SERVICE.name)
        raise ConnectFailed("no answer")

    with patch.object(exchange._client, "request", hang_and_fail):
        try:
            exchange.send_request(REQUEST_S)
        except ExchangeFailed as error:
            assert error.failure is ExchangeFailure.NO_CONNECTION


@then("the router knows that it reaches none before the connect has failed")
def check_known_early(context: Context) -> None:
    assert context.was_known


@given("a router that reaches {reached:d} of {targets:d} targets of a plain service")
def set_part(context: Context, reached: int, targets: int) -> None:
    context.part = (targets, reached)


@given(
    "a router that reaches {reached:d} of {targets:d} targets of a pipeline, and has "
    "{retries:d} retries in 10 seconds"
)
def set_stream_part(context: Context, reached: int, targets: int, retries: int) -> None:
    context.part = (targets, reached)
    context.retries = retries
    context.failing_sends = 0


@given("the first {count:d} sends of each stream go to targets without links")
def set_failing_sends(context: Context, count: int) -> None:
    context.failing_sends = count


def play_rates(
    context: Context, build: Callable[[PartCase, random.Random], PartlyCutRouter]
) -> None:
    """Play the case at several rates, and keep the share that was served in each."""
    context.shares = {}
    for requests_per_s in RATES_PER_S:
        for seed in SEEDS:
            case = PartCase(*context.part, requests_per_s)
            router = build(case, random.Random(seed))
            router.play()
            context.shares[requests_per_s, seed] = router.served_share


@when("it is sent 0.2, 1 and 5 requests a second, whose callers wait 1.2 seconds")
def play_part(context: Context) -> None:
    play_rates(context, PartlyCutRouter)


@when("it is sent 0.2, 1 and 5 streams a second")
def play_streams(context: Context) -> None:
    def build(case: PartCase, rng: random.Random) -> PartlyCutRouter:
        return PartlyCutStreams(
            case,
            rng,
            retries=context.retries,
            failing_sends=context.failing_sends,
        )

    play_rates(context, build)


@then("it serves {served:d} in {of:d} of them, or another router does")
def check_part(context: Context, served: int, of: int) -> None:
    assert min(context.shares.values()) >= served / of, context.shares
