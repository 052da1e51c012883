"""The limits of one router: buckets per workspace and pipeline, kept supplied."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from chervilstall.admission.leased_shares import ShareAllocator, ShareBucket, ShareGauge
from chervilstall.configuration.tree import Tree
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import LimitName, WorkspaceName
from chervilstall.peer.shares import ShareGrant, ShareRequest
from chervilstall.settings.processes import LimitSettings

FIRST_DEMAND = 8.0


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
    """Where a router leases its shares."""

    def request_shares(self, requests: list[ShareRequest]) -> list[ShareGrant]:
        """Return the grants that could be had; the others are left out."""


class LocalShareService:
    """A share service in this process, for embedding and tests."""

    def __init__(self, holder: ShareAllocator, limits: dict[LimitName, float]) -> None:
        self.holder = holder
        self.limits = limits

    def request_shares(self, requests: list[ShareRequest]) -> list[ShareGrant]:
        """Grant from the local holder."""
        grants = []
        for request in requests:
            limit = self.limits.get(request.limit)
            if limit is not None:
                grants.append(self.holder.grant(request, limit))
        return grants


@dataclass
class AcquiredLimits:
    """What one admitted request took, to be given back at its end."""

    tokens: float
    bucket: ShareBucket | None
    gauge: ShareGauge | None

    def release(self, tokens_used: float) -> None:
        """Give back the place and the tokens that were not used."""
        if self.gauge is not None:
            self.gauge.give_back()
        if self.bucket is not None and tokens_used < self.tokens:
            self.bucket.give_back(self.tokens - tokens_used)


@dataclass
class RouterLimits:
    """Checks each request against its limits and renews the router's shares.

    Only limits in use since the last renewal are leased again, so a router's
    messages grow with the workspaces it serves and not with all there are.
    """

    settings: LimitSettings
    router: str
    service: ShareService
    clock: Callable[[], float] = time.monotonic
    _limits: dict[LimitName, float] = field(default_factory=dict)
    _buckets: dict[LimitName, ShareBucket] = field(default_factory=dict)
    _gauges: dict[LimitName, ShareGauge] = field(default_factory=dict)
    _used: set[LimitName] = field(default_factory=set)

    def update(self, tree: Tree) -> None:
        """Take in the limits of a new revision."""
        self._limits = limits_of(tree)
        for name, share in [*self._buckets.items(), *self._gauges.items()]:
            share.limit = self._limits.get(name, 0.0)

    def admit(
        self, workspace: WorkspaceName, pipeline: str, tokens: float
    ) -> AcquiredLimits:
        """Take a request's part of every limit, or raise LIMIT_EXCEEDED."""
        gauge = self._gauge(concurrency_limit(workspace))
        if gauge is not None and not gauge.try_take():
            raise self._exceeded("running requests", 1.0)
        try:
            self._take(requests_limit(workspace), 1.0, "requests")
            self._take(pipeline_limit(workspace, pipeline), 1.0, "pipeline requests")
            bucket = self._take(tokens_limit(workspace), tokens, "tokens")
        except ChervilstallError:
            if gauge is not None:
                gauge.give_back()
            raise
        return AcquiredLimits(tokens, bucket, gauge)

    def _take(self, name: LimitName, cost: float, unit: str) -> ShareBucket | None:
        bucket = self._bucket(name)
        if bucket is None or cost <= 0.0:
            return None
        if not bucket.try_take(cost):
            raise self._exceeded(unit, bucket.retry_after_s())
        return bucket

    def _exceeded(self, unit: str, retry_after_s: float) -> ChervilstallError:
        return ChervilstallError(
            ErrorKind.LIMIT_EXCEEDED, f"the limit on {unit} is reached", retry_after_s
        )

    def _bucket(self, name: LimitName) -> ShareBucket | None:
        if name not in self._limits:
            return None
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = ShareBucket(self.settings, self.clock, self._limits[name])
            self._buckets[name] = bucket
            self._renew_one(name, bucket)
        self._used.add(name)
        return bucket

    def _gauge(self, name: LimitName) -> ShareGauge | None:
        if name not in self._limits:
            return None
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = ShareGauge(self.settings, self.clock, self._limits[name])
            self._gauges[name] = gauge
            self._renew_one(name, gauge)
        self._used.add(name)
        return gauge

    def _renew_one(self, name: LimitName, share: ShareBucket | ShareGauge) -> None:
        # A workspace's first request waits for its share rather than be refused.
        asked_at_s = self.clock()
        demand = max(FIRST_DEMAND, share.limit / self.settings.nodes_max)
        request = ShareRequest(name, self.router, min(share.limit, demand))
        for grant in self.service.request_shares([request]):
            share.accept(grant, asked_at_s)
        if isinstance(share, ShareBucket):
            share.fill()

    def renew(self) -> None:
        """Lease the shares in use anew; called several times per share life."""
        shares: dict[LimitName, ShareBucket | ShareGauge] = {}
        shares.update(self._buckets)
        shares.update(self._gauges)
        requests = []
        for name in self._used & self._limits.keys():
            demand = shares[name].measure_demand()
            requests.append(ShareRequest(name, self.router, demand))
        self._used = {name for name, gauge in self._gauges.items() if gauge.in_use}
        if not requests:
            return
        asked_at_s = self.clock()
        for grant in self.service.request_shares(requests):
            shares[grant.limit].accept(grant, asked_at_s)
