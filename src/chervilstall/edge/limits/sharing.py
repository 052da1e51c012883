"""Sharing of the limits that targets name with the other routers, through the store.

A router that has sent a target nothing yet would only learn of its limit after its
first request, and one without a part of a small limit would never learn that it ended.
"""

import random
from dataclasses import dataclass, field

import gevent

from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.registry import RouterRegistry
from chervilstall.fleet.records import Target
from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId
from chervilstall.platform import protocol
from chervilstall.platform.handlers import FullRead
from chervilstall.platform.kv import Entry
from chervilstall.platform.limits import SharedLimit, decode_limit, encode_limit
from chervilstall.store.contract import StoreFailed
from chervilstall.telemetry.events import EventLog

log = EventLog("members")

LIMITS_PREFIX = protocol.ROUTER_KEYS_PREFIX + "limits/"
SHARE_DELAY_MAX_S = 0.05
"""Upper bound of a random delay, after which another router may have been first."""

SHARE_INTERVAL_S = 1.0
"""Shortest time between two writes for the same target by one router."""

CHANGE_RATIO_MIN = 0.1
"""Relative change of a limit from which it is shared again."""


@dataclass
class _StoredLimit:
    """A limit as the store holds it; `is_applied` says whether it was put in force."""

    limit: SharedLimit
    revision: int
    is_applied: bool


@dataclass
class LimitSharing:
    """Writes limits that this router learns first, and applies those of others.

    A key lives as long as its writer's lease; a key that vanishes says nothing about
    the limit.
    """

    fleet_view: FleetView
    rate_limiter: TargetRateLimiter
    registry: RouterRegistry
    _stored: dict[TargetId, _StoredLimit] = field(default_factory=dict)
    _sharing: set[TargetId] = field(default_factory=set)
    _is_reading_copy: bool = False

    def handle_new_era(self) -> None:
        """Record what the store's copy holds without applying it; it may be old."""
        self._stored.clear()
        self._is_reading_copy = True

    def handle_entry(self, entry: Entry) -> None:
        """Apply a changed entry below `LIMITS_PREFIX`."""
        if entry.value is None:
            return
        limit = decode_limit(entry.value)
        if limit is None:
            log.warning("shared limit not readable", key=entry.key)
            return
        known = self._stored.get(limit.target)
        if known is not None and entry.revision <= known.revision:
            return
        is_known = self._is_reading_copy or limit.reporter == self.registry.vm
        stored = _StoredLimit(limit, entry.revision, is_applied=is_known)
        self._stored[limit.target] = stored
        self._apply(stored)

    def _apply(self, stored: _StoredLimit) -> None:
        limit = stored.limit
        target = self.fleet_view.targets.get(limit.target)
        if stored.is_applied or target is None:
            return
        stored.is_applied = True
        if target.started_at_ms == limit.started_at_ms:
            self.rate_limiter.apply_limit(target, limit.per_s)

    def handle_full_read(self, full_read: FullRead) -> None:
        """Apply limits that were read before their targets; drop those of others."""
        self._is_reading_copy = False
        for target_id, stored in list(self._stored.items()):
            if target_id in self.fleet_view.targets:
                self._apply(stored)
            else:
                del self._stored[target_id]

    def share(self, target: Target) -> None:
        """Share the limit that this router knows for a target, in a task of its own."""
        if target.id not in self._sharing:
            self._sharing.add(target.id)
            gevent.spawn(self._share, target)

    def _share(self, target: Target) -> None:
        try:
            gevent.sleep(random.uniform(0.0, SHARE_DELAY_MAX_S))
            while self._is_news(target):
                self._write(target)
                gevent.sleep(SHARE_INTERVAL_S)
        finally:
            self._sharing.discard(target.id)

    def _is_news(self, target: Target) -> bool:
        stored = self._stored.get(target.id)
        own_per_s = self.rate_limiter.limit_per_s(target)
        if stored is None or stored.limit.started_at_ms != target.started_at_ms:
            return own_per_s is not None
        shared_per_s = stored.limit.per_s
        if shared_per_s is None or own_per_s is None:
            return shared_per_s != own_per_s
        return abs(own_per_s - shared_per_s) > CHANGE_RATIO_MIN * shared_per_s

    def _write(self, target: Target) -> None:
        limit = SharedLimit(
            target.id,
            target.started_at_ms,
            self.registry.vm,
            self.rate_limiter.limit_per_s(target),
        )
        try:
            self.registry.write(LIMITS_PREFIX + target.id, encode_limit(limit))
        except StoreFailed as error:
            log.warning("limit not shared", target=target.id, why=error.message)
