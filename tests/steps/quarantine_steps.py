"""Steps for parts of prompts that crash the targets."""

import http.client
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.fleet.records import LayerRange
from chervilstall.standin.crashes import shared_parts
from chervilstall.standin.platform_fixtures import LAYERS, build_configuration
from tests.support.agent_fleet import eventually
from tests.support.platform import ZONES, Platform, send
from tests.support.router_harness import Response

CRASHING_PART = "crashing"
FIRST_PART = "caller"
MIDDLE_PARTS = ("guide", "tools", "example")
DRAFT_EVENTS = 10
FIRST_EVENT_S = 0.15
CRASHES_FREE = 5
CONTACT_S = 3.0
"""The rule holds from this long after the fifth crash, or the last if there are fewer.
"""


@dataclass(frozen=True)
class SharedDraft:
    """A draft that was asked for, and whether its answer came whole."""

    asked_at_s: float
    is_crashing: bool
    is_whole: bool


@dataclass
class SharedDrafts:
    """The drafts of one scenario in the order in which they ended."""

    drafts: list[SharedDraft] = field(default_factory=list)

    def after(self, at_s: float, is_crashing: bool) -> list[SharedDraft]:
        """Return the drafts of one kind that were asked for later than `at_s`."""
        return [
            draft
            for draft in self.drafts
            if draft.asked_at_s > at_s and draft.is_crashing is is_crashing
        ]


@given(
    "{count:d} routers and {firsts:d} first targets a zone for drafts that share parts"
)
def start_sharing_platform(context: Context, count: int, firsts: int) -> None:
    context.platform = platform = Platform()
    context.stoppables.append(platform)
    platform.start()
    for zone in ZONES:
        for number in range(firsts):
            layers = LayerRange(0, LAYERS // 2)
            first = platform.add_target(f"a{number}-{zone}", "drafts", zone, layers)
            first.first_event_s = FIRST_EVENT_S
        layers = LayerRange(LAYERS // 2, LAYERS)
        platform.add_target(f"b-{zone}", "drafts", zone, layers)
    for number in range(count):
        platform.add_router(ZONES[number % len(ZONES)])
    for router in platform.routers:
        eventually(lambda router=router: router.chooser.router_count == count)


@given(
    "each first target crashes on one of these parts and is back after {restart_s:g} "
    "second"
)
def set_crashing_part(context: Context, restart_s: float) -> None:
    for target in context.platform.targets.values():
        target.crashing_parts = frozenset({CRASHING_PART})
        target.restart_s = restart_s


@given("each first target sends {events:d} events before it crashes")
def send_events_before_crash(context: Context, events: int) -> None:
    for target in context.platform.targets.values():
        target.events_before_crash = events


def prefix_hash(rng: random.Random, number: int, is_crashing: bool) -> str:
    """Return the parts of a draft; all but its last may stand in others too."""
    middle = rng.sample(MIDDLE_PARTS, rng.randint(1, len(MIDDLE_PARTS)))
    if is_crashing:
        middle.insert(rng.randint(0, len(middle)), CRASHING_PART)
    parts = (FIRST_PART, *middle, f"own-{number}")
    return ",".join(f"{part}:20" for part in parts)


def is_whole(response: Response) -> bool:
    """Return whether a response has every event of a draft, once and in order."""
    ids = [
        line.removeprefix(b"id: ")
        for line in response.body.splitlines()
        if line.startswith(b"id: ")
    ]
    expected = [str(number).encode() for number in range(1, DRAFT_EVENTS + 1)]
    return response.status == 200 and ids == expected


@when(
    "drafts come at {rate:d} a second for {duration_s:d} seconds, 1 in {share:d} of "
    "them with that part"
)
def ask_for_drafts(context: Context, rate: int, duration_s: int, share: int) -> None:
    rng = random.Random(23)
    context.shared = shared = SharedDrafts()
    routers = context.platform.routers

    def ask(number: int, parts: str, is_crashing: bool) -> None:
        asked_at_s = time.monotonic()
        try:
            response = send(
                routers[number % len(routers)],
                "/draft/x",
                request=f"r{number}",
                Token_Count=f"100,{DRAFT_EVENTS}",
                Prefix_Hash=parts,
            )
        except (http.client.HTTPException, OSError):
            whole = False
        else:
            whole = is_whole(response)
        shared.drafts.append(SharedDraft(asked_at_s, is_crashing, whole))

    tasks = []
    for number in range(rate * duration_s):
        is_crashing = rng.random() < 1.0 / share
        parts = prefix_hash(rng, number, is_crashing)
        tasks.append(gevent.spawn(ask, number, parts, is_crashing))
        gevent.sleep(1.0 / rate)
    gevent.joinall(tasks, raise_error=True)


def crashed_at_s(context: Context) -> list[float]:
    """Return the times of all crashes in order."""
    targets = context.platform.targets.values()
    return sorted(at_s for target in targets for at_s in target.log.crashed_at_s)


def rule_holds_from_s(crashes: Sequence[float], contact_s: float) -> float:
    """Return when the rule begins to hold."""
    return crashes[:CRASHES_FREE][-1] + contact_s


@then(
    "at most {allowed:d} requests with it arrive later than {contact_s:g} seconds "
    "after the fifth crash"
)
def check_arrivals_of_part(context: Context, allowed: int, contact_s: float) -> None:
    crashes = crashed_at_s(context)
    assert crashes, "no target crashed"
    from_s = rule_holds_from_s(crashes, contact_s)
    assert len(context.shared.after(from_s, is_crashing=True)) >= 10
    arrivals = [
        run.received_at_s - from_s
        for target in context.platform.targets.values()
        for run in target.log.runs
        if CRASHING_PART in shared_parts(run.headers) and run.received_at_s > from_s
    ]
    assert len(arrivals) <= allowed, (
        f"{len(arrivals)} arrivals, {len(crashes)} crashes in all"
    )


@then("at least {ratio:d} in 100 of the sound drafts after that are served whole")
def check_sound_drafts(context: Context, ratio: int) -> None:
    from_s = rule_holds_from_s(crashed_at_s(context), CONTACT_S)
    sound = context.shared.after(from_s, is_crashing=False)
    assert len(sound) >= 50, len(sound)
    served = sum(draft.is_whole for draft in sound)
    assert served * 100 >= ratio * len(sound), f"{served} of {len(sound)} served"


# One request


@given("a draft may be sent to {attempts_max:d} targets")
def set_attempts(context: Context, attempts_max: int) -> None:
    config = build_configuration(version=2)
    for route in config["routes"]:
        route["max-attempts"] = attempts_max
    context.platform.write_config(config)
    (router,) = context.platform.routers
    eventually(lambda: router.fleet_view.configuration.version == config["version"])


@when("a draft with that part is asked for")
def ask_for_one(context: Context) -> None:
    (router,) = context.platform.routers
    parts = prefix_hash(random.Random(23), 0, is_crashing=True)
    send(router, "/draft/x", Token_Count=f"100,{DRAFT_EVENTS}", Prefix_Hash=parts)


@then("it reached at most {allowed:d} targets")
def check_targets_reached(context: Context, allowed: int) -> None:
    reached = [
        name for name, target in context.platform.targets.items() if target.log.runs
    ]
    assert len(reached) <= allowed, reached
