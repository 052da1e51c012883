"""Error responses that the router makes itself."""

import msgspec

from chervilstall.errors import ChervilstallError
from chervilstall.http_response import HttpResponse
from chervilstall.platform import protocol


class RouterErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response that the router itself makes."""

    error: str
    message: str


def error_response(error: ChervilstallError, request: str = "") -> HttpResponse:
    """Return the response to an error, with Retry-After where a retry can help."""
    headers = [("Content-Type", "application/json")]
    if request:
        headers.append((protocol.REQUEST_ID, request))
    if error.response.is_retryable:
        headers.append((protocol.RETRY_AFTER, f"{error.retry_after_s:.2f}"))
    body = msgspec.json.encode(RouterErrorBody(error.kind.value, error.message))
    return HttpResponse(error.response.status, body, tuple(headers))
