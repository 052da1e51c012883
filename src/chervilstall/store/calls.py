"""Single HTTP calls to a store, with failures mapped to store errors."""

from typing import TypeVar

import msgspec
from geventhttpclient.response import HTTPParseError

from chervilstall.decoding import decode_untrusted
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.store.contract import ResponseTooLarge, StoreFailed, StoreRefused
from chervilstall.target.calls import Call, CallResponse, call_once
from chervilstall.target.connection import ConnectFailed
from chervilstall.target.response import BodyTooLarge

T = TypeVar("T")
HTTP_OK = 200
HTTP_NOT_FOUND = 404
REFUSING_STATUSES = frozenset({429, 503})


def call_store(address: Address, settings: TargetSettings, call: Call) -> CallResponse:
    """Make a call over a new connection and return the response.

    Raises StoreRefused if the store has certainly not executed the call,
    ResponseTooLarge if the response is larger than the call allows, and StoreFailed if
    it is not known whether the call was executed. The caller interprets all statuses
    outside `REFUSING_STATUSES`.
    """
    try:
        response = call_once(address, settings, call)
    except BodyTooLarge as error:
        raise ResponseTooLarge(str(error)) from error
    except ConnectFailed as error:
        raise StoreRefused(f"cannot connect to the store: {error}") from error
    except (OSError, HTTPParseError) as error:
        raise StoreFailed(f"no response from the store: {error!r}") from error
    if response.status in REFUSING_STATUSES:
        raise StoreRefused(f"the store responded with status {response.status}")
    return response


def require_ok(response: CallResponse) -> None:
    """Raise StoreFailed unless the status of a response is 200."""
    if response.status != HTTP_OK:
        raise StoreFailed(f"the store responded with status {response.status}")


def decode_body(body: bytes, kind: type[T]) -> T:
    """Decode the JSON body of a response. Raises StoreFailed if it is malformed."""
    try:
        return decode_untrusted(msgspec.json.Decoder(kind), body)
    except ValueError as error:
        raise StoreFailed(f"malformed response from the store: {error}") from error
