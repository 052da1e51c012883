"""What the events of a router's streams show about the targets on their paths.

Every token of an answer passes through all targets of its path, so an event shows that
each of them was alive just before.
"""

import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from chervilstall.edge.streams.live_stream import LiveStream
from chervilstall.fleet.records import Target, TargetIncarnation
from chervilstall.ids import RequestId

SUMMARY_AGE_MAX_S = 0.02
"""Age up to which one pass over all streams serves further calls."""


class EventTimes(Protocol):
    """When events came through targets; times are monotonic seconds."""

    def has_event_since(self, target: Target, since_s: float) -> bool:
        """Return whether an event came through a target since a time."""

    def latest_at_s(self, target: Target) -> float:
        """Return when the latest event came through a target."""


@dataclass
class StreamEventTimes:
    """Finds the latest event that came through a target; times are monotonic.

    Events over an earlier path of a stream show nothing about its present one.
    """

    streams: Mapping[RequestId, LiveStream]
    _latest_at_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _summarized_at_s: float = float("-inf")

    def has_event_since(self, target: Target, since_s: float) -> bool:
        """Return whether an event came over a path through a target since a time."""
        return any(
            stream.has_event_over_path
            and stream.last_event_at_s >= since_s
            and stream.passes_through(target)
            for stream in self.streams.values()
        )

    def latest_at_s(self, target: Target) -> float:
        """Return when the latest event came; the summary is at most 20 ms old."""
        now_s = time.monotonic()
        if now_s - self._summarized_at_s > SUMMARY_AGE_MAX_S:
            self._summarized_at_s = now_s
            self._latest_at_s = self._summarize()
        return self._latest_at_s.get(target.incarnation, float("-inf"))

    def _summarize(self) -> dict[TargetIncarnation, float]:
        latest_at_s: dict[TargetIncarnation, float] = {}
        for stream in self.streams.values():
            if not stream.has_event_over_path:
                continue
            for stage in stream.path.stages:
                incarnation = stage.target.incarnation
                known_at_s = latest_at_s.get(incarnation, float("-inf"))
                latest_at_s[incarnation] = max(known_at_s, stream.last_event_at_s)
        return latest_at_s
