"""Steps for the soak test."""

import os
import signal
import sys
import tempfile
from pathlib import Path

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.soak import fleet
from chervilstall.soak.cut_links import RouterLinks
from chervilstall.soak.faults import InjectedFault, SoakFaultKind
from chervilstall.soak.invariants import check_responses, check_shutdown
from chervilstall.soak.links import LinkProxy
from chervilstall.soak.load_generator import RequestKind, SentRequest
from chervilstall.soak.run import OWN_PROCESS, FaultMix, SoakOptions, run_soak
from chervilstall.soak.shutdown_invariants import check_shutdowns
from chervilstall.soak.shutdowns import Shutdown
from chervilstall.soak.subnets import claim_subnet
from tests.support.router_harness import ANY_PORT, HOST

EXPECTED_EVENTS = 3
SIGTERM_AT_S = 100.0
SHUTDOWN_SECONDS = 4.0
REQUEST_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "stream": RequestKind.STREAM,
    "long_stream": RequestKind.LONG_STREAM,
}


def body_of(text: str) -> bytes:
    """Return a response body; "events 1 2" is a stream of events with ids 1 and 2."""
    if not text.startswith("events"):
        return text.encode()
    numbers = text.split()[1:]
    return b"".join(f"id: {number}\ndata: t\n\n".encode() for number in numbers)


@given(
    'a request of kind {kind} with response {status} "{body}", executed {count:d} times'
)
@given('a request of kind {kind} with response {status} "", executed {count:d} times')
def record_request(
    context: Context, kind: str, status: str, count: int, body: str = ""
) -> None:
    is_cut_off = status in ("cut", "0")
    sent = SentRequest(
        "r1",
        REQUEST_KINDS[kind],
        "vm-1",
        sent_at_s=10.0,
        expected_events=EXPECTED_EVENTS,
    )
    sent.status = 200 if status == "cut" else int(status)
    sent.body = body_of(body)
    sent.is_complete = not is_cut_off
    sent.ended_at_s = 11.0
    context.sent = sent
    context.executions = [("r1", f"t{number}") for number in range(count)]


@given('an execution of "{request_id}" that no caller sent')
def record_unsent(context: Context, request_id: str) -> None:
    context.executions.append((request_id, "t1"))


@given('its router received SIGTERM during the fault "{fault}"')
def record_faults(context: Context, fault: str) -> None:
    context.faults = [
        InjectedFault(SoakFaultKind.TERMINATE, "vm-1", 9.5, 13.0),
        InjectedFault(SoakFaultKind(fault), "vm-1", 9.8, 10.5),
    ]


@when("the responses are checked")
def run_response_check(context: Context) -> None:
    context.violations = check_responses([context.sent], context.executions)


@when("the shutdown is checked")
def run_shutdown_check(context: Context) -> None:
    context.violations = check_shutdown(
        [context.sent], context.executions, context.faults
    )


@then("the check {verdict:w}")
def check_verdict(context: Context, verdict: str) -> None:
    assert bool(context.violations) == (verdict == "fails"), context.violations


@when("two faults start the same router concurrently")
def start_concurrently(context: Context) -> None:
    link = LinkProxy(ANY_PORT, ANY_PORT)
    link.start()
    context.stoppables.append(link)
    context.started = []
    popen = fleet.subprocess.Popen

    def slow_popen(*arguments: object, **options: object) -> object:
        gevent.sleep(0.05)
        context.started.append(arguments)
        return popen([sys.executable, "-c", "import time; time.sleep(60)"])

    with tempfile.TemporaryDirectory() as folder:
        router = fleet.RouterProcess(
            "vm-1", "ba-hall", HOST, link, RouterLinks(HOST), Path(folder)
        )
        fleet.subprocess.Popen = slow_popen
        try:
            gevent.joinall([gevent.spawn(router.start) for _ in range(2)])
        finally:
            fleet.subprocess.Popen = popen
            router.signal(signal.SIGKILL)
            router.wait_for_exit()


@then("one process was started")
def check_started_once(context: Context) -> None:
    assert len(context.started) == 1, context.started


@when("two runs claim the same addresses")
def claim_twice(context: Context) -> None:
    context.first = os.getpid()
    context.claims = [claim_subnet(context.first) for _ in range(2)]


@then("they get different ones, and the first are free once their run has ended")
def check_claims(context: Context) -> None:
    (subnet, claim), (other_subnet, other_claim) = context.claims
    assert subnet != other_subnet
    claim.close()
    again, claim = claim_subnet(subnet)
    assert again == subnet
    claim.close()
    other_claim.close()


@when("the soak test cuts routers off with seed {seed:d} for {duration_s:d} seconds")
def run_cuts(context: Context, seed: int, duration_s: int) -> None:
    context.report = run_soak(seed, SoakOptions(duration_s, FaultMix.CUTS))


@when(
    "the soak test lets targets answer without end with seed {seed:d} for "
    "{duration_s:d} seconds"
)
def run_endless(context: Context, seed: int, duration_s: int) -> None:
    context.report = run_soak(seed, SoakOptions(duration_s, FaultMix.ENDLESS))


@when("the soak test runs with seed {seed:d} for {duration_s:d} seconds")
def run_seed(context: Context, seed: int, duration_s: int) -> None:
    context.report = run_soak(seed, SoakOptions(duration_s))


@then("it sent requests, injected faults and found no violation")
def check_report(context: Context) -> None:
    assert context.report["requests"] > 0, context.report
    assert context.report["faults"], context.report
    assert context.report["breaches"] == [], context.report


@given("a router with a grace period of {grace_s:g} s that got SIGTERM")
def record_shutdown(context: Context, grace_s: float) -> None:
    ended_at_s = SIGTERM_AT_S + grace_s
    context.shutdowns = [Shutdown("vm-1", SIGTERM_AT_S, grace_s, ended_at_s)]
    context.faults = []


@given(
    "a request of kind {kind} sent to it at {sent_s:g} s, executed {count:d} times, "
    "that ended at {ended_s:g} s with response {response}"
)
def record_request_in_shutdown(
    context: Context,
    kind: str,
    sent_s: float,
    count: int,
    ended_s: float,
    response: str,
) -> None:
    sent_at_s = SIGTERM_AT_S + sent_s
    sent = SentRequest("r1", REQUEST_KINDS[kind], "vm-1", sent_at_s)
    sent.status = {"cut": 200, "none": 0}.get(response, 0)
    if response.isdigit():
        sent.status = int(response)
    sent.is_complete = response.isdigit()
    sent.ended_at_s = SIGTERM_AT_S + ended_s
    context.requests = [sent]
    context.executions = [("r1", f"t{number}") for number in range(count)]


@given('a fault "{fault}" of "{component}" at {started_s:g} s')
def record_fault(
    context: Context, fault: str, component: str, started_s: float
) -> None:
    started_at_s = SIGTERM_AT_S + started_s
    kind = SoakFaultKind(fault)
    context.faults.append(
        InjectedFault(kind, component, started_at_s, started_at_s + 0.1)
    )


@when("the series of shutdowns is checked")
def run_series_check(context: Context) -> None:
    context.violations = check_shutdowns(
        context.requests, context.executions, context.shutdowns, context.faults
    )


@when(
    "the soak test shuts routers down with seed {seed:d}, {callers:d} callers per "
    "router and a grace period of {grace_s:g} s"
)
def run_shutdown_seed(
    context: Context, seed: int, callers: int, grace_s: float
) -> None:
    options = SoakOptions(
        SHUTDOWN_SECONDS,
        FaultMix.SHUTDOWNS,
        callers_per_router=callers,
        grace_s=grace_s,
    )
    context.report = run_soak(seed, options)


@then("it shut routers down and found no violation")
def check_shutdown_report(context: Context) -> None:
    assert context.report["requests"] > 0, context.report
    assert context.report["shutdowns"] > 0, context.report
    assert context.report["breaches"] == [], context.report


@then("its report has the longest wait for a CPU of each router and of the soak")
def check_sampled_processes(context: Context) -> None:
    sampled = {each["process"] for each in context.report["processes"]}
    routers = {f"vm-{number + 1}" for number in range(context.report["routers"])}
    assert sampled == {*routers, OWN_PROCESS}, context.report["processes"]
