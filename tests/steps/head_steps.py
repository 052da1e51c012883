"""Steps for targets that close in the middle of an answer."""

import socket

from behave import given, then, when
from behave.runner import Context
from gevent.server import StreamServer
from geventhttpclient.response import HTTPParseError

from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.target.connection import pooled_client, single_use_client
from tests.support.router_harness import HOST

TIMEOUT_S = 2.0
OK = b"HTTP/1.1 200 OK\r\n"
ANSWERS = {
    "a part of the status line": b"HTTP/1.1 2",
    "a status line": OK,
    "a part of a header": OK + b"Content-Type: a/b\r\nConte",
    "headers without an end": OK + b"Content-Length: 5\r\n",
    "half of the end of the headers": OK + b"X: y\r\n\r",
    "an interim answer only": b"HTTP/1.1 100 Continue\r\n\r\n",
    "a part of a chunk": OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
    "less than the length it names": OK + b"Content-Length: 10\r\n\r\nhel",
}


@given("a target that sends {answer} and closes")
def start_target(context: Context, answer: str) -> None:
    def handle(connection: socket.socket, address: object) -> None:
        connection.recv(65_536)
        connection.sendall(ANSWERS[answer])
        connection.close()

    context.server = StreamServer((HOST, 0), handle)
    context.server.start()
    context.stoppables.append(context.server)


@when("each kind of client asks it with GET and with POST")
def ask(context: Context) -> None:
    address = Address(HOST, context.server.server_port)
    context.whole = []
    for new_client in (pooled_client, single_use_client):
        for method in ("GET", "POST"):
            client = new_client(address, TargetSettings(), TIMEOUT_S)
            try:
                response = client.request(method, "/", body=b"")
                context.whole.append((new_client.__name__, method, response.read()))
            except (OSError, HTTPParseError):
                # The client noticed that the answer isn't whole.
                continue
            finally:
                client.close()


@then("none of them gets a whole answer")
def check_none_whole(context: Context) -> None:
    assert not context.whole, context.whole
