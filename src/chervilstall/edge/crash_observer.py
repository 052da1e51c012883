"""Finds out whether a target that lost requests has crashed.

A target that closes a connection may be full, or reset some requests while it serves
others. It counts as crashed if it cannot be reached just afterwards, or says that it
has started again.
"""

import time
from collections.abc import Callable, Container
from dataclasses import dataclass, field

import gevent

from chervilstall.edge.rate_limits import TargetRateLimiter
from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import Target, TargetIncarnation
from chervilstall.fleet.view import FleetView
from chervilstall.ids import CrashId, PartId
from chervilstall.platform.targets import fetch_report
from chervilstall.quarantine.records import CrashReport
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

COLLECT_S = 0.02
"""Time in which the other requests that a crash ended are noticed, too."""

REPORT_TIMEOUT_S = 0.3
PARTS_MAX = 1_024
"""Limit on the parts of one report, which callers choose."""


@dataclass
class CrashObserver:
    """Reports the crashes of targets that held requests without an answer.

    `on_crash` is called with each crash, and again where more of the requests that it
    ended become known.
    """

    fleet_view: FleetView
    rate_limiter: TargetRateLimiter
    on_crash: Callable[[CrashReport], None]
    _lost_parts: dict[TargetIncarnation, set[PartId]] = field(default_factory=dict)
    _crashed_at_s: dict[TargetIncarnation, float] = field(default_factory=dict)

    def record_lost(self, target: Target, request: EdgeRequest) -> None:
        """Record that a target closed a request's connection before it had begun."""
        parts = request.fields.prompt_parts
        if not parts:
            return
        lost_parts = self._lost_parts.get(target.incarnation)
        if lost_parts is not None:
            lost_parts.update(parts)
            return
        self._lost_parts[target.incarnation] = set(parts)
        gevent.spawn(self._examine, target, time.monotonic())

    def _examine(self, target: Target, lost_at_s: float) -> None:
        try:
            gevent.sleep(COLLECT_S)
            has_crashed = self._has_crashed(target)
        finally:
            parts = self._lost_parts.pop(target.incarnation)
        if not has_crashed:
            return
        crashed_at_s = self._crashed_at_s.setdefault(target.incarnation, lost_at_s)
        log.warning("target crashed", target=target.id, parts=len(parts))
        self.fleet_view.suspect(target, "crashed")
        self.on_crash(
            CrashReport(
                CrashId(f"{target.id}@{target.started_at_ms}"),
                target.service,
                tuple(sorted(parts)[:PARTS_MAX]),
                age_s=time.monotonic() - crashed_at_s,
            )
        )

    def _has_crashed(self, target: Target) -> bool:
        if target.incarnation in self._crashed_at_s:
            return True
        known = self.fleet_view.targets.get(target.id)
        if known is None or known.incarnation != target.incarnation:
            return True
        if not self.rate_limiter.may_send(target):
            return False
        self.rate_limiter.record_send(target)
        report = fetch_report(target.address, REPORT_TIMEOUT_S)
        return report is None or report.started_at_ms > target.started_at_ms

    def prune(self, present: Container[TargetIncarnation]) -> None:
        """Drop the state of targets that are gone."""
        retain_keys(self._crashed_at_s, present)
