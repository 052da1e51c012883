"""Parses and validates the requests of callers."""

import re
import time
from dataclasses import dataclass
from typing import Annotated, TypeVar, Union

import gevent
import msgspec

from chervilstall.admission.classes import default_deadline_s
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.process_limits.bodies import ArrivingBody, BodyEvicted
from chervilstall.process_limits.memory import Holding, MemoryShort
from chervilstall.settings.documents import RequestClass
from chervilstall.settings.processes import AdmissionSettings, ListenSettings
from chervilstall.wsgi import Environ

MAX_TOKENS_DEFAULT = 256
MAX_TOKENS_LIMIT = 32_768
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
DEADLINE_MAX_S = 3_600.0

Body = TypeVar("Body", "ChatBody", "TextBody")
TokenCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS_LIMIT)]


class TextPart(msgspec.Struct, frozen=True):
    """One part of a chat message's content; only text parts are supported."""

    type: str
    text: str


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat; the content may be a string, text parts or null."""

    role: str
    content: Union[str, list[TextPart], None] = None

    def text(self) -> str:
        """Return the content as one string."""
        if self.content is None:
            return ""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed response."""

    include_usage: bool = False


class ChatBody(msgspec.Struct, frozen=True):
    """Request body of a chat completion; other fields are ignored."""

    model: str
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: Annotated[int, msgspec.Meta(ge=1, le=1)] | None = None


class TextBody(msgspec.Struct, frozen=True):
    """Request body of a text completion; other fields are ignored."""

    model: str
    prompt: Union[str, Annotated[list[str], msgspec.Meta(min_length=1, max_length=1)]]
    max_tokens: TokenCount | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: Annotated[int, msgspec.Meta(ge=1, le=1)] | None = None


@dataclass(frozen=True)
class CompletionRequest:
    """A chat or text completion request in the form that both APIs share.

    `includes_usage` tells whether a streamed response ends with token counts.
    """

    is_chat: bool
    model: str
    prompt: str
    max_tokens: int
    is_streamed: bool
    includes_usage: bool


@dataclass(frozen=True)
class CallerOptions:
    """Options from request headers.

    `idempotency_key` is empty without a key. `is_first_attempt` is the caller's
    statement that it has not sent the key before. `deadline_s` is in monotonic
    seconds.
    """

    idempotency_key: str
    is_first_attempt: bool
    deadline_s: float | None

    def deadline_or_default_s(
        self,
        request_class: RequestClass,
        settings: AdmissionSettings,
        started_at_s: float,
    ) -> float:
        """Return the deadline of the caller, or that of the request's class."""
        if self.deadline_s is not None:
            return self.deadline_s
        return started_at_s + default_deadline_s(request_class, settings)


def bad_request_error(message: str) -> ChervilstallError:
    """Return an error of kind BAD_REQUEST."""
    return ChervilstallError(ErrorKind.BAD_REQUEST, message)


def read_caller_body(
    environ: Environ, settings: ListenSettings, holding: Holding
) -> bytes:
    """Read the request body, bounded in size and time, accounted for by `holding`.

    Raises BODY_TOO_LARGE, REQUEST_TIMEOUT, OVERLOADED or BAD_REQUEST.
    """
    length_text = environ.get("CONTENT_LENGTH") or ""
    if length_text and not length_text.isdigit():
        raise bad_request_error("Content-Length is not a number")
    if length_text and int(length_text) > settings.body_max_bytes:
        raise _body_too_large_error(settings)
    is_chunked = "HTTP_TRANSFER_ENCODING" in environ
    if not is_chunked and length_text in ("", "0"):
        return b""
    timeout = gevent.Timeout(settings.body_timeout_s)
    arriving = ArrivingBody(environ, holding, settings.body_max_bytes)
    try:
        with timeout:
            body = arriving.read()
    except gevent.Timeout as expired:
        if expired is not timeout:
            raise
        raise ChervilstallError(
            ErrorKind.REQUEST_TIMEOUT, "the body did not arrive in time"
        ) from expired
    except (BodyEvicted, MemoryShort) as error:
        raise ChervilstallError(
            ErrorKind.OVERLOADED, "not enough memory for the request body"
        ) from error
    except (OSError, ValueError) as error:
        raise bad_request_error("the body is malformed or cut off") from error
    finally:
        arriving.end()
    if len(body) > settings.body_max_bytes:
        raise _body_too_large_error(settings)
    if length_text and len(body) != int(length_text):
        raise bad_request_error("the body is shorter than Content-Length")
    return body


def _body_too_large_error(settings: ListenSettings) -> ChervilstallError:
    return ChervilstallError(
        ErrorKind.BODY_TOO_LARGE,
        f"the body is larger than {settings.body_max_bytes} bytes",
    )


def parse_chat(body: bytes) -> CompletionRequest:
    """Parse the body of a chat completion. Raises BAD_REQUEST.

    The prompt has one line `role: text` per message.
    """
    parsed = _decode(body, ChatBody)
    lines = [f"{message.role}: {message.text()}" for message in parsed.messages]
    max_tokens = parsed.max_completion_tokens or parsed.max_tokens
    return CompletionRequest(
        True,
        parsed.model,
        "\n".join(lines),
        max_tokens or MAX_TOKENS_DEFAULT,
        parsed.stream,
        bool(parsed.stream_options and parsed.stream_options.include_usage),
    )


def parse_text(body: bytes) -> CompletionRequest:
    """Parse the body of a text completion. Raises BAD_REQUEST."""
    parsed = _decode(body, TextBody)
    prompt = parsed.prompt if isinstance(parsed.prompt, str) else parsed.prompt[0]
    return CompletionRequest(
        False,
        parsed.model,
        prompt,
        parsed.max_tokens or MAX_TOKENS_DEFAULT,
        parsed.stream,
        bool(parsed.stream_options and parsed.stream_options.include_usage),
    )


def _decode(body: bytes, body_type: type[Body]) -> Body:
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise bad_request_error(str(error)) from error


def parse_caller_options(environ: Environ) -> CallerOptions:
    """Parse the idempotency and deadline headers. Raises BAD_REQUEST."""
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if key and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise bad_request_error("Idempotency-Key: 1 to 255 visible ASCII characters")
    attempt = environ.get("HTTP_IDEMPOTENCY_ATTEMPT", "")
    if attempt and not (attempt.isascii() and attempt.isdigit()):
        raise bad_request_error("Idempotency-Attempt: a number from 1 on")
    deadline_s = None
    deadline_text = environ.get("HTTP_CHERVILSTALL_DEADLINE_S", "")
    if deadline_text:
        deadline_s = _parse_deadline(deadline_text)
    return CallerOptions(key, attempt == "1", deadline_s)


def _parse_deadline(text: str) -> float:
    try:
        timeout_s = float(text)
    except ValueError as error:
        raise bad_request_error(
            "Chervilstall-Deadline-S: a number of seconds"
        ) from error
    if not 0.0 < timeout_s <= DEADLINE_MAX_S:
        raise bad_request_error(
            f"Chervilstall-Deadline-S: above 0, up to {DEADLINE_MAX_S:g}"
        )
    return time.monotonic() + timeout_s
