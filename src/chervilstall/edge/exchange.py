"""One sending of a request to one target, and its answer."""

import socket
from dataclasses import dataclass
from enum import Enum
from typing import Any

import gevent
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError

from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.records import Target
from chervilstall.platform.headers import (
    ForwardFields,
    ResponseHead,
    forward_headers,
    read_response_head,
)
from chervilstall.settings.connections import TargetSettings
from chervilstall.target.connection import ConnectFailed, single_use_client

CONNECTIONS = TargetSettings(connect_timeout_s=0.6)
SILENCE_MAX_S = 60.0
"""Upper bound of one read; deadlines and stalls end exchanges long before."""

BODY_MAX_BYTES = 4_000_000
READ_BYTES = 65_536
EVENT_END = b"\n\n"


class Failure(Enum):
    """Why an exchange brought no answer."""

    NO_CONNECTION = "no connection"
    CLOSED = "connection closed"
    MALFORMED = "malformed answer"
    TIMEOUT = "no answer in time"
    STALLED = "stalled"
    CALLER_LEFT = "caller left"


class ExchangeFailed(Exception):
    """An exchange ended without a whole answer; it ran unless nothing was sent."""

    def __init__(self, failure: Failure, was_sent: bool) -> None:
        super().__init__(failure.value)
        self.failure = failure
        self.was_sent = was_sent


@dataclass(frozen=True)
class WholeAnswer:
    """A target's answer with its complete body."""

    head: ResponseHead
    body: bytes


class Exchange:
    """Sends a request once over a connection of its own.

    `abort` may be called from any task; the reading task then sees the connection
    end and raises the reason given.
    """

    def __init__(self, request: EdgeRequest, send: ForwardFields) -> None:
        self.request = request
        self.send = send
        self.target: Target = send.target
        self.abort_reason: Failure | None = None
        self._client = single_use_client(
            self.target.address, CONNECTIONS, SILENCE_MAX_S
        )
        self._response: Any = None

    def open(self, timeout_s: float) -> ResponseHead:
        """Send the request and return the head of the answer."""
        request = self.request
        request.note_send()
        request.aborts.add(self._abort_for_caller)
        headers = forward_headers(request.fields.forwarded_headers, self.send)
        try:
            with gevent.Timeout(max(timeout_s, 0.0), TimeoutError):
                self._response = self._client.request(
                    request.method, request.target, body=request.body, headers=headers
                )
        except ConnectFailed as error:
            raise self._failed(Failure.NO_CONNECTION, was_sent=False) from error
        except TimeoutError as error:
            raise self._failed(Failure.TIMEOUT, self._is_connected()) from error
        except (OSError, HTTPConnectionClosed) as error:
            raise self._failed(Failure.CLOSED) from error
        except HTTPParseError as error:
            raise self._failed(Failure.MALFORMED) from error
        head = read_response_head(self._response, request.name)
        if head.status < 200 or not (head.matches_request or head.is_not_executed):
            raise self._failed(Failure.MALFORMED)
        return head

    def _is_connected(self) -> bool:
        pool: Any = self._client._connection_pool
        return bool(pool.is_opened)

    def read_whole(self, head: ResponseHead, timeout_s: float) -> WholeAnswer:
        """Read the whole body of an answer."""
        try:
            with gevent.Timeout(max(timeout_s, 0.0), TimeoutError):
                body = self._read_body()
        except TimeoutError as error:
            raise self._failed(Failure.TIMEOUT) from error
        except (OSError, HTTPParseError) as error:
            raise self._failed(Failure.CLOSED) from error
        if not self._response.message_complete:
            raise self._failed(Failure.CLOSED)
        return WholeAnswer(head, body)

    def _read_body(self) -> bytes:
        body = bytearray()
        while True:
            chunk = self._response.read(READ_BYTES)
            body += chunk
            if not chunk:
                return bytes(body)
            if len(body) > BODY_MAX_BYTES:
                raise self._failed(Failure.MALFORMED)

    def read_event(self) -> bytes | None:
        """Return the next whole event with its end mark; None after the last one.

        An event that is cut off at the end of the connection is not returned.
        """
        try:
            event = self._response.readline(EVENT_END)
        except (OSError, HTTPParseError) as error:
            raise self._failed(Failure.CLOSED) from error
        if event:
            return event
        rest = self._response.read()
        if rest.strip() or self.abort_reason is not None:
            raise self._failed(Failure.MALFORMED)
        return None

    def abort(self, reason: Failure) -> None:
        """End the exchange from another task."""
        if self.abort_reason is None:
            self.abort_reason = reason
        pool: Any = self._client._connection_pool
        if pool.socket is None:
            return
        try:
            pool.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # Closed already, which is what was wanted.
            return

    def _abort_for_caller(self) -> None:
        self.abort(Failure.CALLER_LEFT)

    def _failed(self, failure: Failure, was_sent: bool = True) -> ExchangeFailed:
        return ExchangeFailed(self.abort_reason or failure, was_sent)

    def close(self) -> None:
        """Close the connection; a target that still works on the request stops."""
        self.request.aborts.discard(self._abort_for_caller)
        if self._response is not None:
            self._response.release()
        self._client.close()
