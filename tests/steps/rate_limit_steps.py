"""Steps for the limits on the rate of requests that targets name."""

import random
import time
from dataclasses import dataclass, field

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.server import EdgeServer
from chervilstall.standin.platform_target import Behaviour
from tests.support.agent_fleet import eventually
from tests.support.platform import send
from tests.support.platform_scenario import add_lookups, add_model, start_platform
from tests.support.rate_limit_fleet import (
    DURATION_S,
    FleetCase,
    LimitedFleet,
)
from tests.support.rate_limit_rule import Arrival, check_arrivals

DRAWN_FLEETS = 30
GRACE_S = 0.5
"""Time after a refusal in which requests may still be on their way."""

ROUTE_PATHS = {"lookups": "/lookup/a", "drafts": "/draft/x"}
DRAFT_EVENTS = 3


@dataclass
class LimitedLoad:
    """What the callers of a limited target saw.

    `router_of` maps each request to the index of the router that it was sent to,
    `told_at_s` each router to the time of the first answer that named a limit.
    """

    router_of: dict[str, int] = field(default_factory=dict)
    told_at_s: dict[int, float] = field(default_factory=dict)
    statuses: list[int] = field(default_factory=list)


@given("{count:d} routers before {what}")
def start_routers(context: Context, count: int, what: str) -> None:
    platform = start_platform(context)
    if what == "lookups":
        add_lookups(platform)
    else:
        add_model(platform)
    for _ in range(count):
        platform.add_router()
    for router in platform.routers:
        eventually(lambda router=router: router.chooser.router_count == count)


@given(
    "the first target of the own zone names a limit of {limit_per_s:g} a second after "
    "{after_s:g} seconds"
)
def name_limit(context: Context, limit_per_s: float, after_s: float) -> None:
    targets = context.platform.targets
    context.limited = next(iter(targets.values()))

    def name() -> None:
        gevent.sleep(after_s)
        context.limited.limit_per_s = limit_per_s
        context.named_at_s = time.monotonic()

    gevent.spawn(name)


@when("{what} are asked for at {rate:d} a second for {duration_s:d} seconds")
def ask_at_rate(context: Context, what: str, rate: int, duration_s: int) -> None:
    load = context.load = LimitedLoad()
    routers = context.platform.routers

    def ask(number: int, router: EdgeServer) -> None:
        request = f"r{number}"
        load.router_of[request] = number % len(routers)
        response = send(
            router,
            ROUTE_PATHS[what],
            request=request,
            Token_Count=f"100,{DRAFT_EVENTS}",
        )
        load.statuses.append(response.status)
        if "Server-Limit" in response.headers:
            load.told_at_s.setdefault(load.router_of[request], time.monotonic())

    tasks = []
    for number in range(rate * duration_s):
        tasks.append(gevent.spawn(ask, number, routers[number % len(routers)]))
        gevent.sleep(1.0 / rate)
    gevent.joinall(tasks)


@then("that target gets no more than its limit allows from routers that were told")
def check_limit(context: Context) -> None:
    load = context.load
    arrivals = [
        Arrival(run.received_at_s, load.router_of[run.request])
        for run in context.limited.log.runs
    ]
    check_arrivals(
        arrivals, load.told_at_s, context.named_at_s, context.limited.limit_per_s
    )


@then("the other requests are served elsewhere")
def check_all_served(context: Context) -> None:
    statuses = context.load.statuses
    assert statuses and set(statuses) == {200}, statuses


# Refusals with Retry-After


@given(
    "the first target of the own zone refuses with a Retry-After of {retry_after_s:g} "
    "seconds"
)
def refuse_with_retry_after(context: Context, retry_after_s: float) -> None:
    context.limited = next(iter(context.platform.targets.values()))
    context.limited.behaviour = Behaviour.REFUSE
    context.limited.retry_after_s = retry_after_s


@then("that target gets at most 2 requests in the time for which it wants none")
def check_paused(context: Context) -> None:
    refused_at_s = context.limited.log.refused_at_s
    assert refused_at_s
    for answered_at_s in refused_at_s:
        end_s = answered_at_s + context.limited.retry_after_s
        later = [
            at_s for at_s in refused_at_s if answered_at_s + GRACE_S < at_s < end_s
        ]
        assert len(later) <= 2, (answered_at_s, later)


# Drawn fleets, without a network


def drawn_case(rng: random.Random, **changes: object) -> FleetCase:
    """Return a case with a drawn size and limit; `changes` replace its fields."""
    fields: dict = {
        "routers": rng.choice((1, 2, 3, 6, 7, 12, 20)),
        "limit_per_s": rng.choice((0.3, 0.8, 1.3, 2.8, 6.0, 15.0)),
    }
    return FleetCase(**{**fields, **changes})


def case_changes(rng: random.Random, case: str) -> dict[str, object]:
    """Return the changes to a drawn case that a row of the feature names."""
    match case:
        case "bursts at all routers at once":
            return {"burst_requests": 200}
        case "routers cut from the store":
            return {"routers": rng.choice((3, 6, 7)), "cut_routers": 2, "joins": 1}
        case "restarts":
            return {"restarts": rng.randint(1, 3)}
        case "routers that join":
            return {"joins": rng.randint(1, 2)}
        case "requests long on their way":
            return {"late_s": 0.5}
        case "routers that are pressed":
            return {"is_pressed": True, "late_s": 0.25}
        case "requests late by turns":
            return {"is_pressed": True, "late_s": 0.4, "is_late_by_turns": True}
        case "many routers":
            return {
                "routers": 77,
                "store_lag_s": 0.9,
                "limit_per_s": rng.choice((2.8, 6.0, 15.0)),
                "burst_requests": 100,
            }
        case "many routers behind relays":
            return {
                "routers": 195,
                "store_lag_s": rng.choice((0.2, 1.3)),
                "limit_per_s": rng.choice((2.8, 6.0, 15.0)),
                "burst_requests": 250,
            }
    return {}


@then("in 30 drawn fleets with {case} no window has more than the limit allows")
def check_drawn_fleets(context: Context, case: str) -> None:
    for seed in range(DRAWN_FLEETS):
        rng = random.Random(seed)
        drawn = drawn_case(rng, **case_changes(rng, case))
        fleet = LimitedFleet(drawn, rng)
        fleet.play()
        try:
            check_arrivals(
                fleet.arrivals, fleet.told_at_s, fleet.named_at_s, drawn.limit_per_s
            )
        except AssertionError as error:
            raise AssertionError(f"seed {seed}, {drawn}: {error}") from error


@then(
    "in 30 drawn fleets a lifted limit is unknown to all routers {after_s:d} seconds "
    "later"
)
def check_lifted(context: Context, after_s: int) -> None:
    for seed in range(DRAWN_FLEETS):
        rng = random.Random(seed)
        lifted_at_s = DURATION_S - after_s
        limit_per_s = rng.choice((2.8, 6.0, 15.0))
        drawn = drawn_case(rng, limit_per_s=limit_per_s, lifted_at_s=lifted_at_s)
        fleet = LimitedFleet(drawn, rng)
        fleet.play()
        assert fleet.known_limits() == 0, f"seed {seed}, {drawn}"


@then("in 30 drawn fleets at least half of what a limit allows is sent")
def check_used(context: Context) -> None:
    sent = 0
    expected = 0.0
    for seed in range(DRAWN_FLEETS):
        rng = random.Random(seed)
        drawn = drawn_case(rng, limit_per_s=rng.choice((1.3, 2.8, 6.0)))
        fleet = LimitedFleet(drawn, rng)
        fleet.play()
        first_s = fleet.named_at_s + 8.0
        last_s = fleet.began_at_s + DURATION_S
        sent += sum(first_s < each.at_s < last_s for each in fleet.arrivals)
        expected += drawn.limit_per_s * (last_s - first_s) / 2.0
    assert sent >= expected, f"{sent} of {expected}"
