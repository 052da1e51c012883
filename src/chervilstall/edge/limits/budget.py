"""This router's share of the retry budget of the whole fleet.

The fleet keeps to its limit without communication: each router may retry a ratio of its
own requests plus an equal part of a fixed number of extra retries, over the same
sliding window.
"""

import time
from collections import defaultdict, deque
from dataclasses import dataclass, field

from chervilstall.ids import ServiceName
from chervilstall.settings.node import NodeBounds

USED_SHARE = 0.6
"""Part of the router's share that it uses.

The rest is for processes that restart on its VM. One restart in a window leaves 0.2 for
clock errors and late arrivals, two leave nothing.
"""

UNSTARTED_SHARE = 0.45
"""Part of the share that is open to requests whose response has not begun."""

RESTARTED_SHARE = 0.2
"""Part of the share that is open in the first window after the process started.

It does not know what an earlier process on its VM has used of the same window.
"""


@dataclass
class _Window:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)
    reserved: int = 0

    def drop_before(self, moment_s: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < moment_s:
                times.popleft()


@dataclass
class FleetRetryBudget:
    """Counts requests and retries of each service in a sliding window.

    `router_count` is the number of routers that share the extra retries; it must not be
    lower than the number that run. `started_at_s` is the monotonic time at which this
    process started, if an earlier one may have run on its VM.
    """

    bounds: NodeBounds
    router_count: int
    started_at_s: float = float("-inf")
    _windows: dict[ServiceName, _Window] = field(
        default_factory=lambda: defaultdict(_Window)
    )

    def record_request(self, service: ServiceName) -> None:
        """Count a caller's request for a service, not its retries."""
        self._window(service).requests.append(time.monotonic())

    def try_spend(self, service: ServiceName, is_resume: bool = False) -> bool:
        """Take one retry for a send that follows at once.

        Return False where the window's share is used up; `is_resume` is that of
        `try_reserve`.
        """
        if not self.try_reserve(service, is_resume):
            return False
        self.spend_reserved(service)
        return True

    def try_reserve(self, service: ServiceName, is_resume: bool = False) -> bool:
        """Reserve one retry; return False where the window's share is used up.

        A reservation counts until it is spent or released, however long that takes.
        `is_resume` marks a request whose response has begun. Part of the share is kept
        for those, since their callers lose more.
        """
        window = self._window(service)
        share = self.bounds.retry_extra / max(1, self.router_count)
        allowed = self.bounds.retry_ratio * len(window.requests) + share
        usable_share = USED_SHARE if is_resume else UNSTARTED_SHARE
        if time.monotonic() <= self.started_at_s + self.bounds.retry_window_s:
            usable_share = RESTARTED_SHARE
        if len(window.retries) + window.reserved + 1 > allowed * usable_share:
            return False
        window.reserved += 1
        return True

    def spend_reserved(self, service: ServiceName) -> None:
        """Count a reserved retry as sent now."""
        window = self._window(service)
        window.reserved -= 1
        window.retries.append(time.monotonic())

    def release(self, service: ServiceName) -> None:
        """Return a reserved retry that is not needed."""
        self._window(service).reserved -= 1

    def _window(self, service: ServiceName) -> _Window:
        window = self._windows[service]
        window.drop_before(time.monotonic() - self.bounds.retry_window_s)
        return window
