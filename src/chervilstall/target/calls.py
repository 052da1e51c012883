"""Short HTTP calls, by default each over a connection of its own."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPSocketPoolResponse

from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.target.connection import single_use_client
from chervilstall.target.response import UNREAD_MAX_BYTES, BodyTooLarge

PIECE_BYTES = 16_384


@dataclass(frozen=True)
class CallResponse:
    """Response to a short call; `headers` are keyed by lower-case name.

    `sent_at_s` and `responded_at_s` are the monotonic times at which the call began and
    at which its status and headers were there. `has_trailing_bytes` says whether bytes
    that belong to no request came after it.
    """

    status: int
    body: bytes
    headers: dict[str, str]
    sent_at_s: float
    responded_at_s: float
    has_trailing_bytes: bool = False


@dataclass(frozen=True)
class LongBody:
    """How a body is read that may take longer than the wait for its response.

    `stall_timeout_s` bounds the wait for each piece of it, and `on_piece` is called
    after every piece.
    """

    stall_timeout_s: float
    on_piece: Callable[[], None] = lambda: None


@dataclass(frozen=True)
class Call:
    """A short call, in which the whole body of the response is read.

    `timeout_s` bounds the call as a whole or, with `long_body`, the time until status
    and headers of the response are there. Of its body at most `body_max_bytes` are
    taken.
    """

    method: str
    path: str
    timeout_s: float
    body: bytes = b""
    headers: dict[str, str] | None = None
    body_max_bytes: int = UNREAD_MAX_BYTES
    long_body: LongBody | None = None


def call_once(address: Address, settings: TargetSettings, call: Call) -> CallResponse:
    """Make a call over a connection of its own.

    Raises BodyTooLarge for a body that is too large, before it is read where its length
    is known, ConnectFailed where nothing was sent, and another OSError or
    HTTPParseError where no complete response arrived.
    """
    client = single_use_client(address, settings, call.timeout_s, call.body_max_bytes)
    try:
        return exchange(client, call)
    finally:
        client.close()


def exchange(client: HTTPClient, call: Call) -> CallResponse:
    """Make a call with a client, which the caller closes or keeps."""
    sent_at_s = time.monotonic()
    with gevent.Timeout(call.timeout_s, TimeoutError):
        response = client.request(
            call.method, call.path, body=call.body, headers=call.headers
        )
        responded_at_s = time.monotonic()
        if (response.content_length or 0) > call.body_max_bytes:
            raise BodyTooLarge(f"the body has {response.content_length} bytes")
        content = b"" if call.long_body is not None else response.read()
    if call.long_body is not None:
        content = _read_pieces(response, call.long_body, call.body_max_bytes)
    fields = {name.lower(): str(value) for name, value in response.headers}
    return CallResponse(
        response.status_code,
        content,
        fields,
        sent_at_s,
        responded_at_s,
        response._trailing_data_dropped,
    )


def _read_pieces(
    response: HTTPSocketPoolResponse, long_body: LongBody, size_max_bytes: int
) -> bytes:
    """Read a body whose length need not be known. Raises BodyTooLarge."""
    content = bytearray()
    while True:
        with gevent.Timeout(long_body.stall_timeout_s, TimeoutError):
            piece = response.read(PIECE_BYTES)
        long_body.on_piece()
        content += piece
        if len(content) > size_max_bytes:
            raise BodyTooLarge(f"the body has more than {size_max_bytes} bytes")
        if not piece:
            return bytes(content)
