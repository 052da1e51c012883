"""Deterministic subsetting of targets by router.

Rendezvous hashing ranks the targets for each router independently. A target or router
that is added or removed changes only the subsets that it is part of, and routers need
not know of each other.
"""

from collections.abc import Sequence
from typing import TypeVar

from chervilstall.rendezvous import rendezvous_score

T = TypeVar("T")


def choose_subset(
    router: str, items: Sequence[T], names: Sequence[str], size: int
) -> tuple[T, ...]:
    """Return up to `size` items for a router, the highest ranked first.

    `names` holds the name of each item, in the order of `items`.

    >>> choose_subset("r1", [1, 2, 3], ["a", "b", "c"], 5)[0] in (1, 2, 3)
    True
    """
    ranked = sorted(
        zip(names, items),
        key=lambda named_item: rendezvous_score(router, named_item[0]),
        reverse=True,
    )
    return tuple(item for _, item in ranked[:size])
