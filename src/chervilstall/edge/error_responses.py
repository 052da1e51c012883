"""Error responses that the router makes itself."""

import msgspec

from chervilstall.decoding import decode_untrusted
from chervilstall.errors import (
    ERROR_RESPONSES,
    ChervilstallError,
    ErrorKind,
    ExecutionState,
)
from chervilstall.http_response import HttpResponse
from chervilstall.platform import protocol


class RouterErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response that the router itself makes."""

    error: str
    message: str


_decoder = msgspec.json.Decoder(RouterErrorBody)


def error_response(error: ChervilstallError, request: str = "") -> HttpResponse:
    """Return the response to an error, with Retry-After where a retry can help."""
    headers = [("Content-Type", "application/json")]
    if request:
        headers.append((protocol.REQUEST_ID, request))
    if error.response.is_retryable:
        headers.append((protocol.RETRY_AFTER, f"{error.retry_after_s:.2f}"))
    body = msgspec.json.encode(RouterErrorBody(error.kind.value, error.message))
    return HttpResponse(error.response.status, body, tuple(headers))


def is_router_refusal(body: bytes | bytearray) -> bool:
    """Return whether a router wrote a body, and by it the request has not run.

    Routers of any version write such bodies. An error that this version doesn't know
    promises nothing.
    """
    try:
        kind = ErrorKind(decode_untrusted(_decoder, bytes(body)).error)
    except ValueError:
        return False
    return ERROR_RESPONSES[kind].execution is ExecutionState.NO
