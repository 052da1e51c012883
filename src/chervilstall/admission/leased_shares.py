"""Fleet-wide limits, enforced by leasing shares of each limit to routers.

For each limit, one allocator leases shares to the routers by demand. The sum of the
unexpired shares and of the safe share never exceeds the limit: a share expires on the
router's clock before the allocator reuses it, and a new allocator waits until every
share that its predecessor may have granted has expired. The safe share is never
leased; it is divided evenly among the routers, so that one that cannot reach the
allocator keeps admitting requests.
"""

import time
from dataclasses import dataclass, field

from chervilstall.clock import Clock
from chervilstall.ids import LimitName
from chervilstall.peer.shares import ShareGrant, ShareRequest
from chervilstall.settings.processes import LimitSettings

BURST_S = 1.0
"""Capacity of a token bucket, in seconds of its rate."""

DEMAND_SMOOTHING = 0.3
"""Weight of a sample below the moving average; one above it replaces the average."""

DEMAND_HEADROOM = 1.25
"""Ratio of the demand requested to the demand measured."""

DEMAND_MIN = 2.0
SHARE_MARGIN = 0.2
"""Fraction of a share's lifetime by which a router stops using it early."""

SWEEP_INTERVAL_S = 0.25
"""Time between computations of a limit's fair level."""


@dataclass
class _GrantedShare:
    amount: float
    expires_at_s: float


@dataclass
class _RouterShares:
    """The shares that a router may still be using; the highest one counts."""

    demand: float = 0.0
    unexpired: list[_GrantedShare] = field(default_factory=list)

    def prune(self, now_s: float) -> None:
        self.unexpired = [
            share for share in self.unexpired if share.expires_at_s > now_s
        ]

    @property
    def amount(self) -> float:
        return max((share.amount for share in self.unexpired), default=0.0)


@dataclass
class _LimitState:
    """The shares of one limit, by router.

    `granted` is the sum of the shares. Between two sweeps it may include expired ones,
    but never misses any. `level` is the max-min fair level, see `fair_level`.
    """

    routers: dict[str, _RouterShares] = field(default_factory=dict)
    granted: float = 0.0
    level: float = float("inf")
    swept_at_s: float = float("-inf")

    def sweep(self, now_s: float, leasable: float) -> None:
        """Remove expired shares and compute the fair level."""
        for router, shares in list(self.routers.items()):
            shares.prune(now_s)
            if not shares.unexpired:
                del self.routers[router]
        self.granted = sum(shares.amount for shares in self.routers.values())
        demands = [shares.demand for shares in self.routers.values()]
        self.level = fair_level(demands, leasable)
        self.swept_at_s = now_s


class ShareAllocator:
    """Leases shares of limits to routers; one instance acts per limit group.

    Grants are 0 until the shares of an earlier instance have expired. `is_first` says
    that there was none. `clock` returns seconds.

    >>> allocator = ShareAllocator(LimitSettings(safe_share=0.0), is_first=True)
    >>> allocator.grant(ShareRequest(LimitName("w"), "r1", 10.0), 6.0).amount
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
        self._grants_from_s = clock() + wait_s
        self._limits: dict[LimitName, _LimitState] = {}

    def grant(self, request: ShareRequest, limit: float) -> ShareGrant:
        """Lease a share of `limit`: the fair part of what is free, up to the demand.

        The answer may be lost, so an earlier and higher share of the same router
        counts until it expires. The fair level is computed every
        `SWEEP_INTERVAL_S` and not for each grant, so the cost of a grant does not
        depend on the number of routers.
        """
        ttl_s = self.settings.share_ttl_s
        now_s = self._clock()
        if now_s < self._grants_from_s:
            return ShareGrant(request.limit, 0.0, ttl_s)
        leasable = limit * (1.0 - self.settings.safe_share)
        state = self._limits.setdefault(request.limit, _LimitState())
        if now_s - state.swept_at_s >= SWEEP_INTERVAL_S:
            state.sweep(now_s, leasable)
        own = state.routers.setdefault(request.router, _RouterShares())
        own.demand = request.demand
        previous_amount = own.amount
        free = max(0.0, leasable - (state.granted - previous_amount))
        amount = min(free, request.demand, state.level)
        own.prune(now_s)
        own.unexpired.append(_GrantedShare(amount, now_s + ttl_s))
        state.granted += own.amount - previous_amount
        return ShareGrant(request.limit, amount, ttl_s)

    def leased(self, limit: LimitName) -> float:
        """Return the sum of the unexpired shares of a limit."""
        state = self._limits.setdefault(limit, _LimitState())
        now_s = self._clock()
        for shares in state.routers.values():
            shares.prune(now_s)
        return sum(shares.amount for shares in state.routers.values())


def fair_level(demands: list[float], capacity: float) -> float:
    """Return the max-min fair level: each demand is granted up to the level.

    The level is infinite if the capacity satisfies all demands.

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

    A leased share's lifetime counts from the time its request was sent, and the
    router stops using it early by `SHARE_MARGIN`. Amounts are per second for rate
    limits and in requests for concurrency limits.
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
        """Return this router's part of the safe share, which never expires."""
        return self.limit * self.settings.safe_share / self.settings.nodes_max

    def amount(self) -> float:
        """Return the amount that this router may use now."""
        if self.clock() < self.leased_until_s:
            return self.leased + self.safe
        return self.safe

    def apply_grant(self, grant: ShareGrant, requested_at_s: float) -> None:
        """Apply a grant whose request was sent at `requested_at_s`."""
        self.leased = grant.amount
        self.leased_until_s = requested_at_s + grant.ttl_s * (1.0 - SHARE_MARGIN)


@dataclass
class RateShare(LeasedShare):
    """A router's share of a rate limit, enforced by a token bucket.

    The bucket holds `BURST_S` of the rate. A request that costs more is admitted when
    the bucket is full and leaves it negative, so the rate holds over time.
    """

    demand_per_s: float = 0.0
    _tokens: float = 0.0
    _refilled_at_s: float = 0.0
    _requested: float = 0.0
    _measured_at_s: float = 0.0

    def __post_init__(self) -> None:
        self._refilled_at_s = self.clock()
        self._measured_at_s = self.clock()

    def apply_grant(self, grant: ShareGrant, requested_at_s: float) -> None:
        """Refill the bucket at the previous rate up to now, then apply the grant."""
        self._refill()
        super().apply_grant(grant, requested_at_s)

    def try_acquire(self, cost: float = 1.0) -> bool:
        """Take `cost` from the bucket; return False if it holds too little."""
        self._requested += cost
        tokens_max = self._refill()
        if self._tokens < min(cost, tokens_max):
            self.refused += 1
            return False
        self._tokens -= cost
        self.admitted += cost
        return True

    def fill(self) -> None:
        """Fill the bucket; only for a share that was leased for the first time."""
        self._tokens = self._refill()

    def refund(self, cost: float) -> None:
        """Return the part of the cost that a request did not use."""
        self._tokens += cost
        self.admitted -= cost

    def retry_after_s(self) -> float:
        """Return the time in seconds until the bucket holds one unit again."""
        rate_per_s = self.amount()
        if rate_per_s <= 0.0:
            return self.settings.share_ttl_s
        return max(0.0, (1.0 - self._tokens) / rate_per_s)

    def measure_demand(self) -> float:
        """Return the demand per second since the last call, with headroom.

        It rises at once and falls slowly.
        """
        now_s = self.clock()
        elapsed_s = now_s - self._measured_at_s
        if elapsed_s > 0.0:
            observed = self._requested / elapsed_s * DEMAND_HEADROOM
            smoothed = self.demand_per_s + (
                (observed - self.demand_per_s) * DEMAND_SMOOTHING
            )
            self.demand_per_s = max(smoothed, observed)
            self._requested = 0.0
            self._measured_at_s = now_s
        return max(self.demand_per_s, DEMAND_MIN)

    def _refill(self) -> float:
        now_s = self.clock()
        rate_per_s = self.amount()
        tokens_max = max(1.0, rate_per_s * BURST_S)
        refill_tokens = (now_s - self._refilled_at_s) * rate_per_s
        self._tokens = min(self._tokens + refill_tokens, tokens_max)
        self._refilled_at_s = now_s
        return tokens_max


@dataclass
class ConcurrencyShare(LeasedShare):
    """A router's share of a limit on concurrent requests."""

    in_use: int = 0
    _peak: int = 0

    def try_acquire(self) -> bool:
        """Take one slot; return False if all are in use."""
        self._peak = max(self._peak, self.in_use + 1)
        if self.in_use + 1 > self.amount():
            self.refused += 1
            return False
        self.in_use += 1
        self.admitted += 1
        return True

    def release(self) -> None:
        """Free one slot."""
        self.in_use -= 1

    def measure_demand(self) -> float:
        """Return the peak use since the last call, with headroom."""
        demand = self._peak * DEMAND_HEADROOM
        self._peak = self.in_use
        return max(demand, DEMAND_MIN)
