"""Monitoring of all streams of a router, to find and reroute stalled ones.

When a target in the middle of a path dies, every request behind it hangs for seconds.
One task checks all streams. For a silent stream it queries the first target of the path
for the target that it waits for, and has all streams rerouted around that target. If no
other path exists, the exchange is ended, and the relay resumes over another path.
"""

import time
from collections.abc import Callable, Container
from dataclasses import dataclass, field

import gevent

from chervilstall.edge.exchange_failures import ExchangeFailure
from chervilstall.edge.limits.budget import FleetRetryBudget
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.silence_limits import EVENT_SILENCE_LIMIT_S
from chervilstall.edge.streams.connect_allowance import ConnectAllowance
from chervilstall.edge.streams.event_times import StreamEventTimes
from chervilstall.edge.streams.live_stream import LiveStream
from chervilstall.edge.streams.rerouter import StreamRerouter
from chervilstall.edge.streams.slow_targets import SlowTargetDetector
from chervilstall.edge.streams.stage_check import NeighbourSource, StageCheck
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import Target, TargetReadiness
from chervilstall.fleet.suspicion import SuspicionKind
from chervilstall.fleet.view import FleetView
from chervilstall.ids import RequestId, TargetId
from chervilstall.paths.choice import PathChooser
from chervilstall.platform.targets import NoReport, TargetReport, fetch_report
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

CHECK_INTERVAL_S = 0.025
LATE_CHECK_S = 0.02
"""Lateness of a check after which a short silence is no reason to connect."""

LATE_TURN_S = 0.1
"""Lateness of a check after which events that came meanwhile are read first."""

READING_S = 0.05
STANDSTILL_MIN_S = 0.5
"""Lateness of a check that is logged."""

QUERY_INTERVAL_S = 0.1
"""Shortest time between two queries of a target; doubled while it reports no stall."""

QUERY_INTERVAL_MAX_S = 1.6
QUERY_RESET_S = 4.0
"""Time without a query after which a target is queried without delay again."""

REPORT_TIMEOUT_S = 0.5
"""A target responds within a millisecond or two; a lost packet costs 0.2 s."""

REFUSAL_CHECK_INTERVAL_S = 1.0
REPORT_AGE_S = 0.4
"""Largest age that a report may have."""

SILENCE_MAX_S = 1.2
"""Silence after which an exchange is ended although no target is known to be faulty."""

QUEUE_REPORT_VALID_S = 2.5
"""Time for which a target's report holds that requests are queued there."""

QUEUE_AVOID_S = 0.5
"""Time for which new requests prefer other targets to one with a queue."""


@dataclass
class StreamMonitor:
    """Finds silent streams of one router and ends or reroutes them.

    `streams` holds the open exchanges by request ID. `on_silence` is called with the
    first target of a silent stream, and `on_no_retry` with a request whose stream has
    begun and can't be resumed for want of a retry. `rerouter` leads streams around
    targets.
    """

    fleet_view: FleetView
    chooser: PathChooser
    budget: FleetRetryBudget
    rate_limiter: TargetRateLimiter
    slow_detector: SlowTargetDetector
    streams: dict[RequestId, LiveStream] = field(default_factory=dict)
    on_silence: Callable[[Target], None] = lambda target: None
    on_no_retry: Callable[[EdgeRequest], None] = lambda request: None
    _querying: set[TargetId] = field(default_factory=set)
    _queried_at_s: dict[TargetId, float] = field(default_factory=dict)
    _query_interval_s: dict[TargetId, float] = field(default_factory=dict)
    _queue_reported_at_s: dict[TargetId, float] = field(default_factory=dict)
    _first_event_at_s: dict[TargetId, float] = field(default_factory=dict)
    _generation: int = -1
    _is_late_turn: bool = False

    def __post_init__(self) -> None:
        self.rerouter = StreamRerouter(
            self.fleet_view,
            self.chooser,
            self.rate_limiter,
            self.streams,
            self._end_exchange,
        )
        allowance = ConnectAllowance(
            lambda: len(self.fleet_view.targets), lambda: self.chooser.router_count
        )
        self.stage_check = StageCheck(
            StreamEventTimes(self.streams),
            self._handle_refused,
            self._handle_dark,
            may_connect=allowance.take,
            neighbours=NeighbourSource(self.fleet_view).find,
        )

    def run(self) -> None:
        """Check all streams until the process ends; one task runs this."""
        while True:
            due_at_s = time.monotonic() + CHECK_INTERVAL_S
            gevent.sleep(CHECK_INTERVAL_S)
            late_s = time.monotonic() - due_at_s
            self._is_late_turn = late_s > LATE_CHECK_S
            if late_s > LATE_TURN_S:
                # What came while this process did not run is no silence.
                gevent.sleep(READING_S)
            if late_s > STANDSTILL_MIN_S:
                log.warning("stood still", for_s=round(late_s, 3))
            self.step()

    def prune(self, present: Container[TargetId]) -> None:
        """Drop the state of targets that are gone."""
        for state in (
            self._queried_at_s,
            self._query_interval_s,
            self._queue_reported_at_s,
            self._first_event_at_s,
        ):
            retain_keys(state, present)
        self.slow_detector.prune(present)
        self.stage_check.prune(present)

    def step(self) -> None:
        """Check all streams once."""
        now_s = time.monotonic()
        for stream in list(self.streams.values()):
            if stream.request.deadline_s <= now_s:
                stream.exchange.abort(ExchangeFailure.TIMEOUT)
                continue
            silence_s = stream.silence_s
            self._check_early(stream, silence_s)
            if silence_s <= stream.silence_limit_s:
                continue
            stream.note_check()
            if self._should_end(stream, now_s):
                self._suspect_idle_first(stream)
                if self._end_exchange(stream):
                    continue
            self._query(stream.path.first, now_s)
            self.on_silence(stream.path.first)
        if self._generation != self.fleet_view.generation:
            self._generation = self.fleet_view.generation
            self.rerouter.reroute_from_leaving()
        self.rerouter.step(now_s)
        self.slow_detector.step(self.streams, now_s)

    def _check_early(self, stream: LiveStream, silence_s: float) -> None:
        """Check stages of a stream that is silent for long by its own measure.

        In a late turn its events may merely not have been read.
        """
        if not self.stage_check.is_in_force():
            return
        if self._is_late_turn and silence_s <= stream.silence_limit_s:
            return
        if silence_s > stream.check_limit_s:
            stream.note_check()
            self.stage_check.check(stream)
        elif not stream.has_event and silence_s > stream.first_check_s:
            self.stage_check.check_first(stream)

    def _should_end(self, stream: LiveStream, now_s: float) -> bool:
        """Return whether a silent exchange should be ended without another query."""
        if self.fleet_view.is_unresponsive(stream.path.first):
            return True
        if stream.is_rerouting or stream.silence_s <= SILENCE_MAX_S:
            return False
        return not self._is_queued(stream, now_s)

    def _is_queued(self, stream: LiveStream, now_s: float) -> bool:
        """Return whether a stream is queued at a target that is alive.

        It would lose its place in the queue if it were sent to another target.
        """
        if stream.has_event:
            return False
        queued_at_s = self._queue_reported_at_s.get(stream.path.first.id, float("-inf"))
        return now_s - queued_at_s < QUEUE_REPORT_VALID_S

    def _suspect_idle_first(self, stream: LiveStream) -> None:
        """Suspect a silent stream's first target if it began no request since the send.

        A target under load begins some requests. One that hangs begins none, although
        it may still return its report.
        """
        first = stream.path.first
        if stream.has_event or first.zone in self.fleet_view.unreachable_zones:
            return
        if self._first_event_at_s.get(first.id, 0.0) < stream.silent_since_s:
            reason = "begins no requests"
            self.fleet_view.suspect(first, reason, kind=SuspicionKind.REFUSING)

    def record_first_event(self, first: Target) -> None:
        """Record that a first target has sent the first event of a request."""
        self._first_event_at_s[first.id] = time.monotonic()

    def _end_exchange(self, stream: LiveStream, is_first_lost: bool = False) -> bool:
        """End a silent stream's exchange so that the relay uses another path.

        A retry is taken from the budget first. Without one, ending the exchange would
        certainly lose the request, while its targets may still go on; the exchange is
        kept and False returned. The same holds for requests that may not be retried,
        and for streams that may go on at no other target than the unresponsive one.
        If a lost first target has not begun the request, the exchange is ended in any
        case, so that the caller gets its response at once. A request that is still
        connecting for the first time has reached no target and needs no retry, where
        stages are checked.
        """
        request = stream.request
        if self.streams.get(request.request_id) is not stream:
            # The exchange has ended meanwhile.
            return True
        has_begun = request.events_forwarded > 0
        is_lost = is_first_lost and not has_begun
        is_free = is_lost or (self.stage_check.is_in_force() and stream.is_unsent)
        if has_begun and self._is_bound_to_unresponsive(stream):
            return False
        if not is_free and not self._reserve_retry(request, has_begun):
            return False
        log.warning(
            "stream silent",
            request=request.request_id,
            target=stream.path.first.id,
            silent_s=round(stream.silence_s, 3),
        )
        if has_begun:
            self.rerouter.pauses.note_ended(stream)
        stream.exchange.abort(ExchangeFailure.STALLED)
        return True

    def _is_bound_to_unresponsive(self, stream: LiveStream) -> bool:
        first = stream.path.first
        if not self.fleet_view.is_unresponsive(first):
            return False
        return not stream.attempts.leaves_another(first)

    def _reserve_retry(self, request: EdgeRequest, has_begun: bool) -> bool:
        """Reserve one retry for a request unless it has one already."""
        if not request.route.is_retryable:
            return False
        if request.has_reserved_retry:
            return True
        request.has_reserved_retry = self.budget.try_reserve(
            request.service.name, is_resume=has_begun
        )
        if not request.has_reserved_retry and has_begun:
            self.on_no_retry(request)
        return request.has_reserved_retry

    def _query(self, first: Target, now_s: float) -> None:
        if first.id in self._querying:
            return
        elapsed_s = now_s - self._queried_at_s.get(first.id, 0.0)
        if elapsed_s > QUERY_RESET_S:
            self._query_interval_s[first.id] = QUERY_INTERVAL_S
        if elapsed_s < self._query_interval_s.get(first.id, QUERY_INTERVAL_S):
            return
        if not self.rate_limiter.may_send(first):
            return
        self.rate_limiter.record_send(first)
        self._querying.add(first.id)
        gevent.spawn(self._diagnose, first)

    def _record_query_end(self, target: Target) -> None:
        self._querying.discard(target.id)
        self._queried_at_s[target.id] = time.monotonic()

    def _diagnose(self, first: Target) -> None:
        try:
            report = fetch_report(first, REPORT_TIMEOUT_S)
        finally:
            self._record_query_end(first)
        if not isinstance(report, TargetReport):
            self._suspect_without_report(first, report)
            self._end_streams_of(first)
            return
        if report.is_leaving:
            self.fleet_view.note_leaving(first.incarnation, by="report")
        interval_s = self._query_interval_s.get(first.id, QUERY_INTERVAL_S)
        if not report.stalled:
            # The target is only slow, so more frequent queries would not help.
            interval_s = min(interval_s * 2.0, QUERY_INTERVAL_MAX_S)
        self._query_interval_s[first.id] = interval_s
        if report.queued:
            self._queue_reported_at_s[first.id] = time.monotonic()
            self.chooser.load.note_full(first.incarnation, QUEUE_AVOID_S)
        self._handle_stalled(first, report)

    def _suspect_without_report(self, target: Target, report: NoReport | None) -> None:
        """Avoid a target that did not return its report, or whose address has another.

        A response of another target shows that the links work.
        """
        if report is None:
            self.fleet_view.suspect(target, "did not return its report")
        else:
            kind = SuspicionKind.REFUSING
            self.fleet_view.suspect(target, report.value, kind=kind)

    def _end_streams_of(self, first: Target) -> None:
        for stream in list(self.streams.values()):
            is_silent = stream.silence_s > EVENT_SILENCE_LIMIT_S
            if stream.path.first.incarnation == first.incarnation and is_silent:
                self._end_exchange(stream, is_first_lost=True)

    def check_refusal(self, target: Target) -> None:
        """Query a target that refused a request; avoid it if the refusal has no reason.

        A target may refuse work while it is full, loading or changing its layers.
        """
        if target.id in self._querying:
            return
        elapsed_s = time.monotonic() - self._queried_at_s.get(target.id, 0.0)
        if elapsed_s < REFUSAL_CHECK_INTERVAL_S:
            return
        if self.rate_limiter.limit_per_s(target) is not None:
            # A target in need has its reason, and its report counts as a request.
            return
        self._querying.add(target.id)
        gevent.spawn(self._check_refusal, target)

    def _check_refusal(self, target: Target) -> None:
        try:
            report = fetch_report(target, REPORT_AGE_S)
            if isinstance(report, TargetReport):
                # Reports lag by some hundred milliseconds and may predate the refusal.
                gevent.sleep(REPORT_AGE_S)
                report = fetch_report(target)
        finally:
            self._record_query_end(target)
        if not isinstance(report, TargetReport):
            self._suspect_without_report(target, report)
            return
        self.fleet_view.apply_report(target, report.layers)
        if self.fleet_view.targets.get(target.id) != target:
            return
        is_idle = not report.is_loading and not report.queued
        if is_idle and report.has_free_memory and report.layers.covers(target.layers):
            reason = "refuses requests although it has room"
            self.fleet_view.suspect(target, reason, kind=SuspicionKind.REFUSING)

    def _handle_stalled(self, first: Target, report: TargetReport) -> None:
        for each in report.stalled:
            if each.address == first.address:
                self._end_stalled(each.request)
        # A first target that names itself is alive, since it has just reported.
        for address in {each.address for each in report.stalled} - {first.address}:
            target = self.fleet_view.find_by_address(str(address))
            if target is None:
                continue
            reason = f"stalls requests sent through {first.id}"
            self.fleet_view.suspect(target, reason, kind=SuspicionKind.STALLING)
            self.rerouter.reroute_around(target)

    def _handle_refused(self, target: Target) -> None:
        """Lead streams around a crashed target; planned moves lead around others."""
        known = self.fleet_view.targets.get(target.id)
        if known is not None and known.state is TargetReadiness.DRAINING:
            return
        self.fleet_view.suspect(target, "refuses connections")
        self.rerouter.reroute_around(target)

    def _handle_dark(self, target: Target) -> None:
        """Lead streams around a target that answers no connection, or resume them.

        A request without an event is sent again early at most once.
        """
        self.fleet_view.suspect(target, "answers no connection")
        for stream in list(self.streams.values()):
            if stream.path.first.incarnation != target.incarnation:
                self.rerouter.reroute(stream, target)
            elif stream.request.events_forwarded or not stream.is_sent_again:
                self._end_exchange(stream)

    def _end_stalled(self, request_id: RequestId) -> None:
        """End a stalled stream's exchange so that the relay uses another path."""
        stream = self.streams.get(request_id)
        if stream is not None and stream.silence_s > stream.silence_limit_s:
            self._end_exchange(stream)
