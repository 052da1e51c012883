"""What a router knows of each target's load and health."""

import time
from dataclasses import dataclass, field
from enum import Enum

from chervilstall.ids import TargetId
from chervilstall.settings.processes import RoutingSettings
from chervilstall.target.contract import LoadReport, Priority

REPORT_HALF_LIFE_S = 1.0
LATENCY_SMOOTHING = 0.1
URGENT_RESERVE = 0.2
SLOW_START_FLOOR = 0.1
LIMIT_DECREASE = 0.8
LIMIT_INCREASE = 1.0
MINIMUM_LIMIT = 2.0
EJECTION_DOUBLINGS_MAX = 6


class Health(Enum):
    """Whether a target may be chosen."""

    GOOD = "good"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(slots=True)
class TargetLoad:
    """Load and health of one target, as this router sees it.

    `outstanding` is the work this router has sent and not seen finished, by priority,
    in the unit of `capacity` times seconds. Engines honour priorities, so a request
    only waits for work of its own priority and of more urgent ones.

    `limit` is the adaptive bound on requests in flight: it shrinks by a factor when
    the target refuses or stays silent, and grows by one per window of successes up to
    the declared concurrency.
    """

    target: TargetId
    capacity: float
    concurrency: int
    limit: float
    in_flight: int = 0
    outstanding: list[float] = field(default_factory=lambda: [0.0] * len(Priority))
    reported: float = 0.0
    reported_at_s: float = 0.0
    latency_s: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    health: Health = Health.GOOD
    started_at_s: float = 0.0
    is_leaving: bool = False

    def has_room(self, priority: Priority) -> bool:
        """Return whether another request of a priority may be sent."""
        if self.is_leaving or self.health is Health.EJECTED:
            return False
        if self.health is Health.PROBING:
            return self.in_flight == 0
        if priority is Priority.URGENT:
            return self.in_flight < self.limit
        return self.in_flight < max(1.0, self.limit * (1.0 - URGENT_RESERVE))

    def score(
        self, now_s: float, slow_start_s: float, work: float, priority: Priority
    ) -> float:
        """Return the seconds that a request of `work` would take to drain here."""
        pending = work + sum(self.outstanding[: priority.value + 1])
        is_shared = priority is not Priority.URGENT
        if is_shared and self.reported > self.in_flight:
            age_s = now_s - self.reported_at_s
            faded = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
            others = (self.reported - self.in_flight) * faded
            pending += others * self.mean_work(work)
        return pending / (self.capacity * self.ramp(now_s, slow_start_s))

    def mean_work(self, default: float) -> float:
        """Return the mean outstanding work per request."""
        return sum(self.outstanding) / self.in_flight if self.in_flight else default

    def ramp(self, now_s: float, slow_start_s: float) -> float:
        """Return the slow-start factor, from `SLOW_START_FLOOR` up to 1."""
        age_s = now_s - self.started_at_s
        if age_s >= slow_start_s:
            return 1.0
        return max(SLOW_START_FLOOR, age_s / slow_start_s)


@dataclass
class LoadTable:
    """Loads of every target in use, with outlier ejection.

    At most `ejection_share_max` of a group's targets are ejected at once; a group is
    what `eject_if_due` is given. After its time, an ejected target takes one probing
    request at a time until one succeeds.
    """

    settings: RoutingSettings
    loads: dict[TargetId, TargetLoad] = field(default_factory=dict)
    ejected: int = 0
    _ejected: dict[TargetId, TargetLoad] = field(default_factory=dict)

    def ensure(self, target: TargetId, capacity: float, concurrency: int) -> TargetLoad:
        """Return the load of a target, adding it in slow start where it is new."""
        load = self.loads.get(target)
        if load is None:
            load = TargetLoad(target, capacity, concurrency, float(concurrency))
            load.started_at_s = time.monotonic()
            self.loads[target] = load
            return load
        load.capacity = capacity
        if load.concurrency != concurrency:
            load.concurrency = concurrency
            load.limit = float(concurrency)
        return load

    def skip_slow_start(self) -> None:
        """Treat every known target as warm; used when the router itself is new."""
        for load in self.loads.values():
            load.started_at_s = float("-inf")

    def retain(self, targets: set[TargetId]) -> None:
        """Forget targets that are gone and idle."""
        for target, load in list(self.loads.items()):
            if target in targets or load.in_flight:
                continue
            del self.loads[target]

    def start(self, load: TargetLoad, work: float, priority: Priority) -> None:
        """Account for a request sent to a target."""
        load.in_flight += 1
        load.outstanding[priority.value] += work

    def finish(self, load: TargetLoad, work: float, priority: Priority) -> None:
        """Account for a request that ended, however it ended."""
        load.in_flight -= 1
        left = load.outstanding[priority.value] - work
        load.outstanding[priority.value] = max(0.0, left)

    def succeed(self, load: TargetLoad, latency_s: float) -> None:
        """Note a success."""
        load.latency_s += (latency_s - load.latency_s) * LATENCY_SMOOTHING
        load.failures = 0
        grown = load.limit + LIMIT_INCREASE / load.limit
        load.limit = min(float(load.concurrency), grown)
        if load.health is Health.PROBING:
            load.health = Health.GOOD
            load.ejections = 0
            load.started_at_s = time.monotonic()

    def fail(self, load: TargetLoad) -> None:
        """Note a failure that is the target's."""
        load.failures += 1
        load.limit = max(MINIMUM_LIMIT, load.limit * LIMIT_DECREASE)

    def refuse(self, load: TargetLoad) -> None:
        """Note a refusal for overload; it lowers the limit and ejects nothing."""
        load.limit = max(MINIMUM_LIMIT, load.limit * LIMIT_DECREASE)

    def eject_if_due(self, load: TargetLoad, group: list[TargetLoad]) -> bool:
        """Eject a target whose failures call for it, within the group's share."""
        is_due = load.failures >= self.settings.ejection_failures
        if load.health is Health.EJECTED or not (
            is_due or load.health is Health.PROBING
        ):
            return False
        others = sum(
            member.health is not Health.GOOD for member in group if member is not load
        )
        if others + 1 > max(1, int(len(group) * self.settings.ejection_share_max)):
            load.health = Health.GOOD
            return False
        doublings = min(load.ejections, EJECTION_DOUBLINGS_MAX)
        duration_s = self.settings.ejection_base_s * 2**doublings
        load.ejected_until_s = time.monotonic() + duration_s
        load.ejections += 1
        load.health = Health.EJECTED
        self._ejected[load.target] = load
        self.ejected += 1
        return True

    def refresh_health(self, now_s: float) -> None:
        """Move targets whose ejection ended to probing."""
        # Called for every request, so it must not depend on how many targets there are.
        for target, load in list(self._ejected.items()):
            if load.ejected_until_s <= now_s:
                load.health = Health.PROBING
                del self._ejected[target]

    def apply_report(self, target: TargetId, report: LoadReport) -> None:
        """Take in a lagged load report."""
        load = self.loads.get(target)
        if load is None:
            return
        load.reported = float(report.in_flight)
        load.reported_at_s = time.monotonic() - report.age_s
        load.is_leaving = report.is_leaving
