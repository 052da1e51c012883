"""Steps for the loss of every router, and for the state of targets that have left."""

import time

from behave import given, then, when
from behave.runner import Context

from chervilstall.standin.platform_fixtures import build_configuration
from tests.support.agent_fleet import eventually
from tests.support.platform import send


@given("a router that has given orders, sent requests and suspected targets")
def use_router(context: Context) -> None:
    router = context.router = context.platform.add_router()
    context.known_targets = list(router.fleet_view.targets.values())
    assert send(router, "/lookup/x", request="l1").status == 200
    assert send(router, "/draft/x", request="d1").status == 200
    for target in router.fleet_view.targets.values():
        router.fleet_view.suspect(target, "test", shared=False)
        router.chooser.load.note_full(target.incarnation, 0.1)
        router.stream_monitor._query(target, time.monotonic())
        router.stream_monitor.slow_detector.query(target)
        router.planner._orders_begun[target.incarnation] = 1
        router.planner._mark_dead(target)
    assert state_of_targets(context)


def state_of_targets(context: Context) -> list[object]:
    """Return every key of a known target in the state of the router's parts."""
    router = context.router
    holders = (
        router.fleet_view,
        router.stream_monitor,
        router.stream_monitor.slow_detector,
        router.planner,
        router.chooser.load,
        router.app.plain_relay.chooser,
    )
    names = {target.id for target in context.known_targets}
    incarnations = {target.incarnation for target in context.known_targets}
    found: list[object] = []
    for holder in holders:
        for state in vars(holder).values():
            if isinstance(state, dict | set):
                found += [key for key in state if key in names or key in incarnations]
    return found


@when("every target has left")
def remove_all_targets(context: Context) -> None:
    state = context.platform.store.state
    for name in context.platform.targets:
        state.remove(f"servers/{name}")
    eventually(lambda: not context.router.fleet_view.targets)
    # Lets queries in progress finish, since they would add state again.
    eventually(lambda: not context.router.stream_monitor._querying)
    context.router.prune_departed_targets()


@then("the router has no state of them left")
def check_no_state(context: Context) -> None:
    assert not state_of_targets(context), state_of_targets(context)


@given("a configuration that was acknowledged just before every router was killed")
def kill_all_routers(context: Context) -> None:
    platform = context.platform
    for _ in range(2):
        platform.add_router()
    leases = "chervilstall/leases/"
    eventually(
        lambda: any(key.startswith(leases) for key in platform.store.state.items)
    )
    platform.write_config(build_configuration(version=7))
    for router in platform.routers:
        # Like a kill, this ends no lease.
        router.stop()


@given("a store in which nothing else happened")
def leave_store_alone(context: Context) -> None:
    assert not context.platform.store.state.is_silent


@given("a store in which a dead router still holds the planner lease")
def hold_planner_lease(context: Context) -> None:
    state = context.platform.store.state
    holders = [key for key in state.items if key.startswith("chervilstall/leases/")]
    assert holders, sorted(state.items)
    for lease in state.leases.values():
        lease.ends_at_s += 60.0


@given("a store in which the history was dropped")
def drop_history(context: Context) -> None:
    context.platform.store.state.compact_history()


@when("a router starts without any state")
def start_without_state(context: Context) -> None:
    context.router = context.platform.add_router(wait=False)


@then("a draft and a lookup sent at once are served")
def check_served_at_once(context: Context) -> None:
    draft = send(context.router, "/draft/x", request="d1")
    lookup = send(context.router, "/lookup/x", request="l1")
    assert (draft.status, lookup.status) == (200, 200), (draft, lookup)


@then("the newest configuration is in force")
def check_newest_configuration(context: Context) -> None:
    assert context.router.fleet_view.configuration.version == 7
