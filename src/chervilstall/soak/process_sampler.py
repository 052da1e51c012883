"""Samples what the kernel says of the processes of a soak run.

A process that does not respond either waits for a CPU, runs its own code, or is blocked
in a system call. The kernel counts the first two for each process. The third shows in
the kernel function that a process sleeps in.
"""

import os
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import gevent

POLL_S = 0.25
NS_PER_S = 1e9
PROC_DIRECTORY = Path("/proc")
EVENT_LOOP_WAITS = frozenset({"do_epoll_wait", "ep_poll"})
"""Kernel functions in which a process with nothing to do sleeps in its event loop."""

NOT_SLEEPING = "0"
UNKNOWN = ""
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STOLEN_FIELD = 8
"""Field of the first line of /proc/stat with the time that the hypervisor took."""


@dataclass(frozen=True)
class ProcessWindow:
    """What one process did between two polls.

    `ended_at_s` is a monotonic time. The kernel counts a wait for a CPU when it ends,
    so that `waited_s` may be longer than the window. `sleeping_in` is the kernel
    function in which the process slept at the end of the window, if any.
    """

    process: str
    pid: int
    ended_at_s: float
    duration_s: float
    waited_s: float
    cpu_s: float
    sleeping_in: str

    @property
    def is_blocked(self) -> bool:
        """Return whether the process slept in a system call, not in its event loop."""
        return self.sleeping_in not in (NOT_SLEEPING, UNKNOWN, *EVENT_LOOP_WAITS)


@dataclass(frozen=True)
class _Sample:
    at_s: float
    waited_s: float
    cpu_s: float


@dataclass
class ProcessSampler:
    """Polls processes and keeps a window for each process and poll.

    `list_processes` returns the names and ids of the processes that run. The sampler
    runs in the soak's own process; if that is late, windows are longer.
    `proc_directory` is where the kernel's figures are read.
    """

    list_processes: Callable[[], Iterable[tuple[str, int]]]
    proc_directory: Path = PROC_DIRECTORY
    windows: list[ProcessWindow] = field(default_factory=list)
    _latest: dict[int, _Sample] = field(default_factory=dict)

    def run(self) -> None:
        """Poll until killed."""
        while True:
            self.poll()
            gevent.sleep(POLL_S)

    def poll(self) -> None:
        """Sample all processes once."""
        for name, pid in self.list_processes():
            try:
                self._sample(name, pid)
            except (OSError, ValueError):
                # The process has just ended.
                self._latest.pop(pid, None)

    def _sample(self, name: str, pid: int) -> None:
        directory = self.proc_directory / str(pid)
        cpu_ns, waited_ns, _ = (directory / "schedstat").read_text().split()
        sleeping_in = _read_wait_function(directory)
        now = _Sample(
            time.monotonic(), int(waited_ns) / NS_PER_S, int(cpu_ns) / NS_PER_S
        )
        before = self._latest.get(pid)
        self._latest[pid] = now
        if before is None:
            return
        self.windows.append(
            ProcessWindow(
                name,
                pid,
                now.at_s,
                now.at_s - before.at_s,
                now.waited_s - before.waited_s,
                now.cpu_s - before.cpu_s,
                sleeping_in,
            )
        )

    def worst_windows(self, started_at_s: float) -> list[dict[str, object]]:
        """Return for each process its longest wait for a CPU and its most CPU time.

        Moments are seconds after `started_at_s`.
        """
        windows_by_process: dict[tuple[str, int], list[ProcessWindow]] = {}
        for window in self.windows:
            key = (window.process, window.pid)
            windows_by_process.setdefault(key, []).append(window)
        return [
            _summarize(windows, started_at_s) for windows in windows_by_process.values()
        ]

    def during(self, process: str, from_s: float, until_s: float) -> dict[str, float]:
        """Return what a process did in the windows that overlap a span of time.

        `blocked_polls` counts the polls at which it slept outside of its event loop.
        """
        overlapping = [
            window
            for window in self.windows
            if window.process == process
            and window.ended_at_s >= from_s
            and window.ended_at_s - window.duration_s <= until_s
        ]
        return {
            "windows_s": round(sum(each.duration_s for each in overlapping), 3),
            "waited_s": round(sum(each.waited_s for each in overlapping), 3),
            "cpu_s": round(sum(each.cpu_s for each in overlapping), 3),
            "blocked_polls": sum(each.is_blocked for each in overlapping),
        }


def _read_wait_function(directory: Path) -> str:
    try:
        return (directory / "wchan").read_text()
    except OSError:
        # Not every kernel tells this without rights.
        return UNKNOWN


def _summarize(windows: list[ProcessWindow], started_at_s: float) -> dict[str, object]:
    longest = max(windows, key=lambda each: each.waited_s)
    busiest = max(windows, key=lambda each: each.cpu_s)
    return {
        "process": longest.process,
        "pid": longest.pid,
        "waited_max_s": round(longest.waited_s, 3),
        "waited_window_s": round(longest.duration_s, 3),
        "waited_at_s": round(longest.ended_at_s - started_at_s, 2),
        "cpu_max_s": round(busiest.cpu_s, 3),
        "cpu_window_s": round(busiest.duration_s, 3),
        "cpu_at_s": round(busiest.ended_at_s - started_at_s, 2),
        "blocked_polls": sum(each.is_blocked for each in windows),
    }


def read_stolen_s() -> float:
    """Return the CPU time that the hypervisor took from all CPUs since the boot."""
    fields = (PROC_DIRECTORY / "stat").read_text().split("\n", 1)[0].split()
    return int(fields[STOLEN_FIELD]) / TICKS_PER_S
