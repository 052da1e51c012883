"""Runs completion requests, with one response body or a stream of events."""

import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from chervilstall.admission.router_limits import AcquiredLimits
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.gateway.auth import Caller
from chervilstall.gateway.key_claim import REPEAT_HEADER, IdempotentRequest, KeyClaim
from chervilstall.gateway.parsing import CallerOptions, CompletionRequest
from chervilstall.gateway.responses import (
    CompletionEncoder,
    error_event,
    success_headers,
)
from chervilstall.gateway.runtime import RouterRuntime
from chervilstall.http_response import (
    JSON_TYPE,
    HttpResponse,
    StartResponse,
    status_line,
)
from chervilstall.ids import RequestId, WorkspaceName
from chervilstall.peer.claims import Outcome
from chervilstall.routing.explanation import Explanation
from chervilstall.routing.fleet import capability_of
from chervilstall.settings.documents import PipelineDocument
from chervilstall.stream.relay import ModelRequest, Relay
from chervilstall.target.prefixes import prompt_prefix_hashes
from chervilstall.telemetry.logs import ComponentLog
from chervilstall.telemetry.metrics import HistogramKey, Measure

log = ComponentLog("gateway")

EVENT_STREAM_HEADERS = (
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
)
# Longest wait of a repeated request for the first run under its idempotency key.
KEY_WAIT_MAX_S = 30.0


@dataclass(frozen=True)
class CompletionCall:
    """A completion request, its caller, and path and body as received."""

    request_id: RequestId
    caller: Caller
    completion: CompletionRequest
    options: CallerOptions
    path: str
    body: bytes


@dataclass(frozen=True)
class _HistogramKeys:
    first_token: HistogramKey
    between_tokens: HistogramKey
    whole: HistogramKey
    queue: HistogramKey


def histogram_keys(workspace: WorkspaceName, request_class: str) -> _HistogramKeys:
    """Return the histogram keys of a workspace and request class."""
    return _HistogramKeys(
        HistogramKey(workspace, request_class, Measure.FIRST_TOKEN),
        HistogramKey(workspace, request_class, Measure.BETWEEN_TOKENS),
        HistogramKey(workspace, request_class, Measure.WHOLE),
        HistogramKey(workspace, request_class, Measure.QUEUE),
    )


class CompletionRun:
    """Runs one completion call; `respond` may be called once."""

    def __init__(
        self, runtime: RouterRuntime, call: CompletionCall, outcome_max_bytes: int
    ) -> None:
        self.runtime = runtime
        self.call = call
        self.encoder = CompletionEncoder(call.request_id, call.completion)
        self.started_at_s = time.monotonic()
        self.pipeline = self._find_pipeline()
        self.histograms = histogram_keys(
            call.caller.workspace, self.pipeline.request_class.value
        )
        self.deadline_s = call.options.deadline_or_default_s(
            self.pipeline.request_class, runtime.settings.admission, self.started_at_s
        )
        self.key_claim = self._new_key_claim(outcome_max_bytes)
        self.explanation = Explanation(
            call.request_id,
            call.caller.workspace,
            call.completion.model,
            self.pipeline.request_class.value,
        )
        self.relay = Relay(runtime.relay, self._model_request(), self.explanation)
        self.acquired_limits: AcquiredLimits | None = None

    def _find_pipeline(self) -> PipelineDocument:
        workspace = self.call.caller.workspace
        name = self.call.completion.model
        pipeline = self.runtime.tree.pipeline(workspace, name)
        if pipeline is None:
            raise ChervilstallError(ErrorKind.NOT_FOUND, "no such model")
        return pipeline

    def _new_key_claim(self, outcome_max_bytes: int) -> KeyClaim | None:
        call = self.call
        if self.pipeline.repeatable or not call.options.idempotency_key:
            return None
        wait_s = min(KEY_WAIT_MAX_S, max(0.0, self.deadline_s - time.monotonic()))
        idempotent_request = IdempotentRequest(
            call.caller.workspace,
            call.path,
            call.options,
            call.body,
            call.request_id,
            self.pipeline.run_without_store,
            wait_s,
        )
        return KeyClaim(self.runtime.claims, idempotent_request, outcome_max_bytes)

    def _model_request(self) -> ModelRequest:
        call = self.call
        return ModelRequest(
            request=call.request_id,
            workspace=call.caller.workspace,
            weight=call.caller.grant.weight,
            request_class=self.pipeline.request_class,
            capability=capability_of(self.pipeline),
            repeatable=self.pipeline.repeatable,
            prompt=call.completion.prompt,
            prefixes=prompt_prefix_hashes(call.completion.prompt),
            max_tokens=call.completion.max_tokens,
            deadline_s=self.deadline_s,
        )

    def respond(self, start_response: StartResponse) -> Iterator[bytes] | list[bytes]:
        """Run the request and return the response body.

        Raises errors that occur before the first token; a later error ends the
        stream with an error event.
        """
        outcome = self._claim()
        if outcome is not None:
            return self._respond_stored(outcome, start_response)
        try:
            self._admit()
            tokens = self.relay.tokens()
            if not self.call.completion.is_streamed:
                return self._respond_unstreamed(tokens, start_response)
            first_token = next(tokens)
        except ChervilstallError as error:
            self._fail(error)
            raise
        except BaseException:
            self._release_limits()
            raise
        self._record_first_token()
        start_response(
            status_line(200),
            [*EVENT_STREAM_HEADERS, *success_headers(self.call.request_id)],
        )
        return self._stream_events(first_token, tokens)

    def _claim(self) -> Outcome | None:
        return self.key_claim.claim() if self.key_claim is not None else None

    def _admit(self) -> None:
        call = self.call
        self.runtime.explanations.add(self.explanation)
        self.acquired_limits = self.runtime.limits.admit(
            call.caller.workspace,
            call.completion.model,
            float(call.completion.max_tokens),
        )

    def _fail(self, error: ChervilstallError) -> None:
        if self.key_claim is not None and self.key_claim.is_claimed:
            self.key_claim.report_error(error)
        self.explanation.outcome = str(error)
        self._release_limits()

    def _release_limits(self) -> None:
        if self.acquired_limits is not None:
            self.acquired_limits.release(float(len(self.relay.delivered)))
            self.acquired_limits = None

    def _finish(self) -> None:
        self._report_outcome()
        metrics = self.runtime.metrics
        metrics.record(self.histograms.whole, time.monotonic() - self.started_at_s)
        metrics.record(self.histograms.queue, self.explanation.queued_ms / 1_000.0)
        metrics.count("requests.finished")
        metrics.count("tokens", len(self.relay.delivered))
        self._release_limits()

    def _report_outcome(self) -> None:
        if self.key_claim is None:
            return
        body = self._full_body()
        self.key_claim.report_outcome(Outcome(200, JSON_TYPE[1], body))

    def _full_body(self) -> bytes:
        delivered = self.relay.delivered
        return self.encoder.full_body(
            "".join(delivered), len(delivered), self.relay.finish_reason
        )

    def _record_first_token(self) -> None:
        first_token_s = time.monotonic() - self.started_at_s
        self.runtime.metrics.record(self.histograms.first_token, first_token_s)

    def _respond_unstreamed(
        self, tokens: Iterator[str], start_response: StartResponse
    ) -> list[bytes]:
        next(tokens)
        self._record_first_token()
        for _ in tokens:
            continue
        body = self._full_body()
        self._finish()
        headers = (JSON_TYPE, *success_headers(self.call.request_id))
        return HttpResponse(200, body, headers).start(start_response)

    def _stream_events(
        self, first_token: str, tokens: Iterator[str]
    ) -> Iterator[bytes]:
        """Yield the events of the response; closing the generator closes the relay."""
        is_finished = False
        try:
            yield self.encoder.first_chunk() + self.encoder.token_chunk(first_token)
            yield from self._token_chunks(tokens)
            self._finish()
            is_finished = True
            delivered = len(self.relay.delivered)
            yield self.encoder.last_chunks(delivered, self.relay.finish_reason)
        except ChervilstallError as error:
            self._fail(error)
            log.info(
                "Stream ended with an error: %s.", error, request=self.call.request_id
            )
            yield error_event(error, self.call.request_id)
        finally:
            tokens.close()  # type: ignore[attr-defined]
            if not is_finished:
                self._release_limits()

    def _token_chunks(self, tokens: Iterator[str]) -> Iterator[bytes]:
        metrics = self.runtime.metrics
        histogram = metrics.histogram(self.histograms.between_tokens)
        last_s = time.monotonic()
        for token in tokens:
            now_s = time.monotonic()
            histogram.record_value(max(1, int((now_s - last_s) * 1e6)))
            last_s = now_s
            yield self.encoder.token_chunk(token)

    def _respond_stored(
        self, outcome: Outcome, start_response: StartResponse
    ) -> list[bytes]:
        headers = (
            ("Content-Type", outcome.content_type),
            *success_headers(self.call.request_id),
            REPEAT_HEADER,
        )
        if not self.call.completion.is_streamed:
            response = HttpResponse(outcome.status, outcome.body, headers)
            return response.start(start_response)
        text, token_count, finish_reason = parse_stored_body(
            outcome.body, self.call.completion.is_chat
        )
        body = self.encoder.first_chunk() + self.encoder.token_chunk(text)
        body += self.encoder.last_chunks(token_count, finish_reason)
        event_headers = (*EVENT_STREAM_HEADERS, *success_headers(self.call.request_id))
        response = HttpResponse(200, body, (*event_headers, REPEAT_HEADER))
        return response.start(start_response)


def parse_stored_body(body: bytes, is_chat: bool) -> tuple[str, int, str]:
    """Return text, token count and finish reason of a stored response body."""
    parsed = msgspec.json.decode(body)
    choice = parsed["choices"][0]
    text = choice["message"]["content"] if is_chat else choice["text"]
    return text, parsed["usage"]["completion_tokens"], choice["finish_reason"]
