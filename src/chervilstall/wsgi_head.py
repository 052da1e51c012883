"""Reading of request heads, with limits that hold while a head arrives."""

from typing import Any

REQUEST_LINE_MAX_BYTES = 8192
EMPTY_LINES_MAX = 4
"""Empty lines that are ignored before a request; RFC 9112, 2.2, asks for one."""

LINE_ENDS = (b"\r\n", b"\n")


class HeaderTimeout(ValueError):
    """A peer took too long to send its headers."""


class HeadTooLarge(ValueError):
    """The header lines of a request are larger than the limit."""


class HeadReader:
    """Reads the head of one request.

    The header lines together take at most `bytes_max`, and no more than one byte over
    that is read; the request line has a limit of its own.
    """

    def __init__(self, stream: Any, bytes_max: int) -> None:
        self._stream = stream
        self._remaining_bytes = bytes_max

    def read_request_line(self) -> str:
        """Return the first line that is not empty, or the end of the stream."""
        line: bytes = self._stream.readline(REQUEST_LINE_MAX_BYTES)
        empty_lines = 0
        while line in LINE_ENDS and empty_lines < EMPTY_LINES_MAX:
            empty_lines += 1
            line = self._stream.readline(REQUEST_LINE_MAX_BYTES)
        return line.decode("latin-1")

    def readline(self, size: int) -> bytes:
        """Return a header line. Raises HeadTooLarge where the sum is above the limit.

        `size` is the limit of one line that the parser sets.
        """
        line: bytes = self._stream.readline(min(size, self._remaining_bytes + 1))
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise HeadTooLarge("the header lines are too large")
        return line
