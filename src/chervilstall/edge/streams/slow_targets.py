"""Detection of slow targets from the pace of the streams that pass through them."""

import time
from collections.abc import Container, Mapping
from dataclasses import dataclass, field

import gevent

from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.streams.live_stream import LiveStream
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import Target
from chervilstall.fleet.view import FleetView
from chervilstall.ids import RequestId, TargetId
from chervilstall.paths.choice import PathChooser
from chervilstall.platform.targets import TargetReport, fetch_report

SLOW_RATIO = 2.0
"""Ratio to the baseline from which a path counts as slow."""

SLOW_GAP_SHARE = 0.4
"""Share of the route's gap SLO from which a slow path is investigated."""

CHECK_INTERVAL_S = 0.5
BASELINE_WEIGHT = 0.02
"""Weight of a new value when the baseline rises; it falls at once."""

QUERY_INTERVAL_S = 5.0
"""Shortest time between two queries of the same target."""


@dataclass
class SlowTargetDetector:
    """Finds slow streams and queries the targets on their paths for their slowness.

    A stream's ratio is its mean gap between events divided by the expected step time of
    its path; a slow stream has a high one. The baseline follows the lowest ratio of all
    streams.
    """

    fleet_view: FleetView
    chooser: PathChooser
    rate_limiter: TargetRateLimiter
    _baseline: float = 0.0
    _checked_at_s: float = 0.0
    _queried_at_s: dict[TargetId, float] = field(default_factory=dict)

    def prune(self, present: Container[TargetId]) -> None:
        """Drop the state of targets that are gone."""
        retain_keys(self._queried_at_s, present)

    def step(self, streams: Mapping[RequestId, LiveStream], now_s: float) -> None:
        """Check all streams if the last check was more than `CHECK_INTERVAL_S` ago."""
        if now_s - self._checked_at_s > CHECK_INTERVAL_S:
            self._checked_at_s = now_s
            self._query_slow_targets(streams)

    def _query_slow_targets(self, streams: Mapping[RequestId, LiveStream]) -> None:
        """Query the targets of slow paths, and all targets already known as slow.

        A path is slow where its ratio is `SLOW_RATIO` times the baseline and the gap
        is long enough to matter to the caller.
        """
        ratios: dict[RequestId, float] = {}
        for request_id, stream in streams.items():
            pipeline = stream.request.service.pipeline
            if pipeline is None or not stream.mean_gap_s:
                continue
            step_ms = self.chooser.step_ms(pipeline, stream.path)
            ratios[request_id] = stream.mean_gap_s * 1e3 / step_ms
        if not ratios:
            return
        fastest = min(ratios.values())
        if not self._baseline or fastest < self._baseline:
            self._baseline = fastest
        else:
            self._baseline += BASELINE_WEIGHT * (fastest - self._baseline)
        for request_id, ratio in ratios.items():
            stream = streams[request_id]
            is_gap_long = (
                stream.mean_gap_s > stream.request.route.gap_slo_s * SLOW_GAP_SHARE
            )
            if is_gap_long and ratio > SLOW_RATIO * self._baseline:
                for stage in stream.path.stages:
                    self.query(stage.target)
        for target in list(self.fleet_view.targets.values()):
            if target.incarnation in self.fleet_view.slowness:
                self.query(target)

    def query(self, target: Target) -> None:
        """Fetch a target's slowness unless it was queried within `QUERY_INTERVAL_S`.

        The call counts towards the rate limit that the target may name.
        """
        now_s = time.monotonic()
        if (
            now_s - self._queried_at_s.get(target.id, -QUERY_INTERVAL_S)
            < QUERY_INTERVAL_S
        ):
            return
        if not self.rate_limiter.may_send(target):
            return
        self.rate_limiter.record_send(target)
        self._queried_at_s[target.id] = now_s
        gevent.spawn(self._fetch_slowness, target)

    def _fetch_slowness(self, target: Target) -> None:
        report = fetch_report(target)
        if isinstance(report, TargetReport):
            self.fleet_view.note_slowness(target, report.slowness)
            if report.is_leaving:
                self.fleet_view.note_leaving(target.incarnation, by="report")
