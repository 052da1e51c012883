"""Requests in flight and demand of one service, by priority and workspace."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from chervilstall.admission.fair_queue import FairQueue
from chervilstall.admission.leased_shares import fair_level
from chervilstall.edge.room.rates import DecayingRate
from chervilstall.ids import WorkspaceName

HOLD_INITIAL_S = 2.0
HOLD_WEIGHT = 0.05
"""Weight of the latest request in the moving average of the time that one runs."""

ACTIVE_S = 10.0
"""Time from its last request in which a class or workspace counts as active."""

RETURN_SLOT_S = 0.25
"""Width of the slots in which refused requests are expected back."""

LEVEL_DEVIATIONS = 0.7
"""Deviations of the demand of small workspaces that large ones leave free."""

TOKENS_MIN = 0.5
"""Tokens below which nothing is in flight; sums of fractions don't end at 0."""

LEVEL_REFRESH_S = 0.1
"""Time between two computations of a fair level, which takes all workspaces."""


@dataclass(frozen=True)
class RoomRequest:
    """What a request needs. A lower `priority` is more urgent.

    `wait_max_s` is the longest time in the queue, `remaining_s` the time that its
    caller has left, and `objective_s` the time in which the first event should come.
    """

    workspace: WorkspaceName
    priority: int
    tokens: float
    wait_max_s: float
    remaining_s: float
    objective_s: float


@dataclass
class WorkspaceUse:
    """Tokens in flight and demand of one workspace in one class."""

    tokens: float = 0.0
    demand: DecayingRate = field(default_factory=DecayingRate)
    asked_at_s: float = float("-inf")


@dataclass
class ClassUse:
    """Tokens in flight, demand and queue of the requests of one priority.

    `floor_tokens` is what the class may start regardless of others if it isn't the
    most urgent one. `refused_tokens` holds the tokens of requests that were refused,
    each with the time at which its caller is to return.
    """

    tokens: float = 0.0
    demand: DecayingRate = field(default_factory=DecayingRate)
    asked_at_s: float = float("-inf")
    workspaces: dict[WorkspaceName, WorkspaceUse] = field(default_factory=dict)
    queue: FairQueue = field(default_factory=FairQueue)
    queued_tokens: float = 0.0
    floor_tokens: float = 0.0
    floor_at_s: float = 0.0
    refused_tokens: dict[int, float] = field(default_factory=dict)
    _level: float = float("inf")
    _level_at_s: float = float("-inf")

    def level(
        self, room_tokens: float, hold_s: float, mean_tokens: float, now_s: float
    ) -> float:
        """Return the tokens up to which each workspace gets what it asks for.

        Workspaces that ask for less than that do so at random. The others leave about
        the deviation of their demand free.
        """
        if now_s - self._level_at_s >= LEVEL_REFRESH_S:
            self._level_at_s = now_s
            demands = [
                each.demand.per_s(now_s) * hold_s for each in self.workspaces.values()
            ]
            room_tokens = max(0.0, room_tokens)
            level = fair_level(demands, room_tokens)
            below = sum(demand for demand in demands if demand < level)
            deviation = LEVEL_DEVIATIONS * math.sqrt(below * mean_tokens)
            self._level = fair_level(demands, max(0.0, room_tokens - deviation))
        return self._level

    def note_refused(self, tokens: float, returns_at_s: float) -> None:
        """Record a refused request and when its caller is to return."""
        slot = int(returns_at_s / RETURN_SLOT_S)
        self.refused_tokens[slot] = self.refused_tokens.get(slot, 0.0) + tokens

    def returning_tokens(self, now_s: float) -> float:
        """Return the tokens of refused requests whose callers are yet to return."""
        for slot in [
            each for each in self.refused_tokens if each < now_s / RETURN_SLOT_S
        ]:
            del self.refused_tokens[slot]
        return sum(self.refused_tokens.values())

    def add_floor(self, rate_tokens_s: float, maximum: float, now_s: float) -> None:
        """Let the tokens of the floor grow up to now, at most to `maximum`."""
        elapsed_s = min(1.0, now_s - self.floor_at_s)
        self.floor_at_s = now_s
        self.floor_tokens = min(
            maximum, self.floor_tokens + max(0.0, elapsed_s) * rate_tokens_s
        )


@dataclass
class ClassLedger:
    """All classes of one service. `tokens` is the sum of the tokens in flight.

    `hold_s` is how long a request runs on average, `mean_tokens` its size.
    """

    classes: dict[int, ClassUse] = field(default_factory=dict)
    tokens: float = 0.0
    hold_s: float = HOLD_INITIAL_S
    mean_tokens: float = 0.0

    def use(self, priority: int) -> ClassUse:
        """Return the class of a priority."""
        return self.classes.setdefault(priority, ClassUse())

    def record_demand(self, request: RoomRequest, now_s: float) -> None:
        """Count a request that asks for room, also if it is refused then."""
        use = self.use(request.priority)
        workspace = use.workspaces.setdefault(request.workspace, WorkspaceUse())
        use.demand.add(request.tokens, now_s)
        workspace.demand.add(request.tokens, now_s)
        use.asked_at_s = workspace.asked_at_s = now_s

    def take(self, request: RoomRequest) -> None:
        """Count the tokens of a request that begins."""
        use = self.use(request.priority)
        self.tokens += request.tokens
        use.tokens += request.tokens
        workspace = use.workspaces.setdefault(request.workspace, WorkspaceUse())
        workspace.tokens += request.tokens

    def release(self, request: RoomRequest, held_s: float) -> None:
        """Drop the tokens of a request that has ended after `held_s`."""
        self.hold_s += HOLD_WEIGHT * (held_s - self.hold_s)
        self.mean_tokens = self.mean_tokens or request.tokens
        self.mean_tokens += HOLD_WEIGHT * (request.tokens - self.mean_tokens)
        use = self.use(request.priority)
        self.tokens = max(0.0, self.tokens - request.tokens)
        use.tokens = max(0.0, use.tokens - request.tokens)
        workspace = use.workspaces.setdefault(request.workspace, WorkspaceUse())
        workspace.tokens = max(0.0, workspace.tokens - request.tokens)

    def by_urgency(self) -> list[tuple[int, ClassUse]]:
        """Return the classes, the most urgent one first."""
        return sorted(self.classes.items(), key=lambda item: item[0])

    def active(self, now_s: float) -> list[int]:
        """Return the priorities of which requests came lately, in order of urgency."""
        return sorted(
            priority
            for priority, use in self.classes.items()
            if now_s - use.asked_at_s < ACTIVE_S
        )

    def has_ranks(self, now_s: float) -> bool:
        """Return whether requests of several priorities came lately."""
        return len(self.active(now_s)) > 1

    def is_most_urgent(self, priority: int, now_s: float) -> bool:
        """Return whether no more urgent request came lately or is in flight."""
        return not any(
            use.tokens >= TOKENS_MIN or now_s - use.asked_at_s < ACTIVE_S
            for use in self.more_urgent(priority)
        )

    def more_urgent(self, priority: int) -> Iterator[ClassUse]:
        """Yield the classes that are more urgent than a priority."""
        for other, use in self.classes.items():
            if other < priority:
                yield use

    def tokens_from(self, priority: int) -> float:
        """Return the tokens in flight of a priority and all less urgent ones."""
        return sum(
            use.tokens for other, use in self.classes.items() if other >= priority
        )

    def prune(self, now_s: float) -> None:
        """Drop classes and workspaces without recent demand and requests in flight."""
        for priority, use in list(self.classes.items()):
            use.queue.prune(now_s)
            for name, workspace in list(use.workspaces.items()):
                is_idle = now_s - workspace.asked_at_s >= ACTIVE_S
                if is_idle and workspace.tokens < TOKENS_MIN:
                    del use.workspaces[name]
            if not use.workspaces and not use.queue.length:
                del self.classes[priority]
