"""This router's share of what the fleet may send more than once.

The fleet keeps to a bound without talking: each router may repeat a ratio of its own
requests and an equal part of the fixed extra, counted over the same sliding window.
"""

import time
from collections import defaultdict, deque
from dataclasses import dataclass, field

from chervilstall.ids import ServiceName
from chervilstall.settings.node import NodeBounds

SAFETY = 0.9
"""Part of the share that is used; the rest covers clocks and late arrivals."""

FIRST_SHARE = 0.5
"""Part of the share that requests without an answer so far may use."""


@dataclass
class _Window:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def forget_before(self, moment_s: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] < moment_s:
                times.popleft()


@dataclass
class FleetRetryBudget:
    """Counts requests and repeats of each service in a sliding window.

    `router_count` is the number of routers that share the fixed part; it must not be
    lower than the number that run.
    """

    bounds: NodeBounds
    router_count: int
    _windows: dict[ServiceName, _Window] = field(
        default_factory=lambda: defaultdict(_Window)
    )

    def record_request(self, service: ServiceName) -> None:
        """Count a caller's request for a service."""
        self._window(service).requests.append(time.monotonic())

    def try_spend(self, service: ServiceName, is_resume: bool = False) -> bool:
        """Take one repeat; False where the window's share is used up.

        A part is kept for requests whose answer has begun: their callers lose more.
        """
        window = self._window(service)
        share = self.bounds.retry_extra / max(1, self.router_count)
        allowed = self.bounds.retry_ratio * len(window.requests) + share
        part = SAFETY if is_resume else SAFETY * FIRST_SHARE
        if len(window.repeats) + 1 > allowed * part:
            return False
        window.repeats.append(time.monotonic())
        return True

    def _window(self, service: ServiceName) -> _Window:
        window = self._windows[service]
        window.forget_before(time.monotonic() - self.bounds.retry_window_s)
        return window
