"""Steps for a store that comes back from an earlier copy."""

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.registry import ROUTERS_PREFIX
from chervilstall.fleet.records import TargetReadiness
from chervilstall.ids import TargetId
from chervilstall.lease.holder import LeaseState
from chervilstall.standin.platform_fixtures import build_configuration
from tests.support.agent_fleet import eventually
from tests.support.platform import ZONES

COUNT_INTERVAL_S = 0.01


@given("a copy of the store is taken")
def take_copy(context: Context) -> None:
    state = context.platform.store.state
    # Without the planner's lease, so that it can be acquired after the copy.
    context.router.planner_lease.stop()
    eventually(lambda: not state.leases or ROUTERS_PREFIX + "vm-1" in state.items)
    context.copy = state.take_copy()


@given(
    "configuration 2 follows, the target of the other zone drains, and {count:d} more "
    "changes"
)
def change_after_copy(context: Context, count: int) -> None:
    platform = context.platform
    platform.write_config(build_configuration(version=2))
    platform.register(f"lookup-{ZONES[1]}", "lookups", ZONES[1], state="draining")
    for number in range(count):
        platform.store.state.put("op/other", str(number).encode())
    platform.register(f"lookup-{ZONES[0]}", "lookups", ZONES[0])
    fleet_view = context.router.fleet_view
    other = TargetId(f"lookup-{ZONES[1]}")
    eventually(lambda: fleet_view.configuration.version == 2)
    eventually(lambda: fleet_view.targets[other].state is TargetReadiness.DRAINING)
    eventually(
        lambda: context.router.store_watcher.revision == platform.store.state.revision
    )


@when("the store comes back from the copy")
def come_back(context: Context) -> None:
    context.platform.store.state.come_back(context.copy)
    context.counts = []

    def count() -> None:
        while True:
            for router in context.platform.routers:
                context.counts.append(router.budget.router_count)
            gevent.sleep(COUNT_INTERVAL_S)

    context.counting = gevent.spawn(count)


@when("the target of the own zone registers as draining")
def drain_own(context: Context) -> None:
    gevent.sleep(0.5)
    name = f"lookup-{ZONES[0]}"
    context.platform.register(name, "lookups", ZONES[0], state="draining")


@then("the router takes both targets for draining")
def check_draining(context: Context) -> None:
    fleet_view = context.router.fleet_view

    def states() -> set[TargetReadiness]:
        return {target.state for target in fleet_view.targets.values()}

    eventually(lambda: states() == {TargetReadiness.DRAINING}, 3.0)
    context.counting.kill()


@then("configuration {version:d} is still in force")
def check_version(context: Context, version: int) -> None:
    assert context.router.fleet_view.configuration.version == version


@given("{count:d} more routers that start after that")
def add_routers(context: Context, count: int) -> None:
    for _ in range(count):
        context.platform.add_router()
    routers = context.platform.routers
    eventually(lambda: all(each.budget.router_count == 3 for each in routers))


@then("all {count:d} routers are registered again within {within_s:d} seconds")
def check_registered(context: Context, count: int, within_s: int) -> None:
    items = context.platform.store.state.items
    eventually(
        lambda: sum(key.startswith(ROUTERS_PREFIX) for key in items) == count, within_s
    )


@then("no router ever counted fewer than {count:d}")
def check_counts(context: Context, count: int) -> None:
    gevent.sleep(1.0)
    context.counting.kill()
    assert min(context.counts) >= count, min(context.counts)


@given("the router plans")
def start_planning(context: Context) -> None:
    context.router = context.platform.add_router()
    holder = context.router.planner_lease
    eventually(lambda: holder.state() is LeaseState.HELD)
    context.epoch = holder.check().epoch


@then("the router doesn't plan on the lease of before")
def check_not_planning(context: Context) -> None:
    holder = context.router.planner_lease

    def has_left_term() -> bool:
        state = holder.state()
        return state is not LeaseState.HELD or holder.check().epoch != context.epoch

    eventually(has_left_term, 1.5)


@then("within {within_s:d} seconds a router plans with a later fencing token")
def check_planning(context: Context, within_s: int) -> None:
    holder = context.router.planner_lease
    eventually(lambda: holder.state() is LeaseState.HELD, within_s)
    assert holder.check().epoch > context.epoch
    context.counting.kill()
