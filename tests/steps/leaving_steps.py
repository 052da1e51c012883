"""Steps for the time in which routers hear of targets that leave."""

import time

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.exchange import CONNECT_SETTINGS
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
from tests.support.platform import ZONES, send
from tests.support.platform_scenario import add_lookups, own_lookup, start_platform
from tests.support.store_model import ModelCase

MBIT_BYTES = 125_000.0


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
    keys = [f"key-{number:06}" * 8 for number in range(11_500)]
    tenants = build_configuration()["tenants"]
    tenants += [{"name": "others", "api-keys": keys}]
    context.platform.write_config(build_configuration(2, tenants=tenants))
    remove_target_entry(context.platform.store.state, f"lookup-{ZONES[0]}")
    context.left_at_s = time.monotonic()


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
