"""Steps for answers without end, at each place where one is read."""

import base64
import dataclasses
import itertools
import socket
import time
from collections.abc import Callable

import gevent
import msgspec
from behave import given, then, when
from behave.runner import Context
from gevent.server import StreamServer

from chervilstall.edge.exchange import Exchange, ExchangeFailed
from chervilstall.edge.peers import reach_report
from chervilstall.fleet.records import NO_LAYERS
from chervilstall.http_response import HttpResponse, StartResponse
from chervilstall.ids import AttemptNumber, RequestId, TargetId, VmId
from chervilstall.platform import protocol, targets
from chervilstall.platform.headers import Headers
from chervilstall.platform.kv import PlatformStore
from chervilstall.platform.peers import Peer
from chervilstall.platform.targets import PlaceOrder
from chervilstall.process_limits.memory import ClientMemory, Holding, HoldingKind
from chervilstall.settings.agents import StoreSettings
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.node import StoreAddress
from chervilstall.settings.option import Address
from chervilstall.store.client import HttpStore
from chervilstall.store.contract import StoreFailed
from chervilstall.target.contract import AttemptFailed, ServiceCall
from chervilstall.target.engine_client import HttpEngineClient
from chervilstall.target.service_client import HttpServiceClient
from chervilstall.wsgi import Environ, Server
from tests.steps.target_unframed_steps import order_to
from tests.support.endless import CHUNKED, OK
from tests.support.model_targets import SERVICE, make_target
from tests.support.router_harness import ANY_PORT, HOST
from tests.support.stream_requests import make_request

READ_BYTES = 16_384
PIECE_BYTES = 65_536
PAGE_BYTES = 1_000_000
ENDLESS_MAX_BYTES = 100_000_000
ASK_S = 10.0
HISTORY_S = 20.0
LEASE_S = 1.0
ORDER = PlaceOrder(NO_LAYERS, orders_begun=0, fence=0)
REQUEST = RequestId("r1")
FIELDS = f"{protocol.REQUEST_ID}: {REQUEST}\r\n".encode()
HEADS = {
    "without a length": OK + FIELDS + b"\r\n",
    "in chunks": CHUNKED.replace(OK, OK + FIELDS),
}


class NoAnswer(Exception):
    """A call without an answer, of which its caller is told no more."""


def _event(address: Address) -> None:
    client = HttpEngineClient(TargetSettings())
    client.generate(order_to(address), time.monotonic() + ASK_S).next_event()


def _service_call(address: Address, is_repeatable: bool) -> None:
    HttpServiceClient(TargetSettings(service_timeout_s=ASK_S)).call(
        TargetId("endless"),
        address,
        ServiceCall("GET", "/thing", (), b""),
        RequestId("r1"),
        AttemptNumber(1),
        is_repeatable,
        ASK_S,
    )


def _exchange(address: Address) -> None:
    memory = ClientMemory(ENDLESS_MAX_BYTES, reserve_bytes=0, small_bytes=0)
    request = make_request(answer_holding=Holding(memory, HoldingKind.ANSWER))
    request.fields = dataclasses.replace(request.fields, request=REQUEST)
    exchange = Exchange(request, address, Headers())
    try:
        exchange.read_response(exchange.send_request(ASK_S), ASK_S)
    finally:
        exchange.close()


def _target_call(call: Callable[[targets.Target], object]) -> Callable[[Address], None]:
    def ask(address: Address) -> None:
        target = make_target("endless", "local", 0, 1)
        answer = call(dataclasses.replace(target, address=address))
        if answer is None or getattr(answer, "status", None) == 0:
            raise NoAnswer

    return ask


def _reach_report(address: Address) -> None:
    peer = Peer(VmId("endless"), SERVICE.name, address)
    if reach_report.fetch_report(peer, SERVICE.name) is None:
        raise NoAnswer


def _store(address: Address) -> PlatformStore:
    return PlatformStore(StoreAddress(address, HISTORY_S, LEASE_S))


def _agents_store(address: Address) -> HttpStore:
    return HttpStore(StoreSettings(address=address, timeout_s=ASK_S))


ASKED: dict[str, Callable[[Address], object]] = {
    "a repeatable call": lambda address: _service_call(address, True),
    "a call sent once": lambda address: _service_call(address, False),
    "an event of a stream": _event,
    "a response, from a target or another router": _exchange,
    "a target's report": _target_call(lambda each: targets.fetch_report(each, ASK_S)),
    "the response to an order": _target_call(
        lambda each: targets.send_order(each, ORDER)
    ),
    "another router's report": _reach_report,
    "a list of the store": lambda address: _store(address).list_entries("servers/"),
    "an entry of the store": lambda address: _store(address).read_entry("key"),
    "changes of 1 MB": lambda address: _store(address).watch("", 1, ASK_S, 1_000_000),
    "a key of the store": lambda address: _store(address).get("key"),
    "a key of the agents' store": lambda address: _agents_store(address).get("key"),
}
"""Calls that read an answer, by what is asked for."""


@given("a process whose answer has no end, {framing}")
def start_endless_target(context: Context, framing: str) -> None:
    context.sent_bytes = 0
    piece = b"x" * PIECE_BYTES
    if framing == "in chunks":
        piece = b"%x\r\n%s\r\n" % (len(piece), piece)

    def handle(connection: socket.socket, address: object) -> None:
        connection.recv(READ_BYTES)
        try:
            connection.sendall(HEADS[framing])
            while context.sent_bytes < ENDLESS_MAX_BYTES:
                connection.sendall(piece)
                context.sent_bytes += len(piece)
        except OSError:
            # The client has given up, as it should.
            return
        connection.close()

    context.server = StreamServer((HOST, 0), handle)
    context.server.start()
    context.server_port = context.server.server_port
    context.stoppables.append(context.server)


@when("{what} is asked for without an end")
def ask_endless(context: Context, what: str) -> None:
    address = Address(HOST, context.server_port)
    context.error = None
    with gevent.Timeout(ASK_S):
        try:
            ASKED[what](address)
        except (AttemptFailed, ExchangeFailed, StoreFailed, NoAnswer) as error:
            context.error = error


@then("it fails, and the process could send at most {size_mb:d} MB")
def check_sent(context: Context, size_mb: int) -> None:
    assert context.error is not None, context.sent_bytes
    assert context.sent_bytes <= size_mb * 1_000_000, context.sent_bytes


@given("a store whose list has {pages} without end")
def start_endless_list(context: Context, pages: str) -> None:
    context.sent_bytes = 0
    value = base64.b64encode(bytes(PAGE_BYTES // 4 * 3)).decode()
    numbers = itertools.count() if pages == "new pages" else itertools.repeat(0)

    def answer(environ: Environ, start_response: StartResponse) -> list[bytes]:
        item = {"key": f"servers/{next(numbers):09}", "value": value, "revision": 1}
        body = msgspec.json.encode({"items": [item], "has-more": True, "at": 1})
        if context.sent_bytes > ENDLESS_MAX_BYTES:
            body = b"{}"
        context.sent_bytes += len(body)
        return HttpResponse(200, body).start(start_response)

    context.server = Server(ANY_PORT, answer)
    context.server.start()
    context.stoppables.append(context.server)
    context.server_port = context.server.bound_address.port
