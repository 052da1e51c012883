"""When the caller of a refused stream should come back."""

import random

from chervilstall.edge.request import EdgeRequest

RELOAD_S = 1.5
"""Time in which a missing part of a model is usually loaded again."""

RETRY_SPREAD_S = 2.5
"""Range over which Retry-After is spread, so that callers do not return together."""

RETRY_WAIT_SHARE = 0.3
"""Share of the caller's remaining time that it may be told to wait."""


def retry_after_s(request: EdgeRequest) -> float:
    """Return the Retry-After time in seconds."""
    return _wait_s(request, random.random())


def retry_after_range_s(request: EdgeRequest) -> tuple[float, float]:
    """Return the bounds of the Retry-After time in seconds."""
    return _wait_s(request, 0.0), _wait_s(request, 1.0)


def _wait_s(request: EdgeRequest, draw: float) -> float:
    wait_s = RELOAD_S + RETRY_SPREAD_S * draw
    return min(wait_s, max(0.0, request.caller_remaining_s) * RETRY_WAIT_SHARE)
