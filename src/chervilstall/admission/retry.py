"""Retry budget, backoff and the decision to hedge."""

import random
from dataclasses import dataclass, field

from chervilstall.settings.processes import RetrySettings

TOKENS_MAX_FACTOR = 10


@dataclass
class RetryBudget:
    """Retries and hedges allowed as a share of successes.

    Each success earns `budget_share` of a retry. The balance starts at the floor and
    never grows beyond ten times the floor plus one, so that a quiet hour does not
    pay for a storm.
    """

    settings: RetrySettings
    successes: int = 0
    spent: int = 0
    denied: int = 0
    balance: float = field(init=False)

    def __post_init__(self) -> None:
        self.balance = float(self.settings.budget_floor)

    def record_success(self) -> None:
        """Earn a share of a retry."""
        self.successes += 1
        most = TOKENS_MAX_FACTOR * (self.settings.budget_floor + 1)
        self.balance = min(self.balance + self.settings.budget_share, float(most))

    def try_spend(self) -> bool:
        """Spend one retry; False where the budget does not allow it."""
        if self.balance < 1.0:
            self.denied += 1
            return False
        self.balance -= 1.0
        self.spent += 1
        return True


def backoff_s(settings: RetrySettings, retry: int, rng: random.Random) -> float:
    """Return the wait before a retry, numbered from 1, with full jitter."""
    largest_s = min(settings.backoff_max_s, settings.backoff_base_s * 2 ** (retry - 1))
    return rng.uniform(0.0, largest_s)
