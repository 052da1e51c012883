"""Steps for single requests that crash the targets."""

import http.client
import random
import time
from dataclasses import dataclass

import gevent
from behave import given, then, when
from behave.runner import Context

from tests.support.platform import ZONES, send

CRASHES_FREE = 3
CONTACT_S = 3.0
DRAFT_EVENTS = 10
PARTS = "caller:20,guide:20"


@dataclass(frozen=True)
class AskedRequest:
    """A request that was asked for, and whether it was served."""

    asked_at_s: float
    is_crashing: bool
    is_served: bool


def crashing_target(kind: str) -> str:
    """Return the request target of the one request that crashes targets."""
    return f"/{kind}/crashing"


@given("{count:d} targets of lookups that answer after {answer_s:g} seconds")
def add_lookup_targets(context: Context, count: int, answer_s: float) -> None:
    for number in range(count):
        zone = ZONES[number % len(ZONES)]
        target = context.platform.add_target(f"lookup-{number}", "lookups", zone)
        target.answer_s = answer_s


@given(
    "each target crashes on one {kind:w} and is back after {restart_s:g} second",
)
def set_crashing_request(context: Context, kind: str, restart_s: float) -> None:
    for target in context.platform.targets.values():
        target.crashing_targets = frozenset({crashing_target(kind)})
        target.restart_s = restart_s


@when(
    "{kind:w} requests come at {rate:d} a second for {duration_s:d} seconds, "
    "1 in {share:d} of them that one"
)
def ask(context: Context, kind: str, rate: int, duration_s: int, share: int) -> None:
    rng = random.Random(26)
    routers = context.platform.routers
    context.asked = []

    def ask_one(number: int, is_crashing: bool) -> None:
        asked_at_s = time.monotonic()
        path = crashing_target(kind) if is_crashing else f"/{kind}/{number}"
        parts = f"{PARTS},own-{'crashing' if is_crashing else number}:20"
        try:
            response = send(
                routers[number % len(routers)],
                path,
                request=f"r{number}",
                body=path.encode(),
                Token_Count=f"100,{DRAFT_EVENTS}",
                Prefix_Hash=parts,
            )
        except (http.client.HTTPException, OSError):
            is_served = False
        else:
            is_served = response.status == 200
        context.asked.append(AskedRequest(asked_at_s, is_crashing, is_served))

    tasks = []
    for number in range(rate * duration_s):
        is_crashing = rng.random() < 1.0 / share
        tasks.append(gevent.spawn(ask_one, number, is_crashing))
        gevent.sleep(1.0 / rate)
    gevent.joinall(tasks, raise_error=True)


def rule_holds_from_s(context: Context) -> float:
    """Return when the rule begins to hold, as a monotonic time."""
    targets = context.platform.targets.values()
    crashes = sorted(at_s for target in targets for at_s in target.log.crashed_at_s)
    assert crashes, "no target crashed"
    return crashes[:CRASHES_FREE][-1] + CONTACT_S


@then(
    "that one reaches at most {allowed:d} targets later than {contact_s:g} seconds "
    "after the third crash"
)
def check_arrivals(context: Context, allowed: int, contact_s: float) -> None:
    assert contact_s == CONTACT_S
    from_s = rule_holds_from_s(context)
    crashing = [each for each in context.asked if each.is_crashing]
    assert len([each for each in crashing if each.asked_at_s > from_s]) >= 10
    arrivals = [
        round(run.received_at_s - from_s, 3)
        for target in context.platform.targets.values()
        for run in target.log.runs
        if run.target in target.crashing_targets and run.received_at_s > from_s
    ]
    assert len(arrivals) <= allowed, f"{len(arrivals)} arrivals, at {arrivals}"


@then("at least {ratio:d} in 100 of the others after that are served")
def check_others(context: Context, ratio: int) -> None:
    from_s = rule_holds_from_s(context)
    others = [each for each in context.asked if not each.is_crashing]
    late = [each for each in others if each.asked_at_s > from_s]
    assert len(late) >= 50, len(late)
    served = sum(each.is_served for each in late)
    assert served * 100 >= ratio * len(late), f"{served} of {len(late)} served"
