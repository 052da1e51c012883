"""Responses of targets, read within bounds on time and memory."""

from collections.abc import Callable
from typing import Any

from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPParseError,
    HTTPProtocolViolationError,
    HTTPSocketPoolResponse,
)

from chervilstall.turns import Turn

EVENT_SEPARATOR = b"\n\n"
DATA_PREFIX = b"data: "
STATUSES = range(100, 600)
"""All that HTTP knows; a client can't tell what another one means (RFC 9110, 15)."""

FINAL_STATUS_MIN = 200
HEAD_MAX_BYTES = 65_536
FRAMING_MAX_BYTES = 65_536
"""Most bytes that are no body between two pieces of it, and behind the last one."""

UNREAD_MAX_BYTES = 64_000_000
"""Largest part of a body that waits to be read, where callers set no lower bound."""


class BodyTooLarge(HTTPParseError):
    """The body of a response is larger than the caller wants to read."""


class SingleResponse(HTTPSocketPoolResponse):
    """A response that ends with its HTTP message and takes a bounded amount of memory.

    Bytes after a complete response belong to no request. geventhttpclient would parse
    them as a new message into the same object; here they are dropped.

    A head that the end of the connection cuts off raises HTTPConnectionClosed, one
    whose status isn't one of HTTP raises HTTPParseError.
    A head of more than HEAD_MAX_BYTES, a body of which more than `unread_max_bytes`
    wait to be read, or more than FRAMING_MAX_BYTES of a chunk's size or of the fields
    behind the last chunk raise HTTPParseError. Those fields are dropped. `on_unread` is
    called with the number of bytes that wait before more are added.

    Reading gives way to other tasks also where the bytes never let it wait.
    """

    final_status = 0
    head_bytes = 0
    framing_bytes = 0
    unread_max_bytes = UNREAD_MAX_BYTES
    on_unread: Callable[[int], object] | None = None

    def __init__(self, *arguments: Any, **options: Any) -> None:
        # The base class reads the head as it is constructed.
        self._turn = Turn()
        super().__init__(*arguments, **options)

    @property
    def unread_bytes(self) -> int:
        """Return the size of the part of the body that waits to be read."""
        return len(self._body_buffer)

    @property
    def has_trailing_bytes(self) -> bool:
        """Return whether bytes that belong to no request came after the response."""
        return bool(self._trailing_data_dropped)

    @property
    def status_code(self) -> int:
        return self.final_status

    def _on_headers_complete(self) -> Any:
        status = self.get_code()
        if status not in STATUSES:
            raise HTTPProtocolViolationError(f"{status} is no status")
        self.final_status = status
        return super()._on_headers_complete()

    def _on_header_field(self, string: str) -> None:
        if not self._has_final_head():
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        if not self._has_final_head():
            super()._on_header_value(string)

    def _on_body(self, buf: bytearray) -> None:
        self.framing_bytes = 0
        super()._on_body(buf)

    def _on_message_begin(self) -> None:
        if self.message_complete and self.final_status >= FINAL_STATUS_MIN:
            raise HTTPProtocolViolationError("unexpected data after the response")
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        if self.final_status < FINAL_STATUS_MIN:
            # The final response comes over the same connection.
            self.message_complete = True
            return
        super()._on_message_complete()

    def feed(self, data: str | bytes) -> None:
        if not data and not self._has_final_head():
            raise HTTPConnectionClosed("closed before the end of the headers")
        self._check_size(len(data))
        try:
            super().feed(data)
        except HTTPParseError:
            is_complete = self.message_complete
            if not is_complete or self.final_status < FINAL_STATUS_MIN:
                raise
            self._trailing_data_dropped = True
        if self.message_complete:
            return
        if self.framing_bytes > FRAMING_MAX_BYTES:
            raise HTTPParseError("too much of the response is no body")
        self._turn.give_way()

    def _has_final_head(self) -> bool:
        return self.final_status >= FINAL_STATUS_MIN and self.headers_complete

    def _check_size(self, size_bytes: int) -> None:
        if not self._has_final_head():
            self.head_bytes += size_bytes
            if self.head_bytes > HEAD_MAX_BYTES:
                raise HTTPParseError("the head of the response is too large")
            return
        self.framing_bytes += size_bytes
        if len(self._body_buffer) > self.unread_max_bytes:
            raise BodyTooLarge("too much of the response waits to be read")
        if self.on_unread is not None:
            self.on_unread(len(self._body_buffer) + size_bytes)


def read_server_event(response: Any) -> bytes | None:
    """Return the data of the next server-sent event, or None at the end.

    Raises HTTPConnectionClosed for an event without a delimiter, even if its data could
    be decoded, because the stream has been broken off there.
    """
    event = response.readline(EVENT_SEPARATOR)
    if not event:
        if response.read().strip():
            raise HTTPConnectionClosed("the stream ended inside an event")
        return None
    return event.strip().removeprefix(DATA_PREFIX)
