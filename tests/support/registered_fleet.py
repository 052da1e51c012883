"""Routers that register in a store that all share, and hear of each other later.

Calls and news are method calls, without a network. The clock is real.
"""

import random
import time
from collections.abc import Callable
from types import SimpleNamespace
from unittest import mock

import gevent

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
from tests.support.platform import BOUNDS

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

    def __init__(self) -> None:
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
        gevent.sleep(ANSWER_S)
        if self.is_away:
            raise StoreFailed("the store is away")


class RegisteredRouter:
    """A router's registry, and the news that are on their way to it."""

    def __init__(self, number: int, store: LeaseModel, rng: random.Random) -> None:
        vm, zone = VmId(f"vm-{number}"), ZONES[number % len(ZONES)]
        self.store = store
        self.rng = rng
        self.budget = FleetRetryBudget(BOUNDS, 2100)
        lease = LeaseHolder(mock.Mock(), "planner", vm, LeaseSettings())
        self.registry = RouterRegistry(
            vm,
            zone,
            store,  # type: ignore[arg-type]
            FleetView(BOUNDS.drain_s),
            self.budget,
            mock.Mock(),
            SimpleNamespace(lease=lease),  # type: ignore[arg-type]
            TargetRateLimiter(vm, zone),
        )
        self.tasks = [gevent.spawn(self.registry.run)]
        self._due_s = 0.0

    @property
    def share(self) -> float:
        """Return the part of the fleet's extra retries that this router uses."""
        return USED_SHARE / self.budget.router_count

    def hear(self, entry: Entry) -> None:
        """Apply a change later, after those that are on their way already."""
        now_s = time.monotonic()
        self._due_s = max(self._due_s, now_s + self.rng.uniform(0.0, NEWS_MAX_S))
        delay_s = self._due_s - now_s
        gevent.spawn_later(delay_s, self.registry.handle_entry, entry)

    def read_all(self) -> None:
        """Read the whole store, as it is before its answer comes."""
        entries = [entry for entry, _ in self.store.entries.values()]
        keys, revision = tuple(self.store.entries), self.store.revision
        gevent.sleep(ANSWER_S)
        for entry in entries:
            self.registry.handle_entry(entry)
        self.registry.handle_full_read(FullRead(keys, revision))


class RegisteredFleet:
    """All routers; `share_max` is the most that their shares ever added up to."""

    def __init__(self, count: int) -> None:
        rng = random.Random(count)
        self.store = LeaseModel()
        self.routers = [
            RegisteredRouter(number, self.store, rng) for number in range(count)
        ]
        self.store.on_change = self._tell
        self.are_told = True
        self.share_max = 0.0

    def _tell(self, entry: Entry) -> None:
        if not self.are_told:
            return
        for router in self.routers:
            router.hear(entry)

    def lose_leases(self, away_s: float, is_read: bool) -> None:
        """End all leases while the store is away.

        With `is_read` each router then reads the store as a whole at a drawn moment;
        otherwise it hears of each change.
        """
        self.store.is_away = True
        self.are_told = not is_read
        self.store.end_leases()
        gevent.sleep(away_s)
        self.are_told = True
        self.store.is_away = False
        if is_read:
            for router in self.routers:
                gevent.spawn_later(router.rng.uniform(0.0, 0.5), router.read_all)

    def read_as_they_start(self) -> None:
        """Let each router read the store at a drawn moment around its registration."""
        for router in self.routers:
            delay_s = router.rng.uniform(0.0, START_READ_MAX_S)
            gevent.spawn_later(delay_s, router.read_all)

    def watch_shares(self, for_s: float) -> None:
        """Note the sum of all shares for some time."""
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            total = sum(router.share for router in self.routers)
            self.share_max = max(self.share_max, total)
            gevent.sleep(SAMPLE_INTERVAL_S)

    def stop(self) -> None:
        """Stop all tasks."""
        for router in self.routers:
            gevent.killall(router.tasks)
