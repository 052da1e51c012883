"""Times at which streams leave draining targets, spread over the drain bound.

Moves at the same moment queue behind each other's prompts at the few targets that
hold the same layers, and all of the streams pause. Each router draws the time of each
move at random, so the moves of the whole fleet spread without any message between
routers.
"""

import random
from dataclasses import dataclass, field
from enum import Enum

from chervilstall.ids import RequestId

MOVE_SHARE = 0.8
"""Share of the drain bound after which a stream leaves a draining target at once.

The rest is left for the order and for a resume over another path if the order fails.
"""


class MoveDecision(Enum):
    """What to do now with a stream that uses a draining target."""

    MOVE = "move"
    WAIT = "wait"


@dataclass(frozen=True)
class MoveOutlook:
    """What is known about one possible move; times are monotonic seconds.

    The target may end after `latest_s`, and the stream is expected to end at
    `expected_end_s` where that is known. A move now would pause the stream for
    `pause_s`, and callers accept `pause_max_s`.
    """

    now_s: float
    latest_s: float
    expected_end_s: float | None
    pause_s: float
    pause_max_s: float


@dataclass
class MoveSchedule:
    """Decides when each stream leaves the draining target on its path.

    For example, `schedule.decide(request_id, outlook)` returns `WAIT` for a stream that
    ends before its target may, and `MOVE` for any stream at `latest_s`.
    """

    rng: random.Random = field(default_factory=random.Random)
    _move_at_s: dict[RequestId, float] = field(default_factory=dict)

    def decide(self, request_id: RequestId, outlook: MoveOutlook) -> MoveDecision:
        """Return whether a stream is moved now."""
        if outlook.now_s >= outlook.latest_s:
            return MoveDecision.MOVE
        end_s = outlook.expected_end_s
        if end_s is not None and end_s <= outlook.latest_s:
            return MoveDecision.WAIT
        move_at_s = self._move_at_s.get(request_id)
        if move_at_s is None or move_at_s > outlook.latest_s:
            move_at_s = self._draw(request_id, outlook)
        if outlook.now_s < move_at_s:
            return MoveDecision.WAIT
        if outlook.pause_s > outlook.pause_max_s:
            self._draw(request_id, outlook)
            return MoveDecision.WAIT
        return MoveDecision.MOVE

    def _draw(self, request_id: RequestId, outlook: MoveOutlook) -> float:
        move_at_s = self.rng.uniform(outlook.now_s, outlook.latest_s)
        self._move_at_s[request_id] = move_at_s
        return move_at_s

    def is_due(self, request_id: RequestId, now_s: float) -> bool:
        """Return whether a decision may differ from the last one, `WAIT`."""
        return self._move_at_s.get(request_id, 0.0) <= now_s

    def forget(self, request_id: RequestId) -> None:
        """Drop the time of a stream that has moved or ended."""
        self._move_at_s.pop(request_id, None)
