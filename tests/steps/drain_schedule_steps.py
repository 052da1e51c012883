"""Steps for what a stopping router takes, by how long it may last."""

import http.client
import time

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.draining import DrainSchedule
from chervilstall.edge.loop_pulse import PULSE_S, LoopPulse
from chervilstall.standin.platform_fixtures import build_request_headers
from tests.steps.drain_steps import (
    CALLER_TIMEOUT_S,
    LONG_DRAFT_EVENTS,
    ROUTE_PATHS,
    Stopping,
    add_draft_targets,
    native_sleep,
    send_request,
    start_router,
    stop_router,
)
from tests.steps.stream_steps import event_numbers
from tests.support.agent_fleet import eventually
from tests.support.platform import ZONES

GRACE_S = 8.0
TOLERANCE_S = 1e-6


@given("a router that has served a draft of {events:d} events")
def serve_draft(context: Context, events: int) -> None:
    start_router(context)
    serve_first_draft(context, events)


@given("a router that has served a draft of {events:d} events that was not resumable")
def serve_draft_not_resumable(context: Context, events: int) -> None:
    start_router(context, is_resumable=False)
    serve_first_draft(context, events)


@given("a router with a longer grace that has served a draft of {events:d} events")
def serve_draft_in_long_grace(context: Context, events: int) -> None:
    start_router(context, GRACE_S)
    serve_first_draft(context, events)


def serve_first_draft(context: Context, events: int) -> None:
    """Send a draft to the router, which learns from it how long drafts last."""
    add_draft_targets(context)
    before = Stopping(time.monotonic())
    send_request(context, before, "draft", 0, events)
    assert before.sent[0].is_complete, before.sent
    context.platform.targets[f"a-{ZONES[0]}"].log.runs.clear()


@when(
    "it is told to stop and a draft of {events:d} events arrives {after_s:g} seconds "
    "later"
)
def send_draft_while_stopping(context: Context, events: int, after_s: float) -> None:
    stop_router(context)
    send_draft_after(context, events, after_s)


@when("a draft of {events:d} events arrives {after_s:g} seconds after the signal")
def send_draft_after(context: Context, events: int, after_s: float) -> None:
    stopping = context.stopping
    stopping.wait_until(after_s)
    stopping.sent.clear()
    send_request(context, stopping, "draft", 1, events)


@then("that request is served")
def check_served(context: Context) -> None:
    (sent,) = context.stopping.sent
    assert (sent.status, sent.is_complete) == (200, True), sent


@given("a shutdown with a grace period of {grace_s:g} seconds")
def plan_shutdown(context: Context, grace_s: float) -> None:
    context.grace_s = grace_s
    context.schedule = DrainSchedule.begin(0.0, grace_s)


@then(
    "a {kind} that may last {lasts_s:g} s and arrives {after_s:g} s after the signal "
    "is {verdict}"
)
def check_taken(
    context: Context, kind: str, lasts_s: float, after_s: float, verdict: str
) -> None:
    schedule: DrainSchedule = context.schedule
    match kind:
        case "stream" | "resumable stream":
            is_resumable = kind == "resumable stream"
            is_taken = schedule.takes_stream(after_s, lasts_s, is_resumable)
        case "lookup":
            is_taken = schedule.takes_plain(after_s, lasts_s)
        case _:
            raise ValueError(kind)
    assert is_taken is (verdict == "taken")


@when(
    "the router gets its signal after {paused_s:g} s in which it was not run and "
    "{busy_s:g} s of its own work"
)
def begin_after_pause(context: Context, paused_s: float, busy_s: float) -> None:
    pulse = LoopPulse(latest_at_s=0.0, latest_cpu_s=0.0)
    pulse.record(PULSE_S, 0.0)
    context.handled_at_s = 2.0 * PULSE_S + paused_s + busy_s
    pulse.record(context.handled_at_s, busy_s)
    came_at_s = pulse.came_at_earliest_s(context.handled_at_s)
    context.schedule = DrainSchedule.begin_late(
        came_at_s, context.handled_at_s, context.grace_s
    )


@when(
    "the router runs for {after_s:g} s after {paused_s:g} s in which it was not run "
    "and gets its signal then"
)
def begin_after_running(context: Context, after_s: float, paused_s: float) -> None:
    pulse = LoopPulse(latest_at_s=0.0, latest_cpu_s=0.0)
    resumed_at_s = PULSE_S + paused_s
    pulse.record(resumed_at_s, 0.0)
    pulse.record(resumed_at_s + PULSE_S, 0.0)
    context.handled_at_s = resumed_at_s + after_s
    pulse.record(context.handled_at_s, 0.0)
    came_at_s = pulse.came_at_earliest_s(context.handled_at_s)
    context.schedule = DrainSchedule.begin_late(
        came_at_s, context.handled_at_s, context.grace_s
    )


@then("its schedule began {late_s:g} s before the signal was handled")
def check_began_before(context: Context, late_s: float) -> None:
    began_before_s = context.handled_at_s - context.schedule.started_at_s
    assert abs(began_before_s - late_s) < TOLERANCE_S, began_before_s


@when(
    "it stands still for {stood_s:g} s as it is told to stop, with a draft in progress"
)
def stand_still_at_signal(context: Context, stood_s: float) -> None:
    stopping = Stopping(time.monotonic())
    gevent.spawn(send_request, context, stopping, "draft", 1)
    eventually(lambda: context.router.app.running_requests)
    context.stopping = Stopping(time.monotonic())
    native_sleep(stood_s)
    gevent.spawn(context.router.drain_and_stop, time.monotonic())


@then("it ends within its grace period")
def check_ends_in_grace(context: Context) -> None:
    context.router.wait()
    lasted_s = time.monotonic() - context.stopping.started_at_s
    grace_s = context.router.settings.bounds.grace_s
    assert lasted_s < grace_s, lasted_s


@then(
    "its last answers are given in the last sixth of the grace period, before its end"
)
def check_last_sixth(context: Context) -> None:
    schedule = context.schedule
    first_s = context.grace_s * 5.0 / 6.0
    assert first_s < schedule.answers_until_s < schedule.end_s < context.grace_s


# Streams that are resumed elsewhere


@when(
    "a draft is sent {after_s:g} seconds after it is told to stop and read to its end"
)
def read_long_draft(context: Context, after_s: float) -> None:
    stopping = stop_router(context)
    stopping.wait_until(after_s)
    connection = open_draft(context, 0)
    response = connection.getresponse()
    try:
        body = response.read()
    except http.client.IncompleteRead as error:
        body = error.partial
    context.broken_off_after_s = time.monotonic() - stopping.started_at_s
    connection.close()
    context.events = event_numbers(body)


def open_draft(context: Context, last_event: int) -> http.client.HTTPConnection:
    """Ask the context's router for a draft from the event after `last_event` on."""
    address = context.router.caller_listener.bound_address
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=CALLER_TIMEOUT_S
    )
    fields = {"Token_Count": f"100,{LONG_DRAFT_EVENTS}"}
    if last_event:
        fields["Last_Event_Id"] = str(last_event)
    headers = build_request_headers("r1", CALLER_TIMEOUT_S, **fields)
    connection.request("POST", ROUTE_PATHS["draft"], headers=headers)
    return connection


@then("its events come in order until the last sixth of the grace period")
def check_events_to_last_sixth(context: Context) -> None:
    assert context.events == list(range(1, len(context.events) + 1))
    assert context.events
    assert GRACE_S * 5.0 / 6.0 < context.broken_off_after_s < GRACE_S


@then("another router goes on with the event after the last")
def check_resumed(context: Context) -> None:
    context.router = context.platform.add_router()
    connection = open_draft(context, context.events[-1])
    response = connection.getresponse()
    assert response.status == 200
    received = b""
    while not (numbers := event_numbers(received)):
        received += response.read1()
    connection.close()
    assert numbers[0] == context.events[-1] + 1
