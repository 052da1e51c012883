"""The limits of one router, and the renewal of its leased shares."""

import copy
import time
from dataclasses import dataclass, field
from typing import Protocol

from chervilstall.admission.leased_shares import (
    ConcurrencyShare,
    RateShare,
    ShareAllocator,
)
from chervilstall.clock import Clock
from chervilstall.configuration.tree import Tree
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import LimitName, WorkspaceName
from chervilstall.peer.shares import ShareGrant, ShareRequest
from chervilstall.settings.processes import LimitSettings

FIRST_DEMAND_MIN = 8.0
"""Smallest demand in the first request for a share of a limit."""


def requests_limit(workspace: WorkspaceName) -> LimitName:
    """Return the name of a workspace's limit on requests per second."""
    return LimitName(f"{workspace}/requests")


def tokens_limit(workspace: WorkspaceName) -> LimitName:
    """Return the name of a workspace's limit on tokens per second."""
    return LimitName(f"{workspace}/tokens")


def concurrency_limit(workspace: WorkspaceName) -> LimitName:
    """Return the name of a workspace's limit on running requests."""
    return LimitName(f"{workspace}/concurrency")


def pipeline_limit(workspace: WorkspaceName, pipeline: str) -> LimitName:
    """Return the name of a pipeline's limit on requests per second."""
    return LimitName(f"{workspace}/pipelines/{pipeline}/requests")


def limits_of(tree: Tree) -> dict[LimitName, float]:
    """Return every limit that a settings tree declares."""
    limits: dict[LimitName, float] = {}
    for workspace, grant in tree.grants().items():
        limits[requests_limit(workspace)] = grant.requests_per_s
        limits[tokens_limit(workspace)] = grant.tokens_per_s
        limits[concurrency_limit(workspace)] = float(grant.concurrency)
    for workspace, name, pipeline in tree.pipelines():
        if pipeline.requests_per_s > 0.0:
            limits[pipeline_limit(workspace, name)] = pipeline.requests_per_s
    return limits


class ShareService(Protocol):
    """Leases shares of limits to a router."""

    def request_shares(self, requests: list[ShareRequest]) -> list[ShareGrant]:
        """Return a grant for each request that could be answered."""


class LocalShareService:
    """A share service within the process, for embedded routers and tests."""

    def __init__(
        self, allocator: ShareAllocator, limits: dict[LimitName, float]
    ) -> None:
        self.allocator = allocator
        self.limits = limits

    def request_shares(self, requests: list[ShareRequest]) -> list[ShareGrant]:
        """Return grants of the local allocator."""
        grants = []
        for request in requests:
            limit = self.limits.get(request.limit)
            if limit is not None:
                grants.append(self.allocator.grant(request, limit))
        return grants


class NoShareService:
    """Leases nothing, for limits that are only read."""

    def request_shares(self, requests: list[ShareRequest]) -> list[ShareGrant]:
        """Return no grants."""
        return []


@dataclass
class AcquiredLimits:
    """What one admitted request acquired.

    `tokens` is the number of tokens taken from the token limit in advance.
    """

    tokens: float
    rate_share: RateShare | None
    concurrency_share: ConcurrencyShare | None

    def release(self, tokens_used: float) -> None:
        """Free the concurrency slot and refund the tokens that were not used."""
        if self.concurrency_share is not None:
            self.concurrency_share.release()
        if self.rate_share is not None and tokens_used < self.tokens:
            self.rate_share.refund(self.tokens - tokens_used)


@dataclass
class RouterLimits:
    """Checks each request against its limits and renews the router's shares.

    Only the shares used since the last renewal are renewed, so the size of the
    messages grows with the workspaces that the router serves, not with all of them.
    """

    settings: LimitSettings
    router: str
    service: ShareService
    clock: Clock = time.monotonic
    _limits: dict[LimitName, float] = field(default_factory=dict)
    _rate_shares: dict[LimitName, RateShare] = field(default_factory=dict)
    _concurrency_shares: dict[LimitName, ConcurrencyShare] = field(default_factory=dict)
    _used: set[LimitName] = field(default_factory=set)

    def update(self, tree: Tree) -> None:
        """Apply the limits of a new settings revision."""
        self._limits = limits_of(tree)
        for name, share in [
            *self._rate_shares.items(),
            *self._concurrency_shares.items(),
        ]:
            share.limit = self._limits.get(name, 0.0)

    def snapshot(self, workspace: WorkspaceName, pipeline: str) -> "RouterLimits":
        """Return a copy of what limits a request, to try the request with.

        It has only the shares that were leased before, as the first request for a
        limit leases one.
        """
        names = (
            concurrency_limit(workspace),
            requests_limit(workspace),
            pipeline_limit(workspace, pipeline),
            tokens_limit(workspace),
        )
        rates, slots = self._rate_shares, self._concurrency_shares
        return RouterLimits(
            self.settings,
            self.router,
            NoShareService(),
            self.clock,
            {
                name: self._limits[name]
                for name in names
                if name in self._limits and (name in rates or name in slots)
            },
            {name: copy.copy(rates[name]) for name in names if name in rates},
            {name: copy.copy(slots[name]) for name in names if name in slots},
        )

    def admit(
        self, workspace: WorkspaceName, pipeline: str, tokens: float
    ) -> AcquiredLimits:
        """Acquire a request's part of every limit that applies to it.

        `tokens` is the number of tokens that it may generate. Raises
        ChervilstallError with LIMIT_EXCEEDED if a limit is reached; the request then
        holds no concurrency slot.
        """
        concurrency_share = self._concurrency_share(concurrency_limit(workspace))
        if concurrency_share is not None and not concurrency_share.try_acquire():
            raise self._limit_exceeded("running requests", 1.0)
        try:
            self._acquire(requests_limit(workspace), 1.0, "requests")
            self._acquire(pipeline_limit(workspace, pipeline), 1.0, "pipeline requests")
            rate_share = self._acquire(tokens_limit(workspace), tokens, "tokens")
        except ChervilstallError:
            if concurrency_share is not None:
                concurrency_share.release()
            raise
        return AcquiredLimits(tokens, rate_share, concurrency_share)

    def _acquire(self, name: LimitName, cost: float, unit: str) -> RateShare | None:
        rate_share = self._rate_share(name)
        if rate_share is None or cost <= 0.0:
            return None
        if not rate_share.try_acquire(cost):
            raise self._limit_exceeded(unit, rate_share.retry_after_s())
        return rate_share

    def _limit_exceeded(self, unit: str, retry_after_s: float) -> ChervilstallError:
        return ChervilstallError(
            ErrorKind.LIMIT_EXCEEDED, f"the limit on {unit} is reached", retry_after_s
        )

    def _rate_share(self, name: LimitName) -> RateShare | None:
        if name not in self._limits:
            return None
        rate_share = self._rate_shares.get(name)
        if rate_share is None:
            rate_share = RateShare(self.settings, self.clock, self._limits[name])
            self._rate_shares[name] = rate_share
            self._lease_first(name, rate_share)
        self._used.add(name)
        return rate_share

    def _concurrency_share(self, name: LimitName) -> ConcurrencyShare | None:
        if name not in self._limits:
            return None
        concurrency_share = self._concurrency_shares.get(name)
        if concurrency_share is None:
            concurrency_share = ConcurrencyShare(
                self.settings, self.clock, self._limits[name]
            )
            self._concurrency_shares[name] = concurrency_share
            self._lease_first(name, concurrency_share)
        self._used.add(name)
        return concurrency_share

    def _lease_first(
        self, name: LimitName, share: RateShare | ConcurrencyShare
    ) -> None:
        # The first request waits for the share, since without one it would be refused.
        requested_at_s = self.clock()
        demand = max(FIRST_DEMAND_MIN, share.limit / self.settings.nodes_max)
        request = ShareRequest(name, self.router, min(share.limit, demand))
        for grant in self.service.request_shares([request]):
            share.apply_grant(grant, requested_at_s)
        if isinstance(share, RateShare):
            share.fill()

    def renew(self) -> None:
        """Renew the shares in use; to be called several times in a share's lifetime."""
        shares: dict[LimitName, RateShare | ConcurrencyShare] = {}
        shares.update(self._rate_shares)
        shares.update(self._concurrency_shares)
        requests = []
        for name in self._used & self._limits.keys():
            demand = shares[name].measure_demand()
            requests.append(ShareRequest(name, self.router, demand))
        self._used = {
            name
            for name, concurrency_share in self._concurrency_shares.items()
            if concurrency_share.in_use
        }
        if not requests:
            return
        requested_at_s = self.clock()
        for grant in self.service.request_shares(requests):
            shares[grant.limit].apply_grant(grant, requested_at_s)
