"""Steps for what the soak samples of its processes."""

import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from chervilstall.soak.process_sampler import NS_PER_S, ProcessSampler, ProcessWindow
from tests.support.agent_fleet import eventually

PID = 7
BUSY_CPU_S = 0.1
PROGRAMS = {
    "computes": "while True: pass",
    "waits in its event loop": "import gevent; gevent.sleep(60)",
    "sleeps in a system call": "import time; time.sleep(60)",
}
TOLERANCE_S = 1e-6


@given("the kernel counts for process {name}")
def write_counts(context: Context, name: str) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.proc_directory = Path(folder.name)
    context.process_name = name
    context.running = [(name, PID)]
    context.sampler = ProcessSampler(lambda: context.running, context.proc_directory)
    process_directory = context.proc_directory / str(PID)
    process_directory.mkdir()
    for row in context.table:
        cpu_ns = int(float(row["cpu_s"]) * NS_PER_S)
        waited_ns = int(float(row["waited_s"]) * NS_PER_S)
        (process_directory / "schedstat").write_text(f"{cpu_ns} {waited_ns} 1\n")
        (process_directory / "wchan").write_text(row["sleeping_in"])
        context.sampler.poll()


def window(context: Context, number: int) -> ProcessWindow:
    """Return a window by its number, which counts from 1."""
    return context.sampler.windows[number - 1]


@then("its longest wait for a CPU is {waited_s:g} s, in the window {number:d}")
def check_longest_wait(context: Context, waited_s: float, number: int) -> None:
    (worst,) = context.sampler.worst_windows(0.0)
    assert worst["process"] == context.process_name, worst
    assert worst["waited_max_s"] == waited_s, worst
    ended_at_s = round(window(context, number).ended_at_s, 2)
    assert worst["waited_at_s"] == ended_at_s, worst


@then("its most CPU time is {cpu_s:g} s, in the window {number:d}")
def check_most_cpu(context: Context, cpu_s: float, number: int) -> None:
    (worst,) = context.sampler.worst_windows(0.0)
    assert worst["cpu_max_s"] == cpu_s, worst
    assert worst["cpu_at_s"] == round(window(context, number).ended_at_s, 2), worst


@when("it has ended")
def end_process(context: Context) -> None:
    for path in (context.proc_directory / str(PID)).iterdir():
        path.unlink()
    context.sampler.poll()
    context.running.clear()
    context.sampler.poll()


@then(
    "during the window {number:d} it waited {waited_s:g} s, used {cpu_s:g} s and was "
    "blocked at {polls:d} polls"
)
def check_during(
    context: Context, number: int, waited_s: float, cpu_s: float, polls: int
) -> None:
    asked = window(context, number)
    started_at_s = asked.ended_at_s - asked.duration_s
    during = context.sampler.during(
        context.process_name,
        started_at_s + TOLERANCE_S,
        asked.ended_at_s - TOLERANCE_S,
    )
    assert during["waited_s"] == waited_s, during
    assert during["cpu_s"] == cpu_s, during
    assert during["blocked_polls"] == polls, during


@when("a process that {does} is sampled")
def start_process(context: Context, does: str) -> None:
    process = subprocess.Popen([sys.executable, "-c", PROGRAMS[does]])
    context.add_cleanup(process.wait)
    context.add_cleanup(process.kill)
    context.sampler = ProcessSampler(lambda: [("vm-1", process.pid)])


@then("its samples show that it is {verdict}")
def check_verdict(context: Context, verdict: str) -> None:
    def shows_verdict() -> bool:
        context.sampler.poll()
        windows = context.sampler.windows
        if not windows:
            return False
        latest = windows[-1]
        match verdict:
            case "busy":
                return sum(each.cpu_s for each in windows) >= BUSY_CPU_S
            case "blocked":
                return latest.is_blocked and not latest.cpu_s
            case _:
                is_asleep = latest.sleeping_in not in ("", "0")
                return is_asleep and not latest.is_blocked and not latest.cpu_s

    eventually(shows_verdict)
