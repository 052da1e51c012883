"""Boundaries between layers at which paths change targets."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable

from chervilstall.fleet.records import Target


def layer_boundaries(targets: Iterable[Target], layers: int) -> list[int]:
    """Return the layers at which targets begin or end, in order."""
    boundaries = {0, layers}
    for target in targets:
        boundaries.add(target.layers.first)
        boundaries.add(target.layers.end)
    return sorted(boundaries)


def layer_exits(
    boundary: int, target: Target, starts: list[int], may_exit_early: bool
) -> list[int]:
    """Return the boundaries at which a path may leave a target.

    These are the end of its layers and, with `may_exit_early`, the boundaries before it
    at which the layers of another target start.
    """
    end = target.layers.end
    if not may_exit_early:
        return [end]
    between = slice(bisect_right(starts, boundary), bisect_left(starts, end))
    return [*starts[between], end]
