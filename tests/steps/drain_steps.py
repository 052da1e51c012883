"""Steps for what callers of a router get between its stop signal and its end."""

import http.client
import socket
import time
from dataclasses import dataclass, field, replace

import gevent
from behave import given, then, when
from behave.runner import Context
from gevent.monkey import get_original

from chervilstall.fleet.records import LayerRange
from chervilstall.standin.platform_fixtures import (
    LAYERS,
    build_configuration,
    build_request_headers,
)
from chervilstall.standin.platform_target import Behaviour
from tests.steps.shutdown_steps import read_response
from tests.support.agent_fleet import eventually
from tests.support.platform import (
    ZONES,
    Platform,
    open_connection,
    raw_request,
)

TAKEN_MAX_S = 3.0
"""Time after the stop signal from which a stream that is taken must not be cut."""

BURST_S = (2.96, 3.08)
BURST_INTERVAL_S = 0.002
KEEPER_AFTER_S = 1.2
BUSY_S = 0.004
BUSY_INTERVAL_S = 0.006
CALLER_TIMEOUT_S = 20.0
LONG_DRAFT_EVENTS = 5_000
NOT_RUN_STATUS = 503
STANDSTILL_AFTER_S = 2.9
WAITING_CONNECTIONS = 5
WAITING_REQUEST = "waiting"
REFUSED_START = b"HTTP/1.1 503 "
native_sleep = get_original("time", "sleep")
"""The standard sleep, which blocks the event loop."""

native_socket = get_original("socket", "socket")
ROUTE_PATHS = {
    "idempotent": "/lookup/a",
    "non_idempotent": "/hold/a",
    "draft": "/draft/a",
}


@dataclass
class Sent:
    """One request and what its caller got; times are seconds after the stop signal.

    `status` is 0 without a response head, and `is_complete` tells whether the whole
    response arrived.
    """

    request: str
    sent_after_s: float
    status: int = 0
    is_complete: bool = False


@dataclass
class Stopping:
    """A router that has been told to stop, and the requests that it got since."""

    started_at_s: float
    sent: list[Sent] = field(default_factory=list)
    tasks: list[gevent.Greenlet] = field(default_factory=list)

    def wait_until(self, after_s: float) -> None:
        """Sleep until `after_s` seconds after the stop signal."""
        gevent.sleep(max(0.0, self.started_at_s + after_s - time.monotonic()))


def start_router(
    context: Context, grace_s: float = 4.0, is_resumable: bool = True
) -> Platform:
    """Start a platform with one router; targets are added by the caller.

    Drafts may last as long as their callers wait.
    """
    context.platform = platform = Platform()
    context.stoppables.append(platform)
    config = build_configuration()
    for route in config["routes"]:
        if route["type"] == "streaming":
            route["timeout-ms"] = CALLER_TIMEOUT_S * 1e3
            route["resumable"] = is_resumable
    platform.start(config)
    context.router = router = platform.add_router()
    bounds = replace(router.settings.bounds, grace_s=grace_s)
    router.settings = replace(router.settings, bounds=bounds)
    return platform


def add_draft_targets(context: Context) -> None:
    """Add a whole model to each zone, and wait until the router knows it."""
    platform = context.platform
    for zone in ZONES:
        platform.add_target(f"a-{zone}", "drafts", zone, LayerRange(0, LAYERS))
    eventually(lambda: len(context.router.fleet_view.targets) == len(ZONES))


@given("a router before drafts that last longer than its grace period")
def start_with_long_drafts(context: Context) -> None:
    start_router(context, grace_s=8.0)
    add_draft_targets(context)


@given("its event loop is busy")
def keep_loop_busy(context: Context) -> None:
    def block_often() -> None:
        while True:
            native_sleep(BUSY_S)
            gevent.sleep(BUSY_INTERVAL_S)

    context.busy_task = gevent.spawn(block_often)
    context.add_cleanup(context.busy_task.kill)


@given("a router before drafts that do not begin")
def start_with_hanging_drafts(context: Context) -> None:
    start_router(context)
    add_draft_targets(context)
    for target in context.platform.targets.values():
        target.queued = 1
        target.behaviour = Behaviour.PAUSE_STREAM
        target.events_before_fault = 0
        target.pause_s = CALLER_TIMEOUT_S


@given("a router before lookups that hang")
def start_with_hanging_lookups(context: Context) -> None:
    platform = start_router(context)
    for zone in ZONES:
        target = platform.add_target(f"lookup-{zone}", "lookups", zone)
        target.behaviour = Behaviour.HANG
    eventually(lambda: len(context.router.fleet_view.targets) == len(ZONES))


def stop_router(context: Context) -> Stopping:
    """Tell the router to stop, as SIGTERM does."""
    context.stopping = Stopping(time.monotonic())
    gevent.spawn(context.router.drain_and_stop, context.stopping.started_at_s)
    return context.stopping


def keep_running(context: Context, kind: str) -> None:
    """Send a request that nobody checks, without which the router would end early."""
    unchecked = Stopping(context.stopping.started_at_s)
    context.stopping.wait_until(KEEPER_AFTER_S)
    gevent.spawn(send_request, context, unchecked, kind, 0)


def send_request(
    context: Context,
    stopping: Stopping,
    kind: str,
    number: int,
    events: int = LONG_DRAFT_EVENTS,
    pause_s: float = 0.0,
) -> None:
    """Send one request on a connection of its own and record what its caller gets.

    `pause_s` is the time from the opening of the connection to the request.
    """
    sent = Sent(f"r{number}", 0.0)
    address = context.router.caller_listener.bound_address
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=CALLER_TIMEOUT_S
    )
    headers = build_request_headers(
        sent.request, CALLER_TIMEOUT_S, Token_Count=f"100,{events}"
    )
    try:
        connection.connect()
        gevent.sleep(pause_s)
        sent.sent_after_s = time.monotonic() - stopping.started_at_s
        stopping.sent.append(sent)
        connection.request("POST", ROUTE_PATHS[kind], headers=headers)
    except (OSError, http.client.HTTPException):
        # A cut request is what the steps look for; `is_complete` stays false.
        connection.close()
        return
    read_outcome(connection, sent)


@when("it is told to stop and drafts arrive every 2 ms around 3 seconds later")
def send_burst(context: Context) -> None:
    stop_router(context)
    send_burst_of_drafts(context)


@when("drafts arrive every 2 ms around 3 seconds after the signal")
def send_burst_of_drafts(context: Context) -> None:
    stopping = context.stopping
    keep_running(context, "draft")
    first_s, last_s = BURST_S
    stopping.wait_until(first_s)
    number = 0
    while time.monotonic() < stopping.started_at_s + last_s:
        number += 1
        task = gevent.spawn(send_request, context, stopping, "draft", number)
        stopping.tasks.append(task)
        gevent.sleep(BURST_INTERVAL_S)
    gevent.joinall(stopping.tasks)


@then("none of those sent later than 3 seconds after the signal is cut")
def check_not_cut(context: Context) -> None:
    late = [s for s in context.stopping.sent if s.sent_after_s > TAKEN_MAX_S]
    assert late, "no draft was sent late"
    cut = [s for s in late if not s.is_complete]
    assert not cut, f"{len(cut)} of {len(late)} cut, the first: {cut[0]}"


@then("those that were refused have not run")
def check_refused_not_run(context: Context) -> None:
    executed = set(context.platform.executed_request_ids())
    refused = [s for s in context.stopping.sent if s.status == NOT_RUN_STATUS]
    assert refused, "no draft was refused"
    assert not executed & {s.request for s in refused}


@when("it is told to stop and the body of a draft ends {after_s:g} seconds later")
def send_slow_body(context: Context, after_s: float) -> None:
    stopping = stop_router(context)
    stopping.sent.append(Sent("r1", after_s))
    stopping.wait_until(2.0)
    connection = begin_body(context, "draft")
    stopping.wait_until(after_s)
    connection.send(b"}")
    read_outcome(connection, stopping.sent[0])


@when("it is told to stop during the body of a hold that does not end")
def send_endless_body(context: Context) -> None:
    connection = begin_body(context, "non_idempotent")
    eventually(lambda: context.router.app.running_requests)
    stopping = stop_router(context)
    stopping.sent.append(Sent("r1", 0.0))
    read_outcome(connection, stopping.sent[0])


def begin_body(context: Context, kind: str) -> http.client.HTTPConnection:
    """Send a request's head and the first of the two bytes of its body."""
    address = context.router.caller_listener.bound_address
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=CALLER_TIMEOUT_S
    )
    headers = build_request_headers(
        "r1", CALLER_TIMEOUT_S, Token_Count=f"100,{LONG_DRAFT_EVENTS}"
    )
    connection.putrequest("POST", ROUTE_PATHS[kind], skip_host=True)
    for name, value in headers.items():
        connection.putheader(name, value)
    connection.putheader("Content-Length", "2")
    connection.endheaders(b"{")
    return connection


def read_outcome(connection: http.client.HTTPConnection, sent: Sent) -> None:
    """Read a response into `sent`; the check sees a cut one from `is_complete`."""
    try:
        response = connection.getresponse()
        sent.status = response.status
        response.read()
        sent.is_complete = True
    except (OSError, http.client.HTTPException):
        return
    finally:
        connection.close()


@then("that draft is refused and has not run")
def check_draft_refused(context: Context) -> None:
    (sent,) = context.stopping.sent
    assert (sent.status, sent.is_complete) == (NOT_RUN_STATUS, True), sent
    assert not context.platform.executed_request_ids()


@when("it is told to stop and a {kind} request arrives {after_s:g} seconds later")
def send_one(context: Context, kind: str, after_s: float) -> None:
    stopping = stop_router(context)
    if after_s > KEEPER_AFTER_S:
        keep_running(context, kind)
    stopping.wait_until(after_s)
    send_request(context, stopping, kind, 1)


@when(
    "it is told to stop and a {kind} request comes {after_s:g} seconds later, "
    "{pause_s:g} after its connection"
)
def send_after_connection(
    context: Context, kind: str, after_s: float, pause_s: float
) -> None:
    stopping = stop_router(context)
    keep_running(context, kind)
    stopping.wait_until(after_s - pause_s)
    send_request(context, stopping, kind, 1, pause_s=pause_s)


@when("it is told to stop and a draft arrives {after_s:g} seconds later")
def send_one_draft(context: Context, after_s: float) -> None:
    send_one(context, "draft", after_s)


@then("that request gets a complete answer")
def check_answered(context: Context) -> None:
    (sent,) = context.stopping.sent
    assert sent.is_complete and sent.status in (503, 504), sent
    if sent.status == NOT_RUN_STATUS:
        assert sent.request not in context.platform.executed_request_ids()


@then("that request is refused and has not run")
def check_refused(context: Context) -> None:
    (sent,) = context.stopping.sent
    assert (sent.status, sent.is_complete) == (NOT_RUN_STATUS, True), sent
    assert sent.request not in context.platform.executed_request_ids()


# At the end


@given("a router before lookups that are served")
def start_with_lookups(context: Context) -> None:
    start_with_hanging_lookups(context)
    for target in context.platform.targets.values():
        target.behaviour = Behaviour.SERVE


@given("an open connection to it")
def open_kept_connection(context: Context) -> None:
    listener = context.router.caller_listener
    context.connection = open_connection(listener.bound_address)
    eventually(lambda: listener.idle)


@when("it is told to stop and a request arrives as idle connections are closed")
def send_at_close(context: Context) -> None:
    listener = context.router.caller_listener
    close_idle = listener.close_idle

    def send_and_close() -> None:
        # Neither call yields, so the router cannot read the request in between.
        context.connection.send(raw_request(ROUTE_PATHS["idempotent"]))
        close_idle()

    listener.close_idle = send_and_close
    stop_router(context)


@then("that request is answered in full")
def check_answered_in_full(context: Context) -> None:
    assert read_response(context.connection).endswith(b"answer to r1")


@when(
    "it is told to stop, stands still until {until_s:g} s and requests arrive meanwhile"
)
def send_while_standing_still(context: Context, until_s: float) -> None:
    stopping = stop_router(context)
    keep_running(context, "non_idempotent")
    stopping.wait_until(STANDSTILL_AFTER_S)
    address = context.router.caller_listener.bound_address
    context.connections = []
    for _ in range(WAITING_CONNECTIONS):
        # The kernel completes the connection, and the router does not run meanwhile.
        connection = native_socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.connect((address.host, address.port))
        connection.sendall(raw_request(ROUTE_PATHS["idempotent"], WAITING_REQUEST))
        context.connections.append(connection)
    native_sleep(max(0.0, stopping.started_at_s + until_s - time.monotonic()))


@then("each of them is refused and has not run")
def check_all_refused(context: Context) -> None:
    for connection in context.connections:
        patched = socket.socket(fileno=connection.detach())
        context.add_cleanup(patched.close)
        assert read_response(patched).startswith(REFUSED_START)
    executed = context.platform.executed_request_ids()
    assert executed.count(WAITING_REQUEST) == 0, executed
