"""Finds out whether a target that lost requests has crashed.

A target that closes a connection may be full, or reset some requests while it serves
others. It counts as crashed if it refuses connections just afterwards, or has started
again by its entry.
"""

import time
from collections.abc import Callable, Container
from dataclasses import dataclass, field

import gevent

from chervilstall.edge.request import EdgeRequest, LostTarget
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import Target, TargetIncarnation
from chervilstall.fleet.view import FleetView
from chervilstall.ids import CrashId, PartId, RequestId
from chervilstall.quarantine.records import CrashReport, LostRequest
from chervilstall.quarantine.stages import LATER_CRASHES_MIN
from chervilstall.target.listener_probe import refuses_connections
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

COLLECT_S = 0.02
"""Time in which the other requests that a crash ended are noticed, too."""

CONNECT_TIMEOUT_S = 0.3
REPORTED_REQUESTS_MAX = 512
LOGGED_REQUESTS_MAX = 8
VERDICT_WAIT_S = COLLECT_S + CONNECT_TIMEOUT_S
"""Time until it is known of every target that a request lost whether it crashed."""

VERDICT_VALID_S = 1.5
"""Time in which a target that has crashed is not examined again."""


@dataclass
class CrashObserver:
    """Reports the crashes of targets that held requests without an answer.

    `on_crash` is called with each crash, and again where more of the requests that it
    ended become known.
    """

    fleet_view: FleetView
    on_crash: Callable[[CrashReport], None]
    _lost: dict[TargetIncarnation, dict[PartId, LostRequest]] = field(
        default_factory=dict
    )
    _later: list[EdgeRequest] = field(default_factory=list)
    _crashed_at_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _examinations: dict[TargetIncarnation, gevent.Greenlet] = field(
        default_factory=dict
    )

    def record_lost(self, target: Target, request: EdgeRequest) -> None:
        """Record that a target closed a request's connection before its answer's end.

        Nine in ten requests at a target that crashes are in the middle of their
        answers. Those that lose another target as well may be the cause.
        """
        now_s = time.monotonic()
        request.lost_targets[target.incarnation] = LostTarget(target, now_s)
        if request.has_begun:
            if len(request.lost_targets) >= LATER_CRASHES_MIN:
                self._collect_later(request)
            return
        # Of several copies of a request the one that was sent last is kept.
        copy = LostRequest(
            request.digest, request.fields.prompt_parts, now_s - request.sent_at_s
        )
        lost = self._lost.setdefault(target.incarnation, {})
        known = lost.get(copy.digest, copy)
        lost[copy.digest] = min(copy, known, key=lambda each: each.held_s)
        self._start_examination(target, now_s)

    def _start_examination(self, target: Target, lost_at_s: float) -> None:
        if target.incarnation in self._examinations:
            return
        self._examinations[target.incarnation] = gevent.spawn(
            self._examine, target, lost_at_s
        )

    def _collect_later(self, request: EdgeRequest) -> None:
        """Have the targets examined that a request lost in its answer, and report it.

        One report of a crash names all requests that were collected meanwhile.
        """
        for each in request.lost_targets.values():
            if not self._has_crashed_then(each):
                self._start_examination(each.target, each.lost_at_s)
        if not self._later:
            gevent.spawn_later(VERDICT_WAIT_S, self._report_later)
        self._later.append(request)

    def _report_later(self) -> None:
        """Report the collected requests at each crash that they were at."""
        collected, self._later = self._later, []
        crashed: dict[TargetIncarnation, Target] = {}
        lost: dict[TargetIncarnation, dict[RequestId, LostRequest]] = {}
        for request in collected:
            lost_targets = request.lost_targets.values()
            targets = [
                each.target for each in lost_targets if self._has_crashed_then(each)
            ]
            if len(targets) < LATER_CRASHES_MIN:
                continue
            copy = LostRequest(
                request.digest, request.fields.prompt_parts, copy=request.request_id
            )
            for target in targets:
                crashed[target.incarnation] = target
                lost.setdefault(target.incarnation, {})[copy.copy] = copy
        for incarnation, target in crashed.items():
            requests = tuple(lost[incarnation].values())[:REPORTED_REQUESTS_MAX]
            log.warning(
                "target crashed",
                target=target.id,
                in_answers=len(requests),
                requests=[each.digest for each in requests[:LOGGED_REQUESTS_MAX]],
            )
            age_s = time.monotonic() - self._crashed_at_s[incarnation]
            self.on_crash(
                CrashReport(
                    _crash_id(target),
                    target.service,
                    (),
                    age_s=age_s,
                    later_requests=requests,
                )
            )

    def _has_crashed_then(self, lost: LostTarget) -> bool:
        """Return whether a target is known to have crashed as a request lost it."""
        crashed_at_s = self._crashed_at_s.get(lost.target.incarnation, float("-inf"))
        return lost.lost_at_s - crashed_at_s <= VERDICT_VALID_S

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
            self._examinations.pop(target.incarnation, None)
        if not has_crashed:
            return
        crashed_at_s = self._crashed_at_s.get(target.incarnation, float("-inf"))
        if lost_at_s - crashed_at_s > VERDICT_VALID_S:
            crashed_at_s = self._crashed_at_s[target.incarnation] = lost_at_s
        if not lost:
            return
        parts = {part for request in lost.values() for part in request.parts}
        log.warning(
            "target crashed",
            target=target.id,
            parts=len(parts),
            requests=list(lost)[:LOGGED_REQUESTS_MAX],
        )
        self.fleet_view.suspect(target, "crashed")
        self.on_crash(
            CrashReport(
                _crash_id(target),
                target.service,
                tuple(sorted(parts)),
                age_s=time.monotonic() - crashed_at_s,
                requests=tuple(lost.values())[:REPORTED_REQUESTS_MAX],
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


def _crash_id(target: Target) -> CrashId:
    return CrashId(f"{target.id}@{target.started_at_ms}")
