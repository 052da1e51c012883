"""Finds out whether a target that lost requests has crashed.

The target is the first of a path, which closed the connection, or a later one, for
which streams wait.

A target that closes a connection may be full, or reset some requests while it serves
others. It counts as crashed if it refuses connections just afterwards, or has started
again by its entry.
"""

import time
from collections.abc import Callable, Container
from dataclasses import dataclass, field

import gevent

from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import Target, TargetIncarnation
from chervilstall.fleet.view import FleetView
from chervilstall.ids import CrashId, PartId
from chervilstall.quarantine.records import CrashReport, LostRequest
from chervilstall.target.connection import refuses_connections
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

COLLECT_S = 0.02
"""Time in which the other requests that a crash ended are noticed, too."""

CONNECT_TIMEOUT_S = 0.3
REPORTED_REQUESTS_MAX = 512
LOGGED_REQUESTS_MAX = 8
VERDICT_VALID_S = 1.5
"""Time in which a target that has crashed is not examined again."""


@dataclass
class CrashObserver:
    """Reports the crashes of targets that held requests without a settled answer.

    `on_crash` is called with each crash, and again where more of the requests that it
    ended become known.
    """

    fleet_view: FleetView
    on_crash: Callable[[CrashReport], None]
    _lost: dict[TargetIncarnation, dict[PartId, LostRequest]] = field(
        default_factory=dict
    )
    _unsettled: dict[TargetIncarnation, dict[PartId, LostRequest]] = field(
        default_factory=dict
    )
    _crashed_at_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _examinations: dict[TargetIncarnation, gevent.Greenlet] = field(
        default_factory=dict
    )

    def record_lost(self, target: Target, request: EdgeRequest) -> None:
        """Record that a target closed a request's connection before it had begun."""
        self._record(self._lost, target, request)

    def record_unsettled(self, target: Target, request: EdgeRequest) -> None:
        """Record that a target has stopped to run a request before it had settled.

        The target is a later one of the path, or the request's answer has begun.
        """
        self._record(self._unsettled, target, request)

    def _record(
        self,
        lost_by_target: dict[TargetIncarnation, dict[PartId, LostRequest]],
        target: Target,
        request: EdgeRequest,
    ) -> None:
        now_s = time.monotonic()
        # Of several copies of a request the one that was sent last is kept.
        copy = LostRequest(
            request.digest, request.fields.prompt_parts, now_s - request.path_began_at_s
        )
        lost = lost_by_target.setdefault(target.incarnation, {})
        known = lost.get(copy.digest, copy)
        lost[copy.digest] = min(copy, known, key=lambda each: each.held_s)
        if target.incarnation in self._examinations:
            return
        self._examinations[target.incarnation] = gevent.spawn(
            self._examine, target, now_s
        )

    def await_verdict(self, target: Target, timeout_s: float) -> None:
        """Wait until it is known whether a target that lost a request has crashed."""
        examination = self._examinations.get(target.incarnation)
        if examination is not None:
            examination.join(timeout_s)

    def _examine(self, target: Target, lost_at_s: float) -> None:
        try:
            gevent.sleep(COLLECT_S)
            has_crashed = self._has_crashed(target)
        finally:
            lost = self._lost.pop(target.incarnation, {})
            unsettled = self._unsettled.pop(target.incarnation, {})
            self._examinations.pop(target.incarnation, None)
        if not has_crashed:
            return
        crashed_at_s = self._crashed_at_s.get(target.incarnation, float("-inf"))
        if lost_at_s - crashed_at_s > VERDICT_VALID_S:
            crashed_at_s = self._crashed_at_s[target.incarnation] = lost_at_s
        parts = {part for request in lost.values() for part in request.parts}
        log.warning(
            "target crashed",
            target=target.id,
            parts=len(parts),
            unsettled=len(unsettled),
            requests=list(lost)[:LOGGED_REQUESTS_MAX],
        )
        self.fleet_view.suspect(target, "crashed")
        self.on_crash(
            CrashReport(
                CrashId(f"{target.id}@{target.started_at_ms}"),
                target.service,
                tuple(sorted(parts)),
                age_s=time.monotonic() - crashed_at_s,
                requests=tuple(lost.values())[:REPORTED_REQUESTS_MAX],
                unsettled=tuple(unsettled.values())[:REPORTED_REQUESTS_MAX],
            )
        )

    def _has_crashed(self, target: Target) -> bool:
        crashed_at_s = self._crashed_at_s.get(target.incarnation, float("-inf"))
        if time.monotonic() - crashed_at_s < VERDICT_VALID_S:
            return True
        known = self.fleet_view.targets.get(target.id)
        if known is not None and known.incarnation != target.incarnation:
            return True
        return refuses_connections(target.address, CONNECT_TIMEOUT_S)

    def prune(self, present: Container[TargetIncarnation]) -> None:
        """Drop the state of targets that are gone."""
        retain_keys(self._crashed_at_s, present)
