"""Steps for idle connections, and for a router that is told to stop."""

import time

import gevent
from behave import given, then, when
from behave.runner import Context

from tests.support.agent_fleet import eventually
from tests.support.platform import open_connection, raw_request, send


@given("an idle keep-alive connection")
def open_idle_connection(context: Context) -> None:
    context.connection = open_connection(context.router.caller_listener.bound_address)
    context.connection.sendall(raw_request("/lookup/a", "r0"))
    read_response(context.connection)
    eventually(lambda: context.router.caller_listener.idle)


def read_response(connection: object) -> bytes:
    """Read one response with a Content-Length from a socket."""
    received = b""
    while b"\r\n\r\n" not in received:
        chunk = connection.recv(4096)
        assert chunk, f"the connection was closed after {received!r}"
        received += chunk
    head, _, body = received.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += connection.recv(4096)
    return head + b"\r\n\r\n" + body


@when("a request arrives on it just before idle connections are closed")
def request_before_close(context: Context) -> None:
    # Neither call yields, so the listener's task doesn't run between them.
    context.connection.send(raw_request("/lookup/a", "r1"))
    context.router.caller_listener.close_idle()


@then("the full response arrives")
def check_full_response(context: Context) -> None:
    assert read_response(context.connection).endswith(b"answer to r1")


@when("idle connections are closed")
def close_idle(context: Context) -> None:
    context.router.caller_listener.close_idle()


@then("the connection ends within {max_ms:d} ms")
def check_connection_closed(context: Context, max_ms: int) -> None:
    with gevent.Timeout(max_ms / 1e3):
        assert context.connection.recv(1) == b""


@when("the router is told to stop")
def stop_router(context: Context) -> None:
    context.stop_started_s = time.monotonic()
    context.stopping = gevent.spawn(
        context.router.drain_and_stop, context.stop_started_s
    )
    gevent.sleep(0.05)


@then("a request on a new connection gets a full response that closes the connection")
def check_new_connection(context: Context) -> None:
    response = send(context.router, "/lookup/a")
    assert response.status == 200, response
    assert response.headers["Connection"] == "close", response.headers


@then("the router stops within its grace period")
def check_stopped_in_grace(context: Context) -> None:
    with gevent.Timeout(context.router.settings.bounds.grace_s):
        context.router.wait()
