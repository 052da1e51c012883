"""Steps for the stream monitor of a router whose event loop is slow or stands still."""

import time
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import MagicMock

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.streams.live_stream import LiveStream
from chervilstall.edge.streams.monitor import SILENCE_MAX_S, StreamMonitor
from tests.support.clock import Clock

BETWEEN_TURNS_S = 0.001


@given("a monitor of a stream of which no event comes")
def create_monitor(context: Context) -> None:
    context.fleet_view = MagicMock(unreachable_zones=set())
    context.fleet_view.is_unresponsive.return_value = False
    parts = [MagicMock() for _ in range(4)]
    context.monitor = StreamMonitor(context.fleet_view, *parts)
    first = SimpleNamespace(id="t1", zone="z")
    context.stream = LiveStream(
        MagicMock(deadline_s=float("inf")),
        MagicMock(),
        cast(Any, SimpleNamespace(first=first, stages=())),
        MagicMock(),
        time.monotonic(),
    )
    context.monitor.streams["r1"] = context.stream


@when("each turn of the event loop takes {turn_s:g} s of work for {for_s:g} s")
def run_slow_loop(context: Context, turn_s: float, for_s: float) -> None:
    stream = context.stream
    began_at_s = time.monotonic()
    stream.silent_since_s = began_at_s
    noticed_after_s: list[float] = []

    def note() -> None:
        if stream.silence_s > SILENCE_MAX_S:
            noticed_after_s.append(time.monotonic() - began_at_s)

    context.monitor.step = note
    task = gevent.spawn(context.monitor.run)
    while time.monotonic() < began_at_s + for_s:
        until_s = time.monotonic() + turn_s
        while time.monotonic() < until_s:
            pass
        gevent.sleep(BETWEEN_TURNS_S)
    task.kill()
    context.noticed_after_s = noticed_after_s


@then("the monitor noticed the silence within {within_s:g} s")
def check_noticed(context: Context, within_s: float) -> None:
    noticed = context.noticed_after_s[:1]
    assert noticed and noticed[0] <= within_s, noticed


@when(
    "its target begins another request, the router stands still for {still_s:g} s and "
    "{later_s:g} s pass"
)
def stand_still_after_begin(context: Context, still_s: float, later_s: float) -> None:
    clock = Clock()
    context.add_cleanup(clock.stop)
    monitor, stream = context.monitor, context.stream
    monitor._query = lambda first, now_s: None
    monitor._end_exchange = lambda stream: False
    stream.silent_since_s = clock.now_s
    clock.now_s += 0.3
    monitor.record_first_event(stream.path.first)
    clock.now_s += 0.1 + still_s
    clock.now_s += later_s
    monitor.step()


@then("the monitor suspects no target")
def check_no_target_suspected(context: Context) -> None:
    assert not context.fleet_view.suspect.call_args_list
