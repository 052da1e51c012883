"""Structured logs: one JSON line for each decision or change of belief.

Lines wait in a bounded buffer and one task writes them, so that a reader who stops
never holds a request up. Routine lines are sampled per event and second; failures and
beliefs are kept first. What was dropped is counted and told in the next line written.
"""

import os
import time
from collections import deque
from enum import Enum

import gevent
import gevent.os
import msgspec
from gevent.event import Event

STDOUT = 1
BUFFER_LINES = 4_000
ROUTINE_MAX = BUFFER_LINES // 2
"""Lines from which routine ones are dropped, to leave room for the others."""

ROUTINE_LINES_PER_S = 40
WRITE_PAUSE_S = 0.05
BATCH_LINES = 200


class EventLevel(Enum):
    """How much a line matters when not all can be written."""

    ROUTINE = "routine"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class EventWriter:
    """Buffers lines of one process and writes them without ever blocking it."""

    def __init__(self, file_number: int = STDOUT) -> None:
        self.file_number = file_number
        self.common_fields: dict[str, object] = {}
        self.dropped_lines = 0
        self._lines: deque[bytes] = deque()
        self._routine_counts: dict[str, int] = {}
        self._routine_second = 0
        self._wake = Event()

    def add(self, weight: EventLevel, fields: dict[str, object]) -> None:
        """Take one line, or count it as dropped."""
        is_routine = weight is EventLevel.ROUTINE
        if is_routine and self._is_sampled_out(str(fields["event"])):
            self.dropped_lines += 1
            return
        if len(self._lines) >= (ROUTINE_MAX if is_routine else BUFFER_LINES):
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            fields["dropped_lines"] = self.dropped_lines
            self.dropped_lines = 0
        self._lines.append(
            msgspec.json.encode({**fields, **self.common_fields}) + b"\n"
        )
        self._wake.set()

    def _is_sampled_out(self, event: str) -> bool:
        second = int(time.monotonic())
        if second != self._routine_second:
            self._routine_second = second
            self._routine_counts.clear()
        count = self._routine_counts.get(event, 0) + 1
        self._routine_counts[event] = count
        return count > ROUTINE_LINES_PER_S

    def run(self) -> None:
        """Write lines for the life of the process; one task runs this."""
        gevent.os.make_nonblocking(self.file_number)
        while True:
            self._wake.wait()
            self._wake.clear()
            self._write_waiting()
            gevent.sleep(WRITE_PAUSE_S)

    def _write_waiting(self) -> None:
        while self._lines:
            count = min(BATCH_LINES, len(self._lines))
            data = b"".join(self._lines.popleft() for _ in range(count))
            while data:
                data = data[gevent.os.nb_write(self.file_number, data) :]

    def flush(self) -> None:
        """Write what is left without waiting for a reader; used at the end."""
        data = b"".join(self._lines)
        self._lines.clear()
        try:
            os.write(self.file_number, data)
        except OSError:
            # Nobody reads any more, and the process is about to end.
            return


writer = EventWriter()


class EventLog:
    """Log of one part.

    >>> EventLog("edge").encode("refused", {"request": "r1", "status": 503})
    {'part': 'edge', 'event': 'refused', 'request': 'r1', 'status': 503}
    """

    def __init__(self, part: str) -> None:
        self.part = part

    def encode(self, event: str, fields: dict[str, object]) -> dict[str, object]:
        """Return a line's fields without level and time."""
        return {"part": self.part, "event": event, **fields}

    def _add(self, weight: EventLevel, event: str, fields: dict[str, object]) -> None:
        line: dict[str, object] = {
            "at_s": round(time.time(), 3),
            "level": weight.value,
        }
        line.update(self.encode(event, fields))
        writer.add(weight, line)

    def routine(self, event: str, **fields: object) -> None:
        """Log one of many lines of its kind; some may be left out under load."""
        self._add(EventLevel.ROUTINE, event, fields)

    def info(self, event: str, **fields: object) -> None:
        """Log a change of belief or state."""
        self._add(EventLevel.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log a failure or refusal."""
        self._add(EventLevel.WARNING, event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log what needs an operator."""
        self._add(EventLevel.ERROR, event, fields)
