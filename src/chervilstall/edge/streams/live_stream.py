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

FIRST_CHECK_SHARE = 0.25
"""Share of what is left of the objective for the first event, after the send, in which
the first target has to begin. A check and a second send take about 0.2 s more.
"""

FIRST_CHECK_MIN_S = 0.1
"""Most first events come after less than this; shorter waits cost many checks."""

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
    def first_check_s(self) -> float:
        """Return how long the first event may take before its target is checked."""
        request = self.request
        due_at_s = request.arrived_at_s + request.route.latency_slo_s
        share_s = FIRST_CHECK_SHARE * (due_at_s - self.last_event_at_s)
        return min(max(share_s, FIRST_CHECK_MIN_S), FIRST_EVENT_SILENCE_LIMIT_S)

    @property
    def is_unsent(self) -> bool:
        """Return whether the request has reached no first target yet."""
        return not self.attempts.counted and not self.exchange.is_connected()

    @property
    def is_sent_again(self) -> bool:
        """Return whether another first target may have run the request before."""
        return any(each != self.path.first.id for each in self.attempts.counted)

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
