"""The body of a request to the WSGI server of the project."""

from typing import Any

from gevent.pywsgi import Input

TRAILER_LINES_MAX = 100
"""Lines behind the last chunk of a body; as many as a head may have."""


class TooManyTrailers(OSError):
    """More header lines come behind the last chunk of a body than are read."""


class UndrainedInput(Input):
    """A request body whose unread rest isn't read after the response was sent.

    gevent's class would read it to the end to reuse the connection. Of the header lines
    behind the last chunk, which are dropped, it would read any number.
    """

    has_unread_bytes = False
    _trailer_lines = 0

    def _discard(self) -> None:
        unread_bytes = (self.content_length or 0) - self.position
        is_chunk_left = self.chunked_input and self.chunk_length != 0
        self.has_unread_bytes = unread_bytes > 0 or is_chunk_left

    def _Input__read_chunk_trailer(self, rfile: Any) -> bool:
        """Read a line behind the last chunk; return whether it isn't the empty one.

        The name is that of gevent's method, which reads one line after the other.
        """
        self._trailer_lines += 1
        if self._trailer_lines > TRAILER_LINES_MAX:
            raise TooManyTrailers(f"over {TRAILER_LINES_MAX} lines")
        return bool(super()._Input__read_chunk_trailer(rfile))
