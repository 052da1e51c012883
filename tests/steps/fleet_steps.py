"""Steps for the router's fleet view, paths, retry budget, logs and settings."""

import dataclasses
import json
import os
import random
import time

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.budget import FleetRetryBudget
from chervilstall.fleet.records import (
    AcceleratorType,
    LayerRange,
    Pipeline,
    RouterConfiguration,
    Service,
    Target,
    TargetReadiness,
)
from chervilstall.fleet.suspicion import SuspicionKind
from chervilstall.fleet.view import FleetView
from chervilstall.ids import ServiceName, TargetId, ZoneName
from chervilstall.paths import choice
from chervilstall.paths.capacity import token_capacity
from chervilstall.paths.choice import PathChooser, PathRequest
from chervilstall.paths.records import PathStage
from chervilstall.platform.config import decode_configuration
from chervilstall.platform.kv import PlatformStore
from chervilstall.platform.node import decode_node
from chervilstall.platform.watcher import (
    StoreWatcher,
    configuration_handler,
    target_handler,
)
from chervilstall.settings.node import StoreAddress
from chervilstall.settings.option import Address
from chervilstall.settings.problems import InvalidSettings
from chervilstall.standin.platform_fixtures import build_configuration
from chervilstall.telemetry.edge_metrics import EdgeMetrics, RequestOutcome
from chervilstall.telemetry.events import EventLevel, EventWriter
from tests.support.agent_fleet import eventually
from tests.support.clock import Clock
from tests.support.platform import BOUNDS, Platform

LAYERS = 8
PIPELINE = Pipeline(
    layers=LAYERS,
    layer_mb=1000.0,
    kv_bytes_per_token=800_000.0,
    step_ms=1.0,
    prefill_tokens_per_s=200_000.0,
    token_transfer_s=43e-6,
    load_s=1.0,
    loads_at_once=6,
    typical_tokens=100.0,
    accelerators={"card": AcceleratorType("card", 20_000.0, 1.0, 1.0)},
)
SERVICE = Service(ServiceName("drafts"), 100, "/healthz", PIPELINE)
LOCAL, REMOTE = ZoneName("local"), ZoneName("remote")


def make_target(name: str, zone: str, first: int, end: int) -> Target:
    """Return a ready target that holds the layers from `first` up to `end`."""
    return Target(
        TargetId(name),
        1,
        SERVICE.name,
        Address("127.0.0.1", 1000 + len(name) + first),
        ZoneName(zone),
        TargetReadiness.READY,
        "card",
        LayerRange(first, end),
        revision=1,
    )


def make_chooser(*targets: Target) -> PathChooser:
    """Return a path chooser in the zone `LOCAL` that knows `targets`."""
    fleet_view = FleetView(drain_s=2.0)
    for target in targets:
        fleet_view.update_target(target)
    return PathChooser(fleet_view, LOCAL)


def is_exact(path: choice.Path, layers: int) -> bool:
    """Return whether a path runs every layer once, in order, where it is held."""
    reached = 0
    for stage in path.stages:
        if stage.layers.first != reached or not stage.target.layers.covers(
            stage.layers
        ):
            return False
        reached = stage.layers.end
    ids = {stage.target.id for stage in path.stages}
    return reached == layers and len(ids) == len(path.stages)


# Paths


@then("in 200 random fleets a path runs every layer once or none exists")
def check_random_paths(context: Context) -> None:
    rng = random.Random(11)
    found = 0
    for _ in range(200):
        targets = []
        for number in range(rng.randint(2, 14)):
            first = rng.randrange(LAYERS)
            end = rng.randint(first + 1, LAYERS)
            zone = rng.choice([LOCAL, REMOTE])
            targets.append(make_target(f"t{number}", zone, first, end))
        chooser = make_chooser(*targets)
        path = chooser.choose(SERVICE, PathRequest(100.0))
        held = [False] * LAYERS
        for target in targets:
            for layer in range(target.layers.first, target.layers.end):
                held[layer] = True
        if path is None:
            assert not all(held), "every layer is held, but no path was found"
            continue
        found += 1
        assert is_exact(path, LAYERS), path
    assert found > 50, found


@given("a copy of the model in each of two zones")
def add_two_copies(context: Context) -> None:
    context.chooser = make_chooser(
        make_target("a", LOCAL, 0, 4),
        make_target("b", LOCAL, 4, 8),
        make_target("x", REMOTE, 0, 4),
        make_target("y", REMOTE, 4, 8),
    )
    context.avoid = frozenset()


@given("a copy of the model in each of two zones and a spare target")
def add_copies_and_spare(context: Context) -> None:
    add_two_copies(context)
    context.chooser.fleet_view.update_target(make_target("c", LOCAL, 4, 8))


@given("a copy of the model in the router's zone only")
def add_one_copy(context: Context) -> None:
    context.chooser = make_chooser(
        make_target("a", LOCAL, 0, 4), make_target("b", LOCAL, 4, 8)
    )
    context.avoid = frozenset()


@when('the target "{name}" {state}')
def change_target(context: Context, name: str, state: str) -> None:
    fleet_view = context.chooser.fleet_view
    target = fleet_view.targets[name]
    match state:
        case "is suspected":
            fleet_view.suspect(target, "test", shared=False)
        case "had no room":
            context.chooser.load.note_full(target.incarnation, 5.0)
        case "prefills 100 prompts":
            path = choice.Path((PathStage(target, target.layers),))
            for _ in range(100):
                context.chooser.note_prefill(PIPELINE, path, 800.0)
        case "is slow":
            fleet_view.note_slowness(target, 12.0)
        case "is draining":
            draining = dataclasses.replace(
                target, state=TargetReadiness.DRAINING, revision=2
            )
            fleet_view.update_target(draining)
        case "is excluded":
            context.avoid = frozenset({target.id})


def choose_ids(context: Context) -> list[str]:
    """Choose a path and return the ids of its targets."""
    path = context.chooser.choose(SERVICE, PathRequest(100.0, context.avoid))
    assert path is not None
    assert is_exact(path, LAYERS)
    return [stage.target.id for stage in path.stages]


@then("the path stays in the router's zone")
def check_local_path(context: Context) -> None:
    assert choose_ids(context) == ["a", "b"]


@then("the path stays in the other zone")
def check_remote_path(context: Context) -> None:
    assert choose_ids(context) == ["x", "y"]


@then('the path uses "c" instead')
def check_spare_used(context: Context) -> None:
    assert choose_ids(context) == ["a", "c"]


@then("a path exists now and none after the bound")
def check_draining_first(context: Context) -> None:
    assert choose_ids(context) == ["a", "b"]
    context.chooser.fleet_view.drain_s = 0.0
    assert context.chooser.choose(SERVICE, PathRequest(100.0)) is None


@then("no path exists")
def check_no_path(context: Context) -> None:
    assert context.chooser.choose(SERVICE, PathRequest(100.0)) is None


@then("a path over 98 targets takes fewer than 30,000 search nodes")
def check_search_work(context: Context) -> None:
    nodes = 0
    original = choice._SearchNode

    def count_node(*arguments: object) -> object:
        nonlocal nodes
        nodes += 1
        return original(*arguments)

    pipeline = dataclasses.replace(PIPELINE, layers=80)
    service = dataclasses.replace(SERVICE, pipeline=pipeline)
    targets = [
        make_target(f"t{number}", LOCAL, number * 9 % 72, number * 9 % 72 + 8)
        for number in range(98)
    ]
    chooser = make_chooser(*targets)
    choice._SearchNode = count_node
    try:
        path = chooser.choose(service, PathRequest(100.0))
    finally:
        choice._SearchNode = original
    assert path is None or is_exact(path, 80)
    assert nodes < 30_000, nodes


@given("a fast target and a slow copy of the model, and 60 routers in 4 zones")
def add_fast_and_slow(context: Context) -> None:
    accelerators = {
        "fast": AcceleratorType("fast", 20_000.0, 1.4, 1.0),
        "slow": AcceleratorType("slow", 20_000.0, 15.0, 15.0),
    }
    pipeline = dataclasses.replace(PIPELINE, accelerators=accelerators)
    context.service = dataclasses.replace(SERVICE, pipeline=pipeline)
    fast = dataclasses.replace(make_target("f", LOCAL, 0, 8), accelerator="fast")
    slow = [
        dataclasses.replace(
            make_target(name, LOCAL, first, first + 4), accelerator="slow"
        )
        for name, first in (("s", 0), ("t", 4))
    ]
    context.chooser = make_chooser(fast, *slow)
    context.chooser.router_count = 60
    context.chooser.zone_count = 4
    context.fast = fast


@when("this router begins its share of twice the requests that the fast target holds")
def begin_share(context: Context) -> None:
    tokens = 300.0
    fitting = token_capacity(context.service.pipeline, context.fast) / tokens
    context.share = fitting / (60 / 4)
    for _ in range(round(2 * context.share)):
        path = context.chooser.choose(context.service, PathRequest(tokens))
        context.chooser.load.add(path, tokens)


@then("no more than its share of what the fast target holds goes there")
def check_share(context: Context) -> None:
    on_fast = context.chooser.load.requests[context.fast.incarnation]
    assert 0 < on_fast <= context.share, (on_fast, context.share)


# Fleet view


def make_configuration(version: int) -> RouterConfiguration:
    """Return a decoded configuration of a version."""
    return decode_configuration(json.dumps(build_configuration(version)).encode())


@given("a fleet view with configuration 7")
def add_configuration(context: Context) -> None:
    context.fleet_view = FleetView(drain_s=2.0)
    context.fleet_view.apply_configuration(make_configuration(7), 1)


@when("configuration 5 arrives")
def apply_lower_version(context: Context) -> None:
    context.fleet_view.apply_configuration(make_configuration(5), 2)


@then("configuration 7 is in force")
def check_version_kept(context: Context) -> None:
    assert context.fleet_view.configuration.version == 7


@given("a fleet view with a target")
def add_target_to_view(context: Context) -> None:
    context.fleet_view = FleetView(drain_s=2.0)
    context.target = make_target("a", LOCAL, 0, 8)
    context.fleet_view.update_target(context.target)


@when("the target's entry expires during a store outage")
def expire_in_outage(context: Context) -> None:
    context.fleet_view.note_outage()
    context.fleet_view.remove_target(context.target.id)


@then("the target is still used")
def check_used(context: Context) -> None:
    assert context.fleet_view.ready_targets(SERVICE.name) == [context.target]


@then("it is removed once its entry has stayed away")
def check_removed_later(context: Context) -> None:
    context.fleet_view.expire()
    check_used(context)
    name = context.target.id
    context.fleet_view._lapsed_at_s[name] -= 2.0
    context.fleet_view.expire()
    check_not_used(context)


@when("the target's entry is deleted a second after a store outage")
def delete_after_outage(context: Context) -> None:
    context.fleet_view.note_outage()
    context.fleet_view._outage_end_s -= 1.0
    context.fleet_view.remove_target(context.target.id)


@when("the drain bound has passed")
def pass_drain_bound(context: Context) -> None:
    context.fleet_view._lapsed_at_s[context.target.id] -= context.fleet_view.drain_s


@when("the target's entry is deleted")
def delete_entry(context: Context) -> None:
    context.fleet_view.remove_target(context.target.id)


@then("the target is not used")
def check_not_used(context: Context) -> None:
    assert context.fleet_view.ready_targets(SERVICE.name) == []


@when("the target is suspected and restarts under the same id")
def suspect_and_restart(context: Context) -> None:
    context.fleet_view.suspect(context.target, "test", shared=False)
    context.target = dataclasses.replace(context.target, started_at_ms=2, revision=2)
    context.fleet_view.update_target(context.target)


@then("it is avoided for 4, 8 and 16 seconds in turn, and for 4 again once cleared")
def check_suspicion_times(context: Context) -> None:
    fleet_view, target = context.fleet_view, context.target
    durations_s = []
    for turn in range(4):
        if turn == 3:
            fleet_view.clear_suspicion(target)
        fleet_view.suspect(target, "test", shared=False)
        suspicion = fleet_view._suspicions[target.incarnation]
        durations_s.append(round(suspicion.until_s - time.monotonic()))
        suspicion.until_s = 0.0
        fleet_view.expire()
        assert not fleet_view.is_suspected(target)
    assert durations_s == [4, 8, 16, 4], durations_s


@when("the target is suspected as {kind} during a store outage")
def suspect_in_outage(context: Context, kind: str) -> None:
    context.fleet_view.begin_outage(time.monotonic())
    context.fleet_view.suspect(
        context.target, "test", shared=False, kind=SuspicionKind(kind)
    )


@when("the target gives a report")
def give_report(context: Context) -> None:
    context.fleet_view.apply_report(context.target, context.target.layers)


@then("the suspicion has ended: {ends}")
def check_suspicion_ended(context: Context, ends: str) -> None:
    assert context.fleet_view.is_suspected(context.target) is (ends == "no")


@then("it is not suspected")
def check_unsuspected(context: Context) -> None:
    assert not context.fleet_view.is_suspected(context.target)


@given("a fleet view that follows a store with one valid target")
def follow_store(context: Context) -> None:
    platform = context.platform = Platform()
    context.stoppables.append(platform)
    platform.start()
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


@dataclasses.dataclass
class TaskStopper:
    """Kills a task at the end of a scenario."""

    task: gevent.Greenlet

    def stop(self) -> None:
        """Kill the task."""
        self.task.kill()


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
}


@when("an entry with {fault} is written")
def write_invalid_entry(context: Context, fault: str) -> None:
    context.platform.store.state.put("servers/odd", INVALID_ENTRIES[fault])
    context.platform.store.state.put("servers/next", b"")
    gevent.sleep(0.2)


@then("the valid target is known and the other is not")
def check_only_valid(context: Context) -> None:
    assert set(context.fleet_view.targets) == {"valid"}, context.fleet_view.targets


@when("the target leaves and the store drops its history")
def remove_and_drop_history(context: Context) -> None:
    state = context.platform.store.state
    state.items.pop("servers/valid")
    state.revision += 5
    state.compact_history()


@given("a platform with one router and one target")
def start_one_router(context: Context) -> None:
    platform = context.platform = Platform()
    context.stoppables.append(platform)
    platform.start()
    platform.add_target("valid", "lookups", "ba-hall")
    context.router = platform.add_router()
    eventually(lambda: "valid" in context.router.fleet_view.targets)
    # Long enough for every watch to be pending.
    gevent.sleep(0.5)


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


# Settings

NODE = {
    "node-name": "edge-1",
    "zone": "ba-hall",
    "ip": "10.0.0.1",
    "listen": {"frontend": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "platform": {"address": "10.0.0.9:82"},
    "bounds": {"grace-s": 8},
}


@then("a settings file with three errors is refused with all three named")
def check_errors(context: Context) -> None:
    invalid = {**NODE, "zone": "", "bounds": {"grace-s": 0}}
    invalid["listen"] = {"frontend": "nowhere", "ready": "10.0.0.1:81"}
    try:
        decode_node(json.dumps(invalid).encode(), "boot.json")
    except InvalidSettings as errors:
        names = sorted(error.name for error in errors.exceptions)
        assert names == ["bounds.grace-s", "listen.frontend", "zone"], names
        return
    raise AssertionError("a settings file with errors was accepted")


@then("a settings file with unknown fields is read")
def check_unknown_fields(context: Context) -> None:
    content = json.dumps({**NODE, "later": {"more": 1}}).encode()
    assert decode_node(content, "boot.json").bounds.grace_s == 8.0


# Retry budget


@then("for 50 drawn fleets no window has more repeats than the bound allows")
def check_windows(context: Context) -> None:
    rng = random.Random(3)
    service = ServiceName("drafts")
    original = time.monotonic
    for _ in range(50):
        now_s = 1000.0
        time.monotonic = lambda: now_s
        try:
            routers = rng.randint(1, 12)
            budgets = [FleetRetryBudget(BOUNDS, routers) for _ in range(routers)]
            requests: list[float] = []
            retries: list[float] = []
            for _ in range(800):
                now_s += rng.expovariate(20.0)
                budget = rng.choice(budgets)
                if rng.random() < 0.5:
                    budget.record_request(service)
                    requests.append(now_s)
                if budget.try_spend(service, rng.random() < 0.5):
                    retries.append(now_s)
        finally:
            time.monotonic = original
        for end_s in retries:
            first_s = end_s - BOUNDS.retry_window_s
            sent = sum(first_s < moment_s <= end_s for moment_s in requests)
            retried = sum(first_s < moment_s <= end_s for moment_s in retries)
            bound = BOUNDS.retry_ratio * sent + BOUNDS.retry_extra
            assert retried <= bound, (retried, bound)


@given("a budget whose first part is used up")
def spend_first_part(context: Context) -> None:
    context.budget = FleetRetryBudget(BOUNDS, 1)
    while context.budget.try_spend(SERVICE.name):
        pass


@then("a request without an answer is refused a repeat and a begun one is not")
def check_reserved_part(context: Context) -> None:
    assert not context.budget.try_spend(SERVICE.name)
    assert context.budget.try_spend(SERVICE.name, is_resume=True)


@given("a budget whose retries are all reserved and sent {after_s:d} seconds later")
def reserve_all(context: Context, after_s: int) -> None:
    context.clock = Clock()
    context.stoppables.append(context.clock)
    context.budget = FleetRetryBudget(BOUNDS, 1)
    context.sent = 0
    while context.budget.try_reserve(SERVICE.name, is_resume=True):
        context.sent += 1
    assert context.sent
    context.clock.now_s += after_s
    for _ in range(context.sent):
        context.budget.spend_reserved(SERVICE.name)


@when("as many retries as the budget allows are sent {after_s:d} seconds after that")
def spend_all(context: Context, after_s: int) -> None:
    context.clock.now_s += after_s
    while context.budget.try_spend(SERVICE.name, is_resume=True):
        context.sent += 1


@then("the last window has no more retries than the bound allows")
def check_last_window(context: Context) -> None:
    assert context.sent <= BOUNDS.retry_extra, context.sent


# Logs


def write_lines(writer: EventWriter, routine: int, warnings: int) -> None:
    """Write routine lines, then warnings."""
    for number in range(routine):
        writer.add(EventLevel.ROUTINE, {"event": "sent", "number": number})
    for number in range(warnings):
        writer.add(EventLevel.WARNING, {"event": "refused", "number": number})


def start_writer(context: Context) -> None:
    """Start a log writer that writes to a new pipe."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    context.reader = reader
    context.writer = EventWriter(writer)
    context.stoppables.append(TaskStopper(gevent.spawn(context.writer.run)))
    context.received = b""


@given("logs into a pipe that nobody reads")
def log_to_unread_pipe(context: Context) -> None:
    start_writer(context)
    # Makes the lines large enough to fill the pipe.
    context.writer.common_fields["padding"] = "x" * 500


@given("logs into a pipe that is read")
def log_to_read_pipe(context: Context) -> None:
    start_writer(context)


@when("{routine:d} routine lines and {warnings:d} warnings are logged")
def log_many(context: Context, routine: int, warnings: int) -> None:
    context.writer.dropped_lines = 0
    started_s = time.monotonic()
    write_lines(context.writer, routine, warnings)
    if routine > 10_000:
        for _ in range(5_000):
            context.writer.add(EventLevel.WARNING, {"event": "refused"})
    context.elapsed_s = time.monotonic() - started_s
    gevent.sleep(0.2)


@then("logging took less than 2 seconds and lines were dropped")
def check_not_blocked(context: Context) -> None:
    assert context.elapsed_s < 2.0, context.elapsed_s
    assert context.writer.dropped_lines > 0


def read_pipe(context: Context) -> list[dict]:
    """Read the pipe for a while and return all complete lines so far."""
    for _ in range(400):
        try:
            context.received += os.read(context.reader, 65_536)
        except BlockingIOError:
            gevent.sleep(0.01)
    lines = context.received.split(b"\n")[:-1]
    return [json.loads(line) for line in lines]


@when("the reader reads on")
def read_on(context: Context) -> None:
    read_pipe(context)
    context.writer.add(EventLevel.WARNING, {"event": "refused"})


@then("the count of dropped lines is told")
def check_dropped_count(context: Context) -> None:
    lines = read_pipe(context)
    assert lines[-1]["dropped_lines"] > 0, lines[-1]


@then("at most 80 routine lines and all 10 warnings arrive")
def check_sampled(context: Context) -> None:
    events = [line["event"] for line in read_pipe(context)]
    assert events.count("sent") <= 80, events.count("sent")
    assert events.count("refused") == 10, events.count("refused")


@dataclasses.dataclass(frozen=True)
class LabelledRequest:
    """The fields of a request that the metrics read."""

    labels: tuple[str, str]
    queued_s: float | None = 0.001
    longest_gap_s: float | None = 0.2


@then("5000 workspaces make at most 2001 series and quantiles are given")
def check_series(context: Context) -> None:
    metrics = EdgeMetrics()
    for number in range(5000):
        request = LabelledRequest((f"workspace-{number}", "r"))
        metrics.record_finished(request, RequestOutcome.SERVED, 0.1)
    assert len(metrics.counters) <= 2001, len(metrics.counters)
    assert len(metrics._histograms) <= 1003, len(metrics._histograms)
    text = metrics.exposition()
    assert 'quantile="0.95"' in text
    assert sum(metrics.counters.values()) == 5000
    known = LabelledRequest(("workspace-1", "r"))
    metrics.record_finished(known, RequestOutcome.SERVED, 0.1)
    assert metrics.counters[("workspace-1", "r", "served")] == 2
