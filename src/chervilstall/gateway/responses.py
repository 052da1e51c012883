"""Responses to callers: completions, stream chunks and errors."""

import math
import time
from dataclasses import dataclass

import msgspec

from chervilstall.errors import ChervilstallError, ErrorKind, ExecutionState
from chervilstall.gateway.parsing import CompletionRequest
from chervilstall.http_response import JSON_TYPE, HttpResponse
from chervilstall.ids import RequestId

REQUEST_ID_HEADER = "X-Request-Id"
RAN_HEADER = "Chervilstall-Ran"
STREAM_END_EVENT = b"data: [DONE]\n\n"
# The router has no tokenizer; it estimates the usage of a prompt from its length.
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
    """An error object of the completion API.

    `ran` and `request` extend it: whether the request was executed, and its id.
    """

    message: str
    type: str
    code: str
    param: str | None
    ran: str
    request: str


class ErrorEnvelope(msgspec.Struct, frozen=True):
    """Response body that carries an error."""

    error: ErrorBody


def error_envelope(error: ChervilstallError, request_id: str) -> ErrorEnvelope:
    """Return the response body of an error."""
    entry = error.response
    error_type = "invalid_request_error" if entry.status < 500 else "server_error"
    body = ErrorBody(
        error.message,
        error_type,
        error.kind.value,
        None,
        entry.execution.value,
        request_id,
    )
    return ErrorEnvelope(body)


def error_response(error: ChervilstallError, request_id: str) -> HttpResponse:
    """Return the HTTP response of an error."""
    entry = error.response
    headers = [
        JSON_TYPE,
        (RAN_HEADER, entry.execution.value),
        (REQUEST_ID_HEADER, request_id),
    ]
    if entry.is_retryable:
        headers.append(("Retry-After", str(max(1, math.ceil(error.retry_after_s)))))
    else:
        headers.append(("X-Should-Retry", "false"))
    body = msgspec.json.encode(error_envelope(error, request_id))
    return HttpResponse(entry.status, body, tuple(headers))


def bad_request_response(status: int) -> HttpResponse:
    """Return the response to a request that the HTTP server itself rejected.

    Any status outside the table is reported as an internal failure.
    """
    kind = ERROR_KINDS_BY_STATUS.get(status, ErrorKind.INTERNAL)
    is_internal = kind is ErrorKind.INTERNAL
    message = "an internal failure" if is_internal else "the request is malformed"
    return error_response(ChervilstallError(kind, message), "")


def error_event(error: ChervilstallError, request_id: str) -> bytes:
    """Return the final event of a stream that ends with an error."""
    return _sse_event(msgspec.json.encode(error_envelope(error, request_id)))


def _sse_event(data: bytes) -> bytes:
    return b"data: " + data + b"\n\n"


@dataclass
class CompletionEncoder:
    """Encodes the response of one completion, as one body or as stream chunks.

    The constant prefix and suffix of a chunk are encoded once, so that each token
    costs one small encoding and one write.
    """

    request_id: RequestId
    completion: CompletionRequest

    def __post_init__(self) -> None:
        self._created_s = int(time.time())
        self._prefix, self._suffix = self._chunk_frame()

    def _head(self, object_type: str) -> dict[str, object]:
        return {
            "id": f"cmpl-{self.request_id}",
            "object": object_type,
            "created": self._created_s,
            "model": self.completion.model,
        }

    def _chunk_frame(self) -> tuple[bytes, bytes]:
        placeholder = "\x00"
        choice: dict[str, object] = {"index": 0, "finish_reason": None}
        if self.completion.is_chat:
            choice["delta"] = {"content": placeholder}
            head = self._head("chat.completion.chunk")
        else:
            choice["text"] = placeholder
            head = self._head("text_completion")
        head["choices"] = [choice]
        encoded = msgspec.json.encode(head)
        prefix, _, suffix = encoded.partition(msgspec.json.encode(placeholder))
        return b"data: " + prefix, suffix + b"\n\n"

    def first_chunk(self) -> bytes:
        """Return the chunk that starts a chat stream; empty for a text completion."""
        if not self.completion.is_chat:
            return b""
        head = self._head("chat.completion.chunk")
        delta = {"role": "assistant", "content": ""}
        head["choices"] = [{"index": 0, "delta": delta, "finish_reason": None}]
        return _sse_event(msgspec.json.encode(head))

    def token_chunk(self, token: str) -> bytes:
        """Return the chunk of one token."""
        return self._prefix + msgspec.json.encode(token) + self._suffix

    def last_chunks(self, tokens: int, finish_reason: str) -> bytes:
        """Return the finish reason, the usage if asked for, and the end marker."""
        if self.completion.is_chat:
            head = self._head("chat.completion.chunk")
            head["choices"] = [
                {"index": 0, "delta": {}, "finish_reason": finish_reason}
            ]
        else:
            head = self._head("text_completion")
            head["choices"] = [{"index": 0, "text": "", "finish_reason": finish_reason}]
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

    def full_body(self, text: str, tokens: int, finish_reason: str) -> bytes:
        """Return the body of a response that is not streamed."""
        choice: dict[str, object] = {"index": 0, "finish_reason": finish_reason}
        if self.completion.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
            head = self._head("chat.completion")
        else:
            choice["text"] = text
            head = self._head("text_completion")
        head["choices"] = [choice]
        head["usage"] = self._usage(tokens)
        return msgspec.json.encode(head)


def success_headers(request_id: RequestId) -> tuple[tuple[str, str], ...]:
    """Return the headers that every successful response carries."""
    return ((REQUEST_ID_HEADER, request_id), (RAN_HEADER, ExecutionState.YES.value))
