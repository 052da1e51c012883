"""Client-side rate limit for calls to the store.

The whole fleet shares the store's rate limits, so each process limits its own calls
with a token bucket. Waiting callers are served in order of arrival.
"""

import time

import gevent
from gevent.lock import Semaphore

BURST_S = 1.0


class CallRateLimiter:
    """A token bucket for store calls.

    `calls_per_s` is the sustained rate. The bucket holds the calls of one second, at
    least one. `waited_s` is the total waiting time, for metrics.
    """

    def __init__(self, calls_per_s: float) -> None:
        self.calls_per_s = calls_per_s
        self.calls = 0
        self.waited_s = 0.0
        self._tokens = max(1.0, calls_per_s * BURST_S)
        self._refilled_at_s = time.monotonic()
        self._turn = Semaphore()

    def acquire(self) -> None:
        """Take one token, waiting for it if the bucket is empty."""
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
