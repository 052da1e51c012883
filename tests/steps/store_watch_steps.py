"""Steps for a router that follows the store."""

import json

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.fleet.records import RouterConfiguration
from chervilstall.fleet.view import FleetView
from chervilstall.platform.handlers import configuration_handler, target_handler
from chervilstall.platform.kv import PlatformStore
from chervilstall.platform.watcher import StoreWatcher
from chervilstall.settings.node import StoreAddress
from chervilstall.standin.platform_fixtures import build_configuration
from chervilstall.telemetry.events import writer
from tests.support.agent_fleet import eventually
from tests.support.platform_scenario import start_platform
from tests.support.tasks import TaskStopper


def odd_entry(field: bytes, address: bytes = b"1.2.3.4:5") -> bytes:
    """Return a target's entry that is valid but for one field."""
    return b'{"service":"lookups","zone":"z","state":"ready","address":"%s",%s}' % (
        address,
        field,
    )


INVALID_ENTRIES = {
    "an invalid text encoding": b"\xff\xfe",
    "a missing address": b'{"service":"lookups","zone":"z","state":"ready"}',
    "a numeric zone": (
        b'{"service":"lookups","address":"1.2.3.4:5","zone":7,"state":"ready"}'
    ),
    "an unknown state": (
        b'{"service":"lookups","address":"1.2.3.4:5","zone":"z","state":"odd"}'
    ),
    "an address without a port": (
        b'{"service":"lookups","address":"1.2.3.4","zone":"z","state":"ready"}'
    ),
    "no content": b"",
    "a field nested 100,000 deep": odd_entry(b'"x":' + b"[" * 100_000 + b"]" * 100_000),
    "a start of 400 digits": odd_entry(b'"born":' + b"9" * 400),
    "a layer of 400 digits": odd_entry(b'"layers":{"from":0,"to":' + b"9" * 400 + b"}"),
    "a layer below 0": odd_entry(b'"layers":{"from":-3,"to":4}'),
    "port 0": odd_entry(b'"x":0', b"1.2.3.4:0"),
    "port 65536": odd_entry(b'"x":0', b"1.2.3.4:65536"),
    "a port of 5,000 digits": odd_entry(b'"x":0', b"1.2.3.4:" + b"9" * 5_000),
    "a host that is no IP address": odd_entry(b'"x":0', b"localhost:80"),
    "an address with a line break": odd_entry(b'"x":0', b"1.2.3.4\\r\\nX: y:80"),
    "a lone surrogate": odd_entry(b'"type":"\\ud800"'),
    "a service that is a list": odd_entry(b'"service":["lookups"]'),
    "a megabyte in one field": odd_entry(b'"born":"' + b"x" * 1_000_000 + b'"'),
}


@given("a fleet view that follows a store with one valid target")
def follow_store(context: Context) -> None:
    platform = start_platform(context)
    platform.add_target("valid", "lookups", "ba-hall")
    context.fleet_view = FleetView(drain_s=2.0)
    store = PlatformStore(StoreAddress(platform.store.address, 20.0, 1.0))
    handlers = (
        configuration_handler(context.fleet_view),
        target_handler(context.fleet_view),
    )
    watcher = StoreWatcher(store, context.fleet_view, handlers)
    context.stoppables.append(TaskStopper(gevent.spawn(watcher.run)))
    eventually(lambda: "valid" in context.fleet_view.targets)
    eventually(lambda: context.fleet_view.configuration is not None)


@given("a platform with one router and one target")
def start_one_router(context: Context) -> None:
    platform = start_platform(context)
    platform.add_target("valid", "lookups", "ba-hall")
    context.router = platform.add_router()
    eventually(lambda: "valid" in context.router.fleet_view.targets)
    # Long enough for every watch to be pending.
    gevent.sleep(0.5)


@when("{count:d} large configurations are written {when}")
def write_large(context: Context, count: int, when: str) -> None:
    state = context.platform.store.state
    context.versions_read = []
    original = context.fleet_view.apply_configuration

    def record_version(config: RouterConfiguration, revision: int) -> None:
        context.versions_read.append(config.version)
        original(config, revision)

    context.fleet_view.apply_configuration = record_version
    is_outage = when == "during a store outage"
    if is_outage:
        state.error_status = 503
        # Completes the pending watch, so that the next call fails.
        state.put("other", b"")
        eventually(lambda: context.fleet_view.outage_since_s is not None)
    keys = [f"key-{number}" * 10 for number in range(3000)]
    for number in range(count):
        tenants = [{"name": "depot", "api-keys": keys}]
        config = build_configuration(100 + number, tenants=tenants)
        state.put("op/config", json.dumps(config).encode())
        gevent.sleep(0.0 if is_outage else 0.05)
    state.error_status = 0
    context.last_version = 100 + count - 1


@then("the last of them comes into force and fewer than {limit:d} were read")
def check_few_read(context: Context, limit: int) -> None:
    eventually(lambda: context.last_version in context.versions_read)
    assert context.fleet_view.configuration.version == context.last_version
    assert len(context.versions_read) < limit, context.versions_read


@when("an entry with {fault} is written")
def write_invalid_entry(context: Context, fault: str) -> None:
    context.platform.store.state.put("servers/odd", INVALID_ENTRIES[fault])
    context.platform.store.state.put("servers/next", b"")
    gevent.sleep(0.2)


@when(
    'a valid entry is written for the IDs "a b", "a,b", "ä" and one with a line break'
)
def write_odd_ids(context: Context) -> None:
    for name in ("a b", "a,b", "ä", "a\r\nX-More: 1"):
        context.platform.store.state.put(f"servers/{name}", odd_entry(b'"x":0'))
    gevent.sleep(0.2)


@then("the store is still followed by the same watch")
def check_followed(context: Context) -> None:
    context.platform.add_target("later", "lookups", "ba-hall")
    eventually(lambda: "later" in context.fleet_view.targets)
    lines = [line.decode() for line in writer._lines]
    assert not [line for line in lines if "store lost" in line], lines


@then("the valid target is known and the other is not")
def check_only_valid(context: Context) -> None:
    assert set(context.fleet_view.targets) == {"valid"}, context.fleet_view.targets


@when("the target leaves and the store drops its history")
def remove_and_drop_history(context: Context) -> None:
    state = context.platform.store.state
    state.items.pop("servers/valid")
    state.revision += 5
    state.compact_history()


@when("the responses to pending watches are lost")
def lose_watches(context: Context) -> None:
    context.platform.store.state.drop_watches()


@when("the store is silent while watches are pending")
def silence_store(context: Context) -> None:
    state = context.platform.store.state
    state.is_silent = True
    state.put("other/key", b"")
    gevent.sleep(1.0)
    state.is_silent = False


@when("a configuration and a target are written")
def write_both(context: Context) -> None:
    context.platform.write_config(build_configuration(version=99))
    context.platform.add_target("second", "lookups", "ba-hall")


@then("the router knows both")
def check_both_known(context: Context) -> None:
    fleet_view = context.router.fleet_view
    eventually(lambda: fleet_view.configuration.version == 99)
    eventually(lambda: "second" in fleet_view.targets)


@then("the target is not known")
def check_unknown(context: Context) -> None:
    eventually(lambda: "valid" not in context.fleet_view.targets)


@when("an invalid configuration is written")
def write_invalid_configuration(context: Context) -> None:
    context.platform.store.state.put("op/config", b'{"version": "odd"}')
    gevent.sleep(0.2)


@then("the earlier configuration is in force")
def check_earlier(context: Context) -> None:
    assert context.fleet_view.configuration.version == 1


@when("20 configurations are written in quick succession")
def write_many(context: Context) -> None:
    for version in range(2, 22):
        context.platform.write_config(build_configuration(version))
        gevent.sleep(0.01)


@then("the last one is in force within 1 second")
def check_last(context: Context) -> None:
    eventually(lambda: context.fleet_view.configuration.version == 21, 1.0)
