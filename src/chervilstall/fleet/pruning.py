"""Dropping what is kept by target once the targets are gone."""

from collections.abc import Container
from typing import Any, TypeVar

K = TypeVar("K")


def retain_keys(kept: dict[K, Any], present: Container[K]) -> None:
    """Drop the entries of a mapping whose key is no longer present.

    >>> ages_s = {"a": 1.0, "b": 2.0}
    >>> retain_keys(ages_s, {"b"})
    >>> ages_s
    {'b': 2.0}
    """
    for key in [key for key in kept if key not in present]:
        del kept[key]
