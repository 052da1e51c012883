"""Steps for the model of fleets of which many routers have lost all targets."""

import random

from behave import given, then, when
from behave.runner import Context

from tests.support.cut_fleet import CutCase, CutFleet

SEEDS = range(3)
LARGE_FLEET_ROUTERS = 1000


@given(
    "drawn fleets of {zones:d} zones of {in_zone:d} routers, of which {cut} are cut "
    "off from all targets"
)
def set_case(context: Context, zones: int, in_zone: int, cut: str) -> None:
    context.case = (zones, in_zone, cut)
    context.lost = 0
    context.is_moved = False
    context.is_unnoticed = False


@given("halfway the links of others are cut in their place")
def set_moved(context: Context) -> None:
    context.is_moved = True


@given("each learns of its cut only by a request or a question")
def set_unnoticed(context: Context) -> None:
    context.is_unnoticed = True


@given("{lost:d} of the others have ended without a word")
def set_lost(context: Context, lost: int) -> None:
    context.lost = lost


@when("each cut-off router is sent {rare:g} and {frequent:g} requests a second")
def play_fleets(context: Context, rare: float, frequent: float) -> None:
    zones, in_zone, cut = context.case
    is_large = zones * in_zone > LARGE_FLEET_ROUTERS
    context.fleets = []
    for requests_per_s in (rare,) if is_large else (rare, frequent):
        for seed in SEEDS[:1] if is_large else SEEDS:
            case = CutCase(
                zones,
                in_zone,
                cut,
                requests_per_s,
                context.lost,
                context.is_moved,
                context.is_unnoticed,
            )
            fleet = CutFleet(case, random.Random(seed))
            fleet.play()
            context.fleets.append(fleet)


@then(
    "from 1 second after the cut {served:d} in {of:d} requests find a router that "
    "reaches targets"
)
def check_found(context: Context, served: int, of: int) -> None:
    shares = [
        (fleet.case.requests_per_s, round(fleet.served_share(), 3))
        for fleet in context.fleets
    ]
    assert all(share >= served / of for _, share in shares), shares


@then("from 1 second after the cut each is refused within {within_s:g} seconds")
def check_refused(context: Context, within_s: float) -> None:
    for fleet in context.fleets:
        assert fleet.served_share() == 0.0, fleet.served_share()
        longest_s = max(each.took_s for each in fleet.settled_tries)
        assert longest_s <= within_s, longest_s


@then("each router asks others at most {asks:d} times a second")
def check_asks(context: Context, asks: int) -> None:
    rates = [fleet.asks_per_s() for fleet in context.fleets]
    assert max(rates) <= asks, rates


@then("no router takes more than {times:d} times its even share")
def check_spread(context: Context, times: int) -> None:
    for fleet in context.fleets:
        even_share = 1 / (len(fleet.peers) - len(fleet.cut))
        busiest = fleet.busiest_share()
        assert busiest <= times * even_share, (fleet.case, busiest, even_share)
