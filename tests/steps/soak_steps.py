"""Steps about the soak."""

import signal
import sys
import tempfile
from pathlib import Path

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.soak import fleet
from chervilstall.soak.callers import Kind, Sent
from chervilstall.soak.faults import FaultKind, Strike
from chervilstall.soak.links import Link
from chervilstall.soak.promises import check_answers, check_shutdown
from chervilstall.soak.run import run_soak
from tests.support.router_harness import ANY_PORT, HOST

EVENTS = 3
KINDS = {
    "idempotent": Kind.IDEMPOTENT,
    "non_idempotent": Kind.NON_IDEMPOTENT,
    "stream": Kind.STREAM,
}


def body_of(text: str) -> bytes:
    """Return a body; "events 1 2" stands for a stream of two events."""
    if not text.startswith("events"):
        return text.encode()
    numbers = text.split()[1:]
    return b"".join(f"id: {number}\ndata: t\n\n".encode() for number in numbers)


@given(
    'a {kind} request that was answered {status} with "{body}" and ran {runs:d} times'
)
@given('a {kind} request that was answered {status} with "" and ran {runs:d} times')
def answered(
    context: Context, kind: str, status: str, runs: int, body: str = ""
) -> None:
    is_cut = status in ("cut", "0")
    sent = Sent("r1", KINDS[kind], "vm-1", sent_s=10.0, events=EVENTS)
    sent.status = 200 if status == "cut" else int(status)
    sent.body = body_of(body)
    sent.is_whole = not is_cut
    sent.answered_s = 11.0
    context.sent = sent
    context.runs = [("r1", f"t{number}") for number in range(runs)]


@given('a run of "{request}" that nobody sent')
def unasked(context: Context, request: str) -> None:
    context.runs.append((request, "t1"))


@given('its router was told to stop, beside "{fault}"')
def told_to_stop(context: Context, fault: str) -> None:
    context.strikes = [
        Strike(FaultKind.TERMINATE, "vm-1", 9.5, 13.0),
        Strike(FaultKind(fault), "vm-1", 9.8, 10.5),
    ]


@when("the answers are checked")
def check(context: Context) -> None:
    context.breaches = check_answers([context.sent], context.runs)


@when("the stopping is checked")
def check_stopping(context: Context) -> None:
    context.breaches = check_shutdown([context.sent], context.runs, context.strikes)


@then("it is {verdict:w}")
def check_verdict(context: Context, verdict: str) -> None:
    assert bool(context.breaches) == (verdict == "broken"), context.breaches


@when("two faults start the same router at once")
def start_twice(context: Context) -> None:
    link = Link(ANY_PORT, ANY_PORT)
    link.start()
    context.stoppables.append(link)
    context.started = []
    popen = fleet.subprocess.Popen

    def slow_popen(*arguments: object, **options: object) -> object:
        gevent.sleep(0.05)
        context.started.append(arguments)
        return popen([sys.executable, "-c", "import time; time.sleep(60)"])

    with tempfile.TemporaryDirectory() as folder:
        router = fleet.RouterProcess("vm-1", "ba-hall", HOST, link, Path(folder))
        fleet.subprocess.Popen = slow_popen
        try:
            gevent.joinall([gevent.spawn(router.start) for _ in range(2)])
        finally:
            fleet.subprocess.Popen = popen
            router.signal(signal.SIGKILL)
            router.wait_end()


@then("one process was started")
def check_started_once(context: Context) -> None:
    assert len(context.started) == 1, context.started


@when("the soak runs seed {seed:d} for {seconds:d} seconds")
def run_seed(context: Context, seed: int, seconds: int) -> None:
    context.report = run_soak(seed, seconds)


@then("it sent requests, struck with faults and broke no promise")
def check_report(context: Context) -> None:
    assert context.report["requests"] > 0, context.report
    assert context.report["faults"], context.report
    assert context.report["breaches"] == [], context.report
