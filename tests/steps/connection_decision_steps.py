"""Steps for the decisions on kept connections to targets, without a network."""

import json
import socket
from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import gevent
import gevent.socket
from behave import given, then, when
from behave.runner import Context
from geventhttpclient.header import Headers

from chervilstall.edge.connections import TargetConnections
from chervilstall.edge.exchange import Exchange
from chervilstall.edge.exchange_failures import ExchangeFailed, ExchangeFailure
from chervilstall.fleet.records import NO_LAYERS, Target, TargetReadiness
from chervilstall.fleet.view import FleetView
from chervilstall.ids import ServiceName, TargetId, ZoneName
from chervilstall.platform.config import decode_configuration
from chervilstall.settings.option import Address
from chervilstall.standin.platform_fixtures import build_configuration
from chervilstall.target.idle_connections import TargetConnection
from tests.support.kept_connections import open_source
from tests.support.platform import ZONES
from tests.support.router_harness import HOST
from tests.support.stream_requests import make_request

SMALL_BUFFER_BYTES = 4_096
LARGE_BODY_BYTES = 8_000_000
"""Size of a body that a target's system doesn't take while the target doesn't read."""


def _build_target(number: int, address: Address) -> Target:
    return Target(
        TargetId(f"t-{number}"),
        0,
        ServiceName("lookups"),
        address,
        ZoneName(ZONES[0]),
        TargetReadiness.READY,
        "card",
        NO_LAYERS,
        revision=1,
    )


def _build_connections(
    connections_max: int, routers: int, requests_max: int = 1_000
) -> TargetConnections:
    service = {"name": "lookups", "max-connections": connections_max}
    document = build_configuration(services=[service])
    view = FleetView(drain_s=2.0)
    view.apply_configuration(decode_configuration(json.dumps(document).encode()), 1)
    return TargetConnections(view, lambda: routers, lambda: True, requests_max)


@given("targets that accept {accepted:d} connections from {routers:d} routers")
def set_bound(context: Context, accepted: int, routers: int) -> None:
    context.connections = _build_connections(accepted, routers)


@then("each router keeps at most {count:d} connections to each")
def check_bound(context: Context, count: int) -> None:
    connections: TargetConnections = context.connections
    target = _build_target(0, Address(HOST, 1))
    connections.fleet_view.update_target(target)
    bound = connections.idle_max(target.address, target.incarnation)
    assert bound == count, bound
    other = replace(target.incarnation, started_at_ms=1)
    assert connections.idle_max(target.address, other) == 0


def _leave_idle(context: Context, target: Target, count: int) -> None:
    connections: TargetConnections = context.connections
    connections.fleet_view.update_target(target)
    sources = [open_source(connections, target, "earlier") for _ in range(count)]
    for source in sources:
        source.adopt(_fake_client(context.stoppables.append))
    for source in sources:
        assert source.keep(None)


@given("{count:d} idle connections to a target, and {others:d} to another one")
def leave_idle(context: Context, count: int, others: int) -> None:
    _leave_idle(context, _build_target(1, Address(HOST, 1)), count)
    _leave_idle(context, _build_target(2, Address(HOST, 2)), others)


@when("{count:d} requests to it open a connection of their own")
def open_own(context: Context, count: int) -> None:
    for _ in range(count):
        source = open_source(context.connections, _build_target(1, Address(HOST, 1)))
        source.adopt(_fake_client(context.stoppables.append))


@when("{count:d} requests over kept connections to it run")
def take_kept(context: Context, count: int) -> None:
    for _ in range(count):
        source = open_source(context.connections, _build_target(1, Address(HOST, 1)))
        assert source.take_kept() is not None


@when("{count:d} routers share what targets accept")
def change_routers(context: Context, count: int) -> None:
    context.connections.router_count = lambda: count
    context.connections.expire()


@when("a request over one of the 3 fails")
def fail_over_kept(context: Context) -> None:
    target = _build_target(1, Address(HOST, 1))
    context.source = source = open_source(context.connections, target)
    assert source.take_kept() is not None
    source.note_failure(ExchangeFailure.TIMEOUT, was_kept=True, is_unacknowledged=False)
    source.close()
    # A later one of the target, which has answered since then.
    _leave_idle(context, target, 1)
    assert len(context.connections.idle) == 3
    assert source.take_kept() is None
    context.connections.idle.drop(target.address)


@when("a request fails over {kind} connection, {bytes_sent}, as {why}")
def fail_over(context: Context, kind: str, bytes_sent: str, why: str) -> None:
    source = open_source(context.connections, _build_target(1, Address(HOST, 1)))
    source.adopt(_fake_client(context.stoppables.append))
    source.note_failure(
        ExchangeFailure(why),
        was_kept=kind == "a kept",
        is_unacknowledged=bytes_sent == "unacknowledged",
    )
    source.close()


@then("the request takes no kept connection again")
def check_avoided(context: Context) -> None:
    assert context.source._request.avoids_kept_connections


@when("the first of them refuses without naming the request")
def refuse(context: Context) -> None:
    target = _build_target(1, Address(HOST, 1))
    open_source(context.connections, target).note_unnamed_refusal()


@when("the first of them refuses without naming the request while reuse isn't in force")
def refuse_before(context: Context) -> None:
    context.connections.is_in_force = lambda: False
    refuse(context)
    context.connections.is_in_force = lambda: True


def _takes_kept(context: Context) -> list[bool]:
    targets = [_build_target(number, Address(HOST, number)) for number in (1, 2)]
    sources = [open_source(context.connections, target) for target in targets]
    return [source.take_kept() is not None for source in sources]


@then("a kept connection is used to the second one only")
def check_second_only(context: Context) -> None:
    assert _takes_kept(context) == [False, True]


@then("a kept connection is used to both of them")
def check_both(context: Context) -> None:
    assert _takes_kept(context) == [True, True]


@given("a router with {count:d} descriptors for connections to targets")
def set_descriptors(context: Context, count: int) -> None:
    context.connections = _build_connections(1238, 6, count)


@when("{count:d} targets have answered a request each")
def answer_each(context: Context, count: int) -> None:
    for number in range(count):
        _leave_idle(context, _build_target(number, Address(HOST, number + 1)), 1)


def _fake_client(add_stoppable: Callable[[Any], None]) -> Any:
    ours, others = socket.socketpair()
    add_stoppable(SimpleNamespace(stop=others.close))
    return SimpleNamespace(
        _connection_pool=SimpleNamespace(socket=ours), close=ours.close
    )


@when("{count:d} requests run")
def run_requests(context: Context, count: int) -> None:
    context.connections.running = lambda: count
    context.connections.expire()


@then("{count:d} connections are idle")
def check_idle(context: Context, count: int) -> None:
    idle = context.connections.idle
    assert len(idle) == count, len(idle)
    assert all(isinstance(each, TargetConnection) for each in idle._in_order)


@when("a request to a target that {reads} ends as {why} after {silence_s:g} s")
def end_exchange(context: Context, reads: str, why: str, silence_s: float) -> None:
    listener = gevent.socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    listener.bind((HOST, 0))
    listener.listen()
    context.stoppables.append(SimpleNamespace(stop=listener.close))
    address = Address(HOST, listener.getsockname()[1])
    context.exchange = exchange = _open_exchange(context, address)
    if why == ExchangeFailure.TIMEOUT.value:
        timeout_s = silence_s
    else:
        timeout_s = 10.0 * silence_s
        gevent.spawn_later(silence_s, exchange.abort, ExchangeFailure(why))
    accepting = gevent.spawn(_accept, listener, reads == "reads all")
    try:
        exchange.send_request(timeout_s)
    except ExchangeFailed as error:
        assert error.failure is ExchangeFailure(why), error
    else:
        raise AssertionError("the exchange did not fail")
    finally:
        accepting.kill()


def _accept(listener: gevent.socket.socket, reads_all: bool) -> None:
    connection, _ = listener.accept()
    while reads_all and connection.recv(65_536):
        continue
    gevent.sleep(10.0)


def _open_exchange(context: Context, address: Address) -> Exchange:
    target = _build_target(1, address)
    context.connections.fleet_view.update_target(target)
    _leave_idle(context, target, 1)
    source = open_source(context.connections, target)
    # It takes a connection of its own.
    source._request.avoids_kept_connections = True
    request = make_request(body=bytes(LARGE_BODY_BYTES))
    return Exchange(request, address, Headers(), source=source)
