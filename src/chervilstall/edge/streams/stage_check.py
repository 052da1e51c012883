"""Detection of lost targets on the path of a silent stream, without their reports.

A report shows a stalled request only some hundred milliseconds after it stalled, which
is longer than callers accept between two events. A router that finds a stream silent
therefore connects to the stages of its path. The system of a crashed target refuses at
once. A target that lost power neither accepts nor refuses, which is called dark here.
It counts as dark if several connects to it get no answer, one of them after another
target of its zone accepted.
"""

import random
import time
from collections.abc import Callable, Container, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import NamedTuple

import gevent
from gevent.event import AsyncResult

from chervilstall.edge.streams.event_times import EventTimes
from chervilstall.edge.streams.live_stream import LiveStream
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import Target
from chervilstall.fleet.view import FleetView
from chervilstall.heard_clock import HEARD
from chervilstall.ids import TargetId
from chervilstall.paths.records import Path
from chervilstall.target.listener_probe import ListenerState, probe_listener
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")


class ConnectRound(NamedTuple):
    """Connects that are made at once, and the wait for an answer after them."""

    connects: int
    wait_s: float


ROUNDS = (ConnectRound(1, 0.015), ConnectRound(2, 0.025))
"""Connects of one check before others are compared; none is given up before its end.

A target accepts within a millisecond or two, so one connect settles most checks. A
single lost packet can't look like a dark target, since two connects are made at once.
"""

ROUNDS_S = sum(each.wait_s for each in ROUNDS)
CONFIRM_S = 0.02
"""Wait of the last connect to a silent target, made after another one has accepted.

In a short outage of the router's own link, all earlier connects may be lost while the
one to the other target is made after it. A busy target may also have a full accept
queue for a moment; its system then drops connects, and repeats come after 1 s only.
"""

COMPARE_TIMEOUT_S = 0.015
"""Time in which a target has to accept to be compared with another one."""

CHECK_S = ROUNDS_S + CONFIRM_S
"""Time without an answer from which a target may count as dark."""

LATE_MAX_S = 0.03
"""Lateness of a check's timers from which the router may have missed an answer."""

ACCEPT_WAIT_S = 0.005
"""Wait for the checks of other stages to be accepted, before connects are made only to
compare a refusing stage.
"""

ACCEPT_AGE_MAX_S = 0.005
"""Age up to which an accept serves to compare a silent target."""

COMPARED_MAX = 2
"""Largest number of connects that are made to compare a target with others."""

RECENT_EVENT_S = 0.1
"""Age up to which an event that came through a target makes a check needless."""

EXPECTED_GAP_S = 0.07
"""Time between two events that is assumed where a stream has had less than two."""

TARGET_CHECK_INTERVAL_S = 0.5
"""Shortest time between two checks of a target by this router."""

SILENT_MAX = 3
"""Silent checks at once from which the router's own link is the likely cause, if none
accepts; other targets then get no connects to compare with.
"""

REPEAT_S = 0.1
"""Time until a target may be checked again after a check that concluded nothing."""

COMPARISON_INTERVAL_S = 0.05
"""Shortest time between two connects to a target to compare others with it."""


class _Connects:
    """Connects of one check to a target, of which the first answer counts."""

    def __init__(
        self, target: Target, probe: Callable[[Target, float], ListenerState]
    ) -> None:
        self.target = target
        self._probe = probe
        self._answer: AsyncResult[ListenerState] = AsyncResult()
        self._tasks: list[gevent.Greenlet] = []

    def start(self, connects: int) -> None:
        """Make some connects at once; `stop` ends them."""
        self._tasks += [gevent.spawn(self._connect) for _ in range(connects)]

    def wait(self, timeout_s: float) -> ListenerState:
        """Return the first answer; SILENT if there is none in time."""
        return self._answer.wait(timeout_s) or ListenerState.SILENT

    def stop(self) -> None:
        """End the connects that got no answer."""
        gevent.killall(self._tasks, block=False)

    def _connect(self) -> None:
        state = self._probe(self.target, CHECK_S + COMPARE_TIMEOUT_S)
        if state is not ListenerState.SILENT:
            self._answer.set(state)


def _probe(target: Target, timeout_s: float) -> ListenerState:
    return probe_listener(target.address, timeout_s)


def _no_neighbours(target: Target) -> Iterable[Target]:
    return ()


def _is_any(target: Target) -> bool:
    return True


@dataclass
class NeighbourSource:
    """Finds targets to compare a silent one with."""

    fleet_view: FleetView

    def find(self, target: Target) -> list[Target]:
        """Return the trusted targets of a target's service and zone, at random."""
        found = [
            each
            for each in self.fleet_view.ready_targets(target.service)
            if each.zone == target.zone and not self.fleet_view.is_suspected(each)
        ]
        return random.sample(found, len(found))


@dataclass
class StageCheck:
    """Connects to the stages of silent streams while `is_in_force` returns true.

    `on_refused` is called with each later stage that refuses connections, `on_dark`
    with each stage that does not answer them, while another target accepts: a router
    that is cut off gets the same from all of them. For a dark one, the other target is
    of the same zone, as the link to the zone may be cut. A refusing first stage needs
    no check, since the connection to it ends.

    `neighbours` returns more targets of a target's zone to compare with. A target for
    which `event_times` knows a recent event is not checked, and one through which an
    event came during its check counts neither as dark nor as crashed. `may_connect` is
    called before each check and bounds their number.
    """

    event_times: EventTimes
    on_refused: Callable[[Target], None]
    on_dark: Callable[[Target], None] = lambda target: None
    is_in_force: Callable[[], bool] = lambda: False
    may_connect: Callable[[], bool] = lambda: True
    probe: Callable[[Target, float], ListenerState] = _probe
    neighbours: Callable[[Target], Iterable[Target]] = _no_neighbours
    _checked_at_s: dict[TargetId, float] = field(default_factory=dict)
    _compared_at_s: dict[TargetId, float] = field(default_factory=dict)
    _comparing: dict[TargetId, gevent.Greenlet] = field(default_factory=dict)
    _silent_at_s: dict[TargetId, float] = field(default_factory=dict)
    _accepted: dict[TargetId, tuple[Target, float]] = field(default_factory=dict)

    def check(self, stream: LiveStream) -> None:
        """Check the stages of a stream that were not checked lately."""
        for stage in stream.path.stages:
            self._start(stage.target, stream)

    def check_first(self, stream: LiveStream) -> None:
        """Check the first stage of a stream without an event."""
        self._start(stream.path.first, stream)

    def _start(self, target: Target, stream: LiveStream) -> None:
        if not self.is_in_force() or not self._may_check(target):
            return
        if self._is_cleared(target, stream) or not self.may_connect():
            return
        self._checked_at_s[target.id] = time.monotonic()
        gevent.spawn(self._check, target, stream.path)

    def _is_cleared(self, target: Target, stream: LiveStream) -> bool:
        """Return whether an event shows that a target isn't why a stream is silent.

        It does if it came after the stream's next event was due, and came lately.
        """
        due_at_s = stream.silent_since_s + (stream.interval.mean_s or EXPECTED_GAP_S)
        since_s = max(due_at_s, time.monotonic() - RECENT_EVENT_S)
        return self.event_times.latest_at_s(target) >= since_s

    def _may_check(self, target: Target) -> bool:
        checked_at_s = self._checked_at_s.get(target.id, float("-inf"))
        return time.monotonic() - checked_at_s >= TARGET_CHECK_INTERVAL_S

    def _check(self, target: Target, path: Path) -> None:
        began_at_s = time.monotonic()
        connects = _Connects(target, self.probe)
        try:
            is_conclusive = self._judge(connects, path, began_at_s)
        finally:
            connects.stop()
        if not is_conclusive:
            earlier_s = TARGET_CHECK_INTERVAL_S - REPEAT_S
            self._checked_at_s[target.id] = time.monotonic() - earlier_s

    def _judge(self, connects: "_Connects", path: Path, began_at_s: float) -> bool:
        """Act on what a check shows; return False if it shows nothing."""
        target = connects.target
        match self._connect(connects):
            case ListenerState.ACCEPTS:
                self._accepted[target.id] = target, time.monotonic()
                return True
            case ListenerState.REFUSES if target.id == path.first.id:
                return True
            case ListenerState.REFUSES:
                return self._judge_refusing(target, path, began_at_s)
            case ListenerState.SILENT:
                return self._judge_silent(connects, path, began_at_s)
        return False

    def _connect(self, connects: "_Connects") -> ListenerState:
        """Connect in rounds until there is an answer; SILENT if there is none."""
        for each in ROUNDS:
            connects.start(each.connects)
            state = connects.wait(each.wait_s)
            if state is not ListenerState.SILENT:
                return state
            self._silent_at_s[connects.target.id] = time.monotonic()
        return ListenerState.SILENT

    def _judge_refusing(self, target: Target, path: Path, began_at_s: float) -> bool:
        if self._accepted_since(began_at_s, target, _is_any) is None:
            gevent.sleep(ACCEPT_WAIT_S)
        compared = self._find_accepting(target, path, began_at_s, _is_any)
        if compared is None:
            log.info("stage refuses, as others do", target=target.id)
            return False
        if self.event_times.has_event_since(target, began_at_s):
            # One that drains accepts nothing, but its streams go on.
            log.info("stage refuses connections, but streams go on", target=target.id)
            return True
        log.warning("stage refuses connections", target=target.id, compared=compared.id)
        self.on_refused(target)
        return True

    def _judge_silent(
        self, connects: "_Connects", path: Path, began_at_s: float
    ) -> bool:
        target = connects.target
        compared = self._compare_silent(target, path, began_at_s)
        if compared is None:
            return False
        confirm_at_s = time.monotonic()
        connects.start(1)
        if connects.wait(CONFIRM_S) is not ListenerState.SILENT:
            log.info("stage answers late", target=target.id)
            return True
        if self._was_late(target, confirm_at_s, CONFIRM_S):
            return False
        if self.event_times.has_event_since(target, began_at_s):
            log.info("stage accepts nothing, but streams go on", target=target.id)
            return True
        log.warning(
            "stage answers no connection",
            target=target.id,
            compared=compared.id,
            for_ms=round((time.monotonic() - began_at_s) * 1e3),
        )
        self.on_dark(target)
        return True

    def _compare_silent(
        self, target: Target, path: Path, began_at_s: float
    ) -> Target | None:
        """Return a target that accepts while another one is silent.

        It is None if all may be silent for a reason of the router's own.
        """
        if self._was_late(target, began_at_s, ROUNDS_S):
            return None
        has_accept = self._accepted_since(began_at_s, target, _is_any)
        silent = sum(at_s >= began_at_s for at_s in self._silent_at_s.values())
        if silent >= SILENT_MAX and not has_accept:
            log.info("stages silent, none accepts", target=target.id)
            return None
        compared = self._find_accepting(
            target,
            path,
            time.monotonic() - ACCEPT_AGE_MAX_S,
            lambda other: other.zone == target.zone,
        )
        if compared is None:
            log.info("stage silent, as others are", target=target.id)
        return compared

    def _was_late(self, target: Target, began_at_s: float, wait_s: float) -> bool:
        """Return whether the router may have missed an answer in a wait."""
        late_s = time.monotonic() - began_at_s - wait_s
        if late_s <= LATE_MAX_S and HEARD.lost_since(began_at_s) <= 0.0:
            return False
        late_ms = round(late_s * 1e3)
        log.info("stage silent, timers late", target=target.id, late_ms=late_ms)
        return True

    def _find_accepting(
        self,
        target: Target,
        path: Path,
        since_s: float,
        is_comparable: Callable[[Target], bool],
    ) -> Target | None:
        """Return another target that has accepted since a time, or does now."""
        found = self._accepted_since(since_s, target, is_comparable)
        if found is not None:
            return found
        probed = islice(
            (
                other
                for other in self._others(path, target)
                if other.id != target.id
                and is_comparable(other)
                and self._may_compare(other)
            ),
            COMPARED_MAX,
        )
        gevent.joinall([self._spawn_comparison(other) for other in probed])
        return self._accepted_since(since_s, target, is_comparable)

    def _others(self, path: Path, target: Target) -> Iterator[Target]:
        """Yield targets to compare one with: stages that accepted lately come first."""
        stages = [stage.target for stage in path.stages]
        yield from sorted(
            stages,
            key=lambda each: self._accepted.get(each.id, (each, 0.0))[1],
            reverse=True,
        )
        yield from self.neighbours(target)

    def _may_compare(self, other: Target) -> bool:
        """Return whether a target is being compared, or was not lately."""
        if other.id in self._comparing:
            return True
        compared_at_s = self._compared_at_s.get(other.id, float("-inf"))
        return time.monotonic() - compared_at_s >= COMPARISON_INTERVAL_S

    def _spawn_comparison(self, other: Target) -> gevent.Greenlet:
        if other.id not in self._comparing:
            self._compared_at_s[other.id] = time.monotonic()
            self._comparing[other.id] = gevent.spawn(self._compare, other)
        return self._comparing[other.id]

    def _compare(self, other: Target) -> None:
        try:
            self._probe_to_compare(other)
        finally:
            del self._comparing[other.id]

    def _probe_to_compare(self, other: Target) -> None:
        if self.probe(other, COMPARE_TIMEOUT_S) is ListenerState.ACCEPTS:
            self._accepted[other.id] = other, time.monotonic()

    def _accepted_since(
        self, since_s: float, target: Target, is_comparable: Callable[[Target], bool]
    ) -> Target | None:
        for other, accepted_at_s in self._accepted.values():
            if other.id == target.id or accepted_at_s < since_s:
                continue
            if is_comparable(other):
                return other
        return None

    def prune(self, present: Container[TargetId]) -> None:
        """Drop the state of targets that are gone."""
        retain_keys(self._checked_at_s, present)
        retain_keys(self._compared_at_s, present)
        retain_keys(self._silent_at_s, present)
        retain_keys(self._accepted, present)
