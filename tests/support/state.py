"""The whole state of an object as plain values, to compare it before and after."""

import random
from collections import deque
from enum import Enum
from functools import cached_property
from typing import Any

from gevent.event import Event

PLAIN = (str, bytes, int, float, bool, type(None))


def describe_state(value: Any, seen: dict[int, object] | None = None) -> Any:
    """Return an object's state and that of all it refers to, of this project's types.

    Times aren't replaced: what is only read stays exactly as it is. Objects of other
    packages are named by their type alone, but for events and random generators. What
    a cached property of an immutable record has calculated is left out.
    """
    seen = {} if seen is None else seen
    if isinstance(value, PLAIN):
        return value
    if isinstance(value, Enum):
        return str(value)
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, Event):
        return value.is_set()
    if id(value) in seen:
        return f"again {type(value).__name__}"
    seen[id(value)] = value
    if isinstance(value, dict):
        return [
            (describe_state(key, seen), describe_state(each, seen))
            for key, each in value.items()
        ]
    if isinstance(value, (list, tuple, deque)):
        return [describe_state(each, seen) for each in value]
    if isinstance(value, (set, frozenset)):
        return sorted(repr(describe_state(each, {})) for each in value)
    if not type(value).__module__.startswith("chervilstall."):
        return type(value).__name__
    names = list(getattr(value, "__dict__", {})) or getattr(value, "__slots__", [])
    return [
        (name, describe_state(getattr(value, name, None), seen))
        for name in names
        if not isinstance(getattr(type(value), name, None), cached_property)
    ]
