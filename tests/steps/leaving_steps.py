"""Steps for the time in which routers hear of targets that leave."""

import json
import random
import time
from dataclasses import dataclass, field

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.exchange import CONNECT_SETTINGS
from chervilstall.edge.store_probe import StoreProbe
from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId
from chervilstall.platform import protocol
from chervilstall.platform.handlers import EntryHandler, target_handler
from chervilstall.platform.watcher import StoreWatcher
from chervilstall.standin.platform_fixtures import (
    build_configuration,
    remove_target_entry,
)
from chervilstall.standin.shared_link import SharedLink
from chervilstall.telemetry.events import writer
from tests.support.agent_fleet import eventually
from tests.support.platform import ZONES, send
from tests.support.platform_scenario import add_lookups, own_lookup, start_platform
from tests.support.store_model import LARGE_CALL_OFFSETS_S, ModelCase, StoreModel

SEEDS = range(8)
VALUE_MAX_BYTES = 1_048_576
TARGETS = 60
LEAVE_INTERVAL_S = 0.25
LEAVING_S = 6.0
SAMPLE_INTERVAL_S = 0.05
DEAF_S = 1.0
AWAY_S = 3.0
MBIT_BYTES = 125_000.0


def encode_entry(number: int, state: str) -> bytes:
    """Return the entry of a target, padded to the size that entries have."""
    entry = {
        "service": "drafts",
        "address": f"10.0.{number // 200}.{number % 200 + 1}:80",
        "zone": "z",
        "state": state,
        "layers": {"from": 0, "to": 8},
        "more": "x" * 200,
    }
    return json.dumps(entry).encode()


@dataclass
class ModelRouter:
    """A router's watch and probe on the model of a store, and what it would use.

    `regained_after_s` is how long after an outage the store was followed again.
    `left_at_s` and `used_until_s` are the monotonic times at which a target left and
    at which it was last found usable.
    """

    case: ModelCase
    drain_s: float
    seed: int
    regained_after_s: float = 0.0
    left_at_s: dict[str, float] = field(default_factory=dict)
    used_until_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.store = StoreModel(self.case, self.rng)
        self.fleet_view = FleetView(self.drain_s)
        handlers = (
            EntryHandler(protocol.CONFIG_KEY, lambda entry: None, lambda keys: None),
            target_handler(self.fleet_view),
        )
        self.watcher = StoreWatcher(self.store, self.fleet_view, handlers)
        self.watcher.set_router_count(self.case.routers)
        self.probe = StoreProbe(self.store, self.watcher, "chervilstall/routers/vm-1")
        self.staying = list(range(TARGETS))
        for number in self.staying:
            self.store.put(f"servers/t-{number}", encode_entry(number, "ready"))
        self.tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Follow the store until `stop`, and watch what is usable."""
        runners = (self.watcher.run, self.probe.run, self.sample)
        self.tasks = [gevent.spawn(runner) for runner in runners]

    def stop(self) -> None:
        """Stop all tasks."""
        gevent.killall(self.tasks)

    def sample(self) -> None:
        """Record until when targets that left are usable."""
        while True:
            gevent.sleep(SAMPLE_INTERVAL_S)
            for name in self.left_at_s:
                target = self.fleet_view.targets.get(TargetId(name))
                if target is not None and self.fleet_view.is_usable(target):
                    self.used_until_s[name] = time.monotonic()

    def leave(self) -> None:
        """Let one more target leave; every second one never says that it drains."""
        number = self.staying.pop(self.rng.randrange(len(self.staying)))
        name = f"t-{number}"
        has_notice = len(self.left_at_s) % 2 == 0
        entry = encode_entry(number, "draining") if has_notice else None
        self.store.put(f"servers/{name}", entry)
        self.left_at_s[name] = time.monotonic()

    def leave_in_turn(self) -> None:
        """Let targets leave at an interval."""
        end_s = time.monotonic() + LEAVING_S
        while time.monotonic() < end_s:
            gevent.sleep(LEAVE_INTERVAL_S)
            self.leave()

    def leave_at_large_calls(self) -> None:
        """Let targets leave just before, as and after a large value is read."""
        while len(self.staying) > TARGETS // 3:
            self.store.large_call_arrived.clear()
            self.store.large_call_arrived.wait()
            arrived_at_s = time.monotonic()
            for offset_s in LARGE_CALL_OFFSETS_S:
                gevent.sleep(max(0.0, arrived_at_s + offset_s - time.monotonic()))
                self.leave()

    def change_configuration(self) -> None:
        """Write three versions of the largest configuration at drawn moments."""
        for _ in range(3):
            gevent.sleep(self.rng.uniform(0.3, 2.5))
            self.store.put(protocol.CONFIG_KEY, bytes(VALUE_MAX_BYTES))

    def lose_history(self) -> None:
        """Let the watches hear nothing for a second, then drop the history."""
        self.store.put(protocol.CONFIG_KEY, bytes(VALUE_MAX_BYTES))
        gevent.sleep(self.rng.uniform(2.0, 4.0))
        self.store.deaf_until_s = time.monotonic() + DEAF_S
        gevent.sleep(DEAF_S)
        self.store.compact()

    def lose_store(self) -> None:
        """Let the store be away for a while with a large configuration."""
        self.store.put(protocol.CONFIG_KEY, bytes(VALUE_MAX_BYTES))
        gevent.sleep(self.rng.uniform(3.0, 4.0))
        self.store.go_away()
        gevent.sleep(AWAY_S)
        assert self.watcher.is_disconnected
        self.store.come_back()
        came_back_at_s = time.monotonic()
        eventually(lambda: not self.watcher.is_disconnected, 20.0)
        self.regained_after_s = time.monotonic() - came_back_at_s

    def overdue(self, limit_s: float) -> list[str]:
        """Describe each target that was usable for longer than a time."""
        used_s = {
            name: until_s - self.left_at_s[name]
            for name, until_s in self.used_until_s.items()
        }
        return [
            f"seed {self.seed}: {name} {each_s:.2f} s"
            for name, each_s in used_s.items()
            if each_s > limit_s
        ]


class ModelRouters:
    """Routers with the seeds of a scenario, each with a store of its own."""

    def __init__(self, case: ModelCase, drain_s: float) -> None:
        self.routers = [ModelRouter(case, drain_s, seed) for seed in SEEDS]

    def stop(self) -> None:
        """Stop every router."""
        for router in self.routers:
            router.stop()


@given(
    "{routers:d} routers with links of {mbps:d} Mbit/s that follow the model of a store"
)
def start_model(context: Context, routers: int, mbps: int) -> None:
    context.case = ModelCase(routers, mbps * MBIT_BYTES)


def run_model(context: Context, scripts: tuple[str, ...]) -> None:
    """Run the named scripts of every router at the same time."""
    drain_s = 2.0 if context.case.routers == 6 else 3.0
    context.model = ModelRouters(context.case, drain_s)
    context.stoppables.append(context.model)
    for router in context.model.routers:
        router.start()
    for router in context.model.routers:
        eventually(lambda router=router: len(router.fleet_view.targets) == TARGETS)
    gevent.sleep(1.0)
    tasks = []
    for router in context.model.routers:
        for script in scripts:
            task = gevent.spawn(getattr(router, script))
            router.tasks.append(task)
            if script != "leave_at_large_calls":
                tasks.append(task)
    gevent.joinall(tasks, raise_error=True)
    gevent.sleep(drain_s + 1.0)


@when(
    "targets leave one after the other while the largest configuration changes three "
    "times"
)
def change_and_leave(context: Context) -> None:
    run_model(
        context, ("leave_in_turn", "change_configuration", "leave_at_large_calls")
    )


@when(
    "targets leave one after the other while the watches hear nothing and the history "
    "is lost"
)
def lose_history_and_leave(context: Context) -> None:
    run_model(context, ("leave_in_turn", "lose_history"))


@when("the store is away for 3 s while it holds the largest configuration")
def lose_store(context: Context) -> None:
    run_model(context, ("lose_store",))


@then("every router follows it again within {within_s:d} s")
def check_regained(context: Context, within_s: int) -> None:
    times_s = [round(router.regained_after_s, 2) for router in context.model.routers]
    assert max(times_s) < within_s, times_s


@then("no target is used until less than a connect is left of {drain_s:d} s")
def check_not_overdue(context: Context, drain_s: int) -> None:
    limit_s = drain_s - CONNECT_SETTINGS.connect_timeout_s
    overdue = []
    for router in context.model.routers:
        assert len(router.left_at_s) >= LEAVING_S / LEAVE_INTERVAL_S / 2
        overdue += router.overdue(limit_s)
    assert not overdue, overdue


@given(
    "a platform with lookups in both zones whose store has a link of {mbps:d} Mbit/s"
)
def start_platform_on_slow_link(context: Context, mbps: int) -> None:
    platform = start_platform(context)
    add_lookups(platform)
    context.router = platform.add_router()
    platform.store.link = SharedLink(mbps * MBIT_BYTES)
    # Long enough for the watch to be pending.
    gevent.sleep(0.5)


@when(
    "the target of the own zone leaves just after a configuration of 1 MB was written"
)
def leave_after_configuration(context: Context) -> None:
    keys = [f"key-{number:06}" * 8 for number in range(11_500)]
    tenants = build_configuration()["tenants"]
    tenants += [{"name": "others", "api-keys": keys}]
    context.platform.write_config(build_configuration(2, tenants=tenants))
    remove_target_entry(context.platform.store.state, f"lookup-{ZONES[0]}")
    context.left_at_s = time.monotonic()


@when("lookups are sent for {time_s:d} s")
def send_lookups(context: Context, time_s: int) -> None:
    end_s = time.monotonic() + time_s
    number = 0
    while time.monotonic() < end_s:
        number += 1
        response = send(context.router, "/lookup/x", request=f"r{number}")
        assert response.status == 200, response
        gevent.sleep(0.05)


@then("no lookup reached it later than the drain bound")
def check_none_reached(context: Context) -> None:
    bound_s = context.router.settings.bounds.drain_s
    late = [
        round(run.received_at_s - context.left_at_s, 2)
        for run in own_lookup(context).log.runs
        if run.received_at_s > context.left_at_s + bound_s
    ]
    assert not late, late


@then("the router never took the store for lost")
def check_never_lost(context: Context) -> None:
    lines = [line.decode() for line in writer._lines]
    assert not [line for line in lines if "store lost" in line]
