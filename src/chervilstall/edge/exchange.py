"""One HTTP exchange: a request sent once to a target or router, and its response."""

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import gevent
from geventhttpclient.header import Headers
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError

from chervilstall.edge.request import EdgeRequest
from chervilstall.platform.headers import ResponseHead, read_response_head
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.target.connection import ConnectFailed, single_use_client

CONNECT_SETTINGS = TargetSettings(connect_timeout_s=0.6)
SLOW_CONNECT_S = 0.15
"""Time after which a connect is slow; a target accepts within a millisecond or two."""

READ_TIMEOUT_S = 60.0
"""Upper bound of a single read; deadlines and stalls end an exchange much earlier."""

RESPONSE_MAX_BYTES = 4_000_000
READ_CHUNK_BYTES = 16_384
ROOM_WAIT_S = 10.0
"""Longest wait of an answer for memory that callers who read slowly still hold."""

ROOM_POLL_S = 0.05
UNREAD_MAX_BYTES = 262_144
"""Largest event of a stream, and largest part of another body read ahead."""

EVENT_FREE_BYTES = 4_096
"""Size up to which an event counts as part of its connection."""

EVENT_COPIES = 3
"""A large event is copied out of what was read, and into the chunk that is sent."""

EVENT_DELIMITER = b"\n\n"


class ExchangeFailure(Enum):
    """Why an exchange brought no complete response."""

    NO_CONNECTION = "no connection"
    CLOSED = "connection closed"
    MALFORMED = "malformed answer"
    TIMEOUT = "no answer in time"
    STALLED = "stalled"
    CALLER_LEFT = "caller left"
    UNMARKED_REFUSAL = "refusal that does not say that nothing ran"


class ExchangeFailed(Exception):
    """An exchange ended without a complete response.

    The target may have run the request unless `was_sent` is false.
    """

    def __init__(self, failure: ExchangeFailure, was_sent: bool) -> None:
        super().__init__(failure.value)
        self.failure = failure
        self.was_sent = was_sent


@dataclass(frozen=True)
class CompleteResponse:
    """A target's response with its complete body."""

    head: ResponseHead
    body: bytes | bytearray


class Exchange:
    """Sends a request once over a connection of its own.

    `on_slow_connect` is called if the connect takes longer than `SLOW_CONNECT_S`.

    `abort` may be called from any task. The task that reads the response then sees the
    connection end and raises ExchangeFailed with the reason that `abort` was given.
    """

    def __init__(
        self,
        request: EdgeRequest,
        address: Address,
        headers: Headers,
        on_slow_connect: Callable[[], object] | None = None,
    ) -> None:
        self.request = request
        self.headers = headers
        self.on_slow_connect = on_slow_connect
        self.abort_reason: ExchangeFailure | None = None
        self._client = single_use_client(
            address, CONNECT_SETTINGS, READ_TIMEOUT_S, UNREAD_MAX_BYTES
        )
        self._response: Any = None
        self._event_bytes = 0
        self._expiry: gevent.Greenlet | None = None

    def send_request(self, timeout_s: float) -> ResponseHead:
        """Send the request and return status and headers of the response.

        Raises ExchangeFailed if there is no response, or one to another request.
        """
        request = self.request
        request.record_send()
        request.abort_callbacks.add(self._abort_with_request)
        if self.abort_reason is not None:
            raise self._error(self.abort_reason, was_sent=False)
        slow_connect = gevent.spawn_later(SLOW_CONNECT_S, self._notice_slow_connect)
        try:
            with gevent.Timeout(max(timeout_s, 0.0), TimeoutError):
                self._response = self._client.request(
                    request.method,
                    request.target,
                    body=request.body,
                    headers=self.headers,
                )
        except ConnectFailed as error:
            raise self._error(ExchangeFailure.NO_CONNECTION, was_sent=False) from error
        except TimeoutError as error:
            raise self._error(ExchangeFailure.TIMEOUT, self.is_connected()) from error
        except (OSError, HTTPConnectionClosed) as error:
            raise self._error(ExchangeFailure.CLOSED) from error
        except HTTPParseError as error:
            raise self._error(ExchangeFailure.MALFORMED) from error
        finally:
            slow_connect.kill(block=False)
        head = read_response_head(self._response, request.request_id)
        if head.status < 200 or not (head.matches_request or head.is_not_executed):
            raise self._error(ExchangeFailure.MALFORMED)
        return head

    def _notice_slow_connect(self) -> None:
        if self.on_slow_connect is not None and not self.is_connected():
            self.on_slow_connect()

    def is_connected(self) -> bool:
        """Return whether there was a connection; without one nothing was sent."""
        pool: Any = self._client._connection_pool
        return bool(pool.is_opened)

    def read_response(self, head: ResponseHead, timeout_s: float) -> CompleteResponse:
        """Read the body. Raises ExchangeFailed if it is late, cut off or too large."""
        try:
            with gevent.Timeout(max(timeout_s, 0.0), TimeoutError):
                body = self._read_body()
        except TimeoutError as error:
            raise self._error(ExchangeFailure.TIMEOUT) from error
        except (OSError, HTTPParseError) as error:
            raise self._error(ExchangeFailure.CLOSED) from error
        is_cut = self.abort_reason is not None and self.ends_with_connection()
        if is_cut or not self._response.message_complete:
            raise self._error(ExchangeFailure.CLOSED)
        return CompleteResponse(head, body)

    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection shows that of the response.

        `abort` ends the connection, too, and a read may see this as a regular end.
        """
        fields = ("content-length", "transfer-encoding")
        return not any(name in self._response for name in fields)

    def _read_body(self) -> bytes | bytearray:
        """Read the body into memory that is accounted for.

        The room for one of known length is awaited as a whole, and the target has to
        wait meanwhile: bodies that each wait with a part would wait for each other.
        Raises MemoryShort.
        """
        # A body that has come with the head, or never comes, needs no more room.
        is_complete = self._response.message_complete
        length = None if is_complete else self._response.content_length
        if length is not None and length > RESPONSE_MAX_BYTES:
            raise self._error(ExchangeFailure.MALFORMED)
        if length is not None:
            self._await_room(length)
            return self._read_exactly(length)
        pieces: list[bytes] = []
        size_bytes = 0
        while True:
            piece = self._response.read(READ_CHUNK_BYTES)
            if not piece:
                return b"".join(pieces)
            pieces.append(piece)
            size_bytes += len(piece)
            if size_bytes > RESPONSE_MAX_BYTES:
                raise self._error(ExchangeFailure.MALFORMED)
            self.request.answer_holding.grow(len(piece))

    def _read_exactly(self, length: int) -> bytearray:
        """Read a body of known length, or as much as comes, without a second copy."""
        body = bytearray(length)
        size_bytes = 0
        while size_bytes < length:
            piece = self._response.read(READ_CHUNK_BYTES)
            if not piece:
                break
            body[size_bytes : size_bytes + len(piece)] = piece
            size_bytes += len(piece)
        return body

    def _await_room(self, size_bytes: int) -> None:
        holding = self.request.answer_holding
        until_s = time.monotonic() + min(ROOM_WAIT_S, self.request.remaining_s / 2)
        while not holding.try_grow(size_bytes):
            is_late = time.monotonic() >= until_s
            if is_late or not holding.can_ever_grow(size_bytes):
                holding.grow(size_bytes)
                return
            gevent.sleep(ROOM_POLL_S)
            if self.abort_reason is not None:
                raise self._error(self.abort_reason)

    def read_event(self) -> bytes | None:
        """Return the next event including its delimiter, or None after the last one.

        Raises ExchangeFailed for an event that is cut off by the end of the connection,
        and MemoryShort for a large one without room.
        """
        self._response.on_unread = self._account_unread
        self._account_unread(self._response.unread_bytes)
        try:
            event = self._response.readline(EVENT_DELIMITER)
        except (OSError, HTTPParseError) as error:
            raise self._error(ExchangeFailure.CLOSED) from error
        if event:
            self._account_unread(self._response.unread_bytes + len(event))
            return event
        remainder = self._response.read()
        if remainder.strip() or self.abort_reason is not None:
            raise self._error(ExchangeFailure.CLOSED)
        return None

    def _account_unread(self, size_bytes: int) -> None:
        """Account for what is held of a stream, unless it is only a little."""
        held_bytes = EVENT_COPIES * size_bytes if size_bytes > EVENT_FREE_BYTES else 0
        change_bytes = held_bytes - self._event_bytes
        if change_bytes > 0:
            self.request.answer_holding.grow(change_bytes)
        else:
            self.request.answer_holding.shrink(-change_bytes)
        self._event_bytes = held_bytes

    def abort_at_deadline(self) -> None:
        """Abort at the deadline of the request, where no monitor does that."""
        remaining_s = max(0.0, self.request.remaining_s)
        self._expiry = gevent.spawn_later(
            remaining_s, self.abort, ExchangeFailure.TIMEOUT
        )

    def abort(self, reason: ExchangeFailure) -> None:
        """Shut down the connection; only the first reason is kept."""
        if self.abort_reason is None:
            self.abort_reason = reason
        pool: Any = self._client._connection_pool
        if pool.socket is None:
            return
        try:
            pool.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection is closed already.
            return

    def _abort_with_request(self) -> None:
        has_left = self.request.has_caller_disconnected
        self.abort(ExchangeFailure.CALLER_LEFT if has_left else ExchangeFailure.TIMEOUT)

    def _error(self, failure: ExchangeFailure, was_sent: bool = True) -> ExchangeFailed:
        return ExchangeFailed(self.abort_reason or failure, was_sent)

    def close(self) -> None:
        """Close the connection; a target stops work when its connection closes."""
        self.request.abort_callbacks.discard(self._abort_with_request)
        if self._event_bytes:
            self._account_unread(0)
        if self._expiry is not None:
            self._expiry.kill(block=False)
        if self._response is not None:
            # Otherwise both would refer to each other until a garbage collection.
            self._response.on_unread = None
            self._response.release()
        self._client.close()
