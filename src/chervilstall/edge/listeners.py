"""Limits of the router's listeners."""

from chervilstall.fleet.records import CallerLimits
from chervilstall.wsgi import Server

HEAD_EXTRA_BYTES = 2_048
"""What a head may have beyond the limit: spaces, and headers of another router."""


def apply_caller_limits(limits: CallerLimits, callers: Server, peers: Server) -> None:
    """Put the limits of a configuration in force."""
    for listener in (callers, peers):
        listener.head_bytes_max = limits.header_bytes + HEAD_EXTRA_BYTES
    callers.header_timeout_s = limits.header_timeout_s
    callers.idle_timeout_s = limits.idle_timeout_s
