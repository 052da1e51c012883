"""HTTP client of model engines."""

import time
from typing import Any, TypeVar

import msgspec
from geventhttpclient.response import HTTPParseError

from chervilstall.decoding import decode_untrusted
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.target.calls import Call, call_once
from chervilstall.target.connection import (
    JSON_HEADERS,
    ConnectFailed,
    single_use_client,
)
from chervilstall.target.contract import (
    AttemptFailed,
    AttemptProgress,
    CacheEvents,
    CacheIndex,
    CancelOrder,
    EventKind,
    ExportOrder,
    ExportResponse,
    FailureCause,
    FencedOrder,
    GenerateOrder,
    GenerationProgress,
    LoadReport,
    StreamEvent,
    TargetState,
)
from chervilstall.target.response import read_server_event

T = TypeVar("T")

EVENT_MAX_BYTES = 65_536
UNREAD_EVENTS_MAX_BYTES = 2 * EVENT_MAX_BYTES
"""Largest part of a stream that waits for the end of an event."""

LENGTH_FINISH = "length"
HTTP_OK = 200
HTTP_REFUSED = 503
SHORT_CALL_TIMEOUT_S = 1.0
LATE_EVENT_WAIT_S = 0.1
"""Wait for events that an engine sent before it answered for its progress."""

_event_decoder = msgspec.json.Decoder(StreamEvent)


class HttpEngineStream:
    """Events of one attempt, read from its own connection.

    Events of another request or attempt are skipped and counted in `dropped_events`.
    Token positions are checked: a repeated token or acceptance is dropped, too, and a
    gap fails the attempt.

    A read timeout alone does not tell a slow engine from a broken connection.
    Therefore, the engine is then asked for its progress over a new connection. The
    stream keeps waiting if the engine has sent no more than what arrived here. Else
    the engine may have sent the rest while it was asked, so the attempt fails as
    silent only if nothing arrives within `LATE_EVENT_WAIT_S`.
    """

    def __init__(
        self, order: GenerateOrder, client: "HttpEngineClient", deadline_s: float
    ) -> None:
        settings = client.settings
        self.order = order
        self.deadline_s = deadline_s
        self.slow_waits = 0
        self._engines = client
        self.settings = settings
        self.progress = AttemptProgress.NOT_SENT
        self.dropped_events = 0
        self.next_position = order.position
        self._target = order.route[0].target
        self._client = single_use_client(
            order.route[0].address,
            settings,
            settings.first_event_timeout_s,
            UNREAD_EVENTS_MAX_BYTES,
        )
        self._response: Any = self._open()

    def _open(self) -> Any:
        try:
            body = msgspec.json.encode(self.order)
            response = self._client.request(
                "POST", "/v1/generate", body=body, headers=JSON_HEADERS
            )
        except ConnectFailed as error:
            raise self._failure(FailureCause.CONNECT_FAILED) from error
        except TimeoutError as error:
            self.progress = AttemptProgress.SENT
            raise self._failure(FailureCause.SILENT) from error
        except (OSError, HTTPParseError) as error:
            self.progress = AttemptProgress.SENT
            raise self._failure(FailureCause.CLOSED) from error
        if response.status_code == HTTP_REFUSED:
            response.release()
            raise self._failure(FailureCause.REFUSED)
        self.progress = AttemptProgress.SENT
        if response.status_code != HTTP_OK:
            response.release()
            raise self._failure(FailureCause.BAD_ANSWER)
        return response

    def next_event(self) -> StreamEvent:
        """Return the next event of this attempt. Raises AttemptFailed.

        An engine that sends nothing else for as long as it may be silent counts as
        silent.
        """
        dropped_since_s: float | None = None
        while True:
            event = self._read_event()
            if self._is_expected(event):
                return self._advance(event)
            self.dropped_events += 1
            now_s = time.monotonic()
            if dropped_since_s is None:
                dropped_since_s = now_s
            if now_s - dropped_since_s > self._silence_max_s:
                raise self._failure(FailureCause.SILENT)

    @property
    def _silence_max_s(self) -> float:
        if self.progress is AttemptProgress.SENT:
            return self.settings.first_event_timeout_s
        return self.settings.silence_timeout_s

    def _is_expected(self, event: StreamEvent) -> bool:
        if event.request != self.order.request:
            return False
        if event.attempt != self.order.attempt:
            return False
        if event.kind is EventKind.ACCEPTED:
            return self.progress is AttemptProgress.SENT
        if event.kind is EventKind.TOKEN and event.position < self.next_position:
            return False
        return True

    def _advance(self, event: StreamEvent) -> StreamEvent:
        match event.kind:
            case EventKind.ACCEPTED:
                self.progress = AttemptProgress.ACCEPTED
                self._set_read_timeout(self.settings.silence_timeout_s)
            case EventKind.TOKEN:
                if event.position != self.next_position:
                    raise self._failure(FailureCause.BAD_ANSWER)
                self.progress = AttemptProgress.STREAMING
                self.next_position += 1  # type: ignore[assignment]
            case EventKind.END:
                if event.position != self.next_position or self._ends_too_early(event):
                    raise self._failure(FailureCause.BAD_ANSWER)
                self.progress = AttemptProgress.FINISHED
            case EventKind.ERROR:
                self._target = event.target or self._target
                raise self._failure(FailureCause.STAGE_DIED)
        return event

    def _ends_too_early(self, end: StreamEvent) -> bool:
        """Return whether the finish reason is length before `max_tokens` is reached."""
        return end.finish == LENGTH_FINISH and end.position < self.order.max_tokens

    def _read_event(self) -> StreamEvent:
        data = self._read_data()
        if data is None:
            raise self._failure(FailureCause.CLOSED)
        if len(data) > EVENT_MAX_BYTES:
            raise self._failure(FailureCause.BAD_ANSWER)
        try:
            return decode_untrusted(_event_decoder, data)
        except ValueError as error:
            raise self._failure(FailureCause.BAD_ANSWER) from error

    def _read_data(self) -> bytes | None:
        is_last_read = False
        while True:
            try:
                data = read_server_event(self._response)
                break
            except TimeoutError as error:
                if time.monotonic() >= self.deadline_s:
                    raise self._failure(FailureCause.DEADLINE) from error
                if is_last_read or self.progress is AttemptProgress.SENT:
                    # Engines accept at once, before any work.
                    raise self._failure(FailureCause.SILENT) from error
                is_last_read = not self._is_engine_working()
                self._reattach_socket()
                if is_last_read:
                    self._set_read_timeout(LATE_EVENT_WAIT_S)
            except (OSError, HTTPParseError) as error:
                raise self._failure(FailureCause.CLOSED) from error
        if is_last_read:
            self._set_read_timeout(self.settings.silence_timeout_s)
        return data

    def _is_engine_working(self) -> bool:
        order = CancelOrder(self.order.request, self.order.attempt)
        progress = self._engines.fetch_progress(self.order.route[0].address, order)
        return progress is not None and progress.position == self.next_position

    def _reattach_socket(self) -> None:
        # geventhttpclient detaches the socket from the response on a read timeout.
        self.slow_waits += 1
        pool: Any = self._client._connection_pool
        self._response._sock = pool.socket
        self._response._pool = pool

    def _set_read_timeout(self, timeout_s: float) -> None:
        sock = self._response._sock
        if sock is not None:
            sock.settimeout(timeout_s)

    def _failure(self, cause: FailureCause) -> AttemptFailed:
        return AttemptFailed(cause, self.progress, self._target)

    def close(self) -> None:
        """Close the connection, at which the engine should stop its work."""
        self._client.close()


class HttpEngineClient:
    """Client of model engines over HTTP.

    Calls other than `generate` return None or False for any failure.
    """

    def __init__(self, settings: TargetSettings) -> None:
        self.settings = settings

    def generate(self, order: GenerateOrder, deadline_s: float) -> HttpEngineStream:
        """Send `send_order` to the first stage of its route. Raises AttemptFailed."""
        return HttpEngineStream(order, self, deadline_s)

    def fetch_progress(
        self, address: Address, order: CancelOrder
    ) -> GenerationProgress | None:
        """Return the progress of an attempt, or None where it is not running."""
        body = msgspec.json.encode(order)
        return self._fetch(address, "POST", "/v1/progress", GenerationProgress, body)

    def cancel(self, address: Address, order: CancelOrder) -> None:
        """Ask the first stage to stop an attempt; errors are ignored."""
        self._call(address, "POST", "/v1/cancel", msgspec.json.encode(order))

    def export_kv(self, address: Address, order: ExportOrder) -> str | None:
        """Export a stage's KV state and return its handle, or None on failure."""
        body = msgspec.json.encode(order)
        response = self._fetch(address, "POST", "/v1/kv/export", ExportResponse, body)
        return response.handle if response is not None else None

    def fetch_load(self, address: Address) -> LoadReport | None:
        """Return the target's load report, or None where it does not respond."""
        return self._fetch(address, "GET", "/v1/load", LoadReport)

    def fetch_cache_events(self, address: Address, after: int) -> CacheEvents | None:
        """Return the cache events with sequence numbers above `after`."""
        path = f"/v1/cache/events?after={after}"
        return self._fetch(address, "GET", path, CacheEvents)

    def fetch_cache_index(self, address: Address) -> CacheIndex | None:
        """Return all prefixes in the target's cache."""
        return self._fetch(address, "GET", "/v1/cache/index", CacheIndex)

    def fetch_state(self, address: Address) -> TargetState | None:
        """Return what the target holds, or None where it does not respond."""
        return self._fetch(address, "GET", "/v1/state", TargetState)

    def send_order(self, address: Address, order: FencedOrder) -> bool:
        """Send an order; return whether the target accepted it."""
        body = msgspec.json.encode(order)
        return self._call(address, "POST", "/v1/orders", body) is not None

    def _fetch(
        self,
        address: Address,
        method: str,
        path: str,
        response_type: type[T],
        body: bytes = b"",
    ) -> T | None:
        """Return a decoded response, or None where it failed or is malformed."""
        content = self._call(address, method, path, body)
        if content is None:
            return None
        try:
            return decode_untrusted(msgspec.json.Decoder(response_type), content)
        except ValueError:
            return None

    def _call(
        self, address: Address, method: str, path: str, body: bytes
    ) -> bytes | None:
        call = Call(method, path, SHORT_CALL_TIMEOUT_S, body, JSON_HEADERS)
        try:
            response = call_once(address, self.settings, call)
        except (OSError, HTTPParseError):
            return None
        return response.body if response.status == HTTP_OK else None
