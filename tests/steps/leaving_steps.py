"""Steps for the time in which routers hear of targets that leave."""

import dataclasses
import http.client
import time

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.exchange import CONNECT_SETTINGS
from chervilstall.standin.behaviours import Behaviour
from chervilstall.standin.platform_fixtures import (
    build_configuration,
    remove_target_entry,
)
from chervilstall.standin.shared_link import SharedLink
from chervilstall.telemetry.events import writer
from tests.support.agent_fleet import eventually
from tests.support.model_router import (
    LEAVE_INTERVAL_S,
    LEAVING_S,
    TARGETS,
    ModelRouters,
)
from tests.support.platform import ZONES, Platform, send
from tests.support.platform_scenario import (
    FIRST_PART,
    LAST_PART,
    add_lookups,
    first_targets,
    own_lookup,
    start_platform,
)
from tests.support.store_model import ModelCase

MBIT_BYTES = 125_000.0
DRAFT_INTERVAL_S = 0.1
MANY_RETRIES = 10_000.0


def write_large_configuration(platform: Platform) -> None:
    """Write a configuration of nearly 1 MB."""
    keys = [f"key-{number:06}" * 8 for number in range(11_500)]
    tenants = build_configuration()["tenants"]
    tenants += [{"name": "others", "api-keys": keys}]
    platform.write_config(build_configuration(2, tenants=tenants))


@given(
    "{routers:d} routers with links of {mbps:d} Mbit/s that follow the model of a store"
)
def start_model(context: Context, routers: int, mbps: int) -> None:
    context.case = ModelCase(routers, mbps * MBIT_BYTES)


def run_model(context: Context, scripts: tuple[str, ...]) -> None:
    """Run the named scripts of every router at the same time."""
    drain_s = 2.0 if context.case.routers == 6 else 3.0
    context.model = ModelRouters(context.case, drain_s)
    context.stoppables.append(context.model)
    for router in context.model.routers:
        router.start()
    for router in context.model.routers:
        eventually(lambda router=router: len(router.fleet_view.targets) == TARGETS)
    gevent.sleep(1.0)
    tasks = []
    for router in context.model.routers:
        for script in scripts:
            task = gevent.spawn(getattr(router, script))
            router.tasks.append(task)
            if script != "leave_at_large_calls":
                tasks.append(task)
    gevent.joinall(tasks, raise_error=True)
    gevent.sleep(drain_s + 1.0)


@when(
    "targets leave one after the other while the largest configuration changes three "
    "times"
)
def change_and_leave(context: Context) -> None:
    run_model(
        context, ("leave_in_turn", "change_configuration", "leave_at_large_calls")
    )


@when(
    "targets leave one after the other while the watches hear nothing and the history "
    "is lost"
)
def lose_history_and_leave(context: Context) -> None:
    run_model(context, ("leave_in_turn", "lose_history"))


@when("the store is away for 3 s while it holds the largest configuration")
def lose_store(context: Context) -> None:
    run_model(context, ("lose_store",))


@then("every router follows it again within {within_s:d} s")
def check_regained(context: Context, within_s: int) -> None:
    times_s = [round(router.regained_after_s, 2) for router in context.model.routers]
    assert max(times_s) < within_s, times_s


@when("large configurations are written just before, as and after another is read")
def change_twice(context: Context) -> None:
    run_model(context, ("change_configuration_twice",))


@then("the latest configuration was read each time")
def check_latest_read(context: Context) -> None:
    for router in context.model.routers:
        assert router.read_revisions == router.latest_revisions, (
            router.seed,
            router.read_revisions,
            router.latest_revisions,
        )


@then("no target is used until less than a connect is left of {drain_s:d} s")
def check_not_overdue(context: Context, drain_s: int) -> None:
    limit_s = drain_s - CONNECT_SETTINGS.connect_timeout_s
    overdue = []
    for router in context.model.routers:
        assert len(router.left_at_s) >= LEAVING_S / LEAVE_INTERVAL_S / 2
        overdue += router.overdue(limit_s)
    assert not overdue, overdue


@then("no change of a target is applied twice unless all were read anew")
def check_applied_once(context: Context) -> None:
    for router in context.model.routers:
        readings = 1 + bool(router.store.compacted_revision)
        repeated = {
            revision: count
            for revision, count in router.applied_revisions.items()
            if count > readings
        }
        assert not repeated, (router.seed, repeated)


@given(
    "a platform with lookups in both zones whose store has a link of {mbps:d} Mbit/s"
)
def start_platform_on_slow_link(context: Context, mbps: int) -> None:
    platform = start_platform(context)
    add_lookups(platform)
    context.router = platform.add_router()
    platform.store.link = SharedLink(mbps * MBIT_BYTES)
    # Long enough for the watch to be pending.
    gevent.sleep(0.5)


@when(
    "the target of the own zone leaves just after a configuration of 1 MB was written"
)
def leave_after_configuration(context: Context) -> None:
    write_large_configuration(context.platform)
    remove_target_entry(context.platform.store.state, f"lookup-{ZONES[0]}")
    context.left_at_s = time.monotonic()


@given(
    "a platform with a model in two copies in each zone whose store has a link of "
    "{mbps:d} Mbit/s"
)
def start_model_on_slow_link(context: Context, mbps: int) -> None:
    platform = start_platform(context)
    for zone in ZONES:
        for copy in ("1", "2"):
            platform.add_target(f"a{copy}-{zone}", "drafts", zone, FIRST_PART)
            platform.add_target(f"b{copy}-{zone}", "drafts", zone, LAST_PART)
    context.router = platform.add_router()
    # Otherwise the planner would move layers to the targets that are left.
    context.router.planner_lease.stop()
    budget = context.router.budget
    budget.bounds = dataclasses.replace(budget.bounds, retry_extra=MANY_RETRIES)
    platform.store.link = SharedLink(mbps * MBIT_BYTES)
    # Long enough for the watch to be pending.
    gevent.sleep(0.5)


@when(
    "a copy of each part leaves in the own zone just after a configuration of 1 MB was "
    "written"
)
def leave_with_model_parts(context: Context) -> None:
    write_large_configuration(context.platform)
    context.leaving = [f"a1-{ZONES[0]}", f"b1-{ZONES[0]}"]
    for name in context.leaving:
        remove_target_entry(context.platform.store.state, name)
    context.left_at_s = time.monotonic()


@when("drafts that break off and are resumed are sent for {time_s:d} s")
def send_drafts(context: Context, time_s: int) -> None:
    for target in first_targets(context):
        target.behaviour = Behaviour.BREAK_STREAM
        target.events_before_fault = 4
    end_s = time.monotonic() + time_s
    callers = [gevent.spawn(ask_drafts, context, name, end_s) for name in "pq"]
    gevent.joinall(callers, raise_error=True)


def ask_drafts(context: Context, caller: str, end_s: float) -> None:
    """Ask for one draft after the other until a time, whatever becomes of them."""
    number = 0
    while time.monotonic() < end_s:
        gevent.sleep(DRAFT_INTERVAL_S)
        number += 1
        try:
            request = f"{caller}{number}"
            # No two alike, since a request whose targets are lost is given up.
            send(
                context.router,
                "/draft/x",
                body=request.encode(),
                request=request,
                Token_Count="100,8",
            )
        except http.client.IncompleteRead:
            # A stream that used up its attempts.
            continue


@then("no path leads over those that left later than the drain bound")
def check_no_path_over_leaving(context: Context) -> None:
    targets = context.platform.targets
    left = {str(targets[name].address) for name in context.leaving}
    bound_s = context.router.settings.bounds.drain_s
    runs = [run for target in targets.values() for run in target.log.runs]
    late = [run for run in runs if run.received_at_s > context.left_at_s + bound_s]
    resumed = [run for run in late if "last-event-id" in run.headers]
    assert resumed, "no stream was resumed after the bound"
    for run in late:
        path = {part.split("=")[0] for part in run.headers["hop-count"].split(",")}
        assert not path & left, (run.received_at_s - context.left_at_s, path & left)


@when("lookups are sent for {time_s:d} s")
def send_lookups(context: Context, time_s: int) -> None:
    end_s = time.monotonic() + time_s
    number = 0
    while time.monotonic() < end_s:
        number += 1
        response = send(context.router, "/lookup/x", request=f"r{number}")
        assert response.status == 200, response
        gevent.sleep(0.05)


@then("no lookup reached it later than the drain bound")
def check_none_reached(context: Context) -> None:
    bound_s = context.router.settings.bounds.drain_s
    late = [
        round(run.received_at_s - context.left_at_s, 2)
        for run in own_lookup(context).log.runs
        if run.received_at_s > context.left_at_s + bound_s
    ]
    assert not late, late


@then("the router never took the store for lost")
def check_never_lost(context: Context) -> None:
    lines = [line.decode() for line in writer._lines]
    assert not [line for line in lines if "store lost" in line]
