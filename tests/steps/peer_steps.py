"""Steps for the links between peers."""

import tempfile
import time
from pathlib import Path

import gevent
from behave import given, then, when
from behave.runner import Context
from gevent.event import Event

from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.peer.keys import create_keys, read_keys
from chervilstall.peer.messages import (
    IndirectAnswer,
    IndirectPing,
    MemberState,
    Refused,
)
from chervilstall.peer.transport import PeerClient, PeerServer
from tests.support.agent_fleet import eventually
from tests.support.members import member_update
from tests.support.router_harness import ANY_PORT

REQUEST = IndirectPing(member_update(MemberState.ALIVE, 1))


@given("a peer server with the fleet's keys")
def peer_server(context: Context) -> None:
    context.folder = Path(tempfile.mkdtemp())
    create_keys(context.folder / "fleet")
    create_keys(context.folder / "other")
    context.keys = read_keys(str(context.folder / "fleet"))
    context.delay_s = 0.0
    context.held = None

    def answer(message):
        held, context.held = context.held, None
        if held is not None:
            held.wait()
        delay_s, context.delay_s = context.delay_s, 0.0
        gevent.sleep(delay_s)
        if isinstance(message, IndirectPing):
            return IndirectAnswer(True)
        return Refused("not a request")

    context.server = PeerServer(ANY_PORT, answer, context.keys)
    context.server.start()
    context.stoppables.append(context.server)


@when("a client sends a request with {keys}")
def ask_peer(context: Context, keys: str) -> None:
    chosen = {
        "the fleet's keys": context.keys,
        "other keys": read_keys(str(context.folder / "other")),
        "no keys": None,
    }[keys]
    client = PeerClient(context.server.address, chosen)
    context.stoppables.append(client)
    try:
        context.result = client.ask(REQUEST, IndirectAnswer, 0.5)
    except ChervilstallError as error:
        context.result = error


@then("the client is {result}")
def check_peer(context: Context, result: str) -> None:
    is_answered = isinstance(context.result, IndirectAnswer)
    assert is_answered == (result == "answered"), context.result


@then("it survives malformed messages and refuses messages that are not requests")
def check_malformed_messages(context: Context) -> None:
    client = PeerClient(context.server.address, context.keys)
    context.stoppables.append(client)
    nested = b"\x81\xa2zz" + b"\x91" * 100_000 + b"\xc0"
    for message in (b"\xffgarbage", nested):
        client._connect().socket.send(message)
    assert isinstance(client.call(IndirectAnswer(True), 1.0), Refused)
    assert client.ask(REQUEST, IndirectAnswer, 1.0).is_reached


@when("it does not answer one call in time")
def delay_answer(context: Context) -> None:
    context.client = PeerClient(context.server.address, context.keys)
    context.stoppables.append(context.client)
    context.delay_s = 5.0
    try:
        context.client.call(REQUEST, 0.2)
        raise AssertionError("the delayed call was answered in time")
    except ChervilstallError as error:
        assert error.kind is ErrorKind.PEER_UNAVAILABLE


@then("the next call is answered over a new connection")
def check_new_connection(context: Context) -> None:
    assert context.client.resets == 1
    assert context.client.ask(REQUEST, IndirectAnswer, 1.0).is_reached


@when("a call times out while the reply to a longer one is on its way")
def time_out_beside_longer_call(context: Context) -> None:
    context.client = PeerClient(context.server.address, context.keys)
    context.stoppables.append(context.client)
    held = context.held = Event()
    context.longer = gevent.spawn(context.client.ask, REQUEST, IndirectAnswer, 5.0)
    eventually(lambda: context.held is None)
    context.held = Event()
    try:
        context.client.call(REQUEST, 0.2)
        raise AssertionError("the held call was answered")
    except ChervilstallError as error:
        assert error.kind is ErrorKind.PEER_UNAVAILABLE
    context.held = None
    held.set()


@then("the longer call is answered, and the next one over a new connection")
def check_longer_call(context: Context) -> None:
    check_new_connection(context)
    assert context.longer.get().is_reached


@then("connections without calls are closed")
def check_closed_connections(context: Context) -> None:
    assert not context.client._replaced


@when("it stops while it answers a call that may take {timeout_s:g} seconds")
def stop_during_call(context: Context, timeout_s: float) -> None:
    client = PeerClient(context.server.address, context.keys)
    context.stoppables.append(client)
    context.held = Event()
    call = gevent.spawn(client.call, REQUEST, timeout_s)
    eventually(lambda: context.held is None)
    context.stopped_at_s = time.monotonic()
    context.server.finish()
    context.reply = call.get()


@then("the call was refused within {bound_s:g} second")
def check_refused_call(context: Context, bound_s: float) -> None:
    assert isinstance(context.reply, Refused), context.reply
    assert time.monotonic() - context.stopped_at_s < bound_s
