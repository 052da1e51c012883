"""Steps for routers that register in a store which loses their leases."""

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.registry import REGISTRATION_SPREAD_S
from tests.support.agent_fleet import eventually
from tests.support.registered_fleet import NEWS_MAX_S, RegisteredFleet

AWAY_S = 3.0
WATCHED_S = 12.0
REGISTERED_AGAIN_S = REGISTRATION_SPREAD_S + NEWS_MAX_S + 0.5
"""Time after which a router that registers again has done so, and all know of it."""


@given("{count:d} registered routers that know each other")
def register(context: Context, count: int) -> None:
    context.fleet = fleet = RegisteredFleet(count)
    context.stoppables.append(fleet)
    for router in fleet.routers:
        eventually(lambda r=router: r.budget.router_count == count, 10.0)


@given("{count:d} routers that start and read the store")
def start_reading(context: Context, count: int) -> None:
    context.fleet = fleet = RegisteredFleet(count)
    context.stoppables.append(fleet)
    fleet.read_as_they_start()


@then("each has registered once, and all know each other")
def check_registered_once(context: Context) -> None:
    fleet = context.fleet
    gevent.sleep(REGISTERED_AGAIN_S)
    check_registered(context)
    assert fleet.store.opened_leases == len(fleet.routers), fleet.store.opened_leases


@when("all leases end while the store is away, and routers {how}")
def lose_leases(context: Context, how: str) -> None:
    fleet = context.fleet
    watching = gevent.spawn(fleet.watch_shares, AWAY_S + WATCHED_S)
    fleet.lose_leases(AWAY_S, is_read=how == "read the store as a whole")
    watching.get()


@then("their shares never add up to more than the whole")
def check_shares(context: Context) -> None:
    assert 0.0 < context.fleet.share_max <= 1.0, context.fleet.share_max


@then("all are registered, and know each other")
def check_registered(context: Context) -> None:
    fleet = context.fleet
    registered = {router.registry.key for router in fleet.routers}
    assert registered <= fleet.store.entries.keys()
    counts = {router.budget.router_count for router in fleet.routers}
    assert counts == {len(fleet.routers)}, counts


@when("a third of them end, and their leases with them")
def end_third(context: Context) -> None:
    fleet = context.fleet
    gone = fleet.routers[::3]
    fleet.routers = [each for each in fleet.routers if each not in gone]
    for router in gone:
        gevent.killall(router.tasks)
        fleet.store.end_lease_of(router.registry.key)
    fleet.watch_shares(WATCHED_S)
