"""Steps that ask for drafts, and check the streams that callers receive."""

import re
import time

from behave import given, then, when
from behave.runner import Context

from chervilstall.standin.platform_fixtures import LAYERS
from tests.support.agent_fleet import eventually
from tests.support.platform import ZONES, open_connection, raw_request, send
from tests.support.platform_scenario import own_first, pause_stream, send_draft


@when("a draft of {events:d} events is asked for")
def ask_for_draft(context: Context, events: int) -> None:
    began_at_s = time.monotonic()
    send_draft(context, events)
    context.took_s = time.monotonic() - began_at_s


@then(
    "it came sooner than its caller leaves, which is after a gap of {gap_s:d} seconds"
)
def check_duration(context: Context, gap_s: int) -> None:
    assert context.took_s < gap_s, context.took_s


@when("a draft of {events:d} events and {prompt:d} prompt tokens is asked for")
def send_long_draft(context: Context, events: int, prompt: int) -> None:
    count = f"{prompt},{events}"
    context.response = send(context.router, "/draft/x", Token_Count=count)


@when(
    "a draft of {events:d} events pauses for {pause_s:d} seconds after {after:d} events"
)
def pause_draft(context: Context, events: int, pause_s: int, after: int) -> None:
    for target in context.platform.targets.values():
        pause_stream(target, after, float(pause_s))
    send_draft(context, events)


@when("a caller disconnects from a draft of {events:d} events after the first")
def disconnect_from_draft(context: Context, events: int) -> None:
    head = raw_request("/draft/x").decode()
    text = head.replace("\r\n\r\n", f"\r\nToken-Count: 100,{events}\r\n\r\n")
    target = own_first(context)
    target.events_before_fault = events
    connection = open_connection(context.router.caller_listener.bound_address)
    connection.sendall(text.encode())
    received = b""
    while b"id: 1" not in received:
        received += connection.recv(4096)
    connection.close()
    context.left_at_s = time.monotonic()


@then("the target stops working on it within {max_ms:d} ms")
def check_work_stops(context: Context, max_ms: int) -> None:
    target = own_first(context)
    eventually(lambda: target.log.cancelled_streams == 1, max_ms / 1e3)


@given("the retry budget is used up")
def exhaust_retry_budget(context: Context) -> None:
    context.router.budget.try_reserve = lambda service, is_resume=False: False


def event_numbers(body: bytes) -> list[int]:
    """Return the event numbers in a stream's body."""
    lines = body.decode().splitlines()
    return [int(line.split(": ")[1]) for line in lines if line.startswith("id: ")]


EVENT = re.compile(rb"id: \d+\ndata: [\w.-]+\n\n")


@then("the events 1 to {last:d} arrive once and in order")
def check_events(context: Context, last: int) -> None:
    assert context.response.status == 200, context.response
    numbers = event_numbers(context.response.body)
    assert numbers == list(range(1, last + 1)), numbers


@then("the response is cut off after event {last:d}")
def check_cut_off(context: Context, last: int) -> None:
    assert context.is_incomplete
    assert event_numbers(context.response.body) == list(range(1, last + 1))


@then(
    "the events that arrive are in order, and fewer than {last:d} don't look complete"
)
def check_not_complete(context: Context, last: int) -> None:
    numbers = event_numbers(context.response.body)
    assert numbers == list(range(1, len(numbers) + 1)), numbers
    assert len(numbers) == last or context.is_incomplete, numbers


@then("nothing but events arrives")
def check_only_events(context: Context) -> None:
    rest = EVENT.sub(b"", context.response.body)
    assert not rest, rest


@then("the path covered every layer once and in order within one zone")
def check_path(context: Context) -> None:
    runs = [
        run for target in context.platform.targets.values() for run in target.log.runs
    ]
    parts = runs[0].headers["hop-count"].split(",")
    reached = 0
    for part in parts:
        first, end = part.split("=")[1].split("-")
        assert int(first) == reached, parts
        reached = int(end)
    assert reached == LAYERS, parts
    own = [str(context.platform.targets[f"{name}-{ZONES[0]}"].address) for name in "ab"]
    assert [part.split("=")[0] for part in parts] == own, parts


@then("the request ran {runs:d} times")
def check_runs(context: Context, runs: int) -> None:
    assert len(context.platform.executed_request_ids()) == runs, (
        context.platform.executed_request_ids()
    )


@then("at most {targets_max:d} different targets ran the request")
def check_target_count(context: Context, targets_max: int) -> None:
    targets = context.platform.targets
    ran = [name for name, target in targets.items() if target.log.runs]
    assert len(ran) <= targets_max, ran


@then("the metrics count 1 request by queue, first_event, gap and whole")
def check_metrics(context: Context) -> None:
    text = context.router.metrics_text()
    for measure in ("queue", "first_event", "gap", "whole"):
        labels = f'measure="{measure}",workspace="depot",route="rdraft"'
        line = f"chervilstall_latency_seconds_count{{{labels}}} 1"
        assert line in text, text
