"""Steps for exchanges that end before the first byte of their request."""

from contextlib import ExitStack
from typing import Any
from unittest.mock import MagicMock, patch

import gevent
import gevent.socket
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.exchange import Exchange, ExchangeFailed, ExchangeFailure
from chervilstall.settings.option import Address
from chervilstall.target import connection
from chervilstall.target.sending import NothingSent

HOST = "127.0.0.1"


@given("an exchange with a target that accepts")
def open_target(context: Context) -> None:
    listener = gevent.socket.socket()
    context.add_cleanup(listener.close)
    listener.bind((HOST, 0))
    listener.listen()
    context.received = []

    def serve() -> None:
        sock, _ = listener.accept()
        with sock, gevent.Timeout(1.0, False):
            context.received.append(sock.recv(1024))

    context.target_task = gevent.spawn(serve)
    address = Address(HOST, listener.getsockname()[1])
    request: Any = MagicMock(
        method="GET", target="/", body=b"", request_id="r1", abort_callbacks=set()
    )
    context.exchange = Exchange(request, address, MagicMock())
    context.exchange.headers = {}


@when("its request is sent, and {what}")
def send_request(context: Context, what: str) -> None:
    exchange = context.exchange
    pool = exchange._pool
    create = pool._create_tcp_socket

    def create_aborted(*arguments: Any) -> gevent.socket.socket:
        if what.endswith("socket exists"):
            exchange.abort(ExchangeFailure.STALLED)
            return create(*arguments)
        sock = create(*arguments)
        exchange.abort(ExchangeFailure.STALLED)
        return sock

    context.failure = None
    with ExitStack() as stack:
        if what.endswith("first byte"):
            failed = MagicMock(side_effect=NothingSent("reset"))
            stack.enter_context(patch.object(connection, "send_first", failed))
        else:
            stack.enter_context(
                patch.object(pool, "_create_tcp_socket", create_aborted)
            )
        try:
            exchange.send_request(0.5)
        except ExchangeFailed as error:
            context.failure = error
    exchange.close()


@then("it fails as not sent")
def check_failure(context: Context) -> None:
    assert context.failure is not None and not context.failure.was_sent


@then("the target got no byte of it")
def check_nothing_received(context: Context) -> None:
    context.target_task.join(1.0)
    context.target_task.kill()
    assert not any(context.received), context.received
