"""Steps for requests that reach a router of the product's interface as it stops."""

import http.client
import json
import socket
import time
from collections.abc import Callable

import gevent
from behave import then, when
from behave.runner import Context
from gevent.event import Event
from gevent.monkey import get_original

from tests.support.agent_fleet import eventually
from tests.support.chat import CHAT, chat_body
from tests.support.router_harness import TOKEN, RouterHarness

LATE_AFTER_S = 0.2
native_socket = get_original("socket", "socket")
LATE_PROMPT = "which seats are left"


@when(
    "the router is told to stop under a stream, and streams come after its drain wait"
)
def send_after_drain_wait(context: Context) -> None:
    harness: RouterHarness = context.router_harness
    first = gevent.spawn(
        harness.send, "POST", CHAT, chat_body(max_tokens=100, stream=True)
    )
    eventually(lambda: harness.router.runtime.request_tracker.running == 1)
    idle, begun = harness.connect(), harness.connect()
    idle.connect()
    begin_request(begun)
    listener = harness.router.server.caller_listener
    eventually(lambda: listener.busy_connections == 2 and len(listener.idle) == 1)
    stopping = gevent.spawn(harness.router.server.drain_and_stop)
    gevent.sleep(LATE_AFTER_S)
    try:
        context.outcomes = {
            "idle": finish_late(idle, is_begun=False),
            "begun": finish_late(begun, is_begun=True),
            "new": finish_late(harness.connect(), is_begun=False),
        }
    finally:
        gevent.killall([first, stopping])


def late_body() -> bytes:
    """Return the body of a late stream, whose prompt no other request has."""
    messages = [{"role": "user", "content": LATE_PROMPT}]
    return json.dumps(chat_body(messages=messages, max_tokens=5, stream=True)).encode()


def begin_request(connection: http.client.HTTPConnection) -> None:
    """Send the head of a late stream, without its body."""
    connection.putrequest("POST", CHAT)
    connection.putheader("Authorization", f"Bearer {TOKEN}")
    connection.putheader("Content-Length", str(len(late_body())))
    connection.endheaders()


def finish_late(connection: http.client.HTTPConnection, is_begun: bool) -> int:
    """Send the rest of a late stream; return the response's status, 0 without one."""
    try:
        if not is_begun:
            begin_request(connection)
        connection.send(late_body())
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        # The connection was closed, or refused, before it had a request.
        return 0


@then("each of them was refused and has not run")
def check_late_refused(context: Context) -> None:
    expected = {"idle": 0, "begun": 503, "new": 0}
    assert context.outcomes == expected, context.outcomes
    ledger = context.router_harness.ledger
    assert not [text for text in ledger.prompts.values() if LATE_PROMPT in text]


@when("the router is told to stop and a request arrives as idle connections are closed")
def send_at_close(context: Context) -> None:
    harness: RouterHarness = context.router_harness
    context.connection = harness.connect()
    context.connection.connect()
    eventually(lambda: harness.router.server.caller_listener.idle)
    stop_after(harness, lambda: send_whole(context.connection))


def send_whole(connection: http.client.HTTPConnection) -> None:
    """Send a whole late stream."""
    begin_request(connection)
    connection.send(late_body())


def stop_after(harness: RouterHarness, send: Callable[[], object]) -> None:
    """Tell the router to stop, and call `send` just before it closes connections."""
    listener = harness.router.server.caller_listener
    close_idle = listener.close_idle

    def send_and_close() -> None:
        # Neither call yields, so the router cannot read the request in between.
        send()
        close_idle()
        sent.set()

    sent = Event()
    listener.close_idle = send_and_close
    gevent.spawn(harness.router.server.drain_and_stop)
    sent.wait()


@when("the router is told to stop and a new connection waits as its listener is closed")
def send_before_accept(context: Context) -> None:
    harness: RouterHarness = context.router_harness
    context.connection = harness.connect()
    address = harness.router.server.caller_address

    def connect_and_send() -> None:
        # The kernel completes the connection; unlike a patched one, it doesn't yield.
        waiting = native_socket(socket.AF_INET, socket.SOCK_STREAM)
        waiting.connect((address.host, address.port))
        context.connection.sock = socket.socket(fileno=waiting.detach())
        send_whole(context.connection)

    stop_after(harness, connect_and_send)


@then("that request gets a response")
def check_response(context: Context) -> None:
    assert context.connection.getresponse().status == 503


@when(
    "a caller connects, begins no TLS handshake, and the listener drains for "
    "{for_s:g} s"
)
def drain_beside_silent_caller(context: Context, for_s: float) -> None:
    server = context.router_harness.router.server
    listener, address = server.caller_listener, server.caller_address
    silent = gevent.socket.create_connection((address.host, address.port))
    context.add_cleanup(silent.close)
    eventually(lambda: len(listener.connections) == 1)
    listener.close_idle()
    listener.stop_listening()
    until_s = time.monotonic() + for_s
    context.is_quiet = listener.wait_until_quiet(lambda: 0, until_s)


@then("the listener has become quiet")
def check_quiet(context: Context) -> None:
    assert context.is_quiet
