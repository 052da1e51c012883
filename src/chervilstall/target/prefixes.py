"""Hashes of prompt prefixes, by which engines name them in cache events.

A prompt is divided into blocks. A prefix of whole blocks is identified by the running
CRC-32 over them.
"""

import zlib

BLOCK_CHARS = 32
BLOCKS_MAX = 256


def prompt_prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return the hash of each block-aligned prefix of a prompt, shortest first.

    Block size and hash have to be those of the engines' cache events. At most
    `BLOCKS_MAX` prefixes are returned.
    """
    hashes = []
    checksum = 0
    block_count = min(len(prompt) // BLOCK_CHARS, BLOCKS_MAX)
    for index in range(block_count):
        start = index * BLOCK_CHARS
        block = prompt[start : start + BLOCK_CHARS].encode()
        checksum = zlib.crc32(block, checksum)
        hashes.append(checksum)
    return tuple(hashes)
