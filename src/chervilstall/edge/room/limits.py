"""How many tokens one router may have in flight, for each class of requests."""

import math
import time
from dataclasses import dataclass, replace

from chervilstall.clock import Clock
from chervilstall.edge.room.classes import TOKENS_MIN, ClassLedger
from chervilstall.edge.room.scale import ShareScale
from chervilstall.edge.room.view import RoomEstimate, RoomView
from chervilstall.fleet.records import Service
from chervilstall.settings.edge import AdmissionByRoomSettings

OVERUSE_WEIGHT = 3.0
"""Part of its share that a router gives up, by the part of the room used too much.

Routers may use their shares while others have more than theirs.
"""

OVERUSE_FACTOR_MIN = 0.5
"""Least factor of the share while the room is used beyond the capacity."""

NEAR_DEVIATIONS = 0.5
"""Deviations left free in addition as the most urgent class fills the limit."""

COVERED_MIN = 0.8
"""Part of the routers whose load must be known for the free room to count as known."""

GROWTH_SHARERS_MIN = 2.0
GROWTH_SHARERS = 8.0
"""How many times its part of the free room a router may take before new reports.

Few routers grow at a time, and those that do find less room with the next reports.
"""

REPORT_INTERVAL_S = 0.25


@dataclass(frozen=True)
class RoomLimits:
    """Tokens that this router may have in flight, and the estimate they come from.

    `urgent_tokens` is the limit for the most urgent class of several, and for a small
    workspace of the most urgent class, `tokens` that for all others. `base_tokens` is
    the part that needs no reports of other routers.
    """

    base_tokens: float
    tokens: float
    urgent_tokens: float
    estimate: RoomEstimate


@dataclass
class RoomLimiter:
    """Calculates the limits of one service from its room, its use and its answers."""

    service: Service
    settings: AdmissionByRoomSettings
    view: RoomView
    ledger: ClassLedger
    scale: ShareScale
    clock: Clock = time.monotonic
    _beyond_tokens: float = 0.0
    _beyond_at_s: float = float("-inf")

    def limits(self) -> RoomLimits | None:
        """Advance the scale and the growth to now, and return the limits.

        The result is None while the service's capacity isn't known.
        """
        estimate = self.view.estimate(self.service)
        if estimate.capacity_tokens <= 0.0:
            return None
        own = self.ledger.tokens
        share = estimate.share_tokens
        is_covered = 1 + estimate.reporting >= COVERED_MIN * estimate.sharers
        scale = self.scale.update(own / share, is_covered)
        if is_covered:
            # The use of all routers is known, so the factor is one of the capacity.
            capacity = estimate.capacity_tokens * scale
            estimate = replace(estimate, capacity_tokens=capacity)
            over = max(0.0, estimate.used_tokens / capacity - 1.0)
            scale *= max(OVERUSE_FACTOR_MIN, 1.0 - OVERUSE_WEIGHT * over)
        base = share * scale
        urgent = base * (1.0 + self.scale.excess)
        if not is_covered:
            return RoomLimits(base, base, urgent, estimate)
        beyond = self._refill_beyond(estimate)
        free = estimate.free_tokens
        kept = self._unused_reserve() * estimate.capacity_tokens
        return RoomLimits(
            base,
            max(base, own + min(beyond, free - kept)),
            max(urgent, own + min(beyond, free)),
            estimate,
        )

    def _refill_beyond(self, estimate: RoomEstimate) -> float:
        """Return the tokens that may begin beyond the base before new reports."""
        now_s = self.clock()
        elapsed_s = min(1.0, now_s - self._beyond_at_s)
        self._beyond_at_s = now_s
        growth = GROWTH_SHARERS_MIN
        growth += (GROWTH_SHARERS - growth) * min(1.0, self.scale.excess)
        part = min(1.0, growth / estimate.sharers) * estimate.free_tokens
        window_s = max(REPORT_INTERVAL_S, estimate.age_s)
        typical = self.service.pipeline.typical_tokens if self.service.pipeline else 0.0
        self._beyond_tokens = min(
            max(part, 2.0 * typical),
            self._beyond_tokens + part * elapsed_s / window_s,
        )
        return self._beyond_tokens

    def _unused_reserve(self) -> float:
        """Return the part of the room to keep free for the most urgent class.

        The other routers are assumed to have as large a part of its requests.
        """
        if not self.ledger.has_ranks(self.clock()):
            return 0.0
        use = self.ledger.use(min(self.ledger.classes))
        asked = use.demand.per_s(self.clock()) * self.ledger.hold_s
        part = use.tokens / max(self.ledger.tokens, TOKENS_MIN)
        reserve = self.settings.reserve_share
        return max(0.0, min(reserve, asked / max(self.ledger.tokens, 1.0)) - part)

    def note_started(self, tokens: float, limits: RoomLimits) -> None:
        """Count what a request that starts takes beyond the base."""
        after = self.ledger.tokens + tokens
        self._beyond_tokens -= min(tokens, max(0.0, after - limits.base_tokens))

    def note_ended(self, tokens: float) -> None:
        """Count what a request that has ended gives back."""
        self._beyond_tokens += tokens

    def class_room(self, priority: int, limits: RoomLimits, now_s: float) -> float:
        """Return the tokens that a class and all less urgent ones may use."""
        if self.ledger.is_most_urgent(priority, now_s):
            has_ranks = self.ledger.has_ranks(now_s)
            return limits.urgent_tokens if has_ranks else limits.tokens
        asked = 0.0
        used = 0.0
        most_urgent = 0.0
        for _, use in self.ledger.by_urgency():
            if use is self.ledger.use(priority):
                break
            asked += use.demand.per_s(now_s) * self.ledger.hold_s
            used += use.tokens
            most_urgent = most_urgent or asked
        # Requests come at random, so that what is asked for varies by about the root.
        # More is left free as the most urgent class alone comes near to the limit.
        near = min(1.0, most_urgent / max(limits.tokens, TOKENS_MIN))
        deviations = 1.0
        if limits.estimate.reporting:
            deviations += NEAR_DEVIATIONS * near**2
        asked += deviations * math.sqrt(asked * self.ledger.mean_tokens)
        return limits.tokens - max(asked, used)
