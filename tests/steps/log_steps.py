"""Steps for logs and metrics."""

import dataclasses
import json
import os
import time

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.telemetry.edge_metrics import EdgeMetrics, RequestOutcome
from chervilstall.telemetry.events import EventLevel, EventWriter
from tests.support.tasks import TaskStopper


def write_lines(writer: EventWriter, routine: int, warnings: int) -> None:
    """Write routine lines, then warnings."""
    for number in range(routine):
        writer.add(EventLevel.ROUTINE, {"event": "sent", "number": number})
    for number in range(warnings):
        writer.add(EventLevel.WARNING, {"event": "refused", "number": number})


def start_writer(context: Context) -> None:
    """Start a log writer that writes to a new pipe."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    context.reader = reader
    context.writer = EventWriter(writer)
    context.stoppables.append(TaskStopper(gevent.spawn(context.writer.run)))
    context.received = b""


@given("logs into a pipe that nobody reads")
def log_to_unread_pipe(context: Context) -> None:
    start_writer(context)
    # Makes the lines large enough to fill the pipe.
    context.writer.common_fields["padding"] = "x" * 500


@given("logs into a pipe that is read")
def log_to_read_pipe(context: Context) -> None:
    start_writer(context)


@when("{routine:d} routine lines and {warnings:d} warnings are logged")
def log_many(context: Context, routine: int, warnings: int) -> None:
    context.writer.dropped_lines = 0
    started_s = time.monotonic()
    write_lines(context.writer, routine, warnings)
    if routine > 10_000:
        for _ in range(5_000):
            context.writer.add(EventLevel.WARNING, {"event": "refused"})
    context.elapsed_s = time.monotonic() - started_s
    gevent.sleep(0.2)


@when("{count:d} warnings with an id of {length:d} characters are logged")
def log_long_ids(context: Context, count: int, length: int) -> None:
    for _ in range(count):
        fields: dict[str, object] = {"event": "refused", "request": "x" * length}
        context.writer.add(EventLevel.WARNING, fields)


@then("the lines take at most {size_mb:d} MB")
def check_lines_size(context: Context, size_mb: int) -> None:
    size = sum(len(line) for line in context.writer._lines)
    assert 0 < size <= size_mb * 1_000_000, size


@then("logging took less than 2 seconds and lines were dropped")
def check_not_blocked(context: Context) -> None:
    assert context.elapsed_s < 2.0, context.elapsed_s
    assert context.writer.dropped_lines > 0


def read_pipe(context: Context) -> list[dict]:
    """Read the pipe for a while and return all complete lines so far."""
    for _ in range(400):
        try:
            context.received += os.read(context.reader, 65_536)
        except BlockingIOError:
            gevent.sleep(0.01)
    lines = context.received.split(b"\n")[:-1]
    return [json.loads(line) for line in lines]


@when("the reader reads on")
def read_on(context: Context) -> None:
    read_pipe(context)
    context.writer.add(EventLevel.WARNING, {"event": "refused"})


@then("the count of dropped lines is told")
def check_dropped_count(context: Context) -> None:
    lines = read_pipe(context)
    assert lines[-1]["dropped_lines"] > 0, lines[-1]


@then("at most 80 routine lines and all 10 warnings arrive")
def check_sampled(context: Context) -> None:
    events = [line["event"] for line in read_pipe(context)]
    assert events.count("sent") <= 80, events.count("sent")
    assert events.count("refused") == 10, events.count("refused")


@dataclasses.dataclass(frozen=True)
class LabelledRequest:
    """The fields of a request that the metrics read."""

    labels: tuple[str, str]
    queued_s: float | None = 0.001
    longest_gap_s: float | None = 0.2


@then("5000 workspaces make at most 2001 series and quantiles are given")
def check_series(context: Context) -> None:
    metrics = EdgeMetrics()
    for number in range(5000):
        request = LabelledRequest((f"workspace-{number}", "r"))
        metrics.record_finished(request, RequestOutcome.SERVED, 0.1)
    assert len(metrics.counters) <= 2001, len(metrics.counters)
    assert len(metrics._histograms) <= 1003, len(metrics._histograms)
    text = metrics.exposition()
    assert 'quantile="0.95"' in text
    assert sum(metrics.counters.values()) == 5000
    known = LabelledRequest(("workspace-1", "r"))
    metrics.record_finished(known, RequestOutcome.SERVED, 0.1)
    assert metrics.counters[("workspace-1", "r", "served")] == 2
