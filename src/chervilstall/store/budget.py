"""Client-side limit on calls to the store.

The store's rates are shared by the whole fleet, so each process bounds its own calls
with a token bucket. Waiting is fair: callers are served in order of arrival.
"""

import time

import gevent
from gevent.lock import Semaphore

BURST_S = 1.0


class CallBudget:
    """A token bucket over store calls.

    `calls_per_s` is the sustained rate; up to one second's worth may be saved up.
    `waited_s` sums the time spent waiting, for metrics.
    """

    def __init__(self, calls_per_s: float) -> None:
        self.calls_per_s = calls_per_s
        self.calls = 0
        self.waited_s = 0.0
        self._tokens = max(1.0, calls_per_s * BURST_S)
        self._refilled_at_s = time.monotonic()
        self._turn = Semaphore()

    def spend(self) -> None:
        """Take one call from the budget, waiting for it where necessary."""
        with self._turn:
            self._refill()
            if self._tokens < 1.0:
                wait_s = (1.0 - self._tokens) / self.calls_per_s
                self.waited_s += wait_s
                gevent.sleep(wait_s)
                self._refill()
            self._tokens -= 1.0
            self.calls += 1

    def _refill(self) -> None:
        now_s = time.monotonic()
        earned = (now_s - self._refilled_at_s) * self.calls_per_s
        self._tokens = min(self._tokens + earned, max(1.0, self.calls_per_s * BURST_S))
        self._refilled_at_s = now_s
