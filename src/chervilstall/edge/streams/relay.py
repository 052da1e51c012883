"""Streaming requests to model services, resumed over another path after a failure.

The relay is a generator that runs in the task of the caller's connection. It sends the
request over a path and forwards complete events as they arrive. If an exchange fails,
the relay resumes after the last forwarded event over another path, and the caller sees
a single response.
"""

import time
from collections.abc import Iterator

import gevent

from chervilstall.edge.exchange import CompleteResponse, Exchange
from chervilstall.edge.exchange_failures import ExchangeFailed, ExchangeFailure
from chervilstall.edge.limits.attempts import AttemptLimit
from chervilstall.edge.limits.rate_limits import AT_LIMIT
from chervilstall.edge.peers.forwarding import name_responder
from chervilstall.edge.peers.relay import OUT_OF_REACH, out_of_reach_error
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.streams.context import StreamBroken, StreamContext, stream_error
from chervilstall.edge.streams.events import EventCursor, is_event
from chervilstall.edge.streams.live_stream import LiveStream
from chervilstall.edge.streams.paths import StreamPaths
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.heard_clock import HEARD
from chervilstall.paths.records import Path
from chervilstall.platform.headers import (
    NOT_RUN_STATUSES,
    ForwardFields,
    ResponseHead,
    forward_headers,
)
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

SENDS_MAX = 6
RESUME_RETRY_S = 0.1


class StreamRelay:
    """Relays one streaming request.

    `begin` returns the head of a stream, or a complete response where the target did
    not stream; it raises ChervilstallError. For a stream, iterate `events` once; it
    raises StreamBroken. Call `close` in any case.

    `paths` chooses the path of each attempt, and `attempts` counts the first targets
    that may have run the request. While no target is within reach, another router
    takes the request, with all the attempts that are left.
    """

    def __init__(self, context: StreamContext, request: EdgeRequest) -> None:
        self.context = context
        self.request = request
        self.attempts = AttemptLimit(context.fleet_view, request.attempts_max)
        self.paths = StreamPaths(
            context.chooser, context.rate_limiter, request, self.attempts
        )
        self.head: ResponseHead | None = None
        self.cursor = EventCursor.resume_after(request.fields.last_event_id)
        self._may_have_run = False
        self._is_at_peer = False
        self._forwarded_at_s = time.monotonic()
        self._last_failure = "no path covers the model"
        self._exchange: Exchange | None = None
        self._stream: LiveStream | None = None
        self._pending_event: bytes | None = None

    # Sending

    def begin(self) -> ResponseHead | CompleteResponse:
        """Send the request until a target starts a stream or gives a final response."""
        self.context.prompt_wait.hold(self.request, self.paths)
        while True:
            response = self._attempt()
            if response is not None:
                return response

    def _attempt(self) -> ResponseHead | CompleteResponse | None:
        path = self._next_path()
        if path is None:
            return self._attempt_at_peer()
        try:
            head = self._send(path)
            if head.status == 200 and head.is_stream and head.is_signed:
                self._pending_event = self._read_first_event()
                self.context.stream_monitor.record_first_event(path.first)
                self.context.target_reach.record_response(self.request.service.name)
                self.head = head
                return head
            return self._read_non_stream(path, head)
        except ExchangeFailed as error:
            self._end_exchange()
            self._record_failure(path, error)
            return None

    def _attempt_at_peer(self) -> ResponseHead | CompleteResponse | None:
        """Let another router send the request to the targets."""
        request = self.request
        attempts_max = self.attempts.left
        if attempts_max < 1:
            raise self._error(OUT_OF_REACH)
        may_have_run, is_resumed = self._may_have_run, self.head is not None
        try:
            self._exchange, head = self.context.peer_relay.open(
                request, attempts_max, self.cursor.text
            )
            self._is_at_peer = True
            if head.status == 200 and head.is_stream and head.is_signed:
                self._pending_event = self._read_first_event()
                self.head = head
                return head
            response = self.context.peer_relay.read(self._exchange, head)
        except ExchangeFailed as error:
            self._is_at_peer = self._may_have_run = True
            self._last_failure = error.failure.value
            self._end_exchange()
            return None
        except ChervilstallError as error:
            raise (self._error(error.message) if may_have_run else error) from error
        self._end_exchange()
        if head.status in NOT_RUN_STATUSES and (is_resumed or may_have_run):
            # An earlier attempt may have run, so this is not the final answer.
            self._is_at_peer = False
            raise self._error(OUT_OF_REACH)
        return response

    def _read_first_event(self) -> bytes | None:
        """Return the first event, or None if a resumed stream had none left."""
        assert self._exchange is not None
        event = self._read_event()
        if event is None and (
            self.head is None or self._exchange.ends_with_connection()
        ):
            # A response without a length may end with its target.
            raise ExchangeFailed(ExchangeFailure.CLOSED, was_sent=True)
        return event

    def _next_path(self) -> Path | None:
        """Return the next send's path, None while no target is within reach.

        Raises ChervilstallError if there is no path.
        """
        request = self.request
        if request.has_caller_disconnected:
            raise ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, "the caller left")
        if request.remaining_s <= 0.0:
            raise self._error("the deadline has passed")
        if self._may_have_run and not request.route.is_retryable:
            raise self._error(self._last_failure)
        if request.sends >= SENDS_MAX or self._is_at_peer:
            raise self._error(self._last_failure)
        self.context.crash_guard.check(request, self._may_have_run)
        path = None
        reach = self.context.target_reach
        if not reach.is_out_of_reach(request.service.name):
            path = self.paths.choose()
            if path is None and not self._may_use_peer():
                raise self._no_path_error()
        if self._has_arrived and not self._take_retry():
            raise self._error("the budget for repeats is used up")
        return path

    @property
    def _has_arrived(self) -> bool:
        """Return whether a target may have received the request."""
        return bool(self._may_have_run or self.attempts.counted or self.paths.refusing)

    def _may_use_peer(self) -> bool:
        """Return whether another router may know a path where this one knows none."""
        if self.request.forwarding is not None or self.attempts.is_reached:
            return False
        return self.context.target_reach.lacks_targets(self.request.service.name)

    def _no_path_error(self) -> ChervilstallError:
        if self.attempts.is_reached:
            reason = f"the attempts of the route are used up: {self._last_failure}"
            return self._error(reason)
        reach = self.context.target_reach
        if not self._has_arrived and reach.lacks_targets(self.request.service.name):
            # The router that forwarded the request tries another one then.
            return out_of_reach_error()
        if self.context.rate_limiter.exhausted_targets():
            return self._error(f"{self._last_failure}; {AT_LIMIT}")
        return self._error(self._last_failure)

    def _take_retry(self) -> bool:
        """Use a reserved retry, or take one from the budget."""
        request, budget = self.request, self.context.budget
        if request.has_reserved_retry:
            request.has_reserved_retry = False
            budget.spend_reserved(request.service.name)
            return True
        is_resume = self.head is not None
        if budget.try_spend(request.service.name, is_resume):
            return True
        if is_resume:
            self.context.stream_monitor.on_no_retry(request)
        return False

    def _send(self, path: Path) -> ResponseHead:
        request = self.request
        send_fields = ForwardFields(
            path.first,
            request.caller_remaining_s,
            request.workspace,
            request.priority,
            path,
            self.cursor.text,
        )
        headers = forward_headers(request.fields.forwarded_headers, send_fields)
        notice = self.context.target_reach.failure_notice(request.service.name)
        attempts_left = min(self.attempts.left, SENDS_MAX - request.sends)
        source = self.context.connections.source(request, path.first, attempts_left)
        exchange = Exchange(request, path.first.address, headers, notice, source)
        self._exchange = exchange
        sent_at_s = time.monotonic()
        self._stream = LiveStream(
            request, exchange, path, self.attempts, sent_at_s, self._has_arrived
        )
        self.context.stream_monitor.streams[request.request_id] = self._stream
        self.context.chooser.load.add(path, request.expected_tokens)
        assert request.service.pipeline is not None
        self.context.chooser.note_prefill(
            request.service.pipeline, path, request.prefill_tokens
        )
        log.routine(
            "sent",
            request=request.request_id,
            path=[stage.target.id for stage in path.stages],
            generation=self.context.fleet_view.generation,
            after_event=self.cursor.text,
        )
        self.context.rate_limiter.record_send(path.first)
        head = exchange.send_request(request.remaining_s)
        self.context.notices.record(path.first, head, sent_at_s)
        if not head.is_not_executed:
            self.attempts.record(path.first)
        return head if request.forwarding is None else name_responder(head, path.first)

    def _read_non_stream(
        self, path: Path, head: ResponseHead
    ) -> CompleteResponse | None:
        """Read a response that is not a stream; return None where a retry may help."""
        assert self._exchange is not None
        response = self._exchange.read_response(head, self.request.remaining_s)
        self._end_exchange()
        self._last_failure = f"target returned {head.status}"
        if head.is_not_executed:
            self._record_refusal(path, head)
            return None
        self._may_have_run = True
        if head.status in NOT_RUN_STATUSES:
            # Without the mark of a refusal the request may have run.
            return None
        if head.status < 500 or not self.request.route.is_retryable:
            if head.status < 300 and not head.is_signed:
                return None
            return response
        return None

    def _record_refusal(self, path: Path, head: ResponseHead) -> None:
        faulty = self.paths.record_refusal(path, head.faulty_address)
        self.request.refusals += head.status == 503 and not head.is_leaving
        log.warning(
            "target refused",
            request=self.request.request_id,
            target=faulty.id,
            status=head.status,
        )
        self.context.stream_monitor.check_refusal(faulty)

    def _record_failure(self, path: Path, error: ExchangeFailed) -> None:
        self._last_failure = error.failure.value
        if error.was_sent:
            self._may_have_run = True
            self.attempts.record(path.first)
        if error.failure is ExchangeFailure.CALLER_LEFT:
            return
        self.context.crash_guard.record_failure(self.request, path.first, error)
        log.warning(
            "send failed",
            request=self.request.request_id,
            target=path.first.id,
            digest=self.request.digest,
            why=error.failure.value,
            was_sent=error.was_sent,
            events_passed=self.request.events_forwarded,
        )
        was_deaf = HEARD.was_deaf_since(self.request.sent_at_s)
        if error.failure is ExchangeFailure.NO_CONNECTION and not was_deaf:
            self.context.fleet_view.suspect(path.first, error.failure.value)
        if error.failure is not ExchangeFailure.TIMEOUT:
            self.paths.avoided.add(path.first.id)
            self.context.target_reach.check(self.request.service.name)
        self.context.crash_guard.await_verdict(self.request, path.first)

    def _error(self, reason: str) -> ChervilstallError:
        return stream_error(self.request, self._may_have_run, reason)

    # Forwarding

    def events(self) -> Iterator[bytes]:
        """Yield complete events in order, each once, until the stream ends."""
        while True:
            try:
                yield from self._forward_events()
                return
            except ExchangeFailed as error:
                stream = self._stream
                self._end_exchange()
                if stream is None:
                    raise StreamBroken(f"at another router: {error}") from error
                self._record_failure(stream.path, error)
            self._resume()

    def _forward_events(self) -> Iterator[bytes]:
        event = self._pending_event
        self._pending_event = None
        while event is not None:
            if self.cursor.advance(event):
                now_s = time.monotonic()
                if self.request.events_forwarded:
                    self.request.record_gap(now_s - self._forwarded_at_s)
                self.request.events_forwarded += 1
                self._forwarded_at_s = now_s
                yield event
            event = self._read_event()
        if self._exchange is not None and self._exchange.abort_reason is not None:
            raise ExchangeFailed(self._exchange.abort_reason, was_sent=True)
        self.context.crash_guard.record_end(self.request)

    def _read_event(self) -> bytes | None:
        assert self._exchange is not None
        event = self._exchange.read_event()
        if event is not None and not is_event(event):
            raise ExchangeFailed(ExchangeFailure.MALFORMED, was_sent=True)
        if self._stream is None:
            return event
        if event is not None and not self.cursor.is_later(event):
            # A target that repeats events gets no further: the stream counts as silent.
            return event
        self._stream.record_event()
        if event is not None:
            self.context.crash_guard.record_event(self.request, self._stream.events)
        return event

    def _resume(self) -> None:
        """Open another exchange that continues after the last forwarded event."""
        while True:
            if self.cursor.number is None or not self.request.route.is_resumable:
                raise StreamBroken("the stream cannot be resumed")
            try:
                response = self._attempt()
            except ChervilstallError as error:
                if not self._can_retry_resume():
                    raise StreamBroken(error.message) from error
                gevent.sleep(RESUME_RETRY_S)
                continue
            if isinstance(response, ResponseHead):
                after, request = self.cursor.number, self.request.request_id
                log.warning("stream resumed", request=request, after_event=after)
                return
            if response is not None:
                raise StreamBroken("a resumed stream got another kind of response")

    def _can_retry_resume(self) -> bool:
        """Return whether another try to resume could still succeed in time.

        A missing part of a model is loaded again within a second or two. Only the
        caller decides how long it waits, by disconnecting or by its deadline.
        """
        request = self.request
        if request.has_caller_disconnected or request.remaining_s <= RESUME_RETRY_S:
            return False
        if self._is_at_peer or self.context.crash_guard.is_given_up(request):
            return False
        return request.sends < SENDS_MAX

    # Closing

    def _end_exchange(self) -> None:
        if self._exchange is None:
            return
        if self._stream is not None:
            self.context.stream_monitor.streams.pop(self.request.request_id, None)
            self.context.chooser.load.remove(
                self._stream.path, self.request.expected_tokens
            )
        self._exchange.close()
        self._exchange = self._stream = None

    def close(self) -> None:
        """Close the open exchange; a target stops work when its connection closes."""
        self._end_exchange()
        if self.request.has_reserved_retry:
            self.request.has_reserved_retry = False
            self.context.budget.release(self.request.service.name)
