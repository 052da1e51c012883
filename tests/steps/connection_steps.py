"""Steps for connections to targets that are kept for requests."""

import time
from contextlib import ExitStack
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import gevent
import gevent.socket
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.connections import TargetConnections
from chervilstall.edge.server import EdgeServer
from chervilstall.fleet.records import NO_LAYERS
from chervilstall.fleet.view import FleetView
from chervilstall.ids import ServiceName, TargetId
from chervilstall.platform.headers import NOT_RUN_STATUSES
from chervilstall.settings.edge import ConnectionSettings, EdgeSettings, FeatureMode
from chervilstall.settings.option import Address
from chervilstall.standin.platform_fixtures import (
    build_configuration,
    build_route,
    write_target_entry,
)
from chervilstall.target import idle_connections
from chervilstall.target.sending import has_unacknowledged
from tests.steps.stream_steps import event_numbers
from tests.support.agent_fleet import eventually
from tests.support.kept_connections import open_source
from tests.support.platform import ZONES, Platform, send
from tests.support.platform_scenario import add_lookups, add_model, own_first
from tests.support.router_harness import HOST
from tests.support.scripted_target import Fault, ScriptedTarget

FAULT_SEEN_S = 0.06
"""Time in which what a target does after its answer reaches the router."""

SCRIPTED = "scripted"


def _start_platform(context: Context, mode: FeatureMode) -> Platform:
    settings = EdgeSettings(connections=ConnectionSettings(keep_for_requests=mode))
    context.platform = platform = Platform(edge_settings=settings)
    context.stoppables.append(platform)
    platform.start()
    context.answers = {}
    return platform


def _start_router(context: Context) -> None:
    """Start a router, and record the retries that it takes from its budget."""
    context.router = router = context.platform.add_router()
    context.retries = []
    try_spend = router.budget.try_spend

    def record(service: ServiceName, is_resume: bool = False) -> bool:
        context.retries.append(service)
        return try_spend(service, is_resume)

    router.budget.try_spend = record


def _opened(router: EdgeServer) -> int:
    return router.connections.opened


@given("a platform whose routers keep connections")
def start_keeping(context: Context) -> None:
    platform = _start_platform(context, FeatureMode.ON)
    add_lookups(platform)
    add_model(platform)
    _start_router(context)


@given("a platform whose routers keep no connections")
def start_not_keeping(context: Context) -> None:
    add_lookups(_start_platform(context, FeatureMode.OFF))
    _start_router(context)


@given("a scripted target of lookups that {fault}")
def start_scripted(context: Context, fault: str) -> None:
    platform = _start_platform(context, FeatureMode.ON)
    context.target = ScriptedTarget(SCRIPTED, Fault(fault))
    context.stoppables.append(context.target)
    _register(context, context.target.address)
    _start_router(context)
    assert platform.routers


@given(
    "a scripted target of lookups whose connections all fall silent at their next "
    "request"
)
def start_silent(context: Context) -> None:
    start_scripted(context, Fault.SILENT_AT_NEXT.value)
    context.target.is_faulty_always = True
    # So that requests at a time need a connection each.
    context.target.answer_s = 0.05


def _register(context: Context, address: str, **fields: Any) -> None:
    state = context.platform.store.state
    write_target_entry(
        state, SCRIPTED, "lookups", address, ZONES[0], NO_LAYERS, **fields
    )


@given("routes of lookups whose limit of attempts is {count:d}")
def limit_attempts(context: Context, count: int) -> None:
    fields = {"max-attempts": count}
    route = build_route("/lookup/", "idempotent", "lookups", **fields)
    context.platform.write_config(build_configuration(2, routes=[route]))
    view: FleetView = context.router.fleet_view
    eventually(lambda: view.configuration and view.configuration.version == 2)


@given("the check of idle connections misses what happens just after it")
def blind_check(context: Context) -> None:
    patches = ExitStack()
    for name, value in (("is_readable", False), ("find_readable", set())):
        patches.enter_context(
            patch.object(idle_connections, name, lambda _, v=value: v)
        )
    context.stoppables.append(SimpleNamespace(stop=patches.close))


@given("two scripted targets of lookups that answer late as the next request comes")
def start_two(context: Context) -> None:
    start_scripted(context, Fault.LATE_ANSWER.value)
    # So that requests at a time reach both.
    context.target.answer_s = 0.05
    context.second = ScriptedTarget("second", Fault.LATE_ANSWER, answer_s=0.05)
    context.stoppables.append(context.second)
    state = context.platform.store.state
    address, zone = context.second.address, ZONES[0]
    write_target_entry(state, "second", "lookups", address, zone, NO_LAYERS)
    eventually(lambda: len(context.router.fleet_view.targets) == 2)


@when("{count:d} requests for {path} reach both of them at a time")
def send_to_both(context: Context, count: int, path: str) -> None:
    gevent.joinall([gevent.spawn(_send, context, path) for _ in range(count)])
    assert len(context.target.arrivals) == len(context.second.arrivals) == 1
    assert len(context.router.connections.idle) == count


@given("another target of lookups in the other zone")
def add_other(context: Context) -> None:
    context.platform.add_target("other", "lookups", ZONES[1])
    eventually(lambda: len(context.router.fleet_view.targets) == 2)


def _send(context: Context, path: str) -> None:
    request = f"request-{len(context.answers) + 1}"
    context.answers[request] = None
    context.answers[request] = (path, send(context.router, path, request=request))


@when("{count:d} requests for {path} are sent one after the other")
def send_in_turn(context: Context, count: int, path: str) -> None:
    for _ in range(count):
        _send(context, path)


@when("{count:d} requests for {path} are sent to it")
def send_slowly(context: Context, count: int, path: str) -> None:
    for _ in range(count):
        _send(context, path)
        gevent.sleep(FAULT_SEEN_S)


@when("{count:d} requests for {path} are sent to it at a time")
def send_at_once(context: Context, count: int, path: str) -> None:
    gevent.joinall([gevent.spawn(_send, context, path) for _ in range(count)])
    assert context.router.connections.idle.count(_address(context)) == count


@when("the same request is sent again")
def send_same(context: Context) -> None:
    send(context.router, "/lookup/a", request="request-1")


@then("each got its own answer")
def check_answers(context: Context) -> None:
    for request, (path, response) in context.answers.items():
        if path.startswith("/draft"):
            assert response.status == 200, response
            assert event_numbers(response.body) == list(range(1, 11)), response
            continue
        assert response.body == f"answer to {request}".encode(), (request, response)


@then("at most {count:d} connections to targets were opened for them")
def check_few(context: Context, count: int) -> None:
    assert _opened(context.router) <= count, _opened(context.router)
    # A reuse is counted as the connection is given back.
    eventually(
        lambda: (
            _opened(context.router) + context.router.connections.reused
            == len(context.answers)
        )
    )


@then("{count:d} connections to targets were opened for them")
def check_opened(context: Context, count: int) -> None:
    assert _opened(context.router) == count, _opened(context.router)
    assert not context.router.connections.reused


@then("no connection carried /hold/a beside another request")
def check_own(context: Context) -> None:
    # The five holds, and one connection for each of the two rows of lookups at most.
    assert 6 <= _opened(context.router) <= 7, _opened(context.router)
    assert context.router.connections.reused >= 8, context.router.connections.reused


@then("the requests reached the target once each, over {count:d} connections")
def check_reached(context: Context, count: int) -> None:
    arrivals = context.target.arrivals
    assert [each.request for each in arrivals] == list(context.answers), arrivals
    assert len({each.connection for each in arrivals}) == count, arrivals


@then("that scripted target saw {count:d} connections")
def check_seen(context: Context, count: int) -> None:
    assert context.target.connections == count, context.target.arrivals


@then("no retry was used")
def check_no_retry(context: Context) -> None:
    assert not context.retries, context.retries


@then("1 retry was used")
def check_retry(context: Context) -> None:
    assert len(context.retries) == 1, context.retries


def _address(context: Context) -> Address:
    return Address(HOST, int(context.target.address.rpartition(":")[2]))


@then("no idle connection to that target is left")
def check_none_left(context: Context) -> None:
    assert not context.router.connections.idle.count(_address(context))


@when("the first target of the own zone falls silent")
def silence_first(context: Context) -> None:
    own_first(context).is_silent = True


@then("no connection is idle")
def check_none_idle(context: Context) -> None:
    assert not len(context.router.connections.idle)


@when("that scripted target {event}")
def change_target(context: Context, event: str) -> None:
    view: FleetView = context.router.fleet_view
    context.known = known = view.targets[TargetId(SCRIPTED)]
    assert context.router.connections.idle.count(known.address) == 1
    address = context.target.address
    match event:
        case "is suspected":
            view.suspect(known, "silent")
        case "is in an unreachable zone":
            view.mark_zone_unreachable(known.zone)
        case "drains":
            _register(context, address, state="draining")
        case "has started again":
            _register(context, address, started_at_ms=known.started_at_ms + 1)
        case "has gone":
            view._delete_target(known.id)
        case "has moved to another port":
            moved = Address(HOST, known.address.port + 1)
            _register(context, str(moved))
    if event not in ("is suspected", "is in an unreachable zone"):
        eventually(lambda: view.targets.get(known.id) != known)


@then("no idle connection to that target is used")
def check_not_used(context: Context) -> None:
    connections: TargetConnections = context.router.connections
    present = context.router.fleet_view.targets.get(context.known.id, context.known)
    for target in (context.known, present):
        assert open_source(connections, target).take_kept() is None
    connections.expire()
    assert not len(connections.idle)


@then("that target isn't suspected")
def check_sound(context: Context) -> None:
    view: FleetView = context.router.fleet_view
    assert not view.is_suspected(view.targets[TargetId(SCRIPTED)])


@then("the second one is not said to have not run")
def check_unknown(context: Context) -> None:
    _, response = context.answers["request-2"]
    assert response.status not in NOT_RUN_STATUSES, response
    assert response.status == 502, response


@then("no kept connection is used for that target")
def check_service(context: Context) -> None:
    target = context.router.fleet_view.targets[TargetId(SCRIPTED)]
    context.router.fleet_view.clear_suspicion(target)
    assert not open_source(context.router.connections, target).may_keep


@when("the router begins to drain")
def begin_drain(context: Context) -> None:
    assert len(context.router.connections.idle) == 1
    gevent.spawn(context.router.drain_and_stop, time.monotonic())
    eventually(lambda: context.router.is_draining)


@when("the router is stopped at once")
def stop_router(context: Context) -> None:
    assert len(context.router.connections.idle) == 1
    context.router.stop()


@given("a connection that was closed by its own side")
def close_own(context: Context) -> None:
    context.closed, others = gevent.socket.socketpair()
    context.stoppables.append(SimpleNamespace(stop=others.close))
    context.closed.close()


@then("it has no unacknowledged data")
def check_acknowledged(context: Context) -> None:
    assert not has_unacknowledged(context.closed)
