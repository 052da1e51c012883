"""Retry budget and backoff."""

import random
import time
from dataclasses import dataclass, field

import gevent

from chervilstall.settings.processes import RetrySettings

BALANCE_MAX_FACTOR = 10


@dataclass
class RetryBudget:
    """Limits retries and hedged requests to a fraction of the successes.

    Each success adds `budget_share` of a retry to the balance. The balance starts at
    `budget_floor` and is capped at `BALANCE_MAX_FACTOR` × (`budget_floor` + 1), so
    that a long time without failures cannot save up for a retry storm.
    """

    settings: RetrySettings
    successes: int = 0
    spent: int = 0
    denied: int = 0
    balance: float = field(init=False)

    def __post_init__(self) -> None:
        self.balance = float(self.settings.budget_floor)

    def record_success(self) -> None:
        """Record a success, which adds to the balance."""
        self.successes += 1
        balance_max = BALANCE_MAX_FACTOR * (self.settings.budget_floor + 1)
        self.balance = min(
            self.balance + self.settings.budget_share, float(balance_max)
        )

    def try_spend(self) -> bool:
        """Spend one retry; return False if the balance is too low."""
        if self.balance < 1.0:
            self.denied += 1
            return False
        self.balance -= 1.0
        self.spent += 1
        return True


def backoff_s(settings: RetrySettings, retry: int, rng: random.Random) -> float:
    """Return the wait in seconds before a retry: exponential, with full jitter.

    `retry` counts from 1.
    """
    upper_s = min(settings.backoff_max_s, settings.backoff_base_s * 2 ** (retry - 1))
    return rng.uniform(0.0, upper_s)


def wait_before_retry(
    settings: RetrySettings, retry: int, rng: random.Random, deadline_s: float
) -> None:
    """Wait for the backoff of a retry, but no longer than to the deadline."""
    remaining_s = deadline_s - time.monotonic()
    gevent.sleep(max(0.0, min(backoff_s(settings, retry, rng), remaining_s)))
