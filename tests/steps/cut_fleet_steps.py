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


@when("each cut-off router is sent {rare:g} and {frequent:g} requests a second")
def play_fleets(context: Context, rare: float, frequent: float) -> None:
    zones, in_zone, cut = context.case
    is_large = zones * in_zone > LARGE_FLEET_ROUTERS
    context.fleets = []
    for requests_per_s in (rare,) if is_large else (rare, frequent):
        for seed in SEEDS[:1] if is_large else SEEDS:
            case = CutCase(zones, in_zone, cut, requests_per_s)
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
