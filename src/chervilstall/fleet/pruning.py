"""Removal of per-target state once the targets are gone."""

from collections.abc import Container
from typing import Any, TypeVar

K = TypeVar("K")


def retain_keys(state: dict[K, Any], present: Container[K]) -> None:
    """Delete the items of a mapping whose key is not in `present`.

    >>> ages_s = {"a": 1.0, "b": 2.0}
    >>> retain_keys(ages_s, {"b"})
    >>> ages_s
    {'b': 2.0}
    """
    for key in [key for key in state if key not in present]:
        del state[key]
