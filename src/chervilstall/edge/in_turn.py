"""Drawing from several groups, such as availability zones, in turn."""

from collections.abc import Iterable, Iterator, Sequence
from itertools import zip_longest
from typing import TypeVar, cast

T = TypeVar("T")
_NOTHING = object()


def in_turn(groups: Iterable[Sequence[T]]) -> Iterator[T]:
    """Yield the first item of each group, then the second of each, until the end.

    For example, `in_turn(["ab", "c"])` yields `a`, `c` and `b`.
    """
    for turn in zip_longest(*groups, fillvalue=_NOTHING):
        for item in turn:
            if item is not _NOTHING:
                yield cast(T, item)
