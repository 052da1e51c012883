"""Steps for long prompts beside short ones, without a network."""

import dataclasses
import random
import time
from pathlib import Path as FilePath

from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.request import OBJECTIVE_SHARE_MIN, EdgeRequest
from chervilstall.fleet.view import FleetView
from chervilstall.ids import VmId
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.peer_loads import RouterReport, TargetLoad
from chervilstall.paths.prompt_figures import prompt_delay
from chervilstall.paths.records import Path, PathRequest, PathStage, Prompt
from tests.support.clock import Clock
from tests.support.engine_pipeline import ENGINE_PIPELINE
from tests.support.model_targets import LOCAL, PIPELINE, REMOTE, SERVICE, make_target
from tests.support.stream_requests import ROUTE, make_request

NOTE = FilePath(__file__).parents[2] / "docs" / "design" / "prompts.md"
SHORT, LONG = Prompt(100.0, 230.0, 0.5), Prompt(2_000.0, 230.0, 0.5)


@then(
    "docs/design/prompts.md has the delays on each accelerator type "
    "beside 0 to 4 long prompts"
)
def check_note(context: Context) -> None:
    rows = [
        prompt_delay(ENGINE_PIPELINE, accelerator, long_prompts).row
        for accelerator in ENGINE_PIPELINE.accelerators
        for long_prompts in range(5)
    ]
    print("\n".join(rows))
    noted = NOTE.read_text().splitlines()
    missing = [row for row in rows if row not in noted]
    assert not missing, missing


def make_chooser(context: Context) -> Path:
    """Set a chooser with two targets for the second stage; return a path of one."""
    fleet_view = FleetView(drain_s=2.0)
    busy = make_target("b", LOCAL, 4, 8)
    for target in (make_target("a", LOCAL, 0, 4), busy, make_target("c", LOCAL, 4, 8)):
        fleet_view.update_target(target)
    context.chooser = PathChooser(fleet_view, LOCAL, rng=random.Random(5))
    context.chooser.weighs_prompts = lambda: True
    return Path((PathStage(busy, busy.layers),))


def count_on_other(context: Context, prompt: Prompt) -> int:
    """Choose 400 paths and return how many use the second target."""
    request = PathRequest(300.0, prompt=prompt)
    paths = (context.chooser.choose(SERVICE, request) for _ in range(400))
    return sum(path.stages[-1].target.id == "c" for path in paths)


@given("two targets for the second stage, one with 100 decoding requests")
def add_decoding(context: Context) -> None:
    path = make_chooser(context)
    for _ in range(100):
        context.chooser.load.add(path, 1.0)


@then(
    "of 400 long prompts the other target gets at least 40 more than of 400 short ones"
)
def check_long_avoids(context: Context) -> None:
    counts = count_on_other(context, LONG), count_on_other(context, SHORT)
    assert counts[0] >= counts[1] + 40, counts


@given("a copy of the model in each of two zones, with 240 decoding requests here")
def add_two_zones(context: Context) -> None:
    local = make_target("a", LOCAL, 0, 4), make_target("b", LOCAL, 4, 8)
    remote = make_target("x", REMOTE, 0, 4), make_target("y", REMOTE, 4, 8)
    fleet_view = FleetView(drain_s=2.0)
    for target in local + remote:
        fleet_view.update_target(target)
    # As other routers don't report, 8 are taken to have as many requests as this one.
    context.chooser = PathChooser(fleet_view, LOCAL, 2, 8, random.Random(5))
    path = Path(tuple(PathStage(target, target.layers) for target in local))
    for _ in range(30):
        context.chooser.load.add(path, 1.0)


@then("of 400 long prompts at most 10 leave the router's zone")
def check_zone(context: Context) -> None:
    request = PathRequest(300.0, prompt=LONG)
    paths = [context.chooser.choose(SERVICE, request) for _ in range(400)]
    left = sum(path.first.zone != LOCAL for path in paths)
    assert left <= 10, left


@given("two targets for the second stage, one with 24 long prompts queued")
def add_long_prompts(context: Context) -> None:
    context.stoppables.append(Clock())
    path = make_chooser(context)
    for _ in range(24):
        context.chooser.note_prefill(PIPELINE, path, LONG.tokens)


@then("of 400 short prompts at least 300 go to the other target")
def check_short_avoids(context: Context) -> None:
    count = count_on_other(context, SHORT)
    assert count >= 300, count


@given("a stream with a prompt of 100 tokens and an answer of 200")
def make_stream(context: Context) -> None:
    context.request = make_request()
    set_fields(context.request, prompt_tokens=100.0, answer_tokens=200.0)
    prompt = context.request.prompt
    assert prompt is not None and prompt.tokens == 100.0, prompt


def set_fields(request: EdgeRequest, **changes: object) -> None:
    """Change what the caller declared."""
    request.fields = dataclasses.replace(request.fields, **changes)


@when("the sized stream {state}")
def change_stream(context: Context, state: str) -> None:
    request = context.request
    match state:
        case "declares no length":
            set_fields(request, answer_tokens=0.0)
        case "declares no prompt":
            set_fields(request, prompt_tokens=0.0)
        case "has got an event":
            request.events_forwarded = 1
        case "is resumed by its caller":
            set_fields(request, last_event_id="4")


@then("it has no prompt to weigh")
def check_no_prompt(context: Context) -> None:
    assert context.request.prompt is None


@when("it has waited for 3 s")
def let_wait(context: Context) -> None:
    context.request.arrived_at_s -= 3.0


@then("a quarter of its objective counts as left")
def check_left(context: Context) -> None:
    left_s = context.request.prompt.objective_s
    assert left_s == OBJECTIVE_SHARE_MIN * ROUTE.latency_slo_s, left_s


@given("a router that weighs prompts, but not the load that others report")
def make_reported(context: Context) -> None:
    context.clock = Clock()
    context.stoppables.append(context.clock)
    context.path = make_chooser(context)
    context.chooser.guides_paths = lambda: False


@when("another router reports 3 s of prompts at a target")
def report_prompts(context: Context) -> None:
    incarnation = context.path.first.incarnation
    loads = {incarnation: TargetLoad(tokens=9_000, requests=9, prefill_ms=3_000)}
    report = RouterReport(time.monotonic(), loads)
    context.chooser.peer_loads.replace(VmId("vm-2"), report)


@then("they count there at once, but not 1.8 s later")
def check_reported(context: Context) -> None:
    wait_s = context.chooser.prefill_wait_s(PIPELINE, context.path, 0.0)
    assert wait_s == 3.0, wait_s
    context.clock.now_s += 1.8
    assert context.chooser.prefill_wait_s(PIPELINE, context.path, 0.0) == 0.0


@then("the tokens that it reports don't count")
def check_tokens(context: Context) -> None:
    report_prompts(context)
    assert context.chooser.estimated_tokens(context.path.first.incarnation) == 0.0
