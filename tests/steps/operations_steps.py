"""Steps about finding the cause of a failure in logs."""

from behave import given, then
from behave.runner import Context

from chervilstall.telemetry.events import writer
from chervilstall.telemetry.log_reader import (
    LogLine,
    find_cause,
    parse_lines,
    request_lines,
    timeline,
)
from tests.support.agent_fleet import eventually
from tests.support.platform import ZONES


@given("logs are captured")
def capture_logs(context: Context) -> None:
    writer._lines.clear()


def captured_lines() -> list[LogLine]:
    """Return the captured lines, parsed as if they had been written."""
    return parse_lines(line.decode() for line in writer._lines)


@given("no other target holds the first stage")
def remove_other_first_stage(context: Context) -> None:
    context.platform.store.state.remove(f"servers/a-{ZONES[1]}")
    context.router.planner_lease.stop()
    eventually(lambda: len(context.router.fleet_view.targets) == 3)


@then('the cause is "{event}" with "{why}"')
def check_cause(context: Context, event: str, why: str) -> None:
    lines = captured_lines()
    cause = find_cause(lines, "r1")
    assert cause is not None
    assert (cause.event, cause.fields.get("why")) == (event, why), str(cause)


@then('the request\'s log lines include "{event}"')
def check_request_lines(context: Context, event: str) -> None:
    events = [line.event for line in request_lines(captured_lines(), "r1")]
    assert event in events, events


@then('the timeline around the request includes "{event}"')
def check_timeline(context: Context, event: str) -> None:
    at_s = request_lines(captured_lines(), "r1")[0].at_s
    eventually(
        lambda: event in [line.event for line in timeline(captured_lines(), at_s, 5.0)]
    )


@then("a log with foreign lines and prefixes yields its own lines in order")
def check_foreign_lines(context: Context) -> None:
    own = '{"at_s":%s,"level":"info","part":"fleet","event":"%s"}'
    texts = [
        "a line of another program",
        "2026-12-03 vm-1 " + own % (2.0, "second"),
        own % (1.0, "first"),
        '{"at_s": "soon", "event": 1}',
        "{broken",
        "",
    ]
    assert [line.event for line in parse_lines(texts)] == ["first", "second"]
