"""HTTP client of the model engine contract."""

import time
from typing import Any, TypeVar

import msgspec
from geventhttpclient.response import HTTPParseError

from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.target.connection import (
    JSON_HEADERS,
    ConnectFailed,
    call_once,
    read_server_event,
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

T = TypeVar("T")

EVENT_MAX_BYTES = 65_536
LENGTH_FINISH = "length"
HTTP_OK = 200
HTTP_REFUSED = 503
SHORT_CALL_TIMEOUT_S = 1.0
_event_decoder = msgspec.json.Decoder(StreamEvent)


class HttpEngineStream:
    """One attempt's events, read straight from its connection.

    Events of another request or attempt are counted in `dropped_events` and skipped.
    Token positions are checked: a repeat is dropped, a jump fails the attempt.

    A silent connection is not a slow engine: on silence, the engine is asked over a
    fresh connection how far it is. Where it has not gone further than what arrived
    here, the stream waits on; else the attempt fails as silent.
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
            order.route[0].address, settings, settings.first_event_timeout_s
        )
        self._response: Any = self._open()

    def _open(self) -> Any:
        try:
            body = msgspec.json.encode(self.order)
            response = self._client.request(
                "POST", "/v1/generate", body=body, headers=JSON_HEADERS
            )
        except ConnectFailed as error:
            raise self._failed(FailureCause.CONNECT_FAILED) from error
        except TimeoutError as error:
            self.progress = AttemptProgress.SENT
            raise self._failed(FailureCause.SILENT) from error
        except (OSError, HTTPParseError) as error:
            self.progress = AttemptProgress.SENT
            raise self._failed(FailureCause.CLOSED) from error
        if response.status_code == HTTP_REFUSED:
            response.release()
            raise self._failed(FailureCause.REFUSED)
        self.progress = AttemptProgress.SENT
        if response.status_code != HTTP_OK:
            response.release()
            raise self._failed(FailureCause.BAD_ANSWER)
        return response

    def next_event(self) -> StreamEvent:
        """Return the next event that belongs to this attempt."""
        while True:
            event = self._read_event()
            if not self._is_expected(event):
                self.dropped_events += 1
                continue
            return self._advance(event)

    def _is_expected(self, event: StreamEvent) -> bool:
        if event.request != self.order.request:
            return False
        if event.attempt != self.order.attempt:
            return False
        if event.kind is EventKind.TOKEN and event.position < self.next_position:
            return False
        return True

    def _advance(self, event: StreamEvent) -> StreamEvent:
        match event.kind:
            case EventKind.ACCEPTED:
                self.progress = AttemptProgress.ACCEPTED
                self._set_silence_timeout()
            case EventKind.TOKEN:
                if event.position != self.next_position:
                    raise self._failed(FailureCause.BAD_ANSWER)
                self.progress = AttemptProgress.STREAMING
                self.next_position += 1  # type: ignore[assignment]
            case EventKind.END:
                if event.position != self.next_position or self._is_short(event):
                    raise self._failed(FailureCause.BAD_ANSWER)
                self.progress = AttemptProgress.FINISHED
            case EventKind.ERROR:
                self._target = event.target or self._target
                raise self._failed(FailureCause.STAGE_DIED)
        return event

    def _is_short(self, end: StreamEvent) -> bool:
        """Return whether an end for length comes before that length."""
        return end.finish == LENGTH_FINISH and end.position < self.order.max_tokens

    def _read_event(self) -> StreamEvent:
        data = self._read_data()
        if data is None:
            raise self._failed(FailureCause.CLOSED)
        if len(data) > EVENT_MAX_BYTES:
            raise self._failed(FailureCause.BAD_ANSWER)
        try:
            return _event_decoder.decode(data)
        except msgspec.DecodeError as error:
            raise self._failed(FailureCause.BAD_ANSWER) from error

    def _read_data(self) -> bytes | None:
        while True:
            try:
                return read_server_event(self._response)
            except TimeoutError as error:
                if time.monotonic() >= self.deadline_s:
                    raise self._failed(FailureCause.DEADLINE) from error
                if not self._is_engine_working():
                    raise self._failed(FailureCause.SILENT) from error
                self._read_on()
            except (OSError, HTTPParseError) as error:
                raise self._failed(FailureCause.CLOSED) from error

    def _is_engine_working(self) -> bool:
        if self.progress is AttemptProgress.SENT:
            # An engine accepts at once, before any work.
            return False
        order = CancelOrder(self.order.request, self.order.attempt)
        progress = self._engines.fetch_progress(self.order.route[0].address, order)
        return progress is not None and progress.position == self.next_position

    def _read_on(self) -> None:
        # The library lets go of its connection when a read times out.
        self.slow_waits += 1
        pool: Any = self._client._connection_pool
        self._response._sock = pool.socket
        self._response._pool = pool

    def _set_silence_timeout(self) -> None:
        sock = self._response._sock
        if sock is not None:
            sock.settimeout(self.settings.silence_timeout_s)

    def _failed(self, cause: FailureCause) -> AttemptFailed:
        return AttemptFailed(cause, self.progress, self._target)

    def close(self) -> None:
        """Close the connection; a well-made engine stops its work."""
        self._client.close()


class HttpEngineClient:
    """Model engines over HTTP."""

    def __init__(self, settings: TargetSettings) -> None:
        self.settings = settings

    def generate(self, order: GenerateOrder, deadline_s: float) -> HttpEngineStream:
        """Send `send_order` to the first stage of its route."""
        return HttpEngineStream(order, self, deadline_s)

    def fetch_progress(
        self, address: Address, order: CancelOrder
    ) -> GenerationProgress | None:
        """Return how far a running attempt is; None where the engine has none."""
        body = msgspec.json.encode(order)
        return self._ask(address, "POST", "/v1/progress", GenerationProgress, body)

    def cancel(self, address: Address, order: CancelOrder) -> None:
        """Ask the first stage to stop an attempt; it may be gone already."""
        self._call(address, "POST", "/v1/cancel", msgspec.json.encode(order))

    def export_kv(self, address: Address, order: ExportOrder) -> str | None:
        """Return the handle under which a stage keeps the KV state readable."""
        body = msgspec.json.encode(order)
        answer = self._ask(address, "POST", "/v1/kv/export", ExportResponse, body)
        return answer.handle if answer is not None else None

    def fetch_load(self, address: Address) -> LoadReport | None:
        """Return a lagged load report, or None where the target is silent."""
        return self._ask(address, "GET", "/v1/load", LoadReport)

    def fetch_cache_events(self, address: Address, after: int) -> CacheEvents | None:
        """Return cache events numbered above `after`."""
        path = f"/v1/cache/events?after={after}"
        return self._ask(address, "GET", path, CacheEvents)

    def fetch_cache_index(self, address: Address) -> CacheIndex | None:
        """Return the whole cache index."""
        return self._ask(address, "GET", "/v1/cache/index", CacheIndex)

    def fetch_state(self, address: Address) -> TargetState | None:
        """Return what the target holds, or None where it is silent."""
        return self._ask(address, "GET", "/v1/state", TargetState)

    def send_order(self, address: Address, order: FencedOrder) -> bool:
        """Give an order; True where the target took it."""
        body = msgspec.json.encode(order)
        return self._call(address, "POST", "/v1/orders", body) is not None

    def _ask(
        self,
        address: Address,
        method: str,
        path: str,
        kind: type[T],
        body: bytes = b"",
    ) -> T | None:
        """Return a decoded answer; a malformed one counts as none."""
        answer = self._call(address, method, path, body)
        if answer is None:
            return None
        try:
            return msgspec.json.decode(answer, type=kind)
        except msgspec.DecodeError:
            return None

    def _call(
        self, address: Address, method: str, path: str, body: bytes
    ) -> bytes | None:
        try:
            answer = call_once(
                address,
                self.settings,
                SHORT_CALL_TIMEOUT_S,
                method,
                path,
                body,
                JSON_HEADERS,
            )
        except (OSError, HTTPParseError):
            return None
        return answer.body if answer.status == HTTP_OK else None
