"""Times in which this process was not run, to judge what it finds afterwards."""

import time
from dataclasses import dataclass, field

import gevent

from chervilstall.heard_clock import HEARD, PULSE_S

NOT_RUN_MIN_S = 0.1
"""Part of the time between two pulses from which the process counts as not run."""


@dataclass
class LoopPulse:
    """Records pulses of the event loop; all times are monotonic seconds.

    A signal that comes while the process does not run reaches it once it runs again,
    and nothing tells when it came. A process that is busy with its own code gets its
    signals at once, so that the CPU time it has used meanwhile does not count.
    """

    latest_at_s: float = field(default_factory=time.monotonic)
    latest_cpu_s: float = field(default_factory=time.process_time)
    _paused_at_s: float = float("-inf")
    _resumed_at_s: float = float("-inf")

    def run(self) -> None:
        """Record pulses until the process ends; one task runs this."""
        with HEARD.pulsed():
            while True:
                gevent.sleep(PULSE_S)
                self.pulse()
                HEARD.pulse()

    def pulse(self) -> None:
        """Record that the loop runs now."""
        self.record(time.monotonic(), time.process_time())

    def record(self, now_s: float, cpu_s: float) -> None:
        """Record that the loop runs, with the CPU time that the process has used."""
        used_s = cpu_s - self.latest_cpu_s
        not_run_s = now_s - self.latest_at_s - PULSE_S - used_s
        if not_run_s >= NOT_RUN_MIN_S:
            self._paused_at_s = now_s - not_run_s
            self._resumed_at_s = now_s
        self.latest_at_s, self.latest_cpu_s = now_s, cpu_s

    def came_at_earliest_s(self, told_at_s: float) -> float:
        """Return the earliest time of a signal that the process got at `told_at_s`."""
        if told_at_s > self._resumed_at_s:
            return told_at_s
        # The process gets its signals before the pulse that ends the pause.
        return min(told_at_s, self._paused_at_s)
