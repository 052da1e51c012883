"""One call to a store over HTTP, and its failures in the store's own terms."""

from typing import TypeVar

import msgspec
from geventhttpclient.response import HTTPParseError

from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.store.contract import StoreFailed, StoreRefused
from chervilstall.target.connection import CallResponse, ConnectFailed, call_once

T = TypeVar("T")
HTTP_OK = 200
HTTP_ABSENT = 404
REFUSING_STATUSES = frozenset({429, 503})


def call_store(
    address: Address,
    settings: TargetSettings,
    timeout_s: float,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> CallResponse:
    """Make one call over a connection of its own.

    Raises StoreRefused where certainly nothing was done, and StoreFailed where that
    is not known. Statuses that do not refuse are the caller's to judge.
    """
    try:
        answer = call_once(address, settings, timeout_s, method, path, body, headers)
    except ConnectFailed as error:
        raise StoreRefused(f"no connection to the store: {error}") from error
    except (OSError, HTTPParseError) as error:
        raise StoreFailed(f"no answer from the store: {error!r}") from error
    if answer.status in REFUSING_STATUSES:
        raise StoreRefused(f"the store answered {answer.status}")
    return answer


def require_ok(answer: CallResponse) -> None:
    """Raise StoreFailed where the answer is no success."""
    if answer.status != HTTP_OK:
        raise StoreFailed(f"the store answered {answer.status}")


def decode_body(body: bytes, kind: type[T]) -> T:
    """Decode an answer's body. Raises StoreFailed where it is malformed."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StoreFailed(f"the store's answer is malformed: {error}") from error
