"""Client of the platform's key-value store."""

import base64
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from chervilstall.platform import protocol
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.node import StoreAddress
from chervilstall.store.calls import (
    HTTP_NOT_FOUND,
    call_store,
    decode_body,
    require_ok,
)
from chervilstall.store.contract import ResponseTooLarge, StoreFailed
from chervilstall.target.calls import Call, CallResponse, LongBody
from chervilstall.target.connection import JSON_HEADERS
from chervilstall.target.response import UNREAD_MAX_BYTES
from chervilstall.telemetry.events import EventLog

log = EventLog("store")

T = TypeVar("T")
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
STALL_TIMEOUT_S = 2.0
"""Longest wait for the next piece of a long response."""

LIST_MAX_BYTES = 64_000_000
"""Size of a list on the wire, all pages together."""

ERA_DIGITS_MAX = 18
"""Digits of an era that are read; a longer number is no count of returns."""

HTTP_HISTORY_GONE = 410
HTTP_PRECONDITION_FAILED = 412


class HistoryGone(StoreFailed):
    """The store no longer keeps the changes since the requested revision."""


class EraChanged(HistoryGone):
    """The store came back from an earlier copy of its content.

    Revisions and leases of before mean nothing any more.
    """


class ExpectationFailed(StoreFailed):
    """A write was not carried out, as a key has another revision than expected."""


class LeaseEnded(StoreFailed):
    """The lease that a call names doesn't exist any more."""


class _Item(msgspec.Struct, rename="kebab"):
    key: str
    value: str = ""
    revision: int = 0
    lease: int = 0
    deleted: bool = False


class _RangeResponse(msgspec.Struct, rename="kebab"):
    items: list[_Item] = []
    has_more: bool = False
    at: int = 0


class _WatchResponse(msgspec.Struct):
    at: int
    events: list[_Item] = []


class _KeyResponse(_Item):
    at: int = 0


class _Missing(msgspec.Struct):
    at: int = 0


class _WriteResponse(msgspec.Struct):
    revision: int


class _LeaseResponse(msgspec.Struct, rename="kebab"):
    ttl_ms: float
    lease: int = 0


@dataclass(frozen=True)
class Entry:
    """A key of the store at a revision; `value` is None if the key was deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True)
class EntryBatch:
    """Entries and the revision of the store up to which they are complete.

    `sent_at_s` is the monotonic time of the call, and `responded_at_s` that at which
    its response began. `size_bytes` is the size of the response on the wire.
    """

    entries: tuple[Entry, ...]
    revision: int
    sent_at_s: float
    responded_at_s: float
    size_bytes: int


@dataclass(frozen=True)
class Lease:
    """A lease of the store and its time to live after each renewal."""

    lease_id: int
    ttl_s: float


class PlatformStore:
    """Client of the store that opens a new connection for each call.

    That way a connection whose peer stopped responding affects one call only. Every
    method raises StoreRefused if the store has certainly not executed the call, and
    StoreFailed if that is not known.

    `era` counts how often the store came back from an earlier copy of its content, as
    its responses tell, from any number on; it is 0 while none has told. `on_new_era` is
    called when it grows after that. The response that shows it, and any that still
    comes from an earlier era, raise EraChanged.

    `entries_received_at_s` is the monotonic time at which a part of a watch, a listing
    or an entry has last arrived.
    """

    def __init__(self, settings: StoreAddress) -> None:
        self.settings = settings
        self.calls = 0
        self.era = 0
        self._is_era_known = False
        self.on_new_era: Callable[[], None] = lambda: None
        self.entries_received_at_s = float("-inf")
        self._entries_body = LongBody(STALL_TIMEOUT_S, self._note_received)
        self._connections = TargetSettings(connect_timeout_s=CONNECT_TIMEOUT_S)

    def list_entries(self, prefix: str) -> EntryBatch:
        """Return the entries whose keys start with a prefix.

        The revision is that of the first page. Raises StoreFailed for a page that ends
        where the one before ended, and ResponseTooLarge for more than LIST_MAX_BYTES.
        """
        found: list[Entry] = []
        first: CallResponse | None = None
        size_bytes = revision = 0
        query = {"prefix": prefix}
        while True:
            response = self._get_entries("/chervilstall/kv-range", query)
            page = _decode(response, _RangeResponse)
            # The pages are no consistent snapshot, so the revision of the first page
            # counts: a watch from there returns all changes made during the reading.
            revision = revision or page.at
            first = first or response
            size_bytes += len(response.body)
            found.extend(_entry(item) for item in page.items)
            if not page.has_more or not page.items:
                break
            last_key = page.items[-1].key
            if last_key == query.get("after"):
                raise StoreFailed(f"the page after {last_key[:40]!r} ends with it, too")
            if size_bytes > LIST_MAX_BYTES:
                raise ResponseTooLarge(f"the list has more than {LIST_MAX_BYTES} bytes")
            query["after"] = last_key
        return EntryBatch(
            tuple(found), revision, first.sent_at_s, first.responded_at_s, size_bytes
        )

    def recent_revision(self, key: str, timeout_s: float) -> int:
        """Return a revision of the store that is at most a few seconds old.

        The call is cheap: the response holds one key at most, and the store may serve
        it from a replica that lags behind.
        """
        query = {"prefix": key, "allow-stale": 1}
        response = self._get("/chervilstall/kv-range", query, timeout_s)
        return _decode(response, _RangeResponse).at

    def get(self, key: str) -> Entry | None:
        """Return a key's entry, or None if it is absent."""
        path = f"/chervilstall/kv-key?{urlencode({'key': key})}"
        response = self._call("GET", path, None)
        if response.status == HTTP_NOT_FOUND:
            return None
        return _entry(_decode(response, _Item))

    def read_entry(self, key: str) -> EntryBatch:
        """Return a key's entry, if it is there, and the revision of the store."""
        response = self._get_entries("/chervilstall/kv-key", {"key": key})
        found: tuple[Entry, ...] = ()
        if response.status == HTTP_NOT_FOUND:
            revision = decode_body(response.body, _Missing).at
        else:
            item = _decode(response, _KeyResponse)
            found = (_entry(item),)
            revision = item.at
        return EntryBatch(
            found,
            revision,
            response.sent_at_s,
            response.responded_at_s,
            len(response.body),
        )

    def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        size_max_bytes: int = UNREAD_MAX_BYTES,
    ) -> EntryBatch:
        """Return changes after a revision, waiting up to `wait_s` for the first.

        Raises HistoryGone if the store no longer keeps them, and ResponseTooLarge for a
        response of more than `size_max_bytes`.
        """
        query = {"prefix": prefix, "after": after, "wait-ms": int(wait_s * 1e3)}
        path = "/chervilstall/kv-watch"
        timeout_s = CALL_TIMEOUT_S + wait_s
        response = self._get_entries(path, query, timeout_s, size_max_bytes)
        changes = _decode(response, _WatchResponse)
        return EntryBatch(
            tuple(_entry(item) for item in changes.events),
            changes.at,
            response.sent_at_s,
            response.responded_at_s,
            len(response.body),
        )

    def write(
        self, key: str, value: bytes, expected_revision: int | None, lease: int = 0
    ) -> int | None:
        """Write a key and return its revision, or None if the expectation failed.

        `expected_revision` 0 expects the key to be absent, None expects nothing. With
        `lease` the key is removed when that lease ends; raises LeaseEnded if it has.
        """
        expected: list[dict[str, object]] = []
        if expected_revision is not None:
            expected.append({"key": key, "revision": expected_revision})
        try:
            return self._write([_encode_write(key, value, lease)], expected)
        except ExpectationFailed:
            return None

    def _write(
        self, writes: list[dict[str, object]], expected: list[dict[str, object]]
    ) -> int:
        body = {"expected": expected, "writes": writes, "remove": []}
        response = self._call("POST", "/chervilstall/kv-txn", body)
        if response.status == HTTP_PRECONDITION_FAILED:
            raise ExpectationFailed("a key has another revision")
        if response.status == HTTP_NOT_FOUND:
            raise LeaseEnded("the lease of the write has ended")
        return _decode(response, _WriteResponse).revision

    def write_all(self, values: Mapping[str, bytes], lease: int) -> int:
        """Write keys in one call, and return their revision.

        They are removed when the lease ends. Raises LeaseEnded if it has.
        """
        writes = [_encode_write(key, value, lease) for key, value in values.items()]
        return self._write(writes, [])

    def remove(self, key: str) -> None:
        """Remove a key; it need not exist."""
        body = {"expected": [], "writes": [], "remove": [key]}
        _decode(self._call("POST", "/chervilstall/kv-txn", body), _WriteResponse)

    def open_lease(self, ttl_s: float) -> Lease:
        """Create a lease; the store may grant another time to live than `ttl_s`."""
        body = {"ttl-ms": int(ttl_s * 1e3)}
        response = _decode(
            self._call("POST", "/chervilstall/kv-lease", body), _LeaseResponse
        )
        return Lease(response.lease, response.ttl_ms / 1e3)

    def renew_lease(self, lease: Lease) -> None:
        """Renew a lease. Raises LeaseEnded if it has ended."""
        path = f"/chervilstall/kv-keep/{lease.lease_id}"
        response = self._call("POST", path, {})
        if response.status == HTTP_NOT_FOUND:
            raise LeaseEnded("the lease has ended")
        _decode(response, _LeaseResponse)

    def end_lease(self, lease: Lease) -> None:
        """End a lease and remove its keys."""
        path = f"/chervilstall/kv-lease-end/{lease.lease_id}"
        self._call("DELETE", path, None)

    def _get(
        self, path: str, query: Mapping[str, object], timeout_s: float = CALL_TIMEOUT_S
    ) -> CallResponse:
        return self._call("GET", f"{path}?{urlencode(query)}", None, timeout_s)

    def _get_entries(
        self,
        path: str,
        query: Mapping[str, object],
        timeout_s: float = CALL_TIMEOUT_S,
        size_max_bytes: int = UNREAD_MAX_BYTES,
    ) -> CallResponse:
        """Make a call whose response may take long to arrive."""
        call = Call(
            "GET",
            f"{path}?{urlencode(query)}",
            timeout_s,
            headers=JSON_HEADERS,
            body_max_bytes=size_max_bytes,
            long_body=self._entries_body,
        )
        return self._make(call)

    def _note_received(self) -> None:
        self.entries_received_at_s = time.monotonic()

    def _call(
        self, method: str, path: str, body: object, timeout_s: float = CALL_TIMEOUT_S
    ) -> CallResponse:
        content = b"" if body is None else msgspec.json.encode(body)
        return self._make(Call(method, path, timeout_s, content, JSON_HEADERS))

    def _make(self, call: Call) -> CallResponse:
        self.calls += 1
        response = call_store(self.settings.address, self._connections, call)
        self._check_era(response)
        return response

    def _check_era(self, response: CallResponse) -> None:
        text = response.headers.get(protocol.STORE_ERA.lower(), "")
        if not text.isdecimal() or len(text) > ERA_DIGITS_MAX:
            if text:
                log.warning("era of the store not readable", era=text[:40])
            return
        era = int(text)
        if not self._is_era_known:
            self._is_era_known, self.era = True, era
        if era == self.era:
            return
        if era > self.era:
            log.warning(
                "store came back from an earlier copy", era=era, before=self.era
            )
            self.era = era
            self.on_new_era()
        raise EraChanged("the store came back from an earlier copy")


def _encode_write(key: str, value: bytes, lease: int) -> dict[str, object]:
    return {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}


def _entry(item: _Item) -> Entry:
    if item.deleted:
        return Entry(item.key, None, item.revision)
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # A value that is not valid base64 counts as present and empty.
        value = b""
    return Entry(item.key, value, item.revision)


def _decode(response: CallResponse, kind: type[T]) -> T:
    if response.status == HTTP_HISTORY_GONE:
        raise HistoryGone("the store no longer keeps changes since that revision")
    require_ok(response)
    return decode_body(response.body, kind)
