"""Rendezvous hashing: a stable choice without coordination between processes."""

import functools
import hashlib
from collections.abc import Iterable

SCORE_CACHE_ENTRIES = 16_384


@functools.lru_cache(maxsize=SCORE_CACHE_ENTRIES)
def rendezvous_score(key: str, name: str) -> int:
    """Return the weight of `name` for `key`, uniform over 64 bits and stable."""
    digest = hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_choice(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest weight for a key; None if `names` is empty."""
    return max(names, key=lambda name: rendezvous_score(key, name), default=None)
