"""Steps for routers that register in a store which loses their leases."""

from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.registry import REGISTRATION_SPREAD_S
from tests.support.registered_fleet import NEWS_MAX_S, RegisteredFleet

SEEDS = range(3)
AWAY_S = 3.0
WATCHED_S = 12.0
REGISTERED_S = 10.0
REGISTERED_AGAIN_S = REGISTRATION_SPREAD_S + NEWS_MAX_S + 0.5
"""Time after which a router that registers again has done so, and all know of it."""


def play(context: Context, happen: Callable[[RegisteredFleet], None]) -> None:
    """Play drawn fleets, each on a clock of its own, and keep them."""
    context.fleets = []
    for seed in SEEDS:
        fleet = RegisteredFleet(context.count, seed)
        try:
            happen(fleet)
        finally:
            fleet.stop()
        context.fleets.append(fleet)


def register(fleet: RegisteredFleet) -> None:
    """Let all routers register and learn of each other."""
    fleet.run_for(REGISTERED_S)
    assert fleet.known_counts == {len(fleet.routers)}, fleet.known_counts


@given("{count:d} registered routers that know each other")
@given("{count:d} routers that start and read the store")
def set_count(context: Context, count: int) -> None:
    context.count = count


@when("all leases end while the store is away, and routers {how}")
def lose_leases(context: Context, how: str) -> None:
    def happen(fleet: RegisteredFleet) -> None:
        register(fleet)
        fleet.lose_leases(AWAY_S, is_read=how == "read the store as a whole")
        fleet.watch_shares(WATCHED_S)

    play(context, happen)


@when("a third of them end, and their leases with them")
def end_third(context: Context) -> None:
    def happen(fleet: RegisteredFleet) -> None:
        register(fleet)
        fleet.end_third()
        fleet.watch_shares(WATCHED_S)

    play(context, happen)


@when("some read it before they are registered, and some after")
def start_reading(context: Context) -> None:
    def happen(fleet: RegisteredFleet) -> None:
        fleet.read_as_they_start()
        fleet.run_for(REGISTERED_AGAIN_S)

    play(context, happen)


@then("their shares never add up to more than the whole")
def check_shares(context: Context) -> None:
    for fleet in context.fleets:
        assert 0.0 < fleet.share_max <= 1.0, fleet.share_max


@then("all are registered, and know each other")
def check_registered(context: Context) -> None:
    for fleet in context.fleets:
        registered = {router.registry.key for router in fleet.routers}
        assert registered <= fleet.store.entries.keys()
        assert fleet.known_counts == {len(fleet.routers)}, fleet.known_counts


@then("each has registered once")
def check_registered_once(context: Context) -> None:
    opened = [fleet.store.opened_leases for fleet in context.fleets]
    assert opened == [context.count] * len(opened), opened
