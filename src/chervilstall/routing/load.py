"""Load and health of targets as one router sees them.

Work is counted in layer tokens for an engine (tokens × layers of the stage), and as 1
per request for a service instance.
"""

import time
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from chervilstall.ids import TargetId
from chervilstall.settings.processes import RoutingSettings
from chervilstall.target.contract import LoadReport, Priority

REPORT_HALF_LIFE_S = 1.0
"""Age at which a load report counts for half."""

LATENCY_SMOOTHING = 0.1
"""Weight of a new sample in the exponential moving average."""

URGENT_RESERVE_SHARE = 0.2
"""Part of a target's limit that only urgent requests may use."""

SLOW_START_FACTOR_MIN = 0.1
"""Part of its capacity that a target has at the beginning of slow start."""

LIMIT_DECREASE_FACTOR = 0.8
LIMIT_INCREASE = 1.0
LIMIT_MIN = 2.0
EJECTION_DOUBLINGS_MAX = 6


class Health(Enum):
    """Whether a target may receive requests.

    An EJECTED target receives none; a PROBING one receives one at a time.
    """

    GOOD = "good"
    EJECTED = "ejected"
    PROBING = "probing"


class WorkAhead(NamedTuple):
    """Work that a target has to finish until a request sent now has ended.

    It is the request's own work, that of this router's requests ahead of it, and the
    estimated work of other routers' requests.
    """

    request: float
    own: float
    others: float


@dataclass(slots=True)
class TargetLoad:
    """Load and health of one target, as this router sees it.

    `capacity_per_s` is in units of work per second. `outstanding` is the work that this
    router has sent and not seen finished, indexed by priority. Engines honour
    priorities, so a request only waits for work of its own priority and of more
    urgent ones.

    `limit` is the adaptive bound on requests in flight (additive increase,
    multiplicative decrease): it shrinks by a factor when the target fails or refuses,
    and grows by one per `limit` successes, up to the declared concurrency.

    `reported_in_flight` counts the requests of all routers, as the target last
    reported it. `mean_latency_s` is a moving average, and `ejections` counts the
    ejections since the target last recovered. Times are in monotonic seconds.
    """

    target: TargetId
    capacity_per_s: float
    concurrency: int
    limit: float
    in_flight: int = 0
    outstanding: list[float] = field(default_factory=lambda: [0.0] * len(Priority))
    reported_in_flight: float = 0.0
    reported_at_s: float = 0.0
    mean_latency_s: float = 0.0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    health: Health = Health.GOOD
    started_at_s: float = 0.0
    is_leaving: bool = False

    def has_room(self, priority: Priority) -> bool:
        """Return whether another request of this priority may be sent."""
        if self.is_leaving or self.health is Health.EJECTED:
            return False
        if self.health is Health.PROBING:
            return self.in_flight == 0
        if priority is Priority.URGENT:
            return self.in_flight < self.limit
        return self.in_flight < max(1.0, self.limit * (1.0 - URGENT_RESERVE_SHARE))

    def drain_time_s(
        self, now_s: float, slow_start_s: float, work: float, priority: Priority
    ) -> float:
        """Return the drain time in seconds of a request of `work` sent here now.

        That is the time until the target has finished the request and all work ahead
        of it.
        """
        ahead = self.work_ahead(now_s, work, priority)
        return (ahead.request + ahead.own + ahead.others) / (
            self.capacity_per_s * self.slow_start_factor(now_s, slow_start_s)
        )

    def work_ahead(self, now_s: float, work: float, priority: Priority) -> WorkAhead:
        """Return the work of a request of `work` sent here now, and that ahead of it.

        Requests of other routers are estimated from the last load report, whose weight
        decays with its age; urgent requests overtake them.
        """
        others = 0.0
        waits_for_others = priority is not Priority.URGENT
        if waits_for_others and self.reported_in_flight > self.in_flight:
            age_s = now_s - self.reported_at_s
            decay = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
            other_requests = (self.reported_in_flight - self.in_flight) * decay
            others = other_requests * self.mean_outstanding_work(work)
        return WorkAhead(work, sum(self.outstanding[: priority.value + 1]), others)

    def mean_outstanding_work(self, default: float) -> float:
        """Return the mean outstanding work per request, `default` if idle."""
        return sum(self.outstanding) / self.in_flight if self.in_flight else default

    def slow_start_factor(self, now_s: float, slow_start_s: float) -> float:
        """Return the usable part of the capacity during slow start, at most 1."""
        age_s = now_s - self.started_at_s
        if age_s >= slow_start_s:
            return 1.0
        return max(SLOW_START_FACTOR_MIN, age_s / slow_start_s)


@dataclass
class LoadTable:
    """Loads of all targets in use, with outlier ejection.

    At most `ejection_share_max` of a group's targets, but at least one, may be
    ejected or probing at the same time; the caller of `eject_if_due` defines the
    group. When its ejection ends, a target receives one probing request at a time
    until one succeeds.
    """

    settings: RoutingSettings
    loads: dict[TargetId, TargetLoad] = field(default_factory=dict)
    ejection_count: int = 0
    _ejected_loads: dict[TargetId, TargetLoad] = field(default_factory=dict)

    def get_or_add(
        self, target: TargetId, capacity_per_s: float, concurrency: int
    ) -> TargetLoad:
        """Return the load of a target; a new target is added in slow start."""
        load = self.loads.get(target)
        if load is None:
            load = TargetLoad(target, capacity_per_s, concurrency, float(concurrency))
            load.started_at_s = time.monotonic()
            self.loads[target] = load
            return load
        load.capacity_per_s = capacity_per_s
        if load.concurrency != concurrency:
            load.concurrency = concurrency
            load.limit = float(concurrency)
        return load

    def skip_slow_start(self) -> None:
        """End the slow start of all targets; for a router that has just started."""
        for load in self.loads.values():
            load.started_at_s = float("-inf")

    def retain(self, targets: set[TargetId]) -> None:
        """Remove the targets that are not in `targets` and have nothing in flight."""
        for target, load in list(self.loads.items()):
            if target in targets or load.in_flight:
                continue
            del self.loads[target]

    def record_start(self, load: TargetLoad, work: float, priority: Priority) -> None:
        """Record that a request was sent to a target."""
        load.in_flight += 1
        load.outstanding[priority.value] += work

    def record_end(self, load: TargetLoad, work: float, priority: Priority) -> None:
        """Record that a request ended, with success or not."""
        load.in_flight -= 1
        remaining = load.outstanding[priority.value] - work
        load.outstanding[priority.value] = max(0.0, remaining)

    def record_success(self, load: TargetLoad, latency_s: float) -> None:
        """Record a success; a probing target is healthy again, in slow start."""
        load.mean_latency_s += (latency_s - load.mean_latency_s) * LATENCY_SMOOTHING
        load.consecutive_failures = 0
        raised_limit = load.limit + LIMIT_INCREASE / load.limit
        load.limit = min(float(load.concurrency), raised_limit)
        if load.health is Health.PROBING:
            load.health = Health.GOOD
            load.ejections = 0
            load.started_at_s = time.monotonic()

    def record_failure(self, load: TargetLoad) -> None:
        """Record a failure that the target caused."""
        load.consecutive_failures += 1
        load.limit = max(LIMIT_MIN, load.limit * LIMIT_DECREASE_FACTOR)

    def record_refusal(self, load: TargetLoad) -> None:
        """Record a refusal for overload, which lowers the limit but never ejects."""
        load.limit = max(LIMIT_MIN, load.limit * LIMIT_DECREASE_FACTOR)

    def eject_if_due(self, load: TargetLoad, group: list[TargetLoad]) -> bool:
        """Eject a target after too many failures, or after a failed probe.

        Returns whether the target was ejected. Where the group's share of ejected
        targets is used up, the target returns to use instead.
        """
        is_due = load.consecutive_failures >= self.settings.ejection_failures
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
        self._ejected_loads[load.target] = load
        self.ejection_count += 1
        return True

    def refresh_health(self, now_s: float) -> None:
        """Start probing the targets whose ejection has ended."""
        # Runs for every request, so the cost must not grow with the number of targets.
        for target, load in list(self._ejected_loads.items()):
            if load.ejected_until_s <= now_s:
                load.health = Health.PROBING
                del self._ejected_loads[target]

    def apply_report(self, target: TargetId, report: LoadReport) -> None:
        """Apply a load report, dated back by the age that it states."""
        load = self.loads.get(target)
        if load is None:
            return
        load.reported_in_flight = float(report.in_flight)
        load.reported_at_s = time.monotonic() - report.age_s
        load.is_leaving = report.is_leaving
