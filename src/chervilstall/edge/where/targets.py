"""Targets of a service that a request doesn't use, or not everywhere, and why."""

import time
from collections.abc import Iterator
from dataclasses import dataclass

from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.fleet.records import Service, Target, TargetReadiness
from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId
from chervilstall.paths.load import LoadTracker
from chervilstall.where_answer import (
    SCOPE_ALL,
    SCOPE_COSTS_MORE,
    SCOPE_FIRST_STAGE,
    SCOPE_LATER_STAGES,
    ExcludedTarget,
)


def entries_age_s(fleet_view: FleetView) -> float | None:
    """Return the age of the targets' entries, None before the first reading."""
    if fleet_view.complete_at_s == float("-inf"):
        return None
    return time.monotonic() - fleet_view.complete_at_s


@dataclass
class TargetExclusions:
    """Finds the excluded targets of a service.

    `usable` are the targets that the choice considers, and `rate_limiter` a snapshot.
    """

    fleet_view: FleetView
    rate_limiter: TargetRateLimiter
    load: LoadTracker
    usable: frozenset[TargetId]

    def find(self, service: Service) -> Iterator[ExcludedTarget]:
        """Yield the excluded targets."""
        exhausted = self.rate_limiter.exhausted_targets()
        is_model = service.pipeline is not None
        for target in list(self.fleet_view.targets.values()):
            if target.service != service.name:
                continue
            if target.id in exhausted:
                scope = SCOPE_FIRST_STAGE if is_model else SCOPE_ALL
                yield self._exhausted(target, scope)
            if target.id not in self.usable:
                if is_model or target.id not in exhausted:
                    yield self._unusable(target, is_model)
                continue
            if self.fleet_view.is_suspected(target):
                yield self._suspected(target, SCOPE_COSTS_MORE)
            if target.state is TargetReadiness.DRAINING:
                yield self._leaving(target, SCOPE_LATER_STAGES)
            if is_model and self.load.is_full(target.incarnation):
                yield _excluded(
                    target, "full", SCOPE_COSTS_MORE, "it refused a request"
                )

    def _unusable(self, target: Target, is_model: bool) -> ExcludedTarget:
        if is_model and not len(target.layers):
            age_s = entries_age_s(self.fleet_view)
            return _excluded(target, "no layers", SCOPE_ALL, "it holds none", age_s)
        if self.fleet_view.is_suspected(target):
            return self._suspected(target, SCOPE_ALL)
        if target.state is TargetReadiness.DRAINING:
            return self._leaving(target, SCOPE_ALL)
        return _excluded(target, "unreachable", SCOPE_ALL, "its entry is missing")

    def _suspected(self, target: Target, scope: str) -> ExcludedTarget:
        if target.zone in self.fleet_view.unreachable_zones:
            detail = f"zone {target.zone} can't be reached"
            return _excluded(target, "unreachable", scope, detail)
        detail = ""
        suspicion = self.fleet_view.suspicion(target)
        if suspicion is not None:
            left_s = max(0.0, suspicion.until_s - time.monotonic())
            detail = f"{suspicion.kind.value}, for {left_s:.1f} s more"
        return _excluded(target, "suspected", scope, detail)

    def _leaving(self, target: Target, scope: str) -> ExcludedTarget:
        age_s = self.fleet_view.statements.draining_s(target)
        known_s = age_s if age_s < float("inf") else None
        return _excluded(target, "leaving", scope, "it drains", known_s)

    def _exhausted(self, target: Target, scope: str) -> ExcludedTarget:
        statements = self.rate_limiter.statements
        pause = statements.pauses.get(target.incarnation)
        now_s = time.monotonic()
        if pause is not None and pause.until_s > now_s:
            detail = f"it wants no request for {pause.until_s - now_s:.1f} s"
            age_s = now_s - pause.learnt_at_s
            return _excluded(target, "rate limit", scope, detail, age_s)
        limit = statements.limits.get(target.incarnation)
        if limit is None:
            return _excluded(target, "rate limit", scope)
        detail = f"it takes {limit.per_s:g} requests/s; this router's part is used up"
        age_s = now_s - limit.confirmed_at_s
        return _excluded(target, "rate limit", scope, detail, age_s)


def _excluded(
    target: Target,
    reason: str,
    scope: str,
    detail: str = "",
    age_s: float | None = None,
) -> ExcludedTarget:
    rounded_s = None if age_s is None else round(age_s, 3)
    return ExcludedTarget(target.id, target.zone, reason, scope, detail, rounded_s)
