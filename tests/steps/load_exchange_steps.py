"""Steps for routers that exchange load on real connections."""

import socket
import subprocess
import sys

import gevent
import zmq
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.server import EdgeServer
from chervilstall.ids import TargetId, WorkspaceName
from chervilstall.paths.peer_loads import DemandClass
from chervilstall.paths.records import Path, PathStage
from chervilstall.settings.edge import (
    EdgeSettings,
    FeatureMode,
    LoadExchangeSettings,
)
from chervilstall.standin.platform_fixtures import (
    WORKSPACE,
    build_configuration,
    build_route,
)
from chervilstall.telemetry.events import writer
from tests.support.agent_fleet import eventually
from tests.support.platform import send
from tests.support.platform_scenario import start_platform
from tests.support.router_harness import HOST

FIRST_PORT = 21_400
EXCHANGING = EdgeSettings(load_exchange=LoadExchangeSettings(mode=FeatureMode.ON))
FOLLOWING = EdgeSettings(load_exchange=LoadExchangeSettings(mode=FeatureMode.AUTO))
TARGET = TargetId("first")
TOKENS = 640.0
REQUESTS = 4
IMPORTED = "import sys, chervilstall.edge.server; print('zmq' in sys.modules)"


def start_routers(context: Context, count: int, settings: EdgeSettings) -> None:
    """Start a platform whose routers have internal ports, and a target."""
    platform = start_platform(context)
    platform.first_port = FIRST_PORT
    platform.edge_settings = settings
    platform.add_target(TARGET, "lookups", "ba-hall")
    for _ in range(count):
        platform.add_router(wait=False)
    context.routers = platform.routers
    for router in platform.routers:
        eventually(lambda router=router: router.is_ready)


def count_requests(router: EdgeServer) -> float:
    """Return the requests that others put on the target, as a router knows them."""
    target = router.fleet_view.targets[TARGET]
    return router.chooser.peer_loads.requests(target.incarnation)


def add_requests(router: EdgeServer) -> None:
    """Let a router have requests in flight."""
    target = router.fleet_view.targets[TARGET]
    path = Path((PathStage(target, target.layers),))
    for _ in range(REQUESTS):
        router.chooser.load.add(path, TOKENS)


def reporting(router: EdgeServer) -> int:
    """Return the number of routers that report to a router."""
    return router.chooser.peer_loads.reporting_routers


@given("a platform with {count:d} routers that exchange load")
def start_exchanging(context: Context, count: int) -> None:
    start_routers(context, count, EXCHANGING)
    for router in context.routers:
        eventually(lambda router=router: reporting(router) == count - 1)


@given("a platform with 2 routers in each of two zones that exchange load")
def start_two_zones(context: Context) -> None:
    start_routers(context, 2, EXCHANGING)
    for _ in range(2):
        context.platform.add_router("za-hall")
    for router in context.routers:
        eventually(lambda router=router: reporting(router) == 1)


@given("a platform with {count:d} routers whose options are the defaults")
def start_default(context: Context, count: int) -> None:
    start_routers(context, count, EdgeSettings())


@given("a platform with {count:d} routers that exchange load while routes are ranked")
def start_following(context: Context, count: int) -> None:
    start_routers(context, count, FOLLOWING)


@then("they neither bind a port for load nor load the transport for it within 1.5 s")
def check_not_started(context: Context) -> None:
    gevent.sleep(1.5)
    for router in context.routers:
        assert reporting(router) == 0
        address = router.registry.peer.loads_address
        with socket.socket() as probe:
            assert probe.connect_ex((HOST, address.port)) != 0
    imported = subprocess.run(
        [sys.executable, "-c", IMPORTED], capture_output=True, text=True, check=True
    )
    assert imported.stdout.strip() == "False", imported.stdout


@when("callers ask one router for 10 streams a second")
def ask_for_streams(context: Context) -> None:
    # No target holds the model, so that they are refused: demand isn't what is served.
    for number in range(40):
        request = f"demand-{number}"
        gevent.spawn(send, context.routers[0], "/draft/x", request=request)
        gevent.sleep(0.1)


@then("the other one knows of 5 to 15 requests of that priority and workspace")
def check_demand(context: Context) -> None:
    demand = context.routers[1].chooser.peer_loads.demand()
    assert list(demand) == [DemandClass(1, WorkspaceName(WORKSPACE))], demand
    assert 5 <= sum(demand.values()) <= 15, demand
    assert context.routers[0].chooser.peer_loads.demand() == {}


def write_routes(context: Context, version: int, urgent: int) -> None:
    """Write a configuration with a second route of the model, of a priority."""
    config = build_configuration(version)
    config["routes"].append(
        build_route("/urgent/", "streaming", "drafts", priority=urgent)
    )
    context.platform.write_config(config)


@when("the configuration ranks the routes of a model")
def rank_routes(context: Context) -> None:
    write_routes(context, version=2, urgent=0)


@when("the configuration ranks no routes")
def level_routes(context: Context) -> None:
    write_routes(context, version=3, urgent=1)


@then("{count:d} router reports to each within {within_s:g} s")
@then("{count:d} routers report to each within {within_s:g} s")
def check_reporting(context: Context, count: int, within_s: float) -> None:
    for router in context.routers:
        eventually(lambda router=router: reporting(router) == count, within_s)


@given("a router has 4 requests in flight at a target")
@when("a router has 4 requests in flight at a target")
def begin_requests(context: Context) -> None:
    add_requests(context.routers[0])


@given("the others count {count:d} requests there within {within_s:g} s")
@then("the others count {count:d} requests there within {within_s:g} s")
def check_counted(context: Context, count: int, within_s: float) -> None:
    for router in context.routers[1:]:
        eventually(lambda router=router: count_requests(router) == count, within_s)


@then("none of them reports load of its own")
def check_no_own_load(context: Context) -> None:
    assert count_requests(context.routers[0]) == 0


@then("the metrics of the routers name 2 reporting routers")
def check_metrics(context: Context) -> None:
    for router in context.routers:
        values = dict(
            line.rsplit(" ", 1)
            for line in router.metrics_text().splitlines()
            if line and not line.startswith("#")
        )
        found = {key: value for key, value in values.items() if "load_" in key}
        (reporting_key,) = [key for key in found if "load_reporting_routers" in key]
        assert float(found[reporting_key]) == 2, found
        (age_key,) = [key for key in found if "load_age_seconds" in key]
        assert 0.0 <= float(found[age_key]) <= 2.0, found
        (bytes_key,) = [key for key in found if "load_received_bytes" in key]
        assert float(found[bytes_key]) > 0, found


@when("the router that has the requests ends")
def end_router(context: Context) -> None:
    context.routers[0].stop()


@when("odd messages come from the address of a neighbour")
def send_odd_messages(context: Context) -> None:
    ended, listener = context.routers[0], context.routers[1]
    address = ended.registry.peer.loads_address
    ended.load_exchange.stop()
    ended.load_exchange.is_in_force = lambda: False
    zmq_context = zmq.Context()
    publisher = zmq_context.socket(zmq.PUB)
    publisher.linger = 0
    eventually(lambda: is_bound(publisher, f"tcp://{address}"))
    before = listener.load_exchange.messages_dropped

    def is_dropped() -> bool:
        for data in (b"", b"?", b"m", b"z", b"\xff" * 1000, b"m\x91" * 20_000):
            publisher.send(data)
        return listener.load_exchange.messages_dropped >= before + 6

    eventually(is_dropped)
    context.dropped = listener.load_exchange.messages_dropped - before
    zmq_context.destroy(linger=0)
    ended.load_exchange.is_in_force = lambda: True


def is_bound(publisher: zmq.Socket[bytes], address: str) -> bool:
    """Bind a socket; return False if the address is in use."""
    try:
        publisher.bind(address)
    except zmq.ZMQError:
        return False
    return True


@then("these messages are counted as dropped, with a line in the log")
def check_dropped(context: Context) -> None:
    assert context.dropped >= 6
    assert any(b"load message dropped" in line for line in writer._lines)


@then("a router's 4 requests in flight are counted by the others within {within_s:g} s")
def check_still_counted(context: Context, within_s: float) -> None:
    # From the router whose address the messages came from, once it is back.
    first = context.routers[0]
    first.load_exchange._bind_at_s = 0.0
    add_requests(context.routers[2])
    assert count_requests(context.routers[2]) == 0
    eventually(lambda: count_requests(context.routers[1]) == REQUESTS, within_s)
    eventually(lambda: count_requests(first) == REQUESTS, within_s)


@given("a platform with a router whose port for load is taken")
def start_with_taken_port(context: Context) -> None:
    taken = socket.socket()
    taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    taken.bind((HOST, FIRST_PORT + 2))
    taken.listen()
    try:
        start_routers(context, 1, EXCHANGING)
        eventually(is_refusal_logged)
    finally:
        taken.close()


def is_refusal_logged() -> bool:
    """Return whether a router logged that it exchanges nothing."""
    return any(b"load not exchanged" in line for line in writer._lines)


@then("it is ready and exchanges nothing")
def check_ready(context: Context) -> None:
    (router,) = context.routers
    assert router.is_ready
    assert router.load_exchange.sent_bytes == 0
