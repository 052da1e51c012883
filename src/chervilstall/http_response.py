"""HTTP responses that a listener makes itself."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

StartResponse = Callable[..., Callable[[bytes], object]]

JSON_TYPE = ("Content-Type", "application/json")
STATUS_LINES = {
    200: "200 OK",
    201: "201 Created",
    204: "204 No Content",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    403: "403 Forbidden",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    408: "408 Request Timeout",
    409: "409 Conflict",
    413: "413 Content Too Large",
    421: "421 Misdirected Request",
    422: "422 Unprocessable Content",
    429: "429 Too Many Requests",
    431: "431 Request Header Fields Too Large",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}


@dataclass(frozen=True)
class HttpResponse:
    """A complete HTTP response. `headers` are those besides Content-Length."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = (JSON_TYPE,)

    def start(self, start_response: StartResponse) -> list[bytes]:
        """Pass status and headers to the server, and return the body."""
        length = ("Content-Length", str(len(self.body)))
        start_response(status_line(self.status), [*self.headers, length])
        return [self.body]


def status_line(status: int) -> str:
    """Return the status line text of an HTTP status code."""
    return STATUS_LINES.get(status, f"{status} Status")


def json_response(status: int, body: object) -> HttpResponse:
    """Return a response whose body is `body` encoded as JSON."""
    return HttpResponse(status, msgspec.json.encode(body))
