"""Steps for streams over targets that answer no connection."""

import time
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import MagicMock, patch

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.streams import rerouter as rerouter_module
from chervilstall.edge.streams.live_stream import LiveStream
from chervilstall.edge.streams.monitor import StreamMonitor
from chervilstall.fleet.records import Target, TargetReadiness
from chervilstall.ids import RequestId, TargetId
from chervilstall.platform.targets import OrderResponse
from chervilstall.standin.platform_fixtures import write_target_entry
from chervilstall.standin.platform_target import PlatformTarget
from chervilstall.target.listener_probe import ListenerState
from tests.support.agent_fleet import eventually
from tests.support.clock import Clock
from tests.support.full_listener import open_full_listener
from tests.support.platform import ZONES
from tests.support.platform_scenario import FIRST_PART, own_first, pause_stream


def _check_stages(context: Context) -> None:
    """Let the router check stages, and not fetch the reports of silent streams."""
    monitor = context.router.stream_monitor
    monitor._query = lambda first, now_s: None
    monitor.stage_check.is_in_force = lambda: True
    context.retries = []
    spend = context.router.budget.spend_reserved

    def spend_counted(service: str) -> None:
        context.retries.append(service)
        spend(service)

    context.router.budget.spend_reserved = spend_counted
    context.pauses_s = []
    monitor.rerouter.pauses.record_pause = lambda request, cause, pause_s: (
        context.pauses_s.append(pause_s)
    )


def _make_dark(context: Context, dark: PlatformTarget) -> None:
    """Let no connect of a check to a target be answered."""
    _check_stages(context)
    check = context.router.stream_monitor.stage_check
    probe = check.probe

    def probe_dark(target: Target, timeout_s: float) -> ListenerState:
        if target.id != dark.name:
            return probe(target, timeout_s)
        gevent.sleep(timeout_s)
        return ListenerState.SILENT

    check.probe = probe_dark


@given("the target of the last part answers no connection, and no report tells so")
def make_last_dark(context: Context) -> None:
    _make_dark(context, context.stalled_on)


@given("the first target of the own zone stops sending and answers no connection")
def make_first_dark(context: Context) -> None:
    first = own_first(context)
    pause_stream(first, 4, 30.0)
    _make_dark(context, first)


@given("the first target of the own zone is lost {when}")
def lose_first(context: Context, when: str) -> None:
    first = own_first(context)
    if when == "after it got the draft":
        pause_stream(first, 0, 30.0)
        _make_dark(context, first)
        return
    _check_stages(context)
    address = open_full_listener(context)
    context.router.planner_lease.stop()
    write_target_entry(
        context.platform.store.state,
        first.name,
        "drafts",
        str(address),
        ZONES[0],
        FIRST_PART,
    )
    targets = context.router.fleet_view.targets
    eventually(lambda: targets[TargetId(first.name)].address == address)


@given("the first target of the own zone is slow by {pause_s:g} s and looks dark")
def slow_first(context: Context, pause_s: float) -> None:
    first = own_first(context)
    pause_stream(first, 0, pause_s)
    _make_dark(context, first)


@then("the stream paused for less than {limit_ms:d} ms")
def check_pause(context: Context, limit_ms: int) -> None:
    assert len(context.pauses_s) == 1, context.pauses_s
    assert context.pauses_s[0] < limit_ms / 1e3, context.pauses_s


@then("the metrics name each part of that pause")
def check_pause_parts(context: Context) -> None:
    histograms = context.router.stream_monitor.rerouter.pauses._histograms
    whole_s = sum(each.get_max_value() for each in histograms.values()) / 1e6
    # Histograms keep two digits.
    assert abs(whole_s - context.pauses_s[0]) < 0.03 * whole_s, whole_s
    text = context.router.metrics.exposition()
    for part in ("silence", "check", "order", "prefill"):
        labels = f'cause="fault",component="{part}"'
        assert f"chervilstall_pause_seconds_count{{{labels}}} 1" in text, text


@then("the first event came within {limit_ms:d} ms, for {retries:d} retries")
def check_first_event(context: Context, limit_ms: int, retries: int) -> None:
    histograms = context.router.metrics._histograms
    first_event_us = [
        histogram.get_max_value()
        for (measure, _, _), histogram in histograms.items()
        if measure == "first_event"
    ]
    assert len(first_event_us) == 1, first_event_us
    assert first_event_us[0] < limit_ms * 1e3, first_event_us
    assert len(context.retries) == retries, context.retries


@given("a request without an event that {tried} may have run before")
def create_request(context: Context, tried: str) -> None:
    first = SimpleNamespace(id="first", incarnation="first")
    stage = SimpleNamespace(target=first)
    counted = [] if tried == "no target" else [tried]
    context.stream = LiveStream(
        MagicMock(events_forwarded=0, request_id="r1", has_reserved_retry=False),
        MagicMock(),
        cast(Any, SimpleNamespace(first=first, stages=[stage])),
        cast(Any, SimpleNamespace(counted=counted)),
        time.monotonic(),
    )
    context.monitor = StreamMonitor(*(MagicMock() for _ in range(5)))
    context.monitor.streams[RequestId("r1")] = context.stream


@given("a request that {sent}, without a connection or a retry")
def create_unconnected(context: Context, sent: str) -> None:
    create_request(context, "no target")
    context.stream.exchange.is_connected.return_value = False
    context.stream.was_sent_before = sent == "was sent before"
    context.monitor.budget.try_reserve.return_value = False


@given("stages {checked} checked by its router")
def set_checked(context: Context, checked: str) -> None:
    context.monitor.stage_check.is_in_force = lambda: checked == "are"


@when("its exchange is to be ended")
def end_exchange(context: Context) -> None:
    context.has_ended = context.monitor._end_exchange(context.stream)


@then("that happens: {outcome}")
def check_ended(context: Context, outcome: str) -> None:
    assert context.has_ended == (outcome == "yes")


@given("an event of it came")
def record_event(context: Context) -> None:
    context.stream.record_event()


@when("it gets another path over the same targets")
def reroute(context: Context) -> None:
    stream, rerouter = context.stream, context.monitor.rerouter
    context.rerouted_at_s = time.monotonic()
    with patch.object(rerouter_module, "send_order", lambda *_: OrderResponse(200)):
        rerouter._order_reroute(stream, stream.path, stream.path.first)


@then("no event through its first target is known")
def check_no_event(context: Context) -> None:
    first, known = context.stream.path.first, context.monitor.stage_check.event_times
    assert not known.has_event_since(first, 0.0)
    assert known.latest_at_s(first) == float("-inf")


@then("the next event through its first target is")
def check_next_event(context: Context) -> None:
    first, known = context.stream.path.first, context.monitor.stage_check.event_times
    context.stream.record_event()
    assert known.has_event_since(first, context.rerouted_at_s)


@given("its first target is known to be {state}")
def set_state(context: Context, state: str) -> None:
    known = SimpleNamespace(state=TargetReadiness(state))
    context.monitor.fleet_view.targets = {"first": known}


@when("its first target refuses connections")
def refuse(context: Context) -> None:
    context.monitor._handle_refused(context.stream.path.first)


@then("it is suspected: {outcome}")
def check_suspected(context: Context, outcome: str) -> None:
    suspected = context.monitor.fleet_view.suspect.call_args_list
    assert bool(suspected) == (outcome == "yes"), suspected


@when("its first target goes dark")
def go_dark(context: Context) -> None:
    context.monitor._handle_dark(context.stream.path.first)
    gevent.sleep(0)


@then("it is sent again: {outcome}")
def check_sent_again(context: Context, outcome: str) -> None:
    exchange = cast(MagicMock, context.stream.exchange)
    assert exchange.abort.called is (outcome == "yes")


@given("a stream whose events came {gaps} ms after each other")
def create_paced_stream(context: Context, gaps: str) -> None:
    create_request(context, "first")
    context.clock = Clock()
    context.add_cleanup(context.clock.stop)
    context.stream.record_event()
    for gap_ms in gaps.split(","):
        context.clock.now_s += int(gap_ms) / 1e3
        context.stream.record_event()


@when("it falls silent, and the monitor is {turn}")
def fall_silent(context: Context, turn: str) -> None:
    context.checked_after_ms = []
    monitor, stream = context.monitor, context.stream
    monitor._is_late_turn = turn == "late"
    monitor._query = lambda first, now_s: None
    monitor.fleet_view.is_unresponsive.return_value = False
    stream.request.deadline_s = float("inf")
    monitor.stage_check = MagicMock()
    monitor.stage_check.check = lambda stream: context.checked_after_ms.append(
        round(stream.silence_s * 1e3)
    )
    for _ in range(30):
        context.clock.now_s += 0.005
        monitor.step()


@then("its stages are first checked after {limit_ms:d} ms")
def check_first_check(context: Context, limit_ms: int) -> None:
    first_ms = context.checked_after_ms[0]
    assert limit_ms < first_ms <= limit_ms + 5, first_ms


@given("a request sent {sent_ms:d} ms after its arrival that is {state}")
def create_sent_request(context: Context, sent_ms: int, state: str) -> None:
    create_request(context, "first")
    stream = context.stream
    stream.request.arrived_at_s = stream.silent_since_s - sent_ms / 1e3
    stream.exchange.is_connected.return_value = state == "connected"


@given("its first event is due after {objective_ms:d} ms")
def set_objective(context: Context, objective_ms: int) -> None:
    context.stream.request.route.latency_slo_s = objective_ms / 1e3


@then("its first target is checked after {check_ms:d} ms")
def check_first_limit(context: Context, check_ms: int) -> None:
    assert round(context.stream.first_check_s * 1e3) == check_ms
