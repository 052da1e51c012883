"""Sending of answers to callers, which may read them slowly."""

import errno
from collections.abc import Iterator
from socket import SHUT_RDWR
from typing import Any

from chervilstall.process_limits.memory import Holding

PIECE_BYTES = 65_536


class AnswerSender:
    """Passes the parts of an answer on to the server.

    While a part waits for its caller, its memory may be taken back. The connection then
    ends before the answer does, so the caller sees that it is cut.
    """

    def __init__(self, connection: Any, holding: Holding) -> None:
        self._connection = connection
        self._holding = holding

    def send_body(self, body: bytes | bytearray) -> Iterator[bytes]:
        """Yield the parts of a complete body."""
        self._holding.allow_eviction(self._cut, frees_late=True)
        try:
            for start in range(0, len(body), PIECE_BYTES):
                yield bytes(body[start : start + PIECE_BYTES])
                self._record_sent(PIECE_BYTES)
        finally:
            self._holding.forbid_eviction()

    def send_events(self, events: Iterator[bytes]) -> Iterator[bytes]:
        """Yield the events of a stream; the next one is read once one is sent."""
        for event in events:
            self._holding.allow_eviction(self._cut, frees_late=True)
            try:
                yield event
            finally:
                self._holding.forbid_eviction()
            self._record_sent(len(event))

    def _record_sent(self, size_bytes: int) -> None:
        if self._holding.is_evicted:
            raise BrokenPipeError(errno.EPIPE, "the memory of the answer was needed")
        self._holding.record_progress(size_bytes)

    def _cut(self) -> None:
        try:
            self._connection.shutdown(SHUT_RDWR)
        except OSError:
            # The caller has already closed the connection.
            return
