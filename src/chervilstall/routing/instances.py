"""Per-request selection of an instance of a plain service."""

import random
import time
from dataclasses import dataclass

from chervilstall.ids import ServiceName, TargetId, ZoneName
from chervilstall.routing.fleet import ServiceTarget
from chervilstall.routing.load import LoadTable, TargetLoad
from chervilstall.routing.subset import choose_subset
from chervilstall.settings.processes import RoutingSettings
from chervilstall.target.contract import Priority

CANDIDATES = 2
"""Instances compared per request (power of two choices)."""

SERVICE_WORK = 1.0
"""Work per service request; the capacity of an instance is its concurrency."""


@dataclass
class InstanceReservation:
    """Capacity reserved on a service instance.

    `InstanceSelector.release` frees it. `started_at_s` is in monotonic seconds.
    """

    instance: ServiceTarget
    load: TargetLoad
    priority: Priority
    started_at_s: float
    is_released: bool = False


class InstanceSelector:
    """Selects service instances by power of two choices, the own zone first.

    `name` is the router's identity for subsetting.
    """

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
        """Replace the known instances; return the targets of this router's subsets."""
        self._instances = {
            name: self._choose_subset(instances) for name, instances in services.items()
        }
        targets = set()
        for subset in self._instances.values():
            targets |= {instance.target for instance in subset}
        return targets

    def _choose_subset(
        self, instances: tuple[ServiceTarget, ...]
    ) -> tuple[ServiceTarget, ...]:
        names = [instance.target for instance in instances]
        size = self.settings.subset_size
        subset = choose_subset(self.name, instances, names, size)
        for instance in subset:
            capacity = float(instance.concurrency)
            self.table.get_or_add(instance.target, capacity, instance.concurrency)
        return subset

    def subset(self, service: ServiceName) -> tuple[ServiceTarget, ...]:
        """Return the instances of a service that this router uses."""
        return self._instances.get(service, ())

    def is_served(self, service: ServiceName) -> bool:
        """Return whether any instance serves a service, even if all are full."""
        return bool(self._instances.get(service))

    def reserve(
        self,
        service: ServiceName,
        priority: Priority,
        avoid: frozenset[TargetId] = frozenset(),
    ) -> InstanceReservation | None:
        """Reserve capacity on the less loaded of two randomly drawn instances.

        Instances in other zones are drawn only if none in the own zone has capacity.
        Returns None if no instance outside `avoid` has capacity.
        """
        now_s = time.monotonic()
        self.table.refresh_health(now_s)
        available = []
        for instance in self._instances.get(service, ()):
            load = self.table.loads[instance.target]
            if instance.target in avoid or not load.has_room(priority):
                continue
            available.append((instance, load))
        local = [candidate for candidate in available if candidate[0].zone == self.zone]
        pool = local or available
        if not pool:
            return None
        drawn = (
            pool if len(pool) <= CANDIDATES else self._random.sample(pool, CANDIDATES)
        )
        slow_start_s = self.settings.slow_start_s
        instance, load = min(
            drawn,
            key=lambda candidate: candidate[1].drain_time_s(
                now_s, slow_start_s, SERVICE_WORK, priority
            ),
        )
        self.table.record_start(load, SERVICE_WORK, priority)
        return InstanceReservation(instance, load, priority, now_s)

    def release(self, reservation: InstanceReservation) -> None:
        """Free the reserved capacity; a second call does nothing."""
        if reservation.is_released:
            return
        reservation.is_released = True
        self.table.record_end(reservation.load, SERVICE_WORK, reservation.priority)

    def record_success(self, reservation: InstanceReservation) -> None:
        """Record that a service instance answered."""
        latency_s = time.monotonic() - reservation.started_at_s
        self.table.record_success(reservation.load, latency_s)

    def record_failure(
        self, service: ServiceName, reservation: InstanceReservation
    ) -> None:
        """Record a failure of a service instance, and eject the instance if due."""
        self.table.record_failure(reservation.load)
        instances = self._instances.get(service, ())
        group = [self.table.loads[instance.target] for instance in instances]
        self.table.eject_if_due(reservation.load, group)
