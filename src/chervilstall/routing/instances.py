"""Per-request choice of a plain service's instance."""

import random
import time
from dataclasses import dataclass

from chervilstall.ids import ServiceName, TargetId, ZoneName
from chervilstall.routing.fleet import ServiceTarget
from chervilstall.routing.load import LoadTable, TargetLoad
from chervilstall.routing.subset import choose_subset
from chervilstall.settings.processes import RoutingSettings
from chervilstall.target.contract import Priority

CHOICES = 2
SERVICE_WORK = 1.0


@dataclass
class InstanceReservation:
    """A chosen service instance with its room taken."""

    instance: ServiceTarget
    load: TargetLoad
    priority: Priority
    started_at_s: float
    is_released: bool = False


class InstanceSelector:
    """Chooses service instances: two drawn in the own zone, the less loaded wins."""

    def __init__(
        self,
        settings: RoutingSettings,
        zone: ZoneName,
        name: str,
        table: LoadTable,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.zone = zone
        self.name = name
        self.table = table
        self._random = rng
        self._instances: dict[ServiceName, tuple[ServiceTarget, ...]] = {}

    def update(
        self, services: dict[ServiceName, tuple[ServiceTarget, ...]]
    ) -> set[TargetId]:
        """Take in the instances of a new revision; return the targets in use."""
        self._instances = {
            name: self._choose(instances) for name, instances in services.items()
        }
        known = set()
        for chosen in self._instances.values():
            known |= {instance.target for instance in chosen}
        return known

    def _choose(
        self, instances: tuple[ServiceTarget, ...]
    ) -> tuple[ServiceTarget, ...]:
        names = [instance.target for instance in instances]
        size = self.settings.subset_size
        chosen = choose_subset(self.name, instances, names, size)
        for instance in chosen:
            capacity = float(instance.concurrency)
            self.table.ensure(instance.target, capacity, instance.concurrency)
        return chosen

    def is_served(self, service: ServiceName) -> bool:
        """Return whether any instance serves a service, with room or without."""
        return bool(self._instances.get(service))

    def reserve(
        self,
        service: ServiceName,
        priority: Priority,
        avoid: frozenset[TargetId] = frozenset(),
    ) -> InstanceReservation | None:
        """Take room on a service instance, in the own zone where one has room."""
        now_s = time.monotonic()
        self.table.refresh_health(now_s)
        usable = []
        for instance in self._instances.get(service, ()):
            load = self.table.loads[instance.target]
            if instance.target in avoid or not load.has_room(priority):
                continue
            usable.append((instance, load))
        local = [pair for pair in usable if pair[0].zone == self.zone]
        pool = local or usable
        if not pool:
            return None
        drawn = pool if len(pool) <= CHOICES else self._random.sample(pool, CHOICES)
        slow_start_s = self.settings.slow_start_s
        instance, load = min(
            drawn,
            key=lambda pair: pair[1].score(now_s, slow_start_s, SERVICE_WORK, priority),
        )
        self.table.start(load, SERVICE_WORK, priority)
        return InstanceReservation(instance, load, priority, now_s)

    def release(self, placement: InstanceReservation) -> None:
        """Give a service instance's room back; a second call does nothing."""
        if placement.is_released:
            return
        placement.is_released = True
        self.table.finish(placement.load, SERVICE_WORK, placement.priority)

    def record_success(self, placement: InstanceReservation) -> None:
        """Note that a service instance answered."""
        latency_s = time.monotonic() - placement.started_at_s
        self.table.succeed(placement.load, latency_s)

    def record_failure(
        self, service: ServiceName, placement: InstanceReservation
    ) -> None:
        """Note that a service instance failed."""
        self.table.fail(placement.load)
        instances = self._instances.get(service, ())
        group = [self.table.loads[instance.target] for instance in instances]
        self.table.eject_if_due(placement.load, group)
