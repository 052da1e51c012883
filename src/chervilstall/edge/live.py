"""A stream in progress, as it is known to the watch over all streams."""

import time
from dataclasses import dataclass

from chervilstall.edge.exchange import Exchange
from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.records import Target
from chervilstall.paths.records import Path

EVENT_SILENCE_S = 0.12
"""A stream without an event for so long is looked at."""

FIRST_SILENCE_S = 0.35
"""The same before the first event, while prompts are read."""

GAP_WEIGHT = 0.2


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
        return any(
            part.target.incarnation == target.incarnation for part in self.path.stages
        )
