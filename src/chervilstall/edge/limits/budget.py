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


LOAN_VALID_S = 1.0
"""Time in which a retry that another router lends has to be reserved."""

LOAN_COUNTED_S = 2.0
"""Time by which a lent retry counts later than it was lent, so that it is spent then.
"""


@dataclass
class _Window:
    """Times of requests and retries, and the loans that may still be used.

    `borrowed` holds the monotonic times until which loans may be reserved, and
    `reserved_loans` counts those that were reserved and not spent.
    """

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)
    reserved: int = 0
    borrowed: deque[float] = field(default_factory=deque)
    reserved_loans: int = 0

    def drop_before(self, moment_s: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < moment_s:
                times.popleft()

    def take_loan(self) -> bool:
        """Reserve a loan if there is one."""
        now_s = time.monotonic()
        while self.borrowed and self.borrowed[0] < now_s:
            self.borrowed.popleft()
        if not self.borrowed:
            return False
        self.borrowed.popleft()
        self.reserved_loans += 1
        return True


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
        share = USED_SHARE if is_resume else UNSTARTED_SHARE
        if self._left(window, share) < 1:
            return is_resume and window.take_loan()
        window.reserved += 1
        return True

    def _left(self, window: _Window, usable_share: float) -> int:
        """Return how many more retries a share of the window leaves."""
        extra = self.bounds.retry_extra / max(1, self.router_count)
        allowed = self.bounds.retry_ratio * len(window.requests) + extra
        if time.monotonic() <= self.started_at_s + self.bounds.retry_window_s:
            usable_share = RESTARTED_SHARE
        return int(allowed * usable_share) - len(window.retries) - window.reserved

    def spend_reserved(self, service: ServiceName) -> None:
        """Count a reserved retry as sent now; a loan counts where it comes from."""
        window = self._window(service)
        if window.reserved_loans:
            window.reserved_loans -= 1
            return
        window.reserved -= 1
        window.retries.append(time.monotonic())

    def release(self, service: ServiceName) -> None:
        """Return a reserved retry that is not needed."""
        window = self._window(service)
        if window.reserved_loans:
            window.reserved_loans -= 1
        else:
            window.reserved -= 1

    def lend(self, service: ServiceName, count: int) -> int:
        """Give up to `count` retries to another router, and return how many.

        They count here, as if they were sent when the other router may last send them.
        Those that are kept for requests whose response has begun stay here.
        """
        window = self._window(service)
        lent = max(0, min(count, self._left(window, UNSTARTED_SHARE)))
        window.retries.extend([time.monotonic() + LOAN_COUNTED_S] * lent)
        return lent

    def add_loan(self, service: ServiceName, count: int) -> None:
        """Add retries that another router has just given to this one."""
        until_s = time.monotonic() + LOAN_VALID_S
        self._window(service).borrowed.extend([until_s] * count)

    def _window(self, service: ServiceName) -> _Window:
        window = self._windows[service]
        window.drop_before(time.monotonic() - self.bounds.retry_window_s)
        return window
