"""Steps for answers that have neither a length nor chunks."""

import gevent
from behave import given, then, when
from behave.runner import Context
from gevent.socket import socket, socketpair

from chervilstall.edge.exchange_failures import ExchangeFailure
from chervilstall.platform.quarantine import CRASHES_PREFIX
from chervilstall.standin.platform_target import Behaviour
from tests.steps.request_steps import send_kind
from tests.steps.stream_steps import event_numbers
from tests.support.agent_fleet import eventually
from tests.support.platform import open_connection, raw_request, send
from tests.support.platform_scenario import own_first, send_draft

ANSWER_BEGUN_S = 0.1
"""Time in which the beginning of an answer reaches the router."""


@given("targets whose answers pause without a length for {pause_s:d} seconds")
def pause_answers(context: Context, pause_s: int) -> None:
    for target in context.platform.targets.values():
        target.behaviour = Behaviour.UNFRAMED_PAUSE
        target.pause_s = float(pause_s)


@given("targets whose answers pause without a length and are no streams")
def pause_answers_to_drafts(context: Context) -> None:
    pause_answers(context, 2)
    for target in context.platform.targets.values():
        target.streams = False


def wait_for_run(context: Context) -> None:
    """Wait until a target has begun its answer."""
    eventually(lambda: context.platform.executed_request_ids())
    gevent.sleep(ANSWER_BEGUN_S)


@when("a {kind:w} request is sent and ended by the router during the pause")
def end_during_pause(context: Context, kind: str) -> None:
    sending = gevent.spawn(send_kind, context, kind)
    wait_for_run(context)
    context.router.app.answer_all()
    sending.get()


@when("a {kind:w} request is sent and ended by the router as more of its answer comes")
def end_as_more_comes(context: Context, kind: str) -> None:
    sending = gevent.spawn(send_kind, context, kind)
    wait_for_run(context)
    wanted, trigger = socketpair()
    ending = gevent.spawn(end_when_readable, context, wanted)
    gevent.sleep(0.0)
    # Both sockets become readable in one turn of the loop, the trigger's first.
    for target in context.platform.targets.values():
        for connection in target.server.open_sockets:
            connection.sendall(b"more")
    trigger.sendall(b"x")
    ending.get()
    sending.get()


def end_when_readable(context: Context, wanted: socket) -> None:
    wanted.recv(1)
    context.router.app.answer_all()


@when("a draft of {events:d} events is asked for and its exchange is ended as stalled")
def end_as_stalled(context: Context, events: int) -> None:
    sending = gevent.spawn(send_draft, context, events)
    wait_for_run(context)
    for target in context.platform.targets.values():
        target.behaviour = Behaviour.LOSE_ANSWER
    (stream,) = context.router.stream_monitor.streams.values()
    stream.exchange.abort(ExchangeFailure.STALLED)
    sending.get()


@when("a draft of {events:d} events that shares parts is asked for")
def send_sharing_draft(context: Context, events: int) -> None:
    context.response = send(
        context.router,
        "/draft/x",
        Token_Count=f"100,{events}",
        Prefix_Hash="guide:20,tools:20,own:20",
    )


@then("the crash of the first target of the own zone is reported")
def check_crash_report(context: Context) -> None:
    items = context.platform.store.state.items
    eventually(lambda: [key for key in items if key.startswith(CRASHES_PREFIX)], 2.0)
    assert own_first(context).log.crashed_at_s


def open_old_draft(context: Context, events: int) -> socket:
    """Ask for a draft by HTTP/1.0 and return the connection."""
    connection = open_connection(context.router.caller_listener.bound_address)
    head = raw_request("/draft/x").replace(b"HTTP/1.1", b"HTTP/1.0")
    count = f"\r\nToken-Count: 100,{events}\r\n\r\n".encode()
    connection.sendall(head.replace(b"\r\n\r\n", count))
    return connection


def read_to_end(context: Context, connection: socket, received: bytes = b"") -> None:
    """Read a response; keep its body and whether its connection was reset."""
    context.is_reset = False
    try:
        while chunk := connection.recv(4096):
            received += chunk
    except ConnectionResetError:
        context.is_reset = True
    finally:
        connection.close()
    context.old_body = received.partition(b"\r\n\r\n")[2]


@when("a caller of HTTP/1.0 asks for a draft of {events:d} events")
def send_old_draft(context: Context, events: int) -> None:
    read_to_end(context, open_old_draft(context, events))


@when(
    "a caller of HTTP/1.0 asks for a draft of {events:d} events and the router stops "
    "after {last:d}"
)
def stop_during_old_draft(context: Context, events: int, last: int) -> None:
    own_first(context).pause_s = 5.0
    connection = open_old_draft(context, events)
    received = b""
    while f"id: {last}\n".encode() not in received:
        received += connection.recv(4096)
    context.router.stop()
    read_to_end(context, connection, received)


@then("its connection is {how} after event {last:d}")
def check_old_end(context: Context, how: str, last: int) -> None:
    assert event_numbers(context.old_body) == list(range(1, last + 1))
    assert context.is_reset is (how == "reset"), context.old_body


@then("the response has the status {status:d}")
def check_status(context: Context, status: int) -> None:
    assert context.response.status == status, context.response


@then("the response has the length of its body")
def check_length(context: Context) -> None:
    headers = context.response.headers
    assert headers["Content-Length"] == str(len(context.response.body)), headers
    assert "Transfer-Encoding" not in headers, headers


@then("the response is chunked")
def check_chunked(context: Context) -> None:
    headers = context.response.headers
    assert headers["Transfer-Encoding"] == "chunked", headers
    assert "Content-Length" not in headers, headers
