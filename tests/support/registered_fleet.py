"""Routers that register in a store that all share, and hear of each other later.

Calls and news are method calls, without a network, on a simulated clock.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from contextlib import ExitStack
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from chervilstall.edge import missing, registry, standby
from chervilstall.edge.limits.budget import USED_SHARE, FleetRetryBudget
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.registry import RouterRegistry
from chervilstall.fleet.view import FleetView
from chervilstall.ids import VmId, ZoneName
from chervilstall.lease.holder import LeaseHolder
from chervilstall.platform.handlers import FullRead
from chervilstall.platform.kv import Entry, Lease, LeaseEnded
from chervilstall.settings.leases import LeaseSettings
from chervilstall.store.contract import StoreFailed
from tests.support.clock import Clock
from tests.support.platform import BOUNDS
from tests.support.simulated_tasks import SimulatedEvent, SimulatedTasks

ZONES = [ZoneName(name) for name in ("one", "two", "three")]
ANSWER_S = 0.004
NEWS_MAX_S = 1.3
"""Longest time from a change in the store until a router applies it."""

START_READ_MAX_S = 3 * ANSWER_S
SAMPLE_INTERVAL_S = 0.02


class LeaseModel:
    """A store of leased entries, which tells each router its changes in order.

    While it `is_away`, each call fails.
    """

    def __init__(self, tasks: SimulatedTasks) -> None:
        self.tasks = tasks
        self.is_away = False
        self.revision = 0
        self.opened_leases = 0
        self.entries: dict[str, tuple[Entry, int]] = {}
        self.leases: set[int] = set()
        self.on_change: Callable[[Entry], None] = lambda entry: None

    def open_lease(self, ttl_s: float) -> Lease:
        """Create a lease."""
        self._call()
        self.opened_leases += 1
        self.revision += 1
        self.leases.add(self.revision)
        return Lease(self.revision, ttl_s)

    def renew_lease(self, lease: Lease) -> None:
        """Renew a lease."""
        self._call()
        if lease.lease_id not in self.leases:
            raise LeaseEnded("the lease has ended")

    def write_all(self, values: dict[str, bytes], lease: int) -> int:
        """Write entries with a lease, and return their revision."""
        self._call()
        if lease not in self.leases:
            raise LeaseEnded("the lease has ended")
        self.revision += 1
        for key, value in values.items():
            entry = Entry(key, value, self.revision)
            self.entries[key] = (entry, lease)
            self.on_change(entry)
        return self.revision

    def end_leases(self) -> None:
        """End all leases, with their entries."""
        self.leases.clear()
        for key in list(self.entries):
            self.revision += 1
            del self.entries[key]
            self.on_change(Entry(key, None, self.revision))

    def end_lease_of(self, key: str) -> None:
        """End the lease of an entry, with that entry."""
        _, lease = self.entries.pop(key)
        self.leases.discard(lease)
        self.revision += 1
        self.on_change(Entry(key, None, self.revision))

    def _call(self) -> None:
        self.tasks.sleep(ANSWER_S)
        if self.is_away:
            raise StoreFailed("the store is away")


class RegisteredRouter:
    """A router's registry, and the news that are on their way to it."""

    def __init__(
        self, number: int, store: LeaseModel, rng: random.Random, clock: Clock
    ) -> None:
        vm, zone = VmId(f"vm-{number}"), ZONES[number % len(ZONES)]
        self.store = store
        self.tasks = store.tasks
        self.rng = rng
        self.clock = clock
        self.has_ended = False
        self.budget = FleetRetryBudget(BOUNDS, 2100)
        lease = LeaseHolder(mock.Mock(), "planner", vm, LeaseSettings())
        self.registry = RouterRegistry(
            vm,
            zone,
            cast(Any, self),
            FleetView(BOUNDS.drain_s),
            self.budget,
            mock.Mock(),
            cast(Any, SimpleNamespace(lease=lease)),
            TargetRateLimiter(vm, zone),
        )
        self.registry._wake_requested = cast(Any, SimulatedEvent(self.tasks))
        self.tasks.spawn(self.registry.run)
        self._due_s = 0.0

    def open_lease(self, ttl_s: float) -> Lease:
        """Create a lease, unless this router has ended."""
        self._call()
        return self.store.open_lease(ttl_s)

    def renew_lease(self, lease: Lease) -> None:
        """Renew a lease, unless this router has ended."""
        self._call()
        self.store.renew_lease(lease)

    def write_all(self, values: dict[str, bytes], lease: int) -> int:
        """Write entries, unless this router has ended."""
        self._call()
        return self.store.write_all(values, lease)

    def _call(self) -> None:
        if self.has_ended:
            self.tasks.pause()

    @property
    def share(self) -> float:
        """Return the part of the fleet's extra retries that this router uses."""
        return USED_SHARE / self.budget.router_count

    def hear(self, entry: Entry) -> None:
        """Apply a change later, after those that are on their way already."""
        now_s = self.clock.now_s
        self._due_s = max(self._due_s, now_s + self.rng.uniform(0.0, NEWS_MAX_S))
        delay_s = self._due_s - now_s
        self.tasks.run_in(delay_s, lambda: self.registry.handle_entry(entry))

    def read_all(self) -> None:
        """Read the whole store, as it is before its answer comes."""
        entries = [entry for entry, _ in self.store.entries.values()]
        keys, revision = tuple(self.store.entries), self.store.revision
        self.tasks.sleep(ANSWER_S)
        for entry in entries:
            self.registry.handle_entry(entry)
        self.registry.handle_full_read(FullRead(keys, revision))


class RegisteredFleet:
    """All routers; `share_max` is the most that their shares ever added up to."""

    def __init__(self, count: int, seed: int) -> None:
        rng = random.Random(seed)
        random.seed(rng.random())
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = itertools.count()
        self.clock = Clock()
        self.tasks = SimulatedTasks(self._run_in)
        self._patches = ExitStack()
        for module in (missing, registry, standby):
            self._patches.enter_context(mock.patch.object(module, "gevent", self.tasks))
        self.store = LeaseModel(self.tasks)
        self.routers = [
            RegisteredRouter(number, self.store, rng, self.clock)
            for number in range(count)
        ]
        self.store.on_change = self._tell
        self.are_told = True
        self.share_max = 0.0

    def _run_in(self, delay_s: float, action: Callable[[], object]) -> None:
        event = (self.clock.now_s + delay_s, next(self._sequence), action)
        heapq.heappush(self._events, event)

    def run_for(self, time_s: float) -> None:
        """Let time pass."""
        until_s = self.clock.now_s + time_s
        while self._events and self._events[0][0] <= until_s:
            self.clock.now_s, _, action = heapq.heappop(self._events)
            action()
        self.clock.now_s = until_s

    def _tell(self, entry: Entry) -> None:
        if not self.are_told:
            return
        for router in self.routers:
            router.hear(entry)

    @property
    def known_counts(self) -> set[int]:
        """Return the numbers of routers that routers know of."""
        return {router.budget.router_count for router in self.routers}

    def end_third(self) -> None:
        """Let a third of the routers end, and their leases with them."""
        gone = self.routers[::3]
        self.routers = [each for each in self.routers if each not in gone]
        for router in gone:
            router.has_ended = True
            self.store.end_lease_of(router.registry.key)

    def lose_leases(self, away_s: float, is_read: bool) -> None:
        """End all leases while the store is away, and watch the shares.

        With `is_read` each router then reads the store as a whole at a drawn moment;
        otherwise it hears of each change.
        """
        self.store.is_away = True
        self.are_told = not is_read
        self.store.end_leases()
        self.watch_shares(away_s)
        self.are_told = True
        self.store.is_away = False
        if is_read:
            for router in self.routers:
                self.tasks.spawn_later(router.rng.uniform(0.0, 0.5), router.read_all)

    def read_as_they_start(self) -> None:
        """Let each router read the store at a drawn moment around its registration."""
        for router in self.routers:
            delay_s = router.rng.uniform(0.0, START_READ_MAX_S)
            self.tasks.spawn_later(delay_s, router.read_all)

    def watch_shares(self, for_s: float) -> None:
        """Let time pass, and note the sum of all shares."""
        until_s = self.clock.now_s + for_s
        while self.clock.now_s < until_s:
            total = sum(router.share for router in self.routers)
            self.share_max = max(self.share_max, total)
            self.run_for(SAMPLE_INTERVAL_S)

    def stop(self) -> None:
        """Go back to the real clock and the real tasks."""
        self._patches.close()
        self.clock.stop()
