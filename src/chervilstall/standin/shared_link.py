"""A link of limited rate that all transfers over it share."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import gevent
from gevent.lock import BoundedSemaphore

CHUNK_BYTES = 16_384


@dataclass
class SharedLink:
    """A link that carries `bytes_per_s` in all; transfers take turns by chunks."""

    bytes_per_s: float
    _turn: BoundedSemaphore = field(default_factory=BoundedSemaphore)

    def carry(self, size_bytes: int) -> None:
        """Return once a message has passed the link."""
        for start in range(0, size_bytes, CHUNK_BYTES):
            self._carry_chunk(min(CHUNK_BYTES, size_bytes - start))

    def send(self, content: bytes) -> Iterator[bytes]:
        """Yield a message in chunks, each once it has passed the link."""
        for start in range(0, len(content), CHUNK_BYTES):
            chunk = content[start : start + CHUNK_BYTES]
            self._carry_chunk(len(chunk))
            yield chunk

    def _carry_chunk(self, size_bytes: int) -> None:
        with self._turn:
            gevent.sleep(size_bytes / self.bytes_per_s)
        # Lets a transfer that waits take its turn before this one takes another.
        gevent.sleep(0)
