"""Steps for routers that relay changes to each other on real connections."""

import gevent
import msgspec
import zmq.green as zmq
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.server import EdgeServer
from chervilstall.lease.holder import LeaseState
from chervilstall.peer.changes import Changes, ChangesRequest
from chervilstall.peer.messages import Refused, ReportAnswer
from chervilstall.peer.transport import PeerClient
from chervilstall.settings.option import Address
from chervilstall.standin.platform_fixtures import (
    build_configuration,
    remove_target_entry,
)
from tests.support.agent_fleet import eventually
from tests.support.platform_scenario import start_platform

CHANGE_INTERVAL_S = 0.1
FIRST_PORT = 21_000


@given("a platform with {count:d} routers in one zone that may relay")
def start_routers(context: Context, count: int) -> None:
    platform = start_platform(context)
    platform.first_port = FIRST_PORT
    platform.add_target("first", "lookups", "ba-hall")
    for _ in range(count):
        platform.add_router(wait=False)
    for router in platform.routers:
        eventually(lambda router=router: router.is_ready)
    eventually(lambda: len(relays(context)) == 2 and len(relayed(context)) == count - 2)


def relays(context: Context) -> list[EdgeServer]:
    """Return the routers that relay."""
    return [each for each in context.platform.routers if each.changes.choice.is_relay]


def relayed(context: Context) -> list[EdgeServer]:
    """Return the routers that hear of changes through a relay."""
    routers = context.platform.routers
    return [each for each in routers if each.store_watcher.is_relayed]


def idle_relayed(context: Context) -> list[EdgeServer]:
    """Return those of them that don't renew the planner's lease."""
    return [
        each
        for each in relayed(context)
        if each.planner_lease.state() is not LeaseState.HELD
    ]


@when("targets are added and removed for {time_s:d} s")
def change_targets(context: Context, time_s: int) -> None:
    platform = context.platform
    context.listening = idle_relayed(context)
    context.calls = [router.store.calls for router in context.listening]
    for number in range(int(time_s / CHANGE_INTERVAL_S)):
        platform.targets["first"].name = f"t-{number}"
        platform.register("first", "lookups", "ba-hall")
        if number > 3:
            remove_target_entry(platform.store.state, f"t-{number - 3}")
        gevent.sleep(CHANGE_INTERVAL_S)


def registered_targets(context: Context) -> set[str]:
    """Return the ids of the targets that the store holds."""
    keys = context.platform.store.state.items
    return {key.removeprefix("servers/") for key in keys if key.startswith("servers/")}


@then("all routers know the same targets within {time_s:d} s")
def check_targets(context: Context, time_s: int) -> None:
    expected = registered_targets(context)
    for router in context.platform.routers:
        eventually(
            lambda router=router: set(router.fleet_view.targets) == expected, time_s
        )


@then("at least {count:d} of them have not called the store meanwhile")
def check_no_calls(context: Context, count: int) -> None:
    calls = [router.store.calls for router in context.listening]
    assert calls == context.calls, (calls, context.calls)
    assert len(calls) >= count


@when("the routers that relay end")
def end_relays(context: Context) -> None:
    for router in relays(context):
        router.stop()
        context.platform.routers.remove(router)


@when("a target is added")
def add_target(context: Context) -> None:
    context.platform.add_target("second", "lookups", "ba-hall")


@when("the configuration changes")
def change_configuration(context: Context) -> None:
    context.listening = idle_relayed(context)
    context.calls = [router.store.calls for router in context.listening]
    context.platform.write_config(build_configuration(2))


@then("all routers put it in force within 1 s with one call each")
def check_configuration(context: Context) -> None:
    for router in context.platform.routers:
        eventually(
            lambda router=router: router.fleet_view.configuration.version == 2, 1.0
        )
    calls = [router.store.calls for router in context.listening]
    before = context.calls
    assert [after - first for after, first in zip(calls, before)] == [1] * len(before)


@then("no relay holds it")
def check_not_held(context: Context) -> None:
    for router in relays(context):
        log = router.store_watcher.change_log
        batches = log.after(log.first_revision) or []
        assert not any(
            each.key == "op/config" for batch in batches for each in batch.entries
        )


@when("a relay gets odd requests")
def send_odd_requests(context: Context) -> None:
    address = relays(context)[0].changes.choice.own.relay_address
    context.client = PeerClient(address)
    context.stoppables.append(context.client)
    send_bytes(address, odd_requests())
    assert isinstance(context.client.call(ReportAnswer(True), 1.0), Refused)


def odd_requests() -> list[bytes]:
    """Return bytes that are no request, or none that can be answered."""
    encode = msgspec.msgpack.encode
    tagged = {"type": "ChangesRequest", "era": 1, "after": 1, "wait_ms": 10}
    return [
        b"",
        b"\\xff" * 1_000,
        b"\\x91" * 100_000,
        encode([1, {**tagged, "after": -1}]),
        encode([1, {**tagged, "wait_ms": float("nan")}]),
        encode([1, {**tagged, "wait_ms": 2**63}]),
        encode([1, {**tagged, "era": "x" * 1_000_000}]),
        encode([1, {"type": "Unheard"}]),
    ]


def send_bytes(address: Address, requests: list[bytes]) -> None:
    """Send messages to a relay, as a process of any kind may."""
    socket = zmq.Context.instance().socket(zmq.DEALER)
    socket.connect(f"tcp://{address.host}:{address.port}")
    for request in requests:
        socket.send(request)
    gevent.sleep(0.3)
    socket.close(linger=0)


@then("it answers a request for changes")
def check_answers(context: Context) -> None:
    store_revision = context.platform.store.state.revision
    request = ChangesRequest(1, store_revision, 10)
    assert isinstance(context.client.call(request, 1.0), Changes)
