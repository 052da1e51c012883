"""Routers that follow a model of the store, and what they would use of it."""

import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field

import gevent

from chervilstall.edge.store_probe import StoreProbe
from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId
from chervilstall.platform import protocol
from chervilstall.platform.handlers import EntryHandler, target_handler
from chervilstall.platform.kv import Entry
from chervilstall.platform.watcher import StoreWatcher
from tests.support.agent_fleet import eventually
from tests.support.store_model import LARGE_CALL_OFFSETS_S, ModelCase, StoreModel

SEEDS = range(8)
VALUE_MAX_BYTES = 1_048_576
TARGETS = 60
LEAVE_INTERVAL_S = 0.25
LEAVING_S = 6.0
SAMPLE_INTERVAL_S = 0.05
DEAF_S = 1.0
AWAY_S = 3.0


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

    `applied_revisions` counts how often each change of a target was applied.
    `configuration_revision` is that of the configuration applied last, and
    `regained_after_s` is how long after an outage the store was followed again.
    `read_revisions` and `latest_revisions` are those that were applied last and that
    the store had, some time after each pair of changes. `left_at_s` and `used_until_s`
    are the monotonic times at which a target left and at which it was last found
    usable.
    """

    case: ModelCase
    drain_s: float
    seed: int
    regained_after_s: float = 0.0
    configuration_revision: int = 0
    applied_revisions: Counter[int] = field(default_factory=Counter)
    read_revisions: list[int] = field(default_factory=list)
    latest_revisions: list[int] = field(default_factory=list)
    left_at_s: dict[str, float] = field(default_factory=dict)
    used_until_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.store = StoreModel(self.case, self.rng)
        self.staying = list(range(TARGETS))
        for number in self.staying:
            self.store.put(f"servers/t-{number}", encode_entry(number, "ready"))
        self.tasks: list[gevent.Greenlet] = []
        self.build()

    def build(self) -> None:
        """Build the parts that follow the store; they know nothing of it yet."""
        self.fleet_view = FleetView(self.drain_s)
        handlers = (
            EntryHandler(
                protocol.CONFIG_KEY, self.note_configuration, lambda full_read: None
            ),
            self.record_changes(target_handler(self.fleet_view)),
        )
        self.watcher = StoreWatcher(self.store, self.fleet_view, handlers)
        self.watcher.count_watchers = lambda: self.case.routers
        self.probe = StoreProbe(self.store, self.watcher, "chervilstall/routers/vm-1")

    def note_configuration(self, entry: Entry) -> None:
        """Record the configuration that was applied last."""
        self.configuration_revision = entry.revision

    def record_changes(self, handler: EntryHandler) -> EntryHandler:
        """Return a handler that records the revisions of the changes it applies."""

        def on_entry(entry: Entry) -> None:
            self.applied_revisions[entry.revision] += 1
            handler.on_entry(entry)

        return EntryHandler(handler.prefix, on_entry, handler.on_full_read)

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

    def change_configuration_twice(self) -> None:
        """Write versions just before, as and after the one before is read."""
        for offset_s in LARGE_CALL_OFFSETS_S:
            self.store.large_call_arrived.clear()
            self.store.put(protocol.CONFIG_KEY, bytes(VALUE_MAX_BYTES))
            self.store.large_call_arrived.wait()
            gevent.sleep(offset_s)
            self.store.put(protocol.CONFIG_KEY, bytes(VALUE_MAX_BYTES))
            gevent.sleep(6.0)
            self.read_revisions.append(self.configuration_revision)
            latest = self.store.values[protocol.CONFIG_KEY]
            self.latest_revisions.append(latest.revision)

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
