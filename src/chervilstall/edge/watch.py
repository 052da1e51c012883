"""The watch over all streams, which finds the ones that stand still.

A target in the middle of a path that dies lets every request behind it wait for
seconds. One task looks at all streams, asks the first target of a silent one what it
waits for, and leads the streams around the target at fault. Where that cannot be done
the exchange is ended, and its relay goes on over another path.
"""

import time
from collections.abc import Callable, Container
from dataclasses import dataclass, field

import gevent

from chervilstall.edge.budget import FleetRetryBudget
from chervilstall.edge.exchange import Failure
from chervilstall.edge.live import EVENT_SILENCE_S, LiveStream
from chervilstall.edge.pace import PaceWatch
from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import Target, TargetReadiness
from chervilstall.fleet.view import FleetView, SuspicionKind
from chervilstall.ids import RequestId, TargetId
from chervilstall.paths.choice import PathChooser, PathRequest
from chervilstall.paths.records import Path, PathStage
from chervilstall.platform.targets import (
    RepathOrder,
    TargetReport,
    fetch_report,
    send_order,
)
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

TICK_S = 0.025
ASK_AGAIN_S = 0.1
ASK_PAUSE_MAX_S = 1.6
ASK_FORGET_S = 4.0
"""Time without a silent stream after which a target is asked at once again."""

REPORT_TIMEOUT_S = 0.5
"""A target answers within a millisecond or two; a lost packet costs 0.2 s."""

EXAMINE_AGAIN_S = 1.0
REPORT_AGE_S = 0.4
HOPELESS_S = 1.2
"""Silence after which a stream is moved though no target is known to be at fault."""

CROWDED_S = 0.12
"""Wait for a prompt to be read again from which another first target is considered."""

QUEUE_MEMORY_S = 2.5
"""Time for which a target's word holds that requests wait there for room."""

QUEUE_FULL_S = 0.5
"""Time for which new requests rather avoid a target at which requests wait."""


@dataclass
class StreamWatch:
    """Looks after the streams of one router."""

    fleet_view: FleetView
    chooser: PathChooser
    budget: FleetRetryBudget
    pace: PaceWatch
    streams: dict[RequestId, LiveStream] = field(default_factory=dict)
    on_silence: Callable[[Target], None] = lambda target: None
    _asking: set[TargetId] = field(default_factory=set)
    _asked_at_s: dict[TargetId, float] = field(default_factory=dict)
    _ask_pause_s: dict[TargetId, float] = field(default_factory=dict)
    _queued_at_s: dict[TargetId, float] = field(default_factory=dict)
    _began_at_s: dict[TargetId, float] = field(default_factory=dict)
    _generation: int = -1

    def run(self) -> None:
        """Look at all streams for the life of the process; one task runs this."""
        while True:
            gevent.sleep(TICK_S)
            self.step()

    def prune(self, present: Container[TargetId]) -> None:
        """Drop what is kept of targets that are gone."""
        for kept in (
            self._asked_at_s,
            self._ask_pause_s,
            self._queued_at_s,
            self._began_at_s,
        ):
            retain_keys(kept, present)
        self.pace.prune(present)

    def step(self) -> None:
        """Look at all streams once."""
        now_s = time.monotonic()
        for stream in list(self.streams.values()):
            if stream.request.deadline_s <= now_s:
                stream.exchange.abort(Failure.TIMEOUT)
                continue
            silence_s = stream.silence_s
            if silence_s <= stream.silence_limit_s:
                continue
            if self._is_hopeless(stream, now_s):
                self._doubt_first(stream)
                if self._end(stream):
                    continue
            self._ask(stream.path.first, now_s)
            self.on_silence(stream.path.first)
        if self._generation != self.fleet_view.generation:
            self._generation = self.fleet_view.generation
            self._move_from_leaving()
        self.pace.step(self.streams, now_s)

    def _is_hopeless(self, stream: LiveStream, now_s: float) -> bool:
        """Return whether a silent stream should go on elsewhere without more news."""
        if self.fleet_view.is_unresponsive(stream.path.first):
            return True
        if stream.is_moving or stream.silence_s <= HOPELESS_S:
            return False
        return not self._is_queued(stream, now_s)

    def _is_queued(self, stream: LiveStream, now_s: float) -> bool:
        """Return whether a stream only waits for room at a target that is alive.

        It would lose its place in the queue if it were sent to another.
        """
        if stream.has_event:
            return False
        queued_at_s = self._queued_at_s.get(stream.path.first.id, float("-inf"))
        return now_s - queued_at_s < QUEUE_MEMORY_S

    def _doubt_first(self, stream: LiveStream) -> None:
        """Avoid a first target that begins no request though it says it is well.

        A target under load begins some requests; one that hangs begins none.
        """
        first = stream.path.first
        if stream.has_event or first.zone in self.fleet_view.unreachable_zones:
            return
        if self._began_at_s.get(first.id, 0.0) < stream.last_event_s:
            reason = "begins no requests"
            self.fleet_view.suspect(first, reason, kind=SuspicionKind.REFUSING)

    def note_begun(self, first: Target) -> None:
        """Remember that a first target has begun a request."""
        self._began_at_s[first.id] = time.monotonic()

    def _end(self, stream: LiveStream, is_first_lost: bool = False) -> bool:
        """End a silent stream's exchange, so that it goes on over another path.

        The repeat is paid for first. Where the budget has none left, ending the
        exchange would lose the request for certain, and its targets may go on; it is
        kept then, and False returned. So is one that may not be repeated. A request
        that a lost first target has not begun is ended in any case, so that its caller
        hears of it at once.
        """
        request = stream.request
        is_begun = request.events_passed > 0
        is_lost = is_first_lost and not is_begun
        if not is_lost and not self._pay_repeat(request, is_begun):
            return False
        log.warning(
            "stream silent",
            request=request.name,
            target=stream.path.first.id,
            silent_s=round(stream.silence_s, 3),
        )
        stream.exchange.abort(Failure.STALLED)
        return True

    def _pay_repeat(self, request: EdgeRequest, is_begun: bool) -> bool:
        """Take a repeat from the budget, unless one was taken for this request."""
        if not request.route.is_retryable:
            return False
        if request.repeats_paid:
            return True
        if not self.budget.try_spend(request.service.name, is_resume=is_begun):
            return False
        request.repeats_paid += 1
        return True

    def _ask(self, first: Target, now_s: float) -> None:
        if first.id in self._asking:
            return
        since_s = now_s - self._asked_at_s.get(first.id, 0.0)
        if since_s > ASK_FORGET_S:
            self._ask_pause_s[first.id] = ASK_AGAIN_S
        if since_s < self._ask_pause_s.get(first.id, ASK_AGAIN_S):
            return
        self._asking.add(first.id)
        gevent.spawn(self._find_fault, first)

    def _note_asked(self, target: Target) -> None:
        self._asking.discard(target.id)
        self._asked_at_s[target.id] = time.monotonic()

    def _find_fault(self, first: Target) -> None:
        try:
            report = fetch_report(first.address, REPORT_TIMEOUT_S)
        finally:
            self._note_asked(first)
        if report is None:
            self.fleet_view.suspect(first, "gives no report")
            self._end_streams_of(first)
            return
        pause_s = self._ask_pause_s.get(first.id, ASK_AGAIN_S)
        if not report.stalled:
            # The target is only slow; asking it more often would not help.
            pause_s = min(pause_s * 2.0, ASK_PAUSE_MAX_S)
        self._ask_pause_s[first.id] = pause_s
        if report.queued:
            self._queued_at_s[first.id] = time.monotonic()
            self.chooser.load.note_full(first.incarnation, QUEUE_FULL_S)
        self._blame(first, report)

    def _end_streams_of(self, first: Target) -> None:
        for stream in list(self.streams.values()):
            is_silent = stream.silence_s > EVENT_SILENCE_S
            if stream.path.first.incarnation == first.incarnation and is_silent:
                self._end(stream, is_first_lost=True)

    def examine(self, target: Target) -> None:
        """Ask a target that refused a request whether it is full or closed."""
        if target.id in self._asking:
            return
        since_s = time.monotonic() - self._asked_at_s.get(target.id, 0.0)
        if since_s < EXAMINE_AGAIN_S:
            return
        self._asking.add(target.id)
        gevent.spawn(self._examine, target)

    def _examine(self, target: Target) -> None:
        try:
            report = fetch_report(target.address, REPORT_AGE_S)
            if report is not None:
                # A report is some hundred milliseconds old, and the refusal is news.
                gevent.sleep(REPORT_AGE_S)
                report = fetch_report(target.address)
        finally:
            self._note_asked(target)
        if report is None:
            self.fleet_view.suspect(target, "gives no report")
            return
        self.fleet_view.apply_report(target, report.layers)
        if self.fleet_view.targets.get(target.id) != target:
            return
        is_idle = not report.is_loading and not report.queued
        if is_idle and report.has_free_memory and report.layers.covers(target.layers):
            reason = "refuses work though it has room"
            self.fleet_view.suspect(target, reason, kind=SuspicionKind.REFUSING)

    def _blame(self, first: Target, report: TargetReport) -> None:
        for each in report.stalled:
            if each.address == first.address:
                self._give_up(each.request)
        # A target that has just reported is alive, also where it names itself.
        for address in {each.address for each in report.stalled} - {first.address}:
            target = self.fleet_view.find_by_address(str(address))
            if target is None:
                continue
            reason = f"stalls requests at {first.id}"
            self.fleet_view.suspect(target, reason, kind=SuspicionKind.STALLING)
            self.move_around(target)

    def _give_up(self, name: RequestId) -> None:
        """End a stalled stream's exchange, so that it goes on over another path."""
        stream = self.streams.get(name)
        if stream is not None and stream.silence_s > stream.silence_limit_s:
            self._end(stream)

    def move_around(self, target: Target) -> None:
        """Lead every stream that passes through a target around it."""
        for stream in list(self.streams.values()):
            if stream.passes(target):
                self._start_move(stream, target)

    def _move_from_leaving(self) -> None:
        """Lead streams around targets that leave.

        A target that gives layers up waits for what passes through them, and moving
        many streams at once lets them all wait while their prompts are read again.
        """
        for stream in list(self.streams.values()):
            for part in stream.path.stages[1:]:
                if self._is_leaving(part):
                    self._start_move(stream, part.target)
                    break

    def _is_leaving(self, part: PathStage) -> bool:
        target = self.fleet_view.targets.get(part.target.id)
        if target is None or target.incarnation != part.target.incarnation:
            # A target that is gone is found by the silence of its streams.
            return False
        if target.state is TargetReadiness.DRAINING:
            return True
        return target.zone in self.fleet_view.unreachable_zones

    def _start_move(self, stream: LiveStream, around: Target) -> None:
        if not stream.is_moving:
            stream.is_moving = True
            gevent.spawn(self._move, stream, around)

    def _move(self, stream: LiveStream, around: Target) -> None:
        try:
            self._move_once(stream, around)
        finally:
            stream.is_moving = False

    def _move_once(self, stream: LiveStream, around: Target) -> None:
        first = stream.path.first
        is_leaving = not self.fleet_view.is_suspected(around)
        path = None
        if first.incarnation != around.incarnation:
            wanted = PathRequest(
                stream.request.tokens, frozenset({around.id}), first.id
            )
            path = self.chooser.choose(stream.request.service, wanted)
        if path is None:
            if not is_leaving:
                self._end(stream)
            return
        if not is_leaving and self._is_crowded(stream, path) and self._end(stream):
            return
        self._give_path(stream, path, around)

    def _is_crowded(self, stream: LiveStream, path: Path) -> bool:
        """Return whether a stream would stand still for less elsewhere.

        All streams of a lost target would go on over the same few others, which read
        one prompt after the other, or over another zone, to which they share a pipe.
        """
        request = stream.request
        pipeline = request.service.pipeline
        assert pipeline is not None
        tokens = request.prompt_tokens
        wait_s = self.chooser.prefill_wait_s(pipeline, path, tokens, stream.path)
        if wait_s < CROWDED_S or not request.route.is_resumable:
            return False
        wanted = PathRequest(request.tokens, frozenset({stream.path.first.id}))
        other = self.chooser.choose(request.service, wanted)
        if other is None:
            return False
        return self.chooser.prefill_wait_s(pipeline, other, tokens) < wait_s / 2.0

    def _give_path(self, stream: LiveStream, path: Path, around: Target) -> None:
        first = stream.path.first
        request = stream.request
        assert request.service.pipeline is not None
        self.chooser.note_prefill(
            request.service.pipeline, path, request.prompt_tokens, stream.path
        )
        answer = send_order(first.address, RepathOrder(request.name, path))
        log.warning(
            "stream led around a target",
            request=request.name,
            around=around.id,
            first=first.id,
            status=answer.status,
        )
        if answer.is_accepted:
            self.chooser.load.remove(stream.path, request.tokens)
            stream.path = path
            self.chooser.load.add(path, request.tokens)
            stream.last_event_s = time.monotonic()
        elif self.fleet_view.is_suspected(around):
            self._end(stream)
