"""How long streams last, learnt from those that were completed."""

from collections import defaultdict, deque
from dataclasses import dataclass, field

from chervilstall.ids import ServiceName

SAMPLES_MAX = 64
QUANTILE = 0.9
"""Quantile of the recent durations that counts as the expected one."""


@dataclass
class StreamDurations:
    """Recent durations of each service's streams, per token of their expected answer.

    A caller states how long its answer will be, so that short and long streams of one
    service are told apart.
    """

    _seconds_per_token: dict[ServiceName, deque[float]] = field(
        default_factory=lambda: defaultdict(lambda: deque(maxlen=SAMPLES_MAX))
    )

    def record(self, service: ServiceName, tokens: float, duration_s: float) -> None:
        """Record a completed stream and its expected number of tokens."""
        if tokens > 0.0:
            self._seconds_per_token[service].append(duration_s / tokens)

    def expected_s(self, service: ServiceName, tokens: float) -> float:
        """Return how long a stream may last; 0 as long as none has been completed."""
        samples = self._seconds_per_token.get(service)
        if not samples:
            return 0.0
        ordered = sorted(samples)
        return tokens * ordered[int(QUANTILE * (len(ordered) - 1))]
