"""Steps for routers that have lost their links to all targets."""

import http.client
import os
import time
from collections import Counter
from dataclasses import dataclass

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.server import EdgeServer
from chervilstall.fleet.records import LayerRange
from chervilstall.soak.cut_links import Cut
from chervilstall.soak.process_sampler import ProcessSampler
from chervilstall.standin.platform_fixtures import LAYERS, remove_target_entry
from tests.support.agent_fleet import eventually
from tests.support.platform import ZONES, Platform, send
from tests.support.router_harness import Response

KINDS = ("lookup", "hold", "draft")
ROUND_INTERVAL_S = 0.1
DRAFT_EVENTS = 10
LONG_DRAFT_EVENTS = 60
LOOKUP_TARGETS = 3
RUNS_MAX = {"lookup": 2, "hold": 1, "draft": 2}


@dataclass(frozen=True)
class FirstTry:
    """A caller's first try at a router, and the response, None without a whole one."""

    router: int
    kind: str
    asked_at_s: float
    ended_at_s: float
    response: Response | None

    @property
    def is_served(self) -> bool:
        """Return whether the response is whole and a success."""
        if self.response is None or self.response.status != 200:
            return False
        events = DRAFT_EVENTS if self.kind == "draft" else 0
        return self.response.body.count(b"id: ") == events


@given("{count:d} routers with links of their own to targets of lookups and drafts")
def start_linked_platform(context: Context, count: int) -> None:
    context.platform = platform = Platform(has_links=True)
    context.stoppables.append(platform)
    platform.start()
    context.sampler = ProcessSampler(lambda: [("all", os.getpid())])
    sampling = gevent.spawn(context.sampler.run)
    context.add_cleanup(sampling.kill)
    for number in range(LOOKUP_TARGETS):
        zone = ZONES[number % len(ZONES)]
        platform.add_target(f"lookup-{number}", "lookups", zone)
    for zone in ZONES:
        for replica in ("a", "b"):
            first = LayerRange(0, LAYERS // 2)
            platform.add_target(f"first-{replica}-{zone}", "drafts", zone, first)
            last = LayerRange(LAYERS // 2, LAYERS)
            platform.add_target(f"last-{replica}-{zone}", "drafts", zone, last)
    for number in range(count):
        platform.add_router(ZONES[number % len(ZONES)])
    for router in platform.routers:
        eventually(lambda router=router: router.chooser.router_count == count)
    eventually(lambda: any(router.planner.is_planning for router in platform.routers))


def planner_first(platform: Platform) -> list[int]:
    """Return the indices of all routers, that of the one that plans first."""
    indices = range(len(platform.routers))
    return sorted(
        indices, key=lambda each: not platform.routers[each].planner.is_planning
    )


def begin_cut(context: Context, cut: list[int], how: Cut) -> None:
    """Cut routers off once all have used their links, which the first use makes."""
    platform = context.platform
    for index, router in enumerate(platform.routers):
        ask(router, index, "draft", f"draft-{index}-before")
    context.cut = cut
    for index in cut:
        platform.links[index].begin(how)
    context.cut_at_s = time.monotonic()


@given("{count:d} of them are cut off from all targets, so that connections {how}")
def cut_off(context: Context, count: int, how: str) -> None:
    begin_cut(context, planner_first(context.platform)[:count], Cut(how))


@given("each router of one zone is cut off from all targets, so that connections {how}")
def cut_zone_off(context: Context, how: str) -> None:
    routers = enumerate(context.platform.routers)
    cut = [index for index, router in routers if router.settings.zone == ZONES[0]]
    begin_cut(context, cut, Cut(how))


@when("a router starts that is cut off from all targets")
def start_cut_off(context: Context) -> None:
    platform = context.platform
    router = platform.add_router(wait=False)
    platform.links[-1].begin(Cut.HANG)
    context.cut = [len(platform.routers) - 1]
    context.cut_at_s = time.monotonic()
    eventually(lambda: router.is_ready)


def ask(
    router: EdgeServer, index: int, kind: str, request: str, **headers: str
) -> FirstTry:
    """Ask a router once and return what became of it."""
    asked_at_s = time.monotonic()
    response = None
    try:
        response = send(
            router,
            f"/{kind}/{request}",
            request=request,
            body=request.encode(),
            **{"Token_Count": f"100,{DRAFT_EVENTS}", **headers},
        )
    except (http.client.HTTPException, OSError):
        pass
    return FirstTry(index, kind, asked_at_s, time.monotonic(), response)


@when("requests of each kind come at each router for {duration_s:d} seconds")
def ask_often(context: Context, duration_s: int) -> None:
    ask_all(context, ROUND_INTERVAL_S, duration_s)


@when(
    "a request comes at each router every {interval_s:g} seconds for "
    "{duration_s:d} seconds"
)
def ask_all(context: Context, interval_s: float, duration_s: int) -> None:
    context.tries = []
    tasks = []
    routers = context.platform.routers
    for number in range(int(duration_s / interval_s)):
        for index, router in enumerate(routers):
            kind = KINDS[number % len(KINDS)]
            task = gevent.spawn(ask, router, index, kind, f"{kind}-{index}-{number}")
            tasks.append(task)
        gevent.sleep(interval_s)
    gevent.joinall(tasks, raise_error=True)
    context.tries = [task.value for task in tasks]


@when("a {kind} comes at the cut-off router, whose caller waits {wait_s:g} seconds")
def ask_in_time(context: Context, kind: str, wait_s: float) -> None:
    (index,) = context.cut
    router = context.platform.routers[index]
    deadline_ms = str(int(wait_s * 1e3))
    context.first_try = ask(router, index, kind, f"{kind}-x", Deadline_Ms=deadline_ms)


@then("it is served by another router")
def check_first_try(context: Context) -> None:
    assert context.first_try.is_served, (context.first_try, describe_cpu(context))


def describe_cpu(context: Context) -> str:
    """Return what the process of all routers and targets got since the cut."""
    windows = [
        window
        for window in context.sampler.windows
        if window.ended_at_s > context.cut_at_s
    ]
    spent_s = sum(window.duration_s for window in windows)
    waited_s = sum(window.waited_s for window in windows)
    cpu_s = sum(window.cpu_s for window in windows)
    return f"of {spent_s:.2f} s waited {waited_s:.2f} s for a CPU, had {cpu_s:.2f} s"


def late_tries(context: Context, after_s: float) -> list[FirstTry]:
    """Return the tries that began later than `after_s` after the cut."""
    from_s = context.cut_at_s + after_s
    return [each for each in context.tries if each.asked_at_s > from_s]


@then(
    "from {after_s:d} second after the cut each router serves {served:d} in "
    "{of:d} of them"
)
@then(
    "from {after_s:d} seconds after the cut each router serves {served:d} in "
    "{of:d} of them"
)
def check_served(context: Context, after_s: int, served: int, of: int) -> None:
    tries = late_tries(context, after_s)
    for index in range(len(context.platform.routers)):
        own = [each for each in tries if each.router == index]
        assert len(own) >= 10, len(own)
        count = sum(each.is_served for each in own)
        outcomes = Counter(
            (each.kind, each.response and each.response.status)
            for each in own
            if not each.is_served
        )
        assert count * of >= served * len(own), (
            f"router {index}, cut off {context.cut}: {count} of {len(own)}, {outcomes};"
            f" the process {describe_cpu(context)}"
        )


@then("no request ran more often than its kind allows")
def check_runs(context: Context) -> None:
    runs = Counter(context.platform.executed_request_ids())
    often = {
        request: count
        for request, count in runs.items()
        if count > RUNS_MAX.get(request.partition("-")[0], 1)
    }
    assert not often, often


def others(context: Context) -> list[EdgeServer]:
    """Return the routers that were not cut off."""
    routers = enumerate(context.platform.routers)
    return [router for index, router in routers if index not in context.cut]


@then("no router that was not cut off suspects a target")
def check_no_suspicion(context: Context) -> None:
    for router in others(context):
        suspected = [
            target.id
            for target in router.fleet_view.targets.values()
            if router.fleet_view.is_suspected(target)
        ]
        assert not suspected, suspected


@then("a router that was not cut off plans")
def check_planner(context: Context) -> None:
    eventually(lambda: any(router.planner.is_planning for router in others(context)))
    for index in context.cut:
        assert not context.platform.routers[index].planner.is_planning


@when("the cut is over")
def heal(context: Context) -> None:
    for index in context.cut:
        context.platform.links[index].heal()
    context.healed_at_s = time.monotonic()


@then("within {within_s:d} seconds each router serves its callers by itself")
def check_recovery(context: Context, within_s: int) -> None:
    gevent.sleep(within_s - (time.monotonic() - context.healed_at_s))
    for router in context.platform.routers:
        assert not router.target_reach.out_of_reach, router.target_reach.out_of_reach
    for index, router in enumerate(context.platform.routers):
        for kind in KINDS:
            served = ask(router, index, kind, f"{kind}-{index}-healed")
            assert served.is_served, (index, kind, served.response)


@then(
    "from {after_s:d} seconds after the cut each is refused as not run within "
    "{within_s:g} seconds"
)
def check_refused(context: Context, after_s: int, within_s: float) -> None:
    tries = late_tries(context, after_s)
    assert len(tries) >= 20, len(tries)
    for each in tries:
        seen = (each, describe_cpu(context))
        assert each.response is not None and each.response.status == 503, seen
        assert each.ended_at_s - each.asked_at_s <= within_s, seen


@then("it is told to come back within {within_s:d} seconds")
def check_retry_after(context: Context, within_s: int) -> None:
    for each in late_tries(context, 2):
        assert 0.0 < float(each.response.headers["Retry-After"]) <= within_s, each


@when(
    "all targets of lookups end and lookups come at each router for {duration_s:d} "
    "seconds"
)
def end_lookup_targets(context: Context, duration_s: int) -> None:
    platform = context.platform
    context.planner = planner_first(platform)[0]
    for name, target in platform.targets.items():
        if name.startswith("lookup"):
            target.stop()
    for number in range(int(duration_s / ROUND_INTERVAL_S)):
        for index, router in enumerate(platform.routers):
            gevent.spawn(ask, router, index, "lookup", f"lookup-{index}-{number}")
        gevent.sleep(ROUND_INTERVAL_S)


@then("the same router plans as before")
def check_same_planner(context: Context) -> None:
    for router in context.platform.routers:
        assert "lookups" in router.target_reach.out_of_reach
    planner = context.platform.routers[context.planner]
    assert planner.planner_lease.check()
    assert planner.planner.is_planning


@when("all targets with the first layers leave, and empty ones come")
def replace_first_layers(context: Context) -> None:
    platform = context.platform
    for zone in ZONES:
        platform.add_target(f"empty-{zone}", "drafts", zone)
    for name in [name for name in platform.targets if name.startswith("first-")]:
        remove_target_entry(platform.store.state, name)
        platform.targets[name].stop()


@then("the first layers are placed again")
def check_placed(context: Context) -> None:
    empty = [context.platform.targets[f"empty-{zone}"] for zone in ZONES]
    eventually(lambda: any(target.layers.first == 0 for target in empty))


@when(
    "{count:d} long drafts run at a router that is cut off, so that connections {how}"
)
def run_long_drafts(context: Context, count: int, how: str) -> None:
    for router in context.platform.routers:
        # As if no earlier process might have used part of this window.
        router.budget.started_at_s = float("-inf")
    index = planner_first(context.platform)[-1]
    router = context.platform.routers[index]
    ask(router, index, "draft", "draft-before")
    tasks = [
        gevent.spawn(
            ask,
            router,
            index,
            "draft",
            f"draft-{number}",
            Token_Count=f"100,{LONG_DRAFT_EVENTS}",
        )
        for number in range(count)
    ]
    eventually(lambda: len(router.stream_monitor.streams) == count)
    gevent.sleep(ROUND_INTERVAL_S)
    context.platform.links[index].begin(Cut(how))
    gevent.joinall(tasks, raise_error=True)
    context.tries = [task.value for task in tasks]


@then("each of them ends whole")
def check_whole(context: Context) -> None:
    events = [
        each.response.body.count(b"id: ") if each.response else 0
        for each in context.tries
    ]
    assert events == [LONG_DRAFT_EVENTS] * len(context.tries), events
