"""Detection of crashed targets in the middle of a path, without waiting for a report.

A report shows a stalled request only some hundred milliseconds after it stalled, which
is longer than callers accept between two events. The system of a crashed target refuses
connections at once, so a router that finds a stream silent connects to its stages.
"""

import time
from collections.abc import Callable, Container
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from chervilstall.edge.streams.live_stream import LiveStream
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import Target
from chervilstall.ids import TargetId
from chervilstall.target.connection import ListenerState, probe_listener
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

CONNECT_TIMEOUT_S = 0.1
"""A target accepts or refuses within a millisecond or two; silence proves nothing."""

COMPARE_S = 0.005
"""Wait for another stage to accept before the first one is probed to compare."""

CHECK_INTERVAL_S = 0.5
"""Shortest time between two checks of a target by this router."""


def _probe(target: Target) -> ListenerState:
    return probe_listener(target.address, CONNECT_TIMEOUT_S)


@dataclass
class StageCheck:
    """Connects to the later stages of silent streams while `is_in_force` returns true.

    `on_refused` is called with each target that refuses connections while another one
    accepts: a router that is cut off finds all of them refusing. The first stage is
    only probed to compare, as the connection to it ends when it crashes.
    """

    on_refused: Callable[[Target], None]
    is_in_force: Callable[[], bool] = lambda: False
    probe: Callable[[Target], ListenerState] = _probe
    _checked_at_s: dict[TargetId, float] = field(default_factory=dict)

    def check(self, stream: LiveStream) -> None:
        """Check the later stages of a stream that were not checked lately."""
        if not self.is_in_force():
            return
        now_s = time.monotonic()
        has_accepted = Event()
        for stage in stream.path.stages[1:]:
            target = stage.target
            checked_at_s = self._checked_at_s.get(target.id, float("-inf"))
            if now_s - checked_at_s < CHECK_INTERVAL_S:
                continue
            self._checked_at_s[target.id] = now_s
            gevent.spawn(self._check, target, stream.path.first, has_accepted)

    def _check(self, target: Target, first: Target, has_accepted: Event) -> None:
        match self.probe(target):
            case ListenerState.ACCEPTS:
                has_accepted.set()
            case ListenerState.REFUSES:
                if not self._is_reaching_others(first, has_accepted):
                    log.info("stage refuses, as others do", target=target.id)
                    return
                log.warning("stage refuses connections", target=target.id)
                self.on_refused(target)

    def _is_reaching_others(self, first: Target, has_accepted: Event) -> bool:
        if has_accepted.wait(COMPARE_S):
            return True
        return self.probe(first) is ListenerState.ACCEPTS

    def prune(self, present: Container[TargetId]) -> None:
        """Drop the state of targets that are gone."""
        retain_keys(self._checked_at_s, present)
