"""Steps for targets and clients that send without end."""

import socket
import time
from dataclasses import dataclass

import gevent
from behave import given, then, when
from behave.runner import Context
from gevent.monkey import get_original
from geventhttpclient.response import HTTPParseError

from chervilstall.http_response import HttpResponse, StartResponse
from chervilstall.settings.option import Address
from chervilstall.wsgi import Environ, read_body
from tests.support.endless import (
    ANSWERS,
    CountingServer,
    EndlessSocket,
    TurnWatch,
    kept_bytes,
    open_response,
    request_pieces,
)
from tests.support.platform import open_connection
from tests.support.router_harness import ANY_PORT

READ_BYTES = 16_384
ASK_S = 10.0
SEND_S = 2.0
OTHER_REQUESTS = 20
REQUEST = b"GET /other HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
native_socket = get_original("socket", "socket")


@dataclass
class Sending:
    """What became of a client that sends for `SEND_S`."""

    sent_bytes: int = 0
    was_closed: bool = False


@given("a connection on which {name} come without end")
@given("a connection on which {name} comes")
def open_endless(context: Context, name: str) -> None:
    context.socket = EndlessSocket(*ANSWERS[name])


@when("a response is read from it to its end")
def read_to_end(context: Context) -> None:
    context.error = None
    try:
        # The head of some of them is never whole.
        context.reader = open_response(context.socket)
        context.body = context.reader.read()
    except HTTPParseError as error:
        context.error = error


@then("the reading fails after at most {count:d} bytes")
def check_given_up(context: Context, count: int) -> None:
    assert context.error is not None, context.socket.taken_bytes
    assert context.socket.taken_bytes <= count, context.socket.taken_bytes
    assert context.socket.is_closed


@then("the response has kept at most {count:d} bytes")
def check_kept(context: Context, count: int) -> None:
    reader = getattr(context, "reader", None)
    assert reader is None or kept_bytes(reader) <= count, kept_bytes(reader)


@then("its body is whole, and it has no field from behind it")
def check_trailers(context: Context) -> None:
    assert context.error is None, context.error
    assert context.body == b"ok", context.body
    assert "attempt-id" not in context.reader, context.reader


@when("a response is read from it for {duration:f} seconds")
def read_for(context: Context, duration: float) -> None:
    context.watch = TurnWatch()
    context.has_expired = context.watch.measure(
        lambda: _read_until_timeout(context.socket, duration)
    )


def _read_until_timeout(sock: EndlessSocket, duration_s: float) -> bool:
    """Read and drop what comes; return whether the timeout has ended that."""
    sock.taken_max_bytes = float("inf")
    sock.ends_at_s = time.monotonic() + 3 * duration_s
    with gevent.Timeout(duration_s, False):
        reader = open_response(sock)
        while reader.read(READ_BYTES):
            continue
        return False
    return True


@then("the timeout ends the reading")
def check_timeout(context: Context) -> None:
    assert context.has_expired, context.socket


@then("no other task waits longer than {limit:f} s of computing for its turn")
def check_turns(context: Context, limit: float) -> None:
    assert context.watch.longest_s <= limit, context.watch


@given("a listener with a client that sends {name} all the time")
def start_listener(context: Context, name: str) -> None:
    context.server = CountingServer(ANY_PORT, _answer)
    context.server.start()
    context.sent = gevent.get_hub().threadpool.spawn(
        _send_all_the_time, context.server.bound_address, name
    )


def _answer(environ: Environ, start_response: StartResponse) -> list[bytes]:
    read_body(environ)
    return HttpResponse(404, b"{}").start(start_response)


def _send_all_the_time(address: Address, name: str) -> Sending:
    """Send in a thread of its own, and return how that ended."""
    sending = Sending()
    until_s = time.monotonic() + SEND_S
    with native_socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
        connection.settimeout(ASK_S)
        connection.connect((address.host, address.port))
        try:
            for piece in request_pieces(name):
                connection.sendall(piece)
                sending.sent_bytes += len(piece)
                if time.monotonic() > until_s:
                    break
                # The answers would fill the buffers, and the listener would wait.
                connection.setblocking(False)
                _drop_answers(connection)
                connection.settimeout(ASK_S)
        except ConnectionError:
            sending.was_closed = True
    return sending


def _drop_answers(connection: socket.socket) -> None:
    try:
        while connection.recv(1_000_000):
            continue
    except BlockingIOError:
        return


@when("other requests are sent to the listener")
def send_others(context: Context) -> None:
    context.watch = TurnWatch()
    context.lines = context.watch.measure(
        lambda: [_send_other(context) for _ in range(OTHER_REQUESTS)]
    )
    context.server.kill_connections()
    context.sent.get()


def _send_other(context: Context) -> bytes:
    with open_connection(context.server.bound_address) as connection:
        connection.sendall(REQUEST)
        return connection.recv(100).split(b"\r\n")[0]


@then("each of them is answered")
def check_others(context: Context) -> None:
    assert set(context.lines) == {b"HTTP/1.1 404 Not Found"}, context.lines


@when("the client has sent for its 2 seconds or was closed")
def await_sent(context: Context) -> None:
    context.sending = context.sent.get()
    context.server.kill_connections()


@then("its connection was closed before that")
def check_closed(context: Context) -> None:
    assert context.sending.was_closed, context.sending


@then("the listener has read at most {count:d} bytes of it")
def check_read(context: Context, count: int) -> None:
    read_bytes = context.server.read_bytes
    assert 0 < read_bytes <= count, (read_bytes, context.sending)
