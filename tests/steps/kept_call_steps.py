"""Steps for calls over connections that are kept."""

import socket

import gevent
from behave import given, then, when
from behave.runner import Context
from gevent.server import StreamServer

from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.target.calls import Call
from chervilstall.target.kept_calls import KeptCalls
from tests.support.router_harness import HOST

TIMEOUT_S = 2.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
BODY = b"\r\nok"


def _serve(context: Context, fault: str) -> None:
    context.connections = 0

    def handle(connection: socket.socket, address: object) -> None:
        context.connections += 1
        is_first = context.connections == 1
        while connection.recv(65_536):
            has_close = is_first and fault == "answers with a close"
            connection.sendall(HEAD + b"Connection: close\r\n" * has_close + BODY)
            if not is_first:
                continue
            match fault:
                case "closes" | "answers with a close":
                    break
                case "falls silent":
                    gevent.sleep(TIMEOUT_S)
                case "sends bytes that nobody asked for":
                    connection.sendall(HEAD + b"\r\nno")
        connection.close()

    context.server = StreamServer((HOST, 0), handle)
    context.server.start()
    context.stoppables.append(context.server)
    context.calls = KeptCalls(lambda: True)


@given("a target that answers each call on a connection")
def start_target(context: Context) -> None:
    _serve(context, "")


@given("a target that {fault} after the first answer on a connection")
def start_faulty_target(context: Context, fault: str) -> None:
    _serve(context, fault)


@given("connections aren't to be kept")
def disable(context: Context) -> None:
    context.calls.is_in_force = lambda: False


@when("it is called {count:d} times")
def call(context: Context, count: int) -> None:
    address = Address(HOST, context.server.server_port)
    call = Call("GET", "/", TIMEOUT_S)
    context.bodies = []
    for _ in range(count):
        response = context.calls.call(address, TargetSettings(), call)
        context.bodies.append(response.body)
        # What a faulty target sends after its answer has arrived by then.
        gevent.sleep(0.05)


@then("each call is answered")
def check_answered(context: Context) -> None:
    assert set(context.bodies) == {b"ok"}, context.bodies


@then("the target saw {count:d} connection")
@then("the target saw {count:d} connections")
def check_connections(context: Context, count: int) -> None:
    assert context.connections == count, context.connections
