"""Answers to callers: completions, stream chunks and errors."""

import math
import time
from dataclasses import dataclass

import msgspec

from chervilstall.errors import ChervilstallError, ErrorKind, ExecutionState
from chervilstall.gateway.parsing import CompletionRequest
from chervilstall.ids import RequestId
from chervilstall.wsgi import JSON_TYPE, HttpResponse

REQUEST_ID_HEADER = "X-Request-Id"
RAN_HEADER = "Chervilstall-Ran"
STREAM_END_EVENT = b"data: [DONE]\n\n"
CHARS_PER_PROMPT_TOKEN = 4
ERROR_KINDS_BY_STATUS = {
    400: ErrorKind.BAD_REQUEST,
    500: ErrorKind.INTERNAL,
    408: ErrorKind.REQUEST_TIMEOUT,
    413: ErrorKind.BODY_TOO_LARGE,
    414: ErrorKind.HEADERS_TOO_LARGE,
    431: ErrorKind.HEADERS_TOO_LARGE,
}


class ErrorBody(msgspec.Struct, frozen=True):
    """The API's own error shape, with what is known about execution."""

    message: str
    type: str
    code: str
    param: str | None
    ran: str
    request: str


class ErrorEnvelope(msgspec.Struct, frozen=True):
    """An error as callers receive it."""

    error: ErrorBody


def error_envelope(error: ChervilstallError, request: str) -> ErrorEnvelope:
    """Return the body of an error answer."""
    answer = error.response
    family = "invalid_request_error" if answer.status < 500 else "server_error"
    body = ErrorBody(
        error.message, family, error.kind.value, None, answer.execution.value, request
    )
    return ErrorEnvelope(body)


def error_response(error: ChervilstallError, request: str) -> HttpResponse:
    """Return the HTTP answer of an error."""
    answer = error.response
    headers = [
        JSON_TYPE,
        (RAN_HEADER, answer.execution.value),
        (REQUEST_ID_HEADER, request),
    ]
    if answer.is_retryable:
        headers.append(("Retry-After", str(max(1, math.ceil(error.retry_after_s)))))
    else:
        headers.append(("X-Should-Retry", "false"))
    body = msgspec.json.encode(error_envelope(error, request))
    return HttpResponse(answer.status, body, tuple(headers))


def bad_request_response(status: int) -> HttpResponse:
    """Return the answer to a request that the server itself refused or failed."""
    kind = ERROR_KINDS_BY_STATUS.get(status, ErrorKind.INTERNAL)
    is_internal = kind is ErrorKind.INTERNAL
    message = "an internal failure" if is_internal else "the request is malformed"
    return error_response(ChervilstallError(kind, message), "")


def error_event(error: ChervilstallError, request: str) -> bytes:
    """Return the last event of a stream that could not be completed."""
    return _sse_event(msgspec.json.encode(error_envelope(error, request)))


def _sse_event(data: bytes) -> bytes:
    return b"data: " + data + b"\n\n"


@dataclass
class CompletionEncoder:
    """Builds the answer to one completion, whole or in chunks.

    The part of a chunk that does not change is encoded once, so that a token costs
    one small encoding and one write.
    """

    request_id: RequestId
    completion: CompletionRequest

    def __post_init__(self) -> None:
        self._created_s = int(time.time())
        self._prefix, self._suffix = self._chunk_frame()

    def _head(self, kind: str) -> dict[str, object]:
        return {
            "id": f"cmpl-{self.request_id}",
            "object": kind,
            "created": self._created_s,
            "model": self.completion.model,
        }

    def _chunk_frame(self) -> tuple[bytes, bytes]:
        mark = "\x00"
        choice: dict[str, object] = {"index": 0, "finish_reason": None}
        if self.completion.is_chat:
            choice["delta"] = {"content": mark}
            head = self._head("chat.completion.chunk")
        else:
            choice["text"] = mark
            head = self._head("text_completion")
        head["choices"] = [choice]
        whole = msgspec.json.encode(head)
        before, _, after = whole.partition(msgspec.json.encode(mark))
        return b"data: " + before, after + b"\n\n"

    def first_chunk(self) -> bytes:
        """Return the chunk that opens a chat stream; empty for text."""
        if not self.completion.is_chat:
            return b""
        head = self._head("chat.completion.chunk")
        delta = {"role": "assistant", "content": ""}
        head["choices"] = [{"index": 0, "delta": delta, "finish_reason": None}]
        return _sse_event(msgspec.json.encode(head))

    def token_chunk(self, token: str) -> bytes:
        """Return the chunk of one token."""
        return self._prefix + msgspec.json.encode(token) + self._suffix

    def last_chunks(self, tokens: int, finish: str) -> bytes:
        """Return everything after the last token."""
        if self.completion.is_chat:
            head = self._head("chat.completion.chunk")
            head["choices"] = [{"index": 0, "delta": {}, "finish_reason": finish}]
        else:
            head = self._head("text_completion")
            head["choices"] = [{"index": 0, "text": "", "finish_reason": finish}]
        parts = [_sse_event(msgspec.json.encode(head))]
        if self.completion.includes_usage:
            head["choices"] = []
            head["usage"] = self._usage(tokens)
            parts.append(_sse_event(msgspec.json.encode(head)))
        parts.append(STREAM_END_EVENT)
        return b"".join(parts)

    def _usage(self, tokens: int) -> dict[str, int]:
        prompt_tokens = math.ceil(len(self.completion.prompt) / CHARS_PER_PROMPT_TOKEN)
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        }

    def full_body(self, text: str, tokens: int, finish: str) -> bytes:
        """Return the body of an answer that is not streamed."""
        choice: dict[str, object] = {"index": 0, "finish_reason": finish}
        if self.completion.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
            head = self._head("chat.completion")
        else:
            choice["text"] = text
            head = self._head("text_completion")
        head["choices"] = [choice]
        head["usage"] = self._usage(tokens)
        return msgspec.json.encode(head)


def success_headers(request: RequestId) -> tuple[tuple[str, str], ...]:
    """Return the headers of every successful answer of ours."""
    return ((REQUEST_ID_HEADER, request), (RAN_HEADER, ExecutionState.YES.value))
