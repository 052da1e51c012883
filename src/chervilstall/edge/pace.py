"""Finding targets that have become slow from streams whose events come slowly."""

import time
from collections.abc import Container, Mapping
from dataclasses import dataclass, field

import gevent

from chervilstall.edge.live import LiveStream
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import Target
from chervilstall.fleet.view import FleetView
from chervilstall.ids import RequestId, TargetId
from chervilstall.paths.choice import PathChooser
from chervilstall.platform.targets import fetch_report

SLOW_RATIO = 2.0
"""Pause between events against the quickest streams' from which a path is slow."""

SLOW_SHARE = 0.4
"""Part of the longest useful pause from which a slow path is looked into."""

SLOW_CHECK_S = 0.5
PACE_DRIFT = 0.02
SLOW_MEMORY_S = 5.0


@dataclass
class PaceWatch:
    """Compares the pace of streams, and asks the targets of slow ones for theirs."""

    fleet_view: FleetView
    chooser: PathChooser
    _pace: float = 0.0
    _checked_at_s: float = 0.0
    _asked_at_s: dict[TargetId, float] = field(default_factory=dict)

    def prune(self, present: Container[TargetId]) -> None:
        """Drop what is kept of targets that are gone."""
        retain_keys(self._asked_at_s, present)

    def step(self, streams: Mapping[RequestId, LiveStream], now_s: float) -> None:
        """Look at all streams where the last look was long enough ago."""
        if now_s - self._checked_at_s > SLOW_CHECK_S:
            self._checked_at_s = now_s
            self._find_slow(streams)

    def _find_slow(self, streams: Mapping[RequestId, LiveStream]) -> None:
        """Ask the targets of paths on which events come much slower than usual.

        The pace of the quickest stream, against the time that its path should take,
        is what is usual here.
        """
        paces: dict[RequestId, float] = {}
        for name, stream in streams.items():
            pipeline = stream.request.service.pipeline
            if pipeline is None or not stream.gap_s:
                continue
            step_ms = self.chooser.step_ms(pipeline, stream.path)
            paces[name] = stream.gap_s * 1e3 / step_ms
        if not paces:
            return
        quickest = min(paces.values())
        if not self._pace or quickest < self._pace:
            self._pace = quickest
        else:
            self._pace += PACE_DRIFT * (quickest - self._pace)
        for name, pace in paces.items():
            stream = streams[name]
            is_late = stream.gap_s > stream.request.route.gap_slo_s * SLOW_SHARE
            if is_late and pace > SLOW_RATIO * self._pace:
                for part in stream.path.stages:
                    self.ask(part.target)
        for target in list(self.fleet_view.targets.values()):
            if target.incarnation in self.fleet_view.slowness:
                self.ask(target)

    def ask(self, target: Target) -> None:
        """Ask a target for its pace unless it was asked a moment ago."""
        now_s = time.monotonic()
        if now_s - self._asked_at_s.get(target.id, -SLOW_MEMORY_S) < SLOW_MEMORY_S:
            return
        self._asked_at_s[target.id] = now_s
        gevent.spawn(self._note_pace, target)

    def _note_pace(self, target: Target) -> None:
        report = fetch_report(target.address)
        if report is not None:
            self.fleet_view.note_slowness(target, report.slowness)
