"""State of one stream in progress, kept for the stream monitor."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from chervilstall.edge.exchange import Exchange
from chervilstall.edge.limits.attempts import AttemptLimit
from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.records import Target
from chervilstall.paths.records import Path

EVENT_SILENCE_LIMIT_S = 0.12
"""Time without an event after which the stream monitor checks a stream."""

FIRST_EVENT_SILENCE_LIMIT_S = 0.35
"""The same before the first event, while prompts are prefilled."""

GAP_WEIGHT = 0.2
"""Weight of the latest gap in the moving average."""


@dataclass
class LiveStream:
    """A stream in progress over one exchange.

    `last_event_at_s` is a monotonic time; until the first event it is that of the send.
    `mean_gap_s` is a moving average of the time between events, 0 until there are two.
    `on_next_event` is called once with the time of the next event, a monotonic one.
    """

    request: EdgeRequest
    exchange: Exchange
    path: Path
    attempts: AttemptLimit
    last_event_at_s: float
    events: int = 0
    mean_gap_s: float = 0.0
    is_rerouting: bool = False
    on_next_event: Callable[[float], None] | None = None

    @property
    def has_event(self) -> bool:
        """Return whether an event has arrived."""
        return self.events > 0

    @property
    def silence_limit_s(self) -> float:
        """Return how long the stream may be silent before it is checked."""
        return EVENT_SILENCE_LIMIT_S if self.has_event else FIRST_EVENT_SILENCE_LIMIT_S

    @property
    def silence_s(self) -> float:
        """Return the time since the last event, or since the request was sent."""
        return time.monotonic() - self.last_event_at_s

    def record_event(self) -> None:
        """Record an event and update the mean gap."""
        now_s = time.monotonic()
        if self.has_event:
            gap_s = now_s - self.last_event_at_s
            self.mean_gap_s += GAP_WEIGHT * (gap_s - self.mean_gap_s)
        self.last_event_at_s = now_s
        self.events += 1
        if self.on_next_event is not None:
            self.on_next_event(now_s)
            self.on_next_event = None

    def passes_through(self, target: Target) -> bool:
        """Return whether a target is part of the stream's path."""
        return any(
            stage.target.incarnation == target.incarnation for stage in self.path.stages
        )
