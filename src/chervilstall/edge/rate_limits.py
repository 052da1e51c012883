"""Limits on the rate of requests that targets name in their responses."""

import time
from dataclasses import dataclass, field

from chervilstall.fleet.records import Target, TargetIncarnation
from chervilstall.telemetry.events import EventLog

log = EventLog("fleet")


@dataclass(frozen=True)
class NamedLimit:
    """A target's limit in requests a second, and when this router last learned it.

    `learned_at_s` is a monotonic time.
    """

    per_s: float
    learned_at_s: float


@dataclass
class TargetRateLimiter:
    """Keeps the limits that targets name for the requests of all routers together."""

    _limits: dict[TargetIncarnation, NamedLimit] = field(default_factory=dict)

    def record_response(
        self, target: Target, limit_per_s: float | None, sent_at_s: float
    ) -> None:
        """Record the limit in a response, or None where the response names none.

        `sent_at_s` is when the request was sent. A response without a limit ends one
        only if its request was sent after the limit was last learned; otherwise the
        target may have made the response before.
        """
        known = self._limits.get(target.incarnation)
        if limit_per_s is None:
            if known is not None and known.learned_at_s < sent_at_s:
                del self._limits[target.incarnation]
                log.info("target names no limit any more", target=target.id)
            return
        if known is None or known.per_s != limit_per_s:
            log.warning("target names a limit", target=target.id, per_s=limit_per_s)
        self._limits[target.incarnation] = NamedLimit(limit_per_s, time.monotonic())
