"""Rerouting of streams around a target, with an order to the first target.

The first target then runs the rest of a stream over other targets. The stream goes on
in the same exchange, so it costs no retry.
"""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import gevent

from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.streams.durations import StreamDurations
from chervilstall.edge.streams.live_stream import LiveStream
from chervilstall.edge.streams.pauses import PauseCause, PauseMeter
from chervilstall.edge.streams.planned_moves import (
    MOVE_SHARE,
    MoveDecision,
    MoveOutlook,
    MoveSchedule,
)
from chervilstall.fleet.records import Target, TargetReadiness
from chervilstall.fleet.view import FleetView
from chervilstall.ids import RequestId, TargetId
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.records import Path, PathRequest, PathStage
from chervilstall.platform.targets import RepathOrder, send_order
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

PREFILL_WAIT_S = 0.12
"""Wait for a new prefill from which other first targets are considered."""

MOVES_FAILED_MAX = 3
"""Failed moves of a stream after which it stays until its draining target ends."""


@dataclass
class StreamRerouter:
    """Gives streams another path with the same first target.

    `streams` holds the open exchanges by request ID. `end_exchange` ends a stream's
    exchange, so that it is resumed over another path, and returns whether it did.
    While `spreads_moves` returns true, streams leave draining targets one after the
    other, and those that `durations` expects to end before stay. While `keeps_stages`
    returns true, a new path differs from the old one as little as it can, since each
    other stage has to prefill the stream's tokens first. `pauses` measures the
    pauses of streams that were given another path.
    """

    fleet_view: FleetView
    chooser: PathChooser
    rate_limiter: TargetRateLimiter
    streams: Mapping[RequestId, LiveStream]
    end_exchange: Callable[[LiveStream], bool]
    durations: StreamDurations = field(default_factory=StreamDurations)
    spreads_moves: Callable[[], bool] = lambda: False
    keeps_stages: Callable[[], bool] = lambda: False
    schedule: MoveSchedule = field(default_factory=MoveSchedule)
    _waiting: dict[RequestId, LiveStream] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.pauses = PauseMeter(self.streams)

    def reroute_around(self, target: Target) -> None:
        """Reroute every stream whose path contains a target."""
        for stream in list(self.streams.values()):
            self.reroute(stream, target)

    def reroute(self, stream: LiveStream, target: Target) -> None:
        """Reroute a stream if its path contains a target."""
        if stream.passes_through(target):
            self._start_reroute(stream, target)

    def reroute_from_leaving(self) -> None:
        """Reroute streams around targets that drain or are in an unreachable zone.

        Streams stay where a target only unloads layers: it waits for the requests that
        use them, and rerouting many streams at once stalls all of them while their
        prompts are prefilled again.
        """
        for stream in list(self.streams.values()):
            for stage in stream.path.stages[1:]:
                if not self._has_to_leave(stage):
                    continue
                if self.spreads_moves() and self._is_reachable(stage.target):
                    self._waiting[stream.request.request_id] = stream
                else:
                    self._start_reroute(stream, stage.target)
                break

    def step(self, now_s: float) -> None:
        """Move the streams whose time to leave a draining target has come."""
        self.pauses.step(now_s)
        for request_id, stream in list(self._waiting.items()):
            if self.streams.get(request_id) is not stream:
                self._stop_waiting(request_id)
                continue
            if stream.is_rerouting or not self.schedule.is_due(request_id, now_s):
                continue
            leaving = next(filter(self._has_to_leave, stream.path.stages[1:]), None)
            if leaving is None:
                self._stop_waiting(request_id)
                continue
            outlook = self._outlook(stream, leaving.target, now_s)
            if self.schedule.decide(request_id, outlook) is MoveDecision.MOVE:
                self._stop_waiting(request_id)
                self._start_reroute(stream, leaving.target)

    def _stop_waiting(self, request_id: RequestId) -> None:
        del self._waiting[request_id]
        self.schedule.forget(request_id)

    def _outlook(
        self, stream: LiveStream, leaving: Target, now_s: float
    ) -> MoveOutlook:
        request = stream.request
        left_s = MOVE_SHARE * self.fleet_view.drain_s
        left_s -= self.fleet_view.statements.draining_s(leaving)
        duration_s = self.durations.expected_s(
            request.service.name, request.fields.answer_tokens
        )
        return MoveOutlook(
            now_s,
            now_s + left_s,
            request.arrived_at_s + duration_s if duration_s else None,
            self._pause_s(stream, leaving),
            request.route.gap_slo_s,
        )

    def _pause_s(self, stream: LiveStream, leaving: Target) -> float:
        """Return the expected time between two events if a stream moved now."""
        path = self._path_around(stream, leaving)
        pipeline = stream.request.service.pipeline
        if path is None or pipeline is None:
            return 0.0
        wait_s = self.chooser.prefill_wait_s(
            pipeline, path, stream.request.prefill_tokens, stream.path
        )
        return stream.mean_gap_s + wait_s

    def _path_around(self, stream: LiveStream, avoided: Target) -> Path | None:
        """Return another path with the same first target, None if there is none.

        While `keeps_stages` returns true, the path keeps the other stages if it can.
        """
        first = stream.path.first
        if first.incarnation == avoided.incarnation:
            return None
        avoid = frozenset({avoided.id})
        if self.keeps_stages():
            path = self._choose_around(stream, avoid | self._unneeded(stream, avoided))
            if path is not None:
                return path
        return self._choose_around(stream, avoid)

    def _choose_around(
        self, stream: LiveStream, avoid: frozenset[TargetId]
    ) -> Path | None:
        path_request = PathRequest(
            stream.request.expected_tokens, avoid, stream.path.first.id
        )
        return self.chooser.choose(stream.request.service, path_request)

    def _unneeded(self, stream: LiveStream, avoided: Target) -> frozenset[TargetId]:
        """Return the targets off the path that can't replace the avoided stages.

        They hold none of the layers of these stages.
        """
        kept = {stage.target.id for stage in stream.path.stages}
        lost = [
            stage.layers
            for stage in stream.path.stages
            if stage.target.id == avoided.id
        ]
        return frozenset(
            target.id
            for target in self.fleet_view.targets.values()
            if target.id not in kept
            and not any(target.layers.overlaps(layers) for layers in lost)
        )

    def _is_reachable(self, target: Target) -> bool:
        return target.zone not in self.fleet_view.unreachable_zones

    def _has_to_leave(self, stage: PathStage) -> bool:
        target = self.fleet_view.targets.get(stage.target.id)
        if target is None or target.incarnation != stage.target.incarnation:
            # The streams of a target that is gone are found by their silence.
            return False
        if target.state is TargetReadiness.DRAINING:
            return True
        return not self._is_reachable(target)

    def _start_reroute(self, stream: LiveStream, avoided: Target) -> None:
        if not stream.is_rerouting:
            stream.is_rerouting = True
            stream.found_at_s = time.monotonic()
            gevent.spawn(self._reroute, stream, avoided)

    def _reroute(self, stream: LiveStream, avoided: Target) -> None:
        try:
            self._reroute_once(stream, avoided)
        finally:
            stream.is_rerouting = False
        self._wait_again(stream)

    def _wait_again(self, stream: LiveStream) -> None:
        """Let a stream that still uses a draining target wait for another moment.

        Its order has failed, or a target of its new path began to drain meanwhile.
        """
        request_id = stream.request.request_id
        if not self.spreads_moves() or self.streams.get(request_id) is not stream:
            return
        if stream.moves_failed >= MOVES_FAILED_MAX:
            return
        leaving = next(filter(self._has_to_leave, stream.path.stages[1:]), None)
        if leaving is not None and self._is_reachable(leaving.target):
            self._waiting[request_id] = stream

    def _reroute_once(self, stream: LiveStream, avoided: Target) -> None:
        is_leaving = not self.fleet_view.is_suspected(avoided)
        path = self._path_around(stream, avoided)
        if path is None:
            if not is_leaving:
                self.end_exchange(stream)
            stream.moves_failed += 1
            return
        if (
            not is_leaving
            and self._is_faster_elsewhere(stream, path)
            and self.end_exchange(stream)
        ):
            return
        self._order_reroute(stream, path, avoided)

    def _is_faster_elsewhere(self, stream: LiveStream, path: Path) -> bool:
        """Return whether a stream would stall for less time with another first target.

        All streams of a lost target would use the same few others, which prefill one
        prompt after the other, or another zone, to which all share one link.
        """
        request = stream.request
        pipeline = request.service.pipeline
        assert pipeline is not None
        tokens = request.prefill_tokens
        wait_s = self.chooser.prefill_wait_s(pipeline, path, tokens, stream.path)
        if wait_s < PREFILL_WAIT_S or not request.route.is_resumable:
            return False
        path_request = PathRequest(
            request.expected_tokens,
            frozenset({stream.path.first.id}),
            avoid_first=self.rate_limiter.exhausted_targets(),
        )
        other = self.chooser.choose(request.service, path_request)
        if other is None:
            return False
        return self.chooser.prefill_wait_s(pipeline, other, tokens) < wait_s / 2.0

    def _order_reroute(self, stream: LiveStream, path: Path, avoided: Target) -> None:
        first = stream.path.first
        request = stream.request
        assert request.service.pipeline is not None
        self.chooser.note_prefill(
            request.service.pipeline, path, request.prefill_tokens, stream.path
        )
        response = send_order(first, RepathOrder(request.request_id, path))
        log.warning(
            "stream led around a target",
            request=request.request_id,
            around=avoided.id,
            first=first.id,
            status=response.status,
        )
        if self.streams.get(request.request_id) is not stream:
            # It has ended meanwhile, and its load was removed with it.
            return
        if response.is_accepted:
            self.chooser.load.remove(stream.path, request.expected_tokens)
            self.chooser.load.add(path, request.expected_tokens)
            is_fault = self.fleet_view.is_suspected(avoided)
            cause = PauseCause.FAULT if is_fault else PauseCause.DRAIN
            self.pauses.measure_moved(stream, cause)
            stream.change_path(path)
            return
        stream.moves_failed += 1
        if self.fleet_view.is_suspected(avoided):
            self.end_exchange(stream)
