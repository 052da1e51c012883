"""Reading structured logs back: the lines of one request, and what changed when."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

FAILURES = frozenset({"warning", "error"})
BELIEF_PARTS = frozenset({"fleet", "store", "planner", "members", "router"})
TROUBLES = frozenset(
    {
        "target draining",
        "target gone",
        "target suspected",
        "target slow",
        "target counts as dead",
    }
)
TARGET_MEMORY_S = 10.0
"""Time before a failure in which a change of its target may explain it."""


@dataclass(frozen=True)
class LogLine:
    """One line of a log. `at_s` is its Unix time, `fields` all that it says."""

    at_s: float
    vm: str
    part: str
    event: str
    level: str
    request: str
    target: str
    fields: dict[str, object]

    def __str__(self) -> str:
        skipped = {"at_s", "vm", "part", "event", "level", "request"}
        rest = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in skipped
        )
        return f"{self.at_s:.3f} {self.vm} {self.part}: {self.event} {rest}".rstrip()


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines among `texts`, by time; other lines are left out.

    What stands before a line's opening brace, such as a collector's prefix, is
    skipped.
    """
    found: list[LogLine] = []
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
        found.append(line)
    return sorted(found, key=lambda line: line.at_s)


def request_lines(lines: list[LogLine], request: str) -> list[LogLine]:
    """Return the lines about one request, over all VMs, by time."""
    return [line for line in lines if line.request == request]


def find_cause(lines: list[LogLine], request: str) -> LogLine | None:
    """Return the line that best explains why a request went wrong.

    It is the last trouble known of the target of the request's first failure, or that
    failure itself where none was known. None where nothing failed.
    """
    failures = [
        each for each in request_lines(lines, request) if each.level in FAILURES
    ]
    if not failures:
        return None
    first = failures[0]
    before = lines[: lines.index(first)]
    changes = [
        line
        for line in before
        if first.target
        and line.target == first.target
        and line.event in TROUBLES
        and first.at_s - line.at_s <= TARGET_MEMORY_S
    ]
    return changes[-1] if changes else first


def timeline(lines: list[LogLine], at_s: float, span_s: float) -> list[LogLine]:
    """Return changes of belief within `span_s` of a moment."""
    return [
        line
        for line in lines
        if line.part in BELIEF_PARTS and abs(line.at_s - at_s) <= span_s
    ]
