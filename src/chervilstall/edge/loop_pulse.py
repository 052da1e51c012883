"""When the event loop of this process last ran, to judge what it finds afterwards."""

import time
from dataclasses import dataclass, field

import gevent

PULSE_S = 0.05
STANDSTILL_MIN_S = 0.15
"""Time between two pulses from which the loop counts as having stood still."""

HANDLING_S = 0.1
"""Time after a standstill in which what came meanwhile is handled."""


@dataclass
class LoopPulse:
    """Records pulses of the event loop; all times are monotonic seconds.

    A signal that comes while the process does not run is handled once it runs again,
    and nothing tells when it came. It came at `waiting_since_s` at the earliest.
    """

    latest_at_s: float = field(default_factory=time.monotonic)
    _stopped_at_s: float = float("-inf")
    _resumed_at_s: float = float("-inf")

    def run(self) -> None:
        """Record pulses until the process ends; one task runs this."""
        while True:
            gevent.sleep(PULSE_S)
            self.record(time.monotonic())

    def record(self, now_s: float) -> None:
        """Record that the loop runs."""
        if now_s - self.latest_at_s >= STANDSTILL_MIN_S:
            self._stopped_at_s, self._resumed_at_s = self.latest_at_s, now_s
        self.latest_at_s = now_s

    def waiting_since_s(self, now_s: float) -> float:
        """Return the earliest moment at which something handled now can have come."""
        if now_s - self._resumed_at_s <= HANDLING_S:
            return self._stopped_at_s
        return self.latest_at_s
