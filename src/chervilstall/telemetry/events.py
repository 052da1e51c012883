"""Structured logs: one JSON line for each decision or change of state.

Lines are kept in a bounded buffer and written by one task, so that a reader that stops
reading never blocks a request. Lines of level `routine` are limited per event and
second, and are dropped first when the buffer fills. The number of dropped lines is
logged with the next line that is accepted.
"""

import os
import time
from collections import deque
from enum import Enum

import gevent
import gevent.os
import msgspec
from gevent.event import Event

STDOUT_FD = 1
BUFFER_LINES = 4_000
ROUTINE_LINES_MAX = BUFFER_LINES // 2
"""Buffered lines from which routine lines are dropped, to leave room for the others."""

ROUTINE_LINES_PER_S = 40
LINE_MAX_BYTES = 2_048
"""Size above which long texts are cut; callers choose some of them, such as ids."""

TEXT_MAX_CHARACTERS = 128
WRITE_PAUSE_S = 0.05
BATCH_LINES = 200


class EventLevel(Enum):
    """Level of a line. Routine lines are dropped before lines of any other level."""

    ROUTINE = "routine"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def _clip(value: object) -> object:
    return value[:TEXT_MAX_CHARACTERS] if isinstance(value, str) else value


class EventWriter:
    """Buffers the lines of one process and writes them without blocking it.

    `common_fields` are added to every line.
    """

    def __init__(self, file_descriptor: int = STDOUT_FD) -> None:
        self.file_descriptor = file_descriptor
        self.common_fields: dict[str, object] = {}
        self.dropped_lines = 0
        self._lines: deque[bytes] = deque()
        self._routine_counts: dict[str, int] = {}
        self._routine_second = 0
        self._has_lines = Event()

    def add(self, level: EventLevel, fields: dict[str, object]) -> None:
        """Buffer one line, or count it as dropped."""
        is_routine = level is EventLevel.ROUTINE
        if is_routine and self._is_sampled_out(str(fields["event"])):
            self.dropped_lines += 1
            return
        if len(self._lines) >= (ROUTINE_LINES_MAX if is_routine else BUFFER_LINES):
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            fields["dropped_lines"] = self.dropped_lines
            self.dropped_lines = 0
        line = msgspec.json.encode({**fields, **self.common_fields})
        if len(line) > LINE_MAX_BYTES:
            clipped = {name: _clip(value) for name, value in fields.items()}
            line = msgspec.json.encode({**clipped, **self.common_fields})
        self._lines.append(line + b"\n")
        self._has_lines.set()

    def _is_sampled_out(self, event: str) -> bool:
        second = int(time.monotonic())
        if second != self._routine_second:
            self._routine_second = second
            self._routine_counts.clear()
        count = self._routine_counts.get(event, 0) + 1
        self._routine_counts[event] = count
        return count > ROUTINE_LINES_PER_S

    def run(self) -> None:
        """Write buffered lines until the process ends; one task runs this."""
        gevent.os.make_nonblocking(self.file_descriptor)
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            self._write_waiting()
            gevent.sleep(WRITE_PAUSE_S)

    def _write_waiting(self) -> None:
        while self._lines:
            count = min(BATCH_LINES, len(self._lines))
            data = b"".join(self._lines.popleft() for _ in range(count))
            while data:
                data = data[gevent.os.nb_write(self.file_descriptor, data) :]

    def flush(self) -> None:
        """Write the remaining lines at shutdown, without waiting for a reader."""
        data = b"".join(self._lines)
        self._lines.clear()
        try:
            os.write(self.file_descriptor, data)
        except OSError:
            # The reader is gone, and the process is about to exit.
            return


writer = EventWriter()


class EventLog:
    """Log of one component.

    >>> EventLog("edge").encode("refused", {"request": "r1", "status": 503})
    {'part': 'edge', 'event': 'refused', 'request': 'r1', 'status': 503}
    """

    def __init__(self, component: str) -> None:
        self.component = component

    def encode(self, event: str, fields: dict[str, object]) -> dict[str, object]:
        """Return the fields of a line, without level and time."""
        return {"part": self.component, "event": event, **fields}

    def _add(self, level: EventLevel, event: str, fields: dict[str, object]) -> None:
        line: dict[str, object] = {
            "at_s": round(time.time(), 3),
            "level": level.value,
        }
        line.update(self.encode(event, fields))
        writer.add(level, line)

    def routine(self, event: str, **fields: object) -> None:
        """Log a frequent event, of which lines are dropped under load."""
        self._add(EventLevel.ROUTINE, event, fields)

    def info(self, event: str, **fields: object) -> None:
        """Log a change of state."""
        self._add(EventLevel.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log a failure or rejection."""
        self._add(EventLevel.WARNING, event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log an error that an operator has to act on."""
        self._add(EventLevel.ERROR, event, fields)
