"""Steps for the pauses of streams after the loss of a middle stage."""

import random
import time
from unittest.mock import MagicMock

from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.streams.live_stream import LiveStream
from chervilstall.edge.streams.pauses import PauseCause, PauseMeter, PauseStart
from chervilstall.paths.records import PathRequest
from tests.support.pause_model import (
    SERVICE,
    RouterModel,
    build_targets,
    lose_stages,
)

PROMPT_TOKENS = 800.0


@given(
    "{routers:d} routers with {rate:d} streams each s over 30 targets with the "
    "engine's figures"
)
def set_fleet(context: Context, routers: int, rate: int) -> None:
    context.routers, context.rate = routers, rate


@when("a middle stage is lost to {fault}, in {trials:d} trials")
def lose_stage(context: Context, fault: str, trials: int) -> None:
    is_dark = fault == "a power loss"
    pauses = lose_stages(context.routers, context.rate, is_dark, trials)
    context.pauses_ms = sorted(round(each.whole_s * 1e3) for each in pauses)
    assert len(pauses) > 10 * trials, len(pauses)


def _check_quantile(context: Context, share: float, limit_ms: int) -> None:
    pauses_ms = context.pauses_ms
    assert pauses_ms[int(share * (len(pauses_ms) - 1))] <= limit_ms, pauses_ms


@then("19 in 20 pauses are at most {limit_ms:d} ms")
def check_most(context: Context, limit_ms: int) -> None:
    _check_quantile(context, 0.95, limit_ms)


@then("half of the pauses are at most {limit_ms:d} ms")
def check_half(context: Context, limit_ms: int) -> None:
    _check_quantile(context, 0.5, limit_ms)


@given("a router whose streams {keep} their other stages")
def set_router(context: Context, keep: str) -> None:
    context.router = RouterModel(random.Random(1), 60, keep == "keep")
    for target in build_targets():
        context.router.view.update_target(target)


@when("{count:d} streams are led around a middle stage")
def lead_around(context: Context, count: int) -> None:
    router = context.router
    context.added = []
    for _ in range(count):
        before = router.chooser.choose(SERVICE, PathRequest(PROMPT_TOKENS))
        after = router.lead_around(before, before.stages[1].target)
        context.added.append(len(after.stages_added(before)))


@then("on average {added} new stages have to read its prompt")
def check_added(context: Context, added: str) -> None:
    mean = sum(context.added) / len(context.added)
    if added.startswith("above "):
        assert mean > float(added.removeprefix("above ")), mean
        return
    assert mean == float(added), mean


@given("a stream whose last event came at 0 ms, checked at {checked} ms")
def set_checked(context: Context, checked: str) -> None:
    context.checked_at_s = None if checked == "no" else int(checked) / 1e3
    context.last_event_at_s = 0.0


@given("a stream whose last event came at {last:d} ms, and which wasn't checked")
def set_last_event(context: Context, last: int) -> None:
    context.checked_at_s = None
    context.last_event_at_s = last / 1e3


@when(
    "it is found at {found:d} ms that it has to move, which is done at {ordered:d} ms"
)
def move_stream(context: Context, found: int, ordered: int) -> None:
    context.start = PauseStart(
        PauseCause.FAULT,
        context.last_event_at_s,
        context.checked_at_s,
        found / 1e3,
        ordered / 1e3,
    )


@then("its next event at {next_event:d} ms gives the parts {parts}")
def check_parts(context: Context, next_event: int, parts: str) -> None:
    found = context.start.components_s(next_event / 1e3).values()
    assert [round(part_s * 1e3) for part_s in found] == [
        int(each) for each in parts.split(",")
    ], found


def _open_stream(sent_at_s: float) -> LiveStream:
    return LiveStream(
        MagicMock(request_id="r1"), MagicMock(), MagicMock(), MagicMock(), sent_at_s
    )


@given("a stream that was ended {ago:d} ms after its last event")
def end_stream(context: Context, ago: int) -> None:
    context.streams, context.pauses_s = {}, []
    context.meter = PauseMeter(
        context.streams,
        lambda request, cause, pause_s: context.pauses_s.append(pause_s),
    )
    context.ended = _open_stream(time.monotonic() - ago / 1e3)
    context.meter.note_ended(context.ended)


@when("it is resumed, ended without an event and resumed again")
def resume_twice(context: Context) -> None:
    for _ in range(2):
        resumed = context.streams["r1"] = _open_stream(time.monotonic())
        context.meter.step(time.monotonic())
        context.meter.note_ended(resumed)


@then("the pause until its next event is at least {pause:d} ms")
def check_resumed_pause(context: Context, pause: int) -> None:
    context.streams["r1"].record_event()
    assert len(context.pauses_s) == 1, context.pauses_s
    assert context.pauses_s[0] >= pause / 1e3, context.pauses_s
