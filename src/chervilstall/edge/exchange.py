"""One HTTP exchange: a request sent once to a target or router, and its response."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.header import Headers
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError

from chervilstall.edge.connections import ConnectionSource, carried_one_answer
from chervilstall.edge.exchange_failures import ExchangeFailed, ExchangeFailure
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.silence_limits import FIRST_EVENT_SILENCE_LIMIT_S
from chervilstall.platform.headers import ResponseHead, read_response_head
from chervilstall.platform.targets import HTTP_MISDIRECTED
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.target.connection import (
    ConnectFailed,
    reusable_client,
    single_use_client,
)
from chervilstall.target.sending import NothingSent, has_unacknowledged

CONNECT_SETTINGS = TargetSettings(connect_timeout_s=0.6)
SLOW_CONNECT_S = 0.15
"""Time after which a connect is slow; a target accepts within a millisecond or two.

The same holds for the acknowledgement of a request over a kept connection.
"""

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


@dataclass(frozen=True)
class CompleteResponse:
    """A target's response with its complete body."""

    head: ResponseHead
    body: bytes | bytearray


class Exchange:
    """Sends a request once, over a connection of its own or from a `source`.

    A connection from the source goes back to it after a complete answer to this request
    whose end was stated. A kept connection that turns out to have ended before anything
    was sent is replaced by a new one.

    `on_slow_start` is called if the connect, or the acknowledgement of a request over a
    kept connection, takes longer than `SLOW_CONNECT_S`.

    `abort` may be called from any task. The task that reads the response then sees the
    connection end and raises ExchangeFailed with the reason that `abort` was given.
    """

    def __init__(
        self,
        request: EdgeRequest,
        address: Address,
        headers: Headers,
        on_slow_start: Callable[[], object] | None = None,
        source: ConnectionSource | None = None,
    ) -> None:
        self.request = request
        self.address = address
        self.headers = headers
        self.on_slow_start = on_slow_start
        self.abort_reason: ExchangeFailure | None = None
        self._source = source
        self._client = self._new_client() if source is None else None
        self._is_reused = False
        self._has_failed = False
        self._has_ended = False
        self._was_unacknowledged = False
        self._heard_at_s = time.monotonic()
        self._head: ResponseHead | None = None
        self._response: Any = None
        self._event_bytes = 0
        self._expiry: gevent.Greenlet | None = None

    def _new_client(self) -> HTTPClient:
        may_keep = self._source is not None and self._source.may_keep
        make = reusable_client if may_keep else single_use_client
        return make(self.address, CONNECT_SETTINGS, READ_TIMEOUT_S, UNREAD_MAX_BYTES)

    def send_request(self, timeout_s: float) -> ResponseHead:
        """Send the request and return status and headers of the response.

        Raises ExchangeFailed if there is no response, or one to another request.
        """
        request = self.request
        request.record_send()
        request.abort_callbacks.add(self._abort_with_request)
        if self.abort_reason is not None:
            raise self._error(self.abort_reason, was_sent=False)
        slow_start = gevent.spawn_later(SLOW_CONNECT_S, self._notice_slow_start)
        try:
            with gevent.Timeout(max(timeout_s, 0.0), TimeoutError):
                self._response = self._send()
        except ConnectFailed as error:
            raise self._error(ExchangeFailure.NO_CONNECTION, was_sent=False) from error
        except TimeoutError as error:
            raise self._error(ExchangeFailure.TIMEOUT, self.is_connected()) from error
        except NothingSent as error:
            raise self._error(ExchangeFailure.CLOSED, was_sent=False) from error
        except (OSError, HTTPConnectionClosed) as error:
            raise self._error(ExchangeFailure.CLOSED) from error
        except HTTPParseError as error:
            raise self._error(ExchangeFailure.MALFORMED) from error
        finally:
            slow_start.kill(block=False)
        self._heard_at_s = time.monotonic()
        head = read_response_head(self._response, request.request_id)
        if head.status < 200 or not self._answers_request(head):
            raise self._error(ExchangeFailure.MALFORMED)
        self._head = head
        return head

    def _send(self) -> Any:
        """Send the request and return the response once its head is complete."""
        source = self._source
        if source is None:
            return self._send_over(self._client)
        self._client = source.take_kept()
        if self._client is not None:
            self._is_reused = True
            try:
                return self._send_over(self._client)
            except NothingSent:
                if self.abort_reason is not None:
                    raise
                source.note_not_sent()
                self._is_reused = False
        self._client = self._new_client()
        source.adopt(self._client)
        return self._send_over(self._client)

    def _send_over(self, client: Any) -> Any:
        request = self.request
        return client.request(
            request.method, request.target, body=request.body, headers=self.headers
        )

    def _answers_request(self, head: ResponseHead) -> bool:
        """Return whether a response belongs to this request.

        Over a kept connection, a refusal that names no request may be a late one of an
        earlier request, while this one runs.
        """
        if head.matches_request:
            return True
        if not head.is_not_executed:
            return False
        # A misdirected request reached another target, which may not name the request.
        if self._source is not None and head.status != HTTP_MISDIRECTED:
            self._source.note_unnamed_refusal()
        return not self._is_reused

    def _notice_slow_start(self) -> None:
        """Report a connect, or an acknowledgement over a kept connection, as slow."""
        is_unacknowledged = self._is_reused and has_unacknowledged(self._pool.socket)
        is_slow = is_unacknowledged or not self.is_connected()
        if self.on_slow_start is not None and is_slow:
            self.on_slow_start()

    def is_connected(self) -> bool:
        """Return whether there was a connection; without one nothing was sent."""
        return self._pool is not None and bool(self._pool.is_opened)

    @property
    def _pool(self) -> Any:
        return None if self._client is None else self._client._connection_pool

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
        self._has_ended = True
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
        self._heard_at_s = time.monotonic()
        if event:
            self._account_unread(self._response.unread_bytes + len(event))
            return event
        remainder = self._response.read()
        if remainder.strip() or self.abort_reason is not None:
            raise self._error(ExchangeFailure.CLOSED)
        self._has_ended = bool(self._response.message_complete)
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
        is_first = self.abort_reason is None
        if is_first:
            self.abort_reason = reason
        pool = self._pool
        if pool is None:
            return
        if is_first and pool.socket is not None:
            # After the shutdown, its own packet may count as unacknowledged.
            self._was_unacknowledged = has_unacknowledged(pool.socket)
        pool.abort()

    def _abort_with_request(self) -> None:
        has_left = self.request.has_caller_disconnected
        self.abort(ExchangeFailure.CALLER_LEFT if has_left else ExchangeFailure.TIMEOUT)

    def _error(self, failure: ExchangeFailure, was_sent: bool = True) -> ExchangeFailed:
        failure = self.abort_reason or failure
        was_kept = self._is_reused and self._head is None
        self._note_failure(failure, was_kept)
        return ExchangeFailed(failure, was_sent, was_kept)

    def _note_failure(self, failure: ExchangeFailure, was_kept: bool) -> None:
        """Tell the source of the connection once why the exchange failed."""
        if self._source is None or self._has_failed:
            return
        self._has_failed = True
        silence_s = time.monotonic() - self._heard_at_s
        is_short = silence_s < FIRST_EVENT_SILENCE_LIMIT_S
        if failure is ExchangeFailure.CALLER_LEFT and is_short:
            return
        self._source.note_failure(
            failure, was_kept, silence_s >= SLOW_CONNECT_S and self._is_unacknowledged()
        )

    def _is_unacknowledged(self) -> bool:
        """Return whether the target had not acknowledged all data at the failure."""
        if self.abort_reason is not None or not self.is_connected():
            return self._was_unacknowledged
        return has_unacknowledged(self._pool.socket)

    def _may_keep(self) -> bool:
        """Return whether a later request may use the connection."""
        if self._head is None or not self._has_ended or self._has_failed:
            return False
        is_reusable = getattr(self._pool, "is_reusable", False)
        if self.abort_reason is not None or not is_reusable:
            return False
        return carried_one_answer(self._head, self._response)

    def close(self) -> None:
        """End the exchange: give its connection back, or close it.

        A target stops work when its connection closes.
        """
        self.request.abort_callbacks.discard(self._abort_with_request)
        if self._event_bytes:
            self._account_unread(0)
        if self._expiry is not None:
            self._expiry.kill(block=False)
        if self._response is not None:
            # Otherwise both would refer to each other until a garbage collection.
            self._response.on_unread = None
            self._response.release()
        may_keep, head, client = self._may_keep(), self._head, self._client
        # A later abort of this exchange must not shut down the next one's connection.
        self._client = None
        if self._source is None:
            if client is not None:
                client.close()
            return
        is_kept = may_keep and head and self._source.keep(head.keep_alive_s)
        if not is_kept:
            self._source.close()
