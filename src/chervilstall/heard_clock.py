"""Event-loop lag: how much of a time span this process could not read responses in.

While the process is not run, or one task holds its event loop, responses wait unread
and time-outs become due. A silence that is judged by the plain clock then blames a peer
for the lateness of the own timers.
"""

import time
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import gevent

PULSE_S = 0.05
SLACK_S = 0.03
"""Lateness of a pulse that doesn't count; the tasks of one turn take some ms each."""

HEARD_MIN_S = 0.2
"""Time in which a healthy peer responds: most do within a millisecond or two, and a
lost packet costs 0.2 s.
"""

LOSSES_MAX = 256
"""Losses that are remembered; at least 20 s of a loop that is late at each pulse."""


@dataclass
class HeardClock:
    """Counts the time that the event loop lost; all times are monotonic seconds.

    It counts while a task pulses it every `PULSE_S`, and otherwise takes nothing for
    lost. A loop that is always a little late still hears: of a lateness up to `SLACK_S`
    nothing counts as lost, and of each longer one that much is not.
    """

    _runners: int = 0
    _pulsed_at_s: float = float("-inf")
    _losses: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=LOSSES_MAX)
    )

    @contextmanager
    def pulsed(self) -> Iterator[None]:
        """Count while the body of a `with` statement pulses the clock."""
        if not self._runners:
            self._pulsed_at_s = time.monotonic()
        self._runners += 1
        try:
            yield
        finally:
            self._runners -= 1

    def run(self) -> None:
        """Pulse until the process ends; one task runs this."""
        with self.pulsed():
            while True:
                gevent.sleep(PULSE_S)
                self.pulse()

    def pulse(self) -> None:
        """Record that the loop runs now."""
        now_s = time.monotonic()
        lost_s = self._lost_since_pulse(now_s)
        if lost_s > 0.0:
            self._losses.append((now_s, lost_s))
        self._pulsed_at_s = now_s

    def _lost_since_pulse(self, now_s: float) -> float:
        if not self._runners:
            return 0.0
        return max(0.0, now_s - self._pulsed_at_s - PULSE_S - SLACK_S)

    def lost_since(self, moment_s: float) -> float:
        """Return how much of the time since a moment the loop lost."""
        now_s = time.monotonic()
        lost_s = self._lost_since_pulse(now_s)
        for ended_at_s, each_s in reversed(self._losses):
            if ended_at_s <= moment_s:
                break
            lost_s += each_s
        return min(lost_s, max(0.0, now_s - moment_s))

    def heard_since(self, moment_s: float) -> float:
        """Return for how long since a moment a response could have been read."""
        return time.monotonic() - moment_s - self.lost_since(moment_s)

    def was_deaf_since(self, moment_s: float) -> bool:
        """Return whether a silence since a moment may only be the loop's lateness.

        It is not once there were `HEARD_MIN_S` to hear a response, so that a process
        that is always late still finds out who is silent.
        """
        is_late = self.lost_since(moment_s) > 0.0
        return is_late and self.heard_since(moment_s) < HEARD_MIN_S


HEARD = HeardClock()
"""The clock of this process, which has one event loop."""
