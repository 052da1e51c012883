"""State of one stream in progress, kept for the stream monitor."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from chervilstall.edge.exchange import Exchange
from chervilstall.edge.limits.attempts import AttemptLimit
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.silence_limits import (
    EVENT_SILENCE_LIMIT_S,
    FIRST_EVENT_SILENCE_LIMIT_S,
)
from chervilstall.fleet.records import Target
from chervilstall.paths.records import Path

CONNECT_CHECK_S = 0.1
"""Time without a connection after which the first target is checked.

A target accepts within a millisecond or two.
"""

FIRST_CHECK_SHARE = 0.5
"""Share of the time from the send to the objective for the first event after which the
first target is checked. A check and a second send take about 0.2 s more. An
earlier check would cost a connect for each request while targets are busy.
"""

GAP_WEIGHT = 0.2
"""Weight of the latest gap in the moving average."""

CHECK_LIMIT_MIN_S = 0.07
"""Lower bound of the silence after which the stages of a stream are checked.

It is twice the shortest usual time between events, 35 ms.
"""

INTERVAL_DEVIATIONS = 5.0
"""Mean deviations by which usual intervals exceed the mean interval at most.

Each exceptional interval costs a connect to every stage. Where prompts of others delay
events at random, 3 deviations gave 1.8 of them in a stream of 46 events, 5 gave 0.45.
"""


@dataclass
class EventInterval:
    """Moving averages of the time between two events and of its deviation.

    >>> interval = EventInterval()
    >>> for gap_s in (0.04, 0.06, 0.04, 0.06):
    ...     interval.record(gap_s)
    >>> interval.count, round(interval.mean_s, 3)
    (4, 0.05)
    """

    count: int = 0
    mean_s: float = 0.0
    deviation_s: float = 0.0

    def record(self, gap_s: float) -> None:
        """Record the time between two events."""
        self.count += 1
        if self.count == 1:
            self.mean_s, self.deviation_s = gap_s, gap_s / 2.0
            return
        weight = max(GAP_WEIGHT, 1.0 / self.count)
        error_s = gap_s - self.mean_s
        self.mean_s += weight * error_s
        self.deviation_s += weight * (abs(error_s) - self.deviation_s)

    @property
    def usual_max_s(self) -> float:
        """Return a time that the next interval will hardly exceed."""
        return self.mean_s + INTERVAL_DEVIATIONS * self.deviation_s


@dataclass
class LiveStream:
    """A stream in progress over one exchange.

    `last_event_at_s` is a monotonic time; until the first event it is that of the send.
    `silent_since_s` is the same, but starts anew when the stream gets another path.
    `mean_gap_s` is a moving average of the time between events, 0 until there are two,
    which rises from 0, so that a few long gaps at the start hardly make a target count
    as slow; `interval` starts with the first gap, as limits of silence need its size.
    `checked_at_s` is when the present silence was first found to be long, `found_at_s`
    when the latest move to another path began, and `sent_at_s` the time of the send.
    `was_sent_before` says that a target may have received the request in an earlier
    attempt, so that another one needs a retry.
    `moves_failed` counts the moves that did not give the stream another path.
    `on_next_event` is called once with the time of the next event, a monotonic one.
    """

    request: EdgeRequest
    exchange: Exchange
    path: Path
    attempts: AttemptLimit
    last_event_at_s: float
    was_sent_before: bool = False
    events: int = 0
    mean_gap_s: float = 0.0
    interval: EventInterval = field(default_factory=EventInterval)
    is_rerouting: bool = False
    moves_failed: int = 0
    on_next_event: Callable[[float], None] | None = None
    checked_at_s: float | None = None
    found_at_s: float | None = None
    first_event_at_s: float | None = None

    def __post_init__(self) -> None:
        self.sent_at_s = self.silent_since_s = self.last_event_at_s

    @property
    def has_event(self) -> bool:
        """Return whether an event has arrived."""
        return self.events > 0

    @property
    def has_event_over_path(self) -> bool:
        """Return whether the latest event came since the stream has its path."""
        return self.has_event and self.last_event_at_s >= self.silent_since_s

    @property
    def silence_limit_s(self) -> float:
        """Return how long the stream may be silent before it is checked."""
        return EVENT_SILENCE_LIMIT_S if self.has_event else FIRST_EVENT_SILENCE_LIMIT_S

    @property
    def check_limit_s(self) -> float:
        """Return how long the stream may be silent before its stages are checked."""
        if not self.interval.count:
            return self.silence_limit_s
        limit_s = max(self.interval.usual_max_s, CHECK_LIMIT_MIN_S)
        return min(limit_s, self.silence_limit_s)

    @property
    def first_check_s(self) -> float:
        """Return how long the first event may take before its target is checked."""
        if not self.exchange.is_connected():
            return CONNECT_CHECK_S
        request = self.request
        due_at_s = request.arrived_at_s + request.route.latency_slo_s
        share_s = FIRST_CHECK_SHARE * (due_at_s - self.silent_since_s)
        return min(max(share_s, CONNECT_CHECK_S), FIRST_EVENT_SILENCE_LIMIT_S)

    @property
    def is_unsent(self) -> bool:
        """Return whether no target can have received the request yet."""
        return not self.was_sent_before and not self.exchange.is_connected()

    @property
    def is_sent_again(self) -> bool:
        """Return whether another first target may have run the request before."""
        return any(each != self.path.first.id for each in self.attempts.counted)

    @property
    def silence_s(self) -> float:
        """Return the time since the last event, the latest order or the send."""
        return time.monotonic() - self.silent_since_s

    def record_event(self) -> None:
        """Record an event and update the mean gap."""
        now_s = time.monotonic()
        if self.has_event:
            gap_s = now_s - self.silent_since_s
            self.mean_gap_s += GAP_WEIGHT * (gap_s - self.mean_gap_s)
            self.interval.record(gap_s)
        else:
            self.first_event_at_s = now_s
        self.last_event_at_s = self.silent_since_s = now_s
        self.checked_at_s = None
        self.events += 1
        if self.on_next_event is not None:
            self.on_next_event(now_s)
            self.on_next_event = None

    def change_path(self, path: Path) -> None:
        """Set another path, over which the next event is awaited from now on."""
        self.path = path
        self.silent_since_s = time.monotonic()
        self.checked_at_s = None

    def note_check(self) -> None:
        """Record that the stream is silent for long, unless that is known."""
        if self.checked_at_s is None:
            self.checked_at_s = time.monotonic()

    def passes_through(self, target: Target) -> bool:
        """Return whether a target is part of the stream's path."""
        return any(
            stage.target.incarnation == target.incarnation for stage in self.path.stages
        )
