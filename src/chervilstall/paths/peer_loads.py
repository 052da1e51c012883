"""Load that other routers report to put on targets, and the age of their figures."""

import copy
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from chervilstall.fleet.records import TargetIncarnation
from chervilstall.ids import VmId, WorkspaceName

FRESH_S = 1.75
"""Age from which on a router's figures are not used any more.

With the 0.2 s by which an age may be underestimated, this is less than 2 s.
"""


class TargetLoad(NamedTuple):
    """What one router's own requests take up at one target.

    `tokens` and `requests` are in flight, `prefill_ms` is the time that the target
    needs for the prompts queued there. `refusals` counts requests that it refused for
    lack of capacity within the last second. Whole numbers, so that sums over routers
    don't drift as figures are replaced.
    """

    tokens: int = 0
    requests: int = 0
    prefill_ms: int = 0
    refusals: int = 0


NO_LOAD = TargetLoad()


@dataclass(frozen=True)
class DemandClass:
    """Requests of one priority and workspace; a lower priority is more urgent."""

    priority: int
    workspace: WorkspaceName | None


@dataclass
class RouterReport:
    """The latest figures of one router and when it took them, in monotonic seconds.

    The figures of another zone are those of `routers` routers.
    """

    taken_at_s: float
    loads: dict[TargetIncarnation, TargetLoad] = field(default_factory=dict)
    demand: dict[DemandClass, int] = field(default_factory=dict)
    routers: int = 1


@dataclass
class _Sum:
    """Figures of all reporting routers for one target.

    `prefill_at` is the sum of the times at which the reports were taken, in ms, each
    multiplied by the `prefill_ms` of its report.
    """

    tokens: int = 0
    requests: int = 0
    prefill_ms: int = 0
    refusals: int = 0
    prefill_at: int = 0
    reports: int = 0

    def add(self, load: TargetLoad, taken_at_ms: int, sign: int) -> None:
        tokens, requests, prefill_ms, refusals = load
        self.tokens += sign * tokens
        self.requests += sign * requests
        self.reports += sign
        if prefill_ms or refusals:
            self.prefill_ms += sign * prefill_ms
            self.refusals += sign * refusals
            self.prefill_at += sign * prefill_ms * taken_at_ms


@dataclass
class PeerLoads:
    """Sums what the other routers report, by target incarnation.

    `reports` are those of routers of the own zone. `other_zones` holds one report for
    each other zone that is known, by its name, with sums over its routers. Figures that
    are no longer renewed are dropped after `FRESH_S`. Without reports all figures are
    0.
    """

    reports: dict[VmId, RouterReport] = field(default_factory=dict)
    other_zones: "PeerLoads | None" = None
    _sums: dict[TargetIncarnation, _Sum] = field(default_factory=dict)
    _oldest_at_s: float = float("inf")
    _is_snapshot: bool = False

    def snapshot(self) -> "PeerLoads":
        """Return a read-only copy of the figures that are fresh now.

        Reading `PeerLoads` drops overdue figures. Here they are dropped from the copy
        alone, and reading the copy drops nothing.
        """
        others = None if self.other_zones is None else self.other_zones.snapshot()
        result = PeerLoads(dict(self.reports), others, self._sums, self._oldest_at_s)
        if self._oldest_at_s < time.monotonic() - FRESH_S:
            sums = {each: copy.copy(known) for each, known in self._sums.items()}
            result._sums = sums
            result.expire()
        result._is_snapshot = True
        return result

    def tokens(self, incarnation: TargetIncarnation) -> float:
        """Return the tokens in flight at a target that others report, of all zones."""
        return self.zone_tokens(incarnation) + self.remote_tokens(incarnation)

    def zone_tokens(self, incarnation: TargetIncarnation) -> float:
        """Return the tokens in flight at a target that routers of the zone report."""
        known = self._sum(incarnation)
        return 0.0 if known is None else float(known.tokens)

    def remote_tokens(self, incarnation: TargetIncarnation) -> float:
        """Return the tokens in flight at a target that other zones report."""
        return 0.0 if self.other_zones is None else self.other_zones.tokens(incarnation)

    def requests(self, incarnation: TargetIncarnation) -> float:
        """Return the requests in flight at a target that others report."""
        return self.zone_requests(incarnation) + self.remote_requests(incarnation)

    def zone_requests(self, incarnation: TargetIncarnation) -> float:
        """Return the requests at a target that routers of the zone report."""
        known = self._sum(incarnation)
        return 0.0 if known is None else float(known.requests)

    def remote_requests(self, incarnation: TargetIncarnation) -> float:
        """Return the requests at a target that other zones report."""
        if self.other_zones is None:
            return 0.0
        return self.other_zones.requests(incarnation)

    def refusals(self, incarnation: TargetIncarnation) -> float:
        """Return how often a target refused routers of the zone in one second."""
        known = self._sum(incarnation)
        return 0.0 if known is None else float(known.refusals)

    def prefill_backlog_s(self, incarnation: TargetIncarnation) -> float:
        """Return the time for the prompts that others queued at a target."""
        zone_s = self.zone_prefill_backlog_s(incarnation)
        return zone_s + self.remote_prefill_backlog_s(incarnation)

    def zone_prefill_backlog_s(self, incarnation: TargetIncarnation) -> float:
        """Return the time for the prompts that routers of the zone queued at a target.

        What the target has prefilled since the reports is taken off.
        """
        known = self._sum(incarnation)
        if known is None or not known.prefill_ms:
            return 0.0
        age_s = time.monotonic() - known.prefill_at / known.prefill_ms / 1e3
        return max(0.0, known.prefill_ms / 1e3 - max(0.0, age_s))

    def remote_prefill_backlog_s(self, incarnation: TargetIncarnation) -> float:
        """Return the time for the prompts that other zones queued at a target."""
        if self.other_zones is None:
            return 0.0
        return self.other_zones.prefill_backlog_s(incarnation)

    @property
    def reporting_routers(self) -> int:
        """Return the number of other routers of the zone whose figures are fresh."""
        self.expire()
        return len(self.reports)

    @property
    def covered_routers(self) -> int:
        """Return the number of other routers, of all zones, that figures stand for."""
        self.expire()
        covered = sum(report.routers for report in self.reports.values())
        if self.other_zones is not None:
            covered += self.other_zones.covered_routers
        return covered

    @property
    def age_s(self) -> float:
        """Return the age of the oldest figure in use, 0 without reports."""
        self.expire()
        remote_s = 0.0 if self.other_zones is None else self.other_zones.age_s
        if not self.reports:
            return remote_s
        return max(remote_s, time.monotonic() - self._oldest_at_s)

    def recent_sums(self, age_max_s: float) -> RouterReport:
        """Return the sums over reports of the zone that are at most `age_max_s` old.

        The result has the time of the oldest of these reports.
        """
        now_s = time.monotonic()
        recent = [
            report
            for report in self.reports.values()
            if now_s - report.taken_at_s <= age_max_s
        ]
        sums: dict[TargetIncarnation, TargetLoad] = {}
        for report in recent:
            for incarnation, load in report.loads.items():
                known = sums.get(incarnation, NO_LOAD)
                figures = (one + other for one, other in zip(known, load, strict=True))
                sums[incarnation] = TargetLoad(*figures)
        oldest_s = min((report.taken_at_s for report in recent), default=now_s)
        return RouterReport(oldest_s, sums, routers=len(recent))

    def total_refusals(self) -> int:
        """Return how often targets refused other routers of the zone in one second."""
        self.expire()
        return sum(known.refusals for known in self._sums.values())

    def demand(self) -> dict[DemandClass, int]:
        """Return the requests that routers of the zone received in one second."""
        self.expire()
        total: dict[DemandClass, int] = {}
        for report in self.reports.values():
            for demand_class, requests in report.demand.items():
                total[demand_class] = total.get(demand_class, 0) + requests
        return total

    def replace(self, vm: VmId, report: RouterReport) -> None:
        """Use a router's full copy in place of all that it reported before."""
        self.drop(vm)
        self.reports[vm] = report
        self._add(report.loads.items(), report.taken_at_s, 1)
        self._oldest_at_s = min(self._oldest_at_s, report.taken_at_s)

    def update(
        self,
        vm: VmId,
        taken_at_s: float,
        changes: Mapping[TargetIncarnation, TargetLoad],
        demand: dict[DemandClass, int] | None = None,
    ) -> None:
        """Apply what changed since a router's last report; other figures still hold.

        A target without load is named with `NO_LOAD`. Without `demand`, the last one
        holds. A router without a report is ignored, as its other figures aren't known.
        """
        known = self.reports.get(vm)
        if known is None:
            return
        loads = {**known.loads, **changes}
        for incarnation, load in changes.items():
            if load == NO_LOAD:
                del loads[incarnation]
        demand = known.demand if demand is None else demand
        self.replace(vm, RouterReport(taken_at_s, loads, demand))

    def drop(self, vm: VmId) -> None:
        """Drop a router's figures."""
        report = self.reports.pop(vm, None)
        if report is None:
            return
        self._add(report.loads.items(), report.taken_at_s, -1)
        times_s = (each.taken_at_s for each in self.reports.values())
        self._oldest_at_s = min(times_s, default=float("inf"))

    def expire(self) -> None:
        """Drop the figures of routers that no longer report."""
        oldest_allowed_s = time.monotonic() - FRESH_S
        if self._oldest_at_s >= oldest_allowed_s or self._is_snapshot:
            return
        for vm, report in list(self.reports.items()):
            if report.taken_at_s < oldest_allowed_s:
                self.drop(vm)

    def _add(
        self,
        loads: Iterable[tuple[TargetIncarnation, TargetLoad]],
        taken_at_s: float,
        sign: int,
    ) -> None:
        taken_at_ms = int(taken_at_s * 1e3)
        sums = self._sums
        for incarnation, load in loads:
            known = sums.get(incarnation)
            if known is None:
                known = sums[incarnation] = _Sum()
            known.add(load, taken_at_ms, sign)
            if not known.reports:
                del sums[incarnation]

    def _sum(self, incarnation: TargetIncarnation) -> _Sum | None:
        self.expire()
        return self._sums.get(incarnation)
