"""Steps for the wait of long prompts that arrive at a router together."""

import dataclasses
import heapq
import time
from types import SimpleNamespace
from typing import Any, cast

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.peers.forwarding import Forwarding
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.streams.prompt_wait import (
    DECISIONS_MAX,
    WAIT_SHARE,
    PromptWait,
    WaitingPrompt,
)
from chervilstall.fleet.view import FleetView
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.records import Path, PathStage
from chervilstall.settings.edge import EdgeSettings, FeatureMode, PromptSettings
from tests.support.clock import Clock
from tests.support.model_targets import LOCAL, PIPELINE, make_target
from tests.support.platform_scenario import start_platform
from tests.support.stream_requests import ROUTE, make_request

OBJECTIVE_S = 0.5
SHORT, LONG, LONGEST = 100.0, 8_000.0, 40_000.0
LONG_S = LONG / PIPELINE.prefill_tokens_per_s
"""Time in which the only target prefills a long prompt."""

TARGET = make_target("t", LOCAL, 0, 8)
PATH = Path((PathStage(TARGET, TARGET.layers),))


def make_wait() -> PromptWait:
    """Return the wait of a router that got short prompts for its only target."""
    fleet_view = FleetView(drain_s=2.0)
    fleet_view.update_target(TARGET)
    chooser = PathChooser(fleet_view, LOCAL)
    chooser.weighs_prompts = lambda: True
    prompt_wait = PromptWait(chooser)
    for _ in range(20):
        assert enter(prompt_wait, SHORT) is None
    return prompt_wait


def enter(
    prompt_wait: PromptWait, tokens: float, priority: int = 1
) -> WaitingPrompt | None:
    """Let a prompt arrive."""
    return prompt_wait.enter(tokens, priority, time.monotonic(), OBJECTIVE_S)


def queue(prompt_wait: PromptWait, *prompts: float) -> None:
    """Queue prompts of the router at its target."""
    for tokens in prompts:
        prompt_wait.chooser.note_prefill(PIPELINE, PATH, tokens)


@given("a router that weighs prompts and got 20 short ones")
def make_router(context: Context) -> None:
    context.clock = Clock()
    context.stoppables.append(context.clock)
    context.wait = make_wait()


def pause_s(context: Context, *queued: float, tokens: float = LONG) -> float:
    """Let a prompt arrive behind others and return how long it waits."""
    queue(context.wait, *queued)
    waiting = enter(context.wait, tokens)
    if waiting is None:
        return 0.0
    return context.wait.pause_s(waiting, PIPELINE, PATH)


@when("a prompt arrives and {reason}")
def let_arrive(context: Context, reason: str) -> None:
    match reason:
        case "it is short":
            context.pause_s = pause_s(context, LONG, LONG, tokens=SHORT)
        case "nothing is queued on its path":
            context.pause_s = pause_s(context)
        case "one like it is queued on its path":
            context.pause_s = pause_s(context, LONG)
        case "more is queued on its path than can be waited for":
            context.pause_s = pause_s(context, LONGEST)


@then("it is sent at once")
def check_sent(context: Context) -> None:
    assert context.pause_s == 0.0, context.pause_s


@when("a long prompt arrives and two like it are queued on its path")
def arrive_behind_two(context: Context) -> None:
    context.pause_s = pause_s(context, LONG, LONG)


@when("a long prompt arrives, a more urgent one waits and one like it is queued")
def arrive_behind_urgent(context: Context) -> None:
    assert enter(context.wait, LONG, priority=0) is not None
    context.pause_s = pause_s(context, LONG)


@then("it waits until one of them is left")
@then("it waits until none of them is left")
def check_pause(context: Context) -> None:
    assert LONG_S > WAIT_SHARE * OBJECTIVE_S / DECISIONS_MAX
    assert abs(context.pause_s - LONG_S) < 1e-9, context.pause_s


@when("10 urgent long prompts arrive each s and 10 that are less urgent, for 20 s")
def play_prompts(context: Context) -> None:
    clock, prompt_wait = context.clock, context.wait
    # Groups of three of each kind, so that some find two like them queued.
    arrivals = [
        (clock.now_s + group * 0.3, 3 * group + place, priority)
        for group in range(66)
        for place in range(3)
        for priority in (0, 1)
    ]
    context.waited_s = {0: [], 1: []}
    events: list[tuple[float, int, int, WaitingPrompt | None]] = [
        (at_s, number, priority, None) for at_s, number, priority in arrivals
    ]
    heapq.heapify(events)
    while events:
        clock.now_s, number, priority, waiting = heapq.heappop(events)
        # Short prompts keep the mean low.
        for _ in range(10):
            enter(prompt_wait, SHORT)
        waiting = waiting or enter(prompt_wait, LONG, priority)
        assert waiting is not None
        pause = prompt_wait.pause_s(waiting, PIPELINE, PATH)
        if pause > 0.0:
            heapq.heappush(events, (clock.now_s + pause, number, priority, waiting))
            continue
        prompt_wait.leave(waiting)
        queue(prompt_wait, LONG)
        context.waited_s[priority].append(clock.now_s - waiting.arrived_at_s)
    context.arrived = len(arrivals)


@then("some of both wait, none past a quarter of its objective, and all are sent")
def check_waits(context: Context) -> None:
    for waited_s in context.waited_s.values():
        assert 0.0 < max(waited_s) <= WAIT_SHARE * OBJECTIVE_S + 1e-9, max(waited_s)
    sent = sum(len(waited_s) for waited_s in context.waited_s.values())
    assert sent == context.arrived and not context.wait.waiting


class CountedPaths:
    """Chooses the only path and counts how often."""

    def __init__(self) -> None:
        self.chosen = 0

    def choose(self) -> Path:
        """Return the path."""
        self.chosen += 1
        return PATH


@given("a router on whose paths long prompts are queued")
def make_busy(context: Context) -> None:
    context.wait, context.paths = make_wait(), CountedPaths()
    queue(context.wait, LONG, LONG)
    context.request = make_request()
    set_sizes(context.request, LONG, 200.0)


def set_sizes(request: EdgeRequest, prompt: float, answer: float) -> None:
    """Set the sizes that the caller declares."""
    request.fields = dataclasses.replace(
        request.fields, prompt_tokens=prompt, answer_tokens=answer
    )


def hold(context: Context) -> None:
    """Hold the stream before its first send."""
    context.wait.hold(context.request, cast(Any, context.paths))


@when("a stream with a long prompt arrives and {reason}")
def hold_other(context: Context, reason: str) -> None:
    request = context.request
    match reason:
        case "prompts aren't weighed":
            context.wait.chooser.weighs_prompts = lambda: False
        case "another router forwarded it":
            request.forwarding = cast(Forwarding, SimpleNamespace(attempts_max=2))
        case "its caller resumes it":
            request.fields = dataclasses.replace(request.fields, last_event_id="4")
        case "its caller declares no length":
            set_sizes(request, LONG, 0.0)
    hold(context)


@then("no path is chosen for it before its first send")
def check_not_held(context: Context) -> None:
    assert context.paths.chosen == 0, context.paths.chosen


@when("a stream with a long prompt is held and its caller disconnects")
def hold_and_leave(context: Context) -> None:
    began_s = time.monotonic()
    task = gevent.spawn(hold, context)
    gevent.sleep(0.01)
    assert len(context.wait.waiting) == 1
    context.request.cancel()
    task.get(timeout=5.0)
    context.elapsed_s = time.monotonic() - began_s


@then("its wait ends within a quarter of its objective and nothing waits any more")
def check_ended(context: Context) -> None:
    # 0.2 s are for the load of the machine.
    bound_s = WAIT_SHARE * ROUTE.latency_slo_s + 0.2
    assert context.elapsed_s <= bound_s, context.elapsed_s
    assert not context.wait.waiting and context.paths.chosen == 1


@then("the wait is counted on the metrics address")
def check_counted(context: Context) -> None:
    lines = context.wait.exposition()
    assert "chervilstall_prompt_wait_seconds_count 1" in lines, lines


@given("a platform with a router whose mode of prompts is {mode}")
def start_router(context: Context, mode: str) -> None:
    platform = start_platform(context)
    prompts = PromptSettings(mode=FeatureMode(mode))
    platform.edge_settings = EdgeSettings(prompts=prompts)
    context.router = platform.add_router()


@then("the router {weighs} prompts, and its metrics tell how many waited")
def check_mode(context: Context, weighs: str) -> None:
    assert context.router.chooser.weighs_prompts() == (weighs == "weighs")
    lines = context.router.metrics_text().splitlines()
    assert "chervilstall_prompt_wait_seconds_count 0" in lines, lines
