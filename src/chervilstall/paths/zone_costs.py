"""Penalties of a path for availability zones other than the router's own."""

from chervilstall.fleet.records import Target
from chervilstall.ids import ZoneName

REMOTE_ZONE_MS = 10.0
"""Penalty for a path that begins outside the router's availability zone."""

ZONE_CHANGE_MS = 150.0
"""Penalty for crossing zones: every token's activations use the shared links."""


def entry_ms(zone: ZoneName, first: Target) -> float:
    """Return the penalty for a path that begins at a target, for a router of `zone`."""
    return 0.0 if first.zone == zone else REMOTE_ZONE_MS


def zone_change_ms(before: Target, after: Target) -> float:
    """Return the penalty for a path that goes on from one target to another.

    `PathSearch` has the same rule inline: a call in its innermost loop would take 5 %
    of the time of a choice. A test compares both.
    """
    return 0.0 if before.zone == after.zone else ZONE_CHANGE_MS
