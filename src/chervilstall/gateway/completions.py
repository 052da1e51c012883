"""Model requests: from a parsed completion to a whole or streamed answer."""

import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from chervilstall.admission.classes import default_deadline_s
from chervilstall.admission.router_limits import AcquiredLimits
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.gateway.answers import (
    CompletionWriter,
    error_event,
    success_headers,
)
from chervilstall.gateway.auth import Caller
from chervilstall.gateway.keyed import REPEAT_HEADER, KeyedRequest, KeyedRun
from chervilstall.gateway.parse import CallerOptions, Completion
from chervilstall.gateway.runtime import RouterRuntime
from chervilstall.ids import RequestId, WorkspaceName
from chervilstall.peer.claims import Outcome
from chervilstall.routing.explanation import Explanation
from chervilstall.routing.fleet import capability_of
from chervilstall.settings.documents import PipelineDocument
from chervilstall.stream.relay import ModelRequest, Relay
from chervilstall.target.prefixes import prompt_prefix_hashes
from chervilstall.telemetry.logs import ComponentLog
from chervilstall.telemetry.metrics import HistogramKey, Measure
from chervilstall.wsgi import JSON_TYPE, HttpResponse, StartResponse, status_line

log = ComponentLog("gateway")

EVENT_STREAM = (("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache"))
KEY_WAIT_MAX_S = 30.0


@dataclass(frozen=True)
class CompletionCall:
    """A completion with everything known of its caller."""

    request: RequestId
    caller: Caller
    completion: Completion
    options: CallerOptions
    path: str
    body: bytes


@dataclass(frozen=True)
class _Keys:
    first_token: HistogramKey
    between_tokens: HistogramKey
    whole: HistogramKey
    queue: HistogramKey


def histogram_keys(workspace: WorkspaceName, request_class: str) -> _Keys:
    """Return the histograms of a workspace and class."""
    return _Keys(
        HistogramKey(workspace, request_class, Measure.FIRST_TOKEN),
        HistogramKey(workspace, request_class, Measure.BETWEEN_TOKENS),
        HistogramKey(workspace, request_class, Measure.WHOLE),
        HistogramKey(workspace, request_class, Measure.QUEUE),
    )


class CompletionRun:
    """Runs one completion call. Use `answer` once."""

    def __init__(
        self, runtime: RouterRuntime, call: CompletionCall, outcome_max_bytes: int
    ) -> None:
        self.runtime = runtime
        self.call = call
        self.writer = CompletionWriter(call.request, call.completion)
        self.started_at_s = time.monotonic()
        self.pipeline = self._find_pipeline()
        self.keys = histogram_keys(
            call.caller.workspace, self.pipeline.request_class.value
        )
        self.deadline_s = self._deadline()
        self.keyed = self._keyed(outcome_max_bytes)
        self.explanation = Explanation(
            call.request,
            call.caller.workspace,
            call.completion.model,
            self.pipeline.request_class.value,
        )
        self.relay = Relay(runtime.relay, self._model_request(), self.explanation)
        self.taken: AcquiredLimits | None = None

    def _find_pipeline(self) -> PipelineDocument:
        workspace = self.call.caller.workspace
        name = self.call.completion.model
        pipeline = self.runtime.tree.pipeline(workspace, name)
        if pipeline is None:
            raise ChervilstallError(ErrorKind.NOT_FOUND, "no such model")
        return pipeline

    def _deadline(self) -> float:
        if self.call.options.deadline_s is not None:
            return self.call.options.deadline_s
        admission = self.runtime.settings.admission
        request_class = self.pipeline.request_class
        return self.started_at_s + default_deadline_s(request_class, admission)

    def _keyed(self, outcome_max_bytes: int) -> KeyedRun | None:
        call = self.call
        if self.pipeline.repeatable or not call.options.key:
            return None
        wait_s = min(KEY_WAIT_MAX_S, max(0.0, self.deadline_s - time.monotonic()))
        keyed = KeyedRequest(
            call.caller.workspace,
            call.path,
            call.options,
            call.body,
            call.request,
            self.pipeline.run_without_store,
            wait_s,
        )
        return KeyedRun(self.runtime.claims, keyed, outcome_max_bytes)

    def _model_request(self) -> ModelRequest:
        call = self.call
        return ModelRequest(
            request=call.request,
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

    def answer(self, start_response: StartResponse) -> Iterator[bytes] | list[bytes]:
        """Run and answer; errors before the first token are raised."""
        outcome = self._claim()
        if outcome is not None:
            return self._repeat(outcome, start_response)
        try:
            self._admit()
            tokens = self.relay.tokens()
            if not self.call.completion.is_streamed:
                return self._whole(tokens, start_response)
            first = next(tokens)
        except ChervilstallError as error:
            self._fail(error)
            raise
        except BaseException:
            self._end()
            raise
        self._record_first()
        start_response(
            status_line(200), [*EVENT_STREAM, *success_headers(self.call.request)]
        )
        return self._stream(first, tokens)

    def _claim(self) -> Outcome | None:
        return self.keyed.claim() if self.keyed is not None else None

    def _admit(self) -> None:
        call = self.call
        self.runtime.explanations.add(self.explanation)
        self.taken = self.runtime.limits.admit(
            call.caller.workspace,
            call.completion.model,
            float(call.completion.max_tokens),
        )

    def _fail(self, error: ChervilstallError) -> None:
        if self.keyed is not None and self.keyed.is_claimed:
            self.keyed.report_error(error)
        self.explanation.outcome = str(error)
        self._end()

    def _end(self) -> None:
        if self.taken is not None:
            self.taken.release(float(len(self.relay.delivered)))
            self.taken = None

    def _finish(self) -> None:
        self._report_outcome()
        metrics = self.runtime.metrics
        metrics.record(self.keys.whole, time.monotonic() - self.started_at_s)
        metrics.record(self.keys.queue, self.explanation.queued_ms / 1_000.0)
        metrics.count("requests.finished")
        metrics.count("tokens", len(self.relay.delivered))
        self._end()

    def _report_outcome(self) -> None:
        if self.keyed is None:
            return
        body = self._whole_body()
        self.keyed.report_outcome(Outcome(200, JSON_TYPE[1], body))

    def _whole_body(self) -> bytes:
        delivered = self.relay.delivered
        return self.writer.whole(
            "".join(delivered), len(delivered), self.relay.finish_reason
        )

    def _record_first(self) -> None:
        first_s = time.monotonic() - self.started_at_s
        self.runtime.metrics.record(self.keys.first_token, first_s)

    def _whole(
        self, tokens: Iterator[str], start_response: StartResponse
    ) -> list[bytes]:
        next(tokens)
        self._record_first()
        for _ in tokens:
            continue
        body = self._whole_body()
        self._finish()
        headers = (JSON_TYPE, *success_headers(self.call.request))
        return HttpResponse(200, body, headers).start(start_response)

    def _stream(self, first: str, tokens: Iterator[str]) -> Iterator[bytes]:
        """Yield the chunks; the caller's leaving closes the relay."""
        is_finished = False
        try:
            yield self.writer.first_chunk() + self.writer.token_chunk(first)
            yield from self._chunks(tokens)
            self._finish()
            is_finished = True
            delivered = len(self.relay.delivered)
            yield self.writer.last_chunks(delivered, self.relay.finish_reason)
        except ChervilstallError as error:
            self._fail(error)
            log.info("Stream ended early: %s.", error, request=self.call.request)
            yield error_event(error, self.call.request)
        finally:
            tokens.close()  # type: ignore[attr-defined]
            if not is_finished:
                self._end()

    def _chunks(self, tokens: Iterator[str]) -> Iterator[bytes]:
        metrics = self.runtime.metrics
        histogram = metrics.histogram(self.keys.between_tokens)
        last_s = time.monotonic()
        for token in tokens:
            now_s = time.monotonic()
            histogram.record_value(max(1, int((now_s - last_s) * 1e6)))
            last_s = now_s
            yield self.writer.token_chunk(token)

    def _repeat(self, outcome: Outcome, start_response: StartResponse) -> list[bytes]:
        headers = (
            ("Content-Type", outcome.content_type),
            *success_headers(self.call.request),
            REPEAT_HEADER,
        )
        if not self.call.completion.is_streamed:
            reply = HttpResponse(outcome.status, outcome.body, headers)
            return reply.start(start_response)
        text, tokens, finish = read_whole(outcome.body, self.call.completion.is_chat)
        body = self.writer.first_chunk() + self.writer.token_chunk(text)
        body += self.writer.last_chunks(tokens, finish)
        event_headers = (*EVENT_STREAM, *success_headers(self.call.request))
        reply = HttpResponse(200, body, (*event_headers, REPEAT_HEADER))
        return reply.start(start_response)


def read_whole(body: bytes, is_chat: bool) -> tuple[str, int, str]:
    """Return text, token count and finish reason of a kept whole answer."""
    parsed = msgspec.json.decode(body)
    choice = parsed["choices"][0]
    text = choice["message"]["content"] if is_chat else choice["text"]
    return text, parsed["usage"]["completion_tokens"], choice["finish_reason"]
