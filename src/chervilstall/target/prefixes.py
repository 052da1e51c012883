"""Prompt prefixes as engines name them in their cache events.

A prompt is cut into blocks; a prefix of whole blocks is named by a running checksum.
"""

import zlib

BLOCK_CHARS = 32
BLOCKS_MAX = 256


def prompt_prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return the hash of each block-aligned prefix of a prompt, shortest first.

    The block size and hash are those that engines publish in their cache events.
    """
    hashes = []
    running = 0
    blocks = min(len(prompt) // BLOCK_CHARS, BLOCKS_MAX)
    for index in range(blocks):
        start = index * BLOCK_CHARS
        block = prompt[start : start + BLOCK_CHARS].encode()
        running = zlib.crc32(block, running)
        hashes.append(running)
    return tuple(hashes)
