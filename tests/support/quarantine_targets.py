"""Targets of the model of quarantine, and what a router knows of their restarts."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache
from typing import Any

from chervilstall.fleet.records import NO_LAYERS, Target, TargetReadiness
from chervilstall.ids import ServiceName, TargetId, ZoneName
from chervilstall.settings.option import Address
from tests.support.quarantine_traffic import QuarantineCase
from tests.support.simulated_tasks import SimulatedTasks

DELIVERY_S = (0.005, 0.9)
CONNECT_S = (0.001, 0.02)


@cache
def target_record(name: str, starts: int, service: str, has_same_id: bool) -> Target:
    """Return a target's entry after a number of restarts.

    A restart shows in the time of the start where targets keep their ids.
    """
    return Target(
        TargetId(name if has_same_id else f"{name}-{starts}"),
        1 + starts if has_same_id else 0,
        ServiceName(service),
        Address(name, 80),
        ZoneName("ba-hall"),
        TargetReadiness.READY,
        "card",
        NO_LAYERS,
        1,
    )


@dataclass
class ModelTarget:
    """A first target: what it runs, and when each of its starts was or will be.

    `running` holds sends by their numbers. `_seen_s` holds when a router learns of a
    start.
    """

    name: str
    service: str
    started_at_s: list[float] = field(default_factory=lambda: [0.0])
    running: dict[int, Any] = field(default_factory=dict)
    _seen_s: dict[tuple[int, int], float] = field(default_factory=dict)

    @property
    def starts(self) -> int:
        """Return the number of restarts."""
        return len(self.started_at_s) - 1

    def is_up(self, now_s: float) -> bool:
        """Return whether it listens."""
        return self.started_at_s[-1] <= now_s

    def crash(self, now_s: float, restart_s: float) -> list[Any]:
        """Stop until its next start; return what it ran."""
        broken = list(self.running.values())
        self.running.clear()
        self.started_at_s.append(now_s + restart_s)
        return broken

    def known_starts(self, router: int, now_s: float, rng: random.Random) -> int:
        """Return the number of restarts that a router has heard of."""
        for start in range(self.starts, 0, -1):
            key = (router, start)
            if key not in self._seen_s:
                self._seen_s[key] = self.started_at_s[start] + rng.uniform(*DELIVERY_S)
            if self._seen_s[key] <= now_s:
                return start
        return 0


@dataclass
class TargetEntries:
    """All targets, and their entries as each router has heard of them."""

    case: QuarantineCase
    rng: random.Random
    now: Callable[[], float]
    tasks: SimulatedTasks
    by_name: dict[str, ModelTarget] = field(default_factory=dict)

    def __post_init__(self) -> None:
        services = self.case.services
        for number in range(self.case.targets):
            name = f"t{number}"
            self.by_name[name] = ModelTarget(name, services[number % len(services)])

    def of_service(self, service: str) -> list[ModelTarget]:
        """Return the targets of a service."""
        return [each for each in self.by_name.values() if each.service == service]

    def read(self, router: int, target: ModelTarget) -> Target:
        """Return a target's entry as a router has heard of it."""
        starts = target.known_starts(router, self.now(), self.rng)
        return target_record(target.name, starts, target.service, self.case.has_same_id)

    def read_id(self, router: int, target_id: TargetId) -> Target | None:
        """Return the entry of an id, or None if a router has heard of another id."""
        target = self.read(router, self.by_name[target_id.partition("-")[0]])
        return target if target.id == target_id else None

    def takes_requests(self, router: int, target: ModelTarget) -> bool:
        """Return whether a target listens and a router knows its present id."""
        now_s = self.now()
        if not target.is_up(now_s) or self.case.has_same_id:
            return target.is_up(now_s)
        return target.known_starts(router, now_s, self.rng) == target.starts

    def refuses_connections(self, address: Address, timeout_s: float) -> bool:
        """Return whether a target is down, as the product finds out by connecting."""
        self.tasks.sleep(self.rng.uniform(*CONNECT_S))
        return not self.by_name[address.host].is_up(self.now())
