"""Analysis of structured logs: the lines of a request, its cause of failure, and
changes of state around a time.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

FAILURE_LEVELS = frozenset({"warning", "error"})
STATE_COMPONENTS = frozenset({"fleet", "store", "planner", "members", "router"})
TARGET_PROBLEM_EVENTS = frozenset(
    {
        "target draining",
        "target gone",
        "target suspected",
        "target slow",
        "target counts as dead",
    }
)
CAUSE_WINDOW_S = 10.0
"""How long before a failure a problem of its target may be the cause."""


@dataclass(frozen=True)
class LogLine:
    """One line of a log. `at_s` is its Unix time; `fields` holds all of its fields."""

    at_s: float
    vm: str
    component: str
    event: str
    level: str
    request: str
    target: str
    fields: dict[str, object]

    def __str__(self) -> str:
        shown_fields = {"at_s", "vm", "part", "event", "level", "request"}
        rest = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in shown_fields
        )
        return (
            f"{self.at_s:.3f} {self.vm} {self.component}: {self.event} {rest}".rstrip()
        )


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines in `texts` ordered by time; other lines are skipped.

    Text before a line's opening brace, such as the prefix of a log collector, is
    ignored.
    """
    parsed: list[LogLine] = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:], type=dict[str, object])
            line = LogLine(
                float(str(fields["at_s"])),
                str(fields.get("vm", "")),
                str(fields["part"]),
                str(fields["event"]),
                str(fields["level"]),
                str(fields.get("request", "")),
                str(fields.get("target", "")),
                fields,
            )
        except (msgspec.DecodeError, KeyError, ValueError):
            continue
        parsed.append(line)
    return sorted(parsed, key=lambda line: line.at_s)


def request_lines(lines: list[LogLine], request: str) -> list[LogLine]:
    """Return the lines about one request from all VMs, ordered by time."""
    return [line for line in lines if line.request == request]


def find_cause(lines: list[LogLine], request: str) -> LogLine | None:
    """Return the line that best explains why a request failed.

    It is the last problem logged before the request's first failure for the target of
    that failure, or the failure itself if there is none. None if nothing failed.
    """
    failures = [
        each for each in request_lines(lines, request) if each.level in FAILURE_LEVELS
    ]
    if not failures:
        return None
    first = failures[0]
    earlier = lines[: lines.index(first)]
    problems = [
        line
        for line in earlier
        if first.target
        and line.target == first.target
        and line.event in TARGET_PROBLEM_EVENTS
        and first.at_s - line.at_s <= CAUSE_WINDOW_S
    ]
    return problems[-1] if problems else first


def timeline(lines: list[LogLine], at_s: float, span_s: float) -> list[LogLine]:
    """Return the changes of state within `span_s` seconds of a Unix time."""
    return [
        line
        for line in lines
        if line.component in STATE_COMPONENTS and abs(line.at_s - at_s) <= span_s
    ]
