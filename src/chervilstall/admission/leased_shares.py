"""Limits over the whole fleet by leased shares.

A limit holder leases shares of each limit to routers by demand. The sum
of live shares plus the safe part never exceeds the limit: a share ends on the
router's clock before the holder takes it back, and a new holder waits out the
longest share that its predecessor may have given. A router that is cut off keeps its
part of the safe share, which is never leased.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from chervilstall.ids import LimitName
from chervilstall.peer.shares import ShareGrant, ShareRequest
from chervilstall.settings.processes import LimitSettings

Clock = Callable[[], float]

BUCKET_S = 1.0
DEMAND_SMOOTHING = 0.3
DEMAND_HEADROOM = 1.25
MINIMUM_DEMAND = 2.0
SHARE_MARGIN = 0.2
SWEEP_S = 0.25


@dataclass
class _LiveShare:
    amount: float
    expires_at_s: float


@dataclass
class _RouterShares:
    """Shares that a router may still be using; the highest one counts."""

    demand: float = 0.0
    live: list[_LiveShare] = field(default_factory=list)

    def prune(self, now_s: float) -> None:
        self.live = [share for share in self.live if share.expires_at_s > now_s]

    @property
    def amount(self) -> float:
        return max((share.amount for share in self.live), default=0.0)


@dataclass
class _LimitState:
    """Shares of one limit. `taken` may still count ended shares, never too few."""

    routers: dict[str, _RouterShares] = field(default_factory=dict)
    taken: float = 0.0
    level: float = float("inf")
    swept_at_s: float = float("-inf")

    def sweep(self, now_s: float, leasable: float) -> None:
        """Drop ended shares, and work out the fair level anew."""
        for router, shares in list(self.routers.items()):
            shares.prune(now_s)
            if not shares.live:
                del self.routers[router]
        self.taken = sum(shares.amount for shares in self.routers.values())
        demands = [shares.demand for shares in self.routers.values()]
        self.level = fair_level(demands, leasable)
        self.swept_at_s = now_s


class ShareAllocator:
    """Leases shares of limits; one instance acts per limit group.

    A new holder waits for the shares of an earlier one to end; until then every grant
    is 0. `is_first` says that there was none.

    >>> holder = ShareAllocator(LimitSettings(safe_share=0.0), is_first=True)
    >>> holder.grant(ShareRequest(LimitName("w"), "r1", 10.0), 6.0).amount
    6.0
    """

    def __init__(
        self,
        settings: LimitSettings,
        is_first: bool = False,
        clock: Clock = time.monotonic,
    ) -> None:
        self.settings = settings
        self._clock = clock
        wait_s = 0.0 if is_first else settings.share_ttl_s
        self._acts_from_s = clock() + wait_s
        self._limits: dict[LimitName, _LimitState] = {}

    def grant(self, request: ShareRequest, limit: float) -> ShareGrant:
        """Lease a share: the fair part of what is free, up to the demand.

        The answer may be lost, so an earlier and higher share of the same router
        counts until its end. The fair level is worked out every `SWEEP_S` and not for
        each grant, so a grant's cost does not depend on the number of routers.
        """
        ttl_s = self.settings.share_ttl_s
        now_s = self._clock()
        if now_s < self._acts_from_s:
            return ShareGrant(request.limit, 0.0, ttl_s)
        leasable = limit * (1.0 - self.settings.safe_share)
        state = self._limits.setdefault(request.limit, _LimitState())
        if now_s - state.swept_at_s >= SWEEP_S:
            state.sweep(now_s, leasable)
        own = state.routers.setdefault(request.router, _RouterShares())
        own.demand = request.demand
        counted = own.amount
        free = max(0.0, leasable - (state.taken - counted))
        amount = min(free, request.demand, state.level)
        own.prune(now_s)
        own.live.append(_LiveShare(amount, now_s + ttl_s))
        state.taken += own.amount - counted
        return ShareGrant(request.limit, amount, ttl_s)

    def leased(self, limit: LimitName) -> float:
        """Return the sum of live shares of a limit."""
        state = self._limits.setdefault(limit, _LimitState())
        now_s = self._clock()
        for shares in state.routers.values():
            shares.prune(now_s)
        return sum(shares.amount for shares in state.routers.values())


def fair_level(demands: list[float], capacity: float) -> float:
    """Return the max-min level: each demand gets itself or the level, if that is less.

    >>> fair_level([1.0, 9.0, 9.0], 9.0)
    4.0
    """
    remaining = capacity
    pending = len(demands)
    for demand in sorted(demands):
        if demand * pending > remaining:
            return remaining / pending
        remaining -= demand
        pending -= 1
    return float("inf")


@dataclass
class LeasedShare:
    """A router's part of one limit: a leased share and a part of the safe share.

    A lease counts from before its request was sent and ends early by a margin. The
    amount is per second for rates, and a number of requests for concurrency.
    """

    settings: LimitSettings
    clock: Clock = time.monotonic
    limit: float = 0.0
    leased: float = 0.0
    leased_until_s: float = 0.0
    admitted: float = 0.0
    refused: int = 0

    @property
    def safe(self) -> float:
        """Return this router's part of the safe share."""
        return self.limit * self.settings.safe_share / self.settings.nodes_max

    def amount(self) -> float:
        """Return the present share."""
        if self.clock() < self.leased_until_s:
            return self.leased + self.safe
        return self.safe

    def accept(self, grant: ShareGrant, asked_at_s: float) -> None:
        """Take in a grant that was asked for at `asked_at_s`."""
        self.leased = grant.amount
        self.leased_until_s = asked_at_s + grant.ttl_s * (1.0 - SHARE_MARGIN)


@dataclass
class ShareBucket(LeasedShare):
    """A router's token bucket for a rate, such as requests or tokens per second.

    Up to one second's worth may be saved up. A request that costs more than that is
    admitted from a full bucket and paid off afterwards, so the rate holds over time.
    """

    demand_per_s: float = 0.0
    _tokens: float = 0.0
    _refilled_at_s: float = 0.0
    _asked: float = 0.0
    _measured_at_s: float = 0.0

    def __post_init__(self) -> None:
        self._refilled_at_s = self.clock()
        self._measured_at_s = self.clock()

    def accept(self, grant: ShareGrant, asked_at_s: float) -> None:
        """Take in a grant; what was earned before counts at the earlier rate."""
        self._refill()
        super().accept(grant, asked_at_s)

    def try_take(self, cost: float = 1.0) -> bool:
        """Take `cost` from the bucket; False where the limit is reached."""
        self._asked += cost
        most = self._refill()
        if self._tokens < min(cost, most):
            self.refused += 1
            return False
        self._tokens -= cost
        self.admitted += cost
        return True

    def fill(self) -> None:
        """Start with a full bucket; only for a share leased the first time."""
        self._tokens = self._refill()

    def give_back(self, cost: float) -> None:
        """Return what a request did not use."""
        self._tokens += cost
        self.admitted -= cost

    def retry_after_s(self) -> float:
        """Return the time until the bucket holds a unit again."""
        rate_per_s = self.amount()
        if rate_per_s <= 0.0:
            return self.settings.share_ttl_s
        return max(0.0, (1.0 - self._tokens) / rate_per_s)

    def measure_demand(self) -> float:
        """Return the demand per second with headroom, falling slowly."""
        now_s = self.clock()
        elapsed_s = now_s - self._measured_at_s
        if elapsed_s > 0.0:
            observed = self._asked / elapsed_s * DEMAND_HEADROOM
            smoothed = self.demand_per_s + (
                (observed - self.demand_per_s) * DEMAND_SMOOTHING
            )
            self.demand_per_s = max(smoothed, observed)
            self._asked = 0.0
            self._measured_at_s = now_s
        return max(self.demand_per_s, MINIMUM_DEMAND)

    def _refill(self) -> float:
        now_s = self.clock()
        rate_per_s = self.amount()
        most = max(1.0, rate_per_s * BUCKET_S)
        earned = (now_s - self._refilled_at_s) * rate_per_s
        self._tokens = min(self._tokens + earned, most)
        self._refilled_at_s = now_s
        return most


@dataclass
class ShareGauge(LeasedShare):
    """A router's share of a concurrency limit."""

    in_use: int = 0
    _peak: int = 0

    def try_take(self) -> bool:
        """Take one place; False where the share is in use."""
        self._peak = max(self._peak, self.in_use + 1)
        if self.in_use + 1 > self.amount():
            self.refused += 1
            return False
        self.in_use += 1
        self.admitted += 1
        return True

    def give_back(self) -> None:
        """Give one place back."""
        self.in_use -= 1

    def measure_demand(self) -> float:
        """Return the peak use since the last measurement, with headroom."""
        demand = self._peak * DEMAND_HEADROOM
        self._peak = self.in_use
        return max(demand, MINIMUM_DEMAND)
