"""Streams in progress, and the watch that finds the ones that stand still.

A target in the middle of a path that dies lets every request behind it wait for
seconds. One task looks at all streams, asks the first target of a silent one what it
waits for, and leads the streams around the target at fault. Where that cannot be done
the exchange is ended, and its relay goes on over another path.
"""

import time
from collections.abc import Callable, Container
from dataclasses import dataclass, field

import gevent

from chervilstall.edge.budget import RepeatBudget
from chervilstall.edge.exchange import Exchange, Failure
from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.beliefs import Doubt, FleetBeliefs
from chervilstall.fleet.pruning import keep_only
from chervilstall.fleet.records import Target, TargetState
from chervilstall.ids import RequestId, TargetId
from chervilstall.paths.choice import PathChooser, PathRequest
from chervilstall.paths.records import Path, PathPart
from chervilstall.platform.targets import (
    RepathOrder,
    TargetReport,
    fetch_report,
    give_order,
)
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

TICK_S = 0.025
EVENT_SILENCE_S = 0.12
"""A stream without an event for so long is looked at."""

FIRST_SILENCE_S = 0.35
"""The same before the first event, while prompts are read."""

GAP_WEIGHT = 0.2
SLOW_RATIO = 2.0
"""Pause between events against the quickest streams' from which a path is slow."""

SLOW_SHARE = 0.4
"""Part of the longest useful pause from which a slow path is looked into."""

SLOW_CHECK_S = 0.5
PACE_DRIFT = 0.02
SLOW_MEMORY_S = 5.0
ASK_AGAIN_S = 0.1
ASK_PAUSE_MAX_S = 1.6
ASK_FORGET_S = 4.0
"""Time without a silent stream after which a target is asked at once again."""

EXAMINE_AGAIN_S = 1.0
REPORT_AGE_S = 0.4
HOPELESS_S = 1.2
"""Silence after which a stream is moved though no target is known to be at fault."""


@dataclass
class LiveStream:
    """A stream in progress over one exchange. Times are monotonic seconds."""

    request: EdgeRequest
    exchange: Exchange
    path: Path
    last_event_s: float
    has_event: bool = False
    gap_s: float = 0.0
    is_moving: bool = False

    @property
    def silence_limit_s(self) -> float:
        """Return how long the stream may be silent before it is looked at."""
        return EVENT_SILENCE_S if self.has_event else FIRST_SILENCE_S

    @property
    def silence_s(self) -> float:
        """Return the time since the last event, or since the stream was sent."""
        return time.monotonic() - self.last_event_s

    def note_event(self) -> None:
        """Count an event and the pause before it."""
        now_s = time.monotonic()
        if self.has_event:
            gap_s = now_s - self.last_event_s
            self.gap_s += GAP_WEIGHT * (gap_s - self.gap_s)
        self.last_event_s = now_s
        self.has_event = True

    def passes(self, target: Target) -> bool:
        """Return whether the stream's path goes through a target."""
        return any(part.target.life == target.life for part in self.path.parts)


@dataclass
class StreamWatch:
    """Looks after the streams of one router."""

    beliefs: FleetBeliefs
    chooser: PathChooser
    budget: RepeatBudget
    streams: dict[RequestId, LiveStream] = field(default_factory=dict)
    on_silence: Callable[[Target], None] = lambda target: None
    _asking: set[TargetId] = field(default_factory=set)
    _asked_at_s: dict[TargetId, float] = field(default_factory=dict)
    _ask_pause_s: dict[TargetId, float] = field(default_factory=dict)
    _generation: int = -1
    _pace: float = 0.0
    _checked_at_s: float = 0.0
    _paced_at_s: dict[TargetId, float] = field(default_factory=dict)

    def run(self) -> None:
        """Look at all streams for the life of the process; one task runs this."""
        while True:
            gevent.sleep(TICK_S)
            self.step()

    def forget(self, present: Container[TargetId]) -> None:
        """Drop what is kept of targets that are gone."""
        for kept in (self._asked_at_s, self._ask_pause_s, self._paced_at_s):
            keep_only(kept, present)

    def step(self) -> None:
        """Look at all streams once."""
        now_s = time.monotonic()
        for stream in list(self.streams.values()):
            if stream.request.deadline_s <= now_s:
                stream.exchange.abort(Failure.TIMEOUT)
                continue
            silence_s = stream.silence_s
            if silence_s > HOPELESS_S and not stream.is_moving:
                self._end(stream)
                continue
            if silence_s <= stream.silence_limit_s:
                continue
            if stream.path.first.zone in self.beliefs.lost_zones:
                self._end(stream)
                continue
            self._ask(stream.path.first, now_s)
            self.on_silence(stream.path.first)
        if self._generation != self.beliefs.generation:
            self._generation = self.beliefs.generation
            self._move_from_leaving()
        if now_s - self._checked_at_s > SLOW_CHECK_S:
            self._checked_at_s = now_s
            self._find_slow()

    def _find_slow(self) -> None:
        """Ask the targets of paths on which events come much slower than usual.

        The pace of the quickest stream, against the time that its path should take,
        is what is usual here.
        """
        paces: dict[RequestId, float] = {}
        for name, stream in self.streams.items():
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
            stream = self.streams[name]
            is_late = stream.gap_s > stream.request.route.gap_aim_s * SLOW_SHARE
            if is_late and pace > SLOW_RATIO * self._pace:
                for part in stream.path.parts:
                    self._ask_pace(part.target)
        for target in list(self.beliefs.targets.values()):
            if target.life in self.beliefs.slowness:
                self._ask_pace(target)

    def _ask_pace(self, target: Target) -> None:
        now_s = time.monotonic()
        if now_s - self._paced_at_s.get(target.target, -SLOW_MEMORY_S) < SLOW_MEMORY_S:
            return
        self._paced_at_s[target.target] = now_s
        gevent.spawn(self._note_pace, target)

    def _note_pace(self, target: Target) -> None:
        report = fetch_report(target.address)
        if report is not None:
            self.beliefs.note_slowness(target, report.slowness)

    def _end(self, stream: LiveStream) -> None:
        """End a silent stream's exchange, so that it goes on over another path.

        The repeat of a stream that has begun is paid for first. Where the budget has
        none left, ending it would lose it for certain, and its targets may go on.
        """
        request = stream.request
        if request.events_passed and not request.repeats_paid:
            if not self.budget.spend(request.service.name, is_resume=True):
                return
            request.repeats_paid += 1
        log.warning(
            "stream silent",
            request=request.name,
            target=stream.path.first.target,
            silent_s=round(stream.silence_s, 3),
        )
        stream.exchange.abort(Failure.STALLED)

    def _ask(self, first: Target, now_s: float) -> None:
        if first.target in self._asking:
            return
        since_s = now_s - self._asked_at_s.get(first.target, 0.0)
        if since_s > ASK_FORGET_S:
            self._ask_pause_s[first.target] = ASK_AGAIN_S
        if since_s < self._ask_pause_s.get(first.target, ASK_AGAIN_S):
            return
        self._asking.add(first.target)
        gevent.spawn(self._find_fault, first)

    def _note_asked(self, target: Target) -> None:
        self._asking.discard(target.target)
        self._asked_at_s[target.target] = time.monotonic()

    def _find_fault(self, first: Target) -> None:
        try:
            report = fetch_report(first.address)
        finally:
            self._note_asked(first)
        if report is None:
            self.beliefs.suspect(first, "gives no report")
            self._end_streams_of(first)
            return
        pause_s = self._ask_pause_s.get(first.target, ASK_AGAIN_S)
        if not report.stalled:
            # The target is only slow; asking it more often would not help.
            pause_s = min(pause_s * 2.0, ASK_PAUSE_MAX_S)
        self._ask_pause_s[first.target] = pause_s
        self._blame(first, report)

    def _end_streams_of(self, first: Target) -> None:
        for stream in list(self.streams.values()):
            is_silent = stream.silence_s > EVENT_SILENCE_S
            if stream.path.first.life == first.life and is_silent:
                self._end(stream)

    def examine(self, target: Target) -> None:
        """Ask a target that refused a request whether it is full or closed."""
        if target.target in self._asking:
            return
        since_s = time.monotonic() - self._asked_at_s.get(target.target, 0.0)
        if since_s < EXAMINE_AGAIN_S:
            return
        self._asking.add(target.target)
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
            self.beliefs.suspect(target, "gives no report")
            return
        self.beliefs.observe(target, report.layers)
        if self.beliefs.targets.get(target.target) != target:
            return
        is_idle = not report.is_loading and not report.queued
        if is_idle and report.has_room and report.layers.covers(target.layers):
            reason = "refuses work though it has room"
            self.beliefs.suspect(target, reason, doubt=Doubt.REFUSING)

    def _blame(self, first: Target, report: TargetReport) -> None:
        for each in report.stalled:
            if each.address == first.address:
                self._give_up(each.request)
        # A target that has just reported is alive, also where it names itself.
        for address in {each.address for each in report.stalled} - {first.address}:
            target = self.beliefs.by_address(str(address))
            if target is None:
                continue
            reason = f"stalls requests at {first.target}"
            self.beliefs.suspect(target, reason, doubt=Doubt.STALLING)
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
        """Lead streams around targets that leave or give up what the streams use."""
        for stream in list(self.streams.values()):
            for part in stream.path.parts[1:]:
                if self._is_leaving(part):
                    self._start_move(stream, part.target)
                    break

    def _is_leaving(self, part: PathPart) -> bool:
        target = self.beliefs.targets.get(part.target.target)
        if target is None or target.life != part.target.life:
            # A target that is gone is found by the silence of its streams.
            return False
        if target.state is TargetState.DRAINING:
            return True
        if target.zone in self.beliefs.lost_zones:
            return True
        return not target.layers.covers(part.layers)

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
        is_leaving = not self.beliefs.is_suspect(around)
        path = None
        if first.life != around.life:
            wanted = PathRequest(
                stream.request.tokens, frozenset({around.target}), first.target
            )
            path = self.chooser.choose(stream.request.service, wanted)
        if path is None:
            if not is_leaving:
                self._end(stream)
            return
        answer = give_order(first.address, RepathOrder(stream.request.name, path))
        log.warning(
            "stream led around a target",
            request=stream.request.name,
            around=around.target,
            first=first.target,
            status=answer.status,
        )
        if answer.is_accepted:
            tokens = stream.request.tokens
            self.chooser.load.remove(stream.path, tokens)
            stream.path = path
            self.chooser.load.add(path, tokens)
            stream.last_event_s = time.monotonic()
        elif not is_leaving:
            self._end(stream)
