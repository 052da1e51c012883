"""Deterministic output of the stand-in models.

A token depends only on the model, version, adapter, prompt and position, so a caller
can compute the expected answer and compare.
"""

import zlib

WORDS = (
    "parcel depot counter claim seat row aisle gate shelf label route van ticket "
    "usher plan hold draft north south upper lower first second left right"
).split()


def token_at(model: str, version: str, adapter: str, prompt: str, position: int) -> str:
    """Return the token that the stand-in model generates at a position."""
    seed = zlib.crc32(f"{model}/{version}/{adapter}/{prompt}".encode())
    token_hash = zlib.crc32(f"{seed}:{position}".encode())
    return f"{WORDS[token_hash % len(WORDS)]}-{token_hash >> 20:03x} "


def answer_text(
    model: str, version: str, adapter: str, prompt: str, max_tokens: int
) -> str:
    """Return the expected complete answer to a prompt."""
    tokens = []
    for position in range(max_tokens):
        tokens.append(token_at(model, version, adapter, prompt, position))
    return "".join(tokens)
