"""The platform's rule on the rate limits that targets name."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

WINDOW_S = 4.0
EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5
TOLD_BEFORE_S = 0.5
"""A router counts once it has passed on a limit this long ago."""

CONTACT_S = 3.0
"""The rule holds from this long after a target first named a limit."""


@dataclass(frozen=True)
class Arrival:
    """A request that a limited target got, with its time and router."""

    at_s: float
    router: int


def check_arrivals(
    arrivals: Sequence[Arrival],
    told_at_s: Mapping[int, float],
    named_at_s: float,
    limit_per_s: float,
) -> None:
    """Assert that no window holds more requests than a limit allows.

    A window counts all requests of the routers that were told by its end, also those
    of before they were told: the stricter reading of the rule.
    """
    allowed = EXCESS_RATIO * limit_per_s * WINDOW_S + EXCESS_REQUESTS
    for last in arrivals:
        if last.at_s < named_at_s + CONTACT_S:
            continue
        counted = [
            arrival
            for arrival in arrivals
            if last.at_s - WINDOW_S < arrival.at_s <= last.at_s
            and told_at_s.get(arrival.router, last.at_s) <= last.at_s - TOLD_BEFORE_S
        ]
        assert len(counted) <= allowed, (
            f"{len(counted)} requests in {WINDOW_S:g} s, allowed {allowed:g}"
        )
