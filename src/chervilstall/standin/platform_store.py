"""In-memory stand-in for the platform's revisioned key-value store, over HTTP."""

import base64
import time
from collections.abc import Iterable
from copy import deepcopy
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.event import Event

from chervilstall.http_response import StartResponse, json_response
from chervilstall.settings.option import Address
from chervilstall.standin.shared_link import SharedLink
from chervilstall.wsgi import Environ, Server, read_body

HISTORY_MAX_EVENTS = 1_000
LEASE_SWEEP_INTERVAL_S = 0.05
SILENCE_S = 60.0
"""Sleep of a call that a silent store never answers in time."""


@dataclass
class _StoredKey:
    value: bytes
    revision: int
    created_revision: int
    lease: int


@dataclass
class _Lease:
    ttl_s: float
    ends_at_s: float


@dataclass(frozen=True)
class StoreCopy:
    """The content of a store at one moment."""

    revision: int
    items: dict[str, _StoredKey]
    leases: dict[int, _Lease]
    history: list[dict[str, Any]]


@dataclass
class PlatformStoreState:
    """Keys, leases and event history of the store, and its injected faults.

    `era` counts how often the store came back from a copy.

    A `error_status` other than 0 is the HTTP status that answers every call. While
    `is_silent`, no call is answered, and watches that were waiting are never answered,
    not even later. `delay_s` delays every call. Watches from a revision below
    `compacted_revision` are refused with 410. `calls` lists the path of each call.
    """

    revision: int = 1
    items: dict[str, _StoredKey] = field(default_factory=dict)
    leases: dict[int, _Lease] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    compacted_revision: int = 0
    error_status: int = 0
    is_silent: bool = False
    delay_s: float = 0.0
    calls: list[str] = field(default_factory=list)
    changed: Event = field(default_factory=Event)
    watch_drops: int = 0
    era: int = 1

    def take_copy(self) -> StoreCopy:
        """Return a copy of the content, from which `come_back` can start."""
        content = (self.items, self.leases, self.history)
        return StoreCopy(self.revision, *deepcopy(content))

    def come_back(self, copy: StoreCopy) -> None:
        """Lose everything since a copy was taken, and start the next era."""
        self.revision = copy.revision
        self.items, self.leases, self.history = deepcopy(
            (copy.items, copy.leases, copy.history)
        )
        self.era += 1
        self.changed.set()
        self.changed.clear()

    def drop_watches(self) -> None:
        """Leave the watches that are waiting now without an answer."""
        self.watch_drops += 1

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, attached to a lease unless 0, and return its revision."""
        self.revision += 1
        existing = self.items.get(key)
        created_revision = (
            existing.created_revision if existing is not None else self.revision
        )
        self.items[key] = _StoredKey(value, self.revision, created_revision, lease)
        self._append_event({**self.describe(key)})
        return self.revision

    def remove(self, key: str) -> None:
        """Delete a key, if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def _append_event(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        del self.history[:-HISTORY_MAX_EVENTS]
        self.changed.set()
        self.changed.clear()

    def compact_history(self) -> None:
        """Drop the event history; watches from earlier revisions then get 410."""
        self.history.clear()
        self.compacted_revision = self.revision
        self.changed.set()
        self.changed.clear()

    def describe(self, key: str) -> dict[str, Any]:
        """Return a key with its value and revisions as the wire format has it."""
        item = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created-revision": item.created_revision,
            "lease": item.lease,
        }

    def end_expired_leases(self) -> None:
        """End every lease that has expired."""
        now_s = time.monotonic()
        for lease_id, lease in list(self.leases.items()):
            if lease.ends_at_s <= now_s:
                self.end_lease(lease_id)

    def end_lease(self, lease_id: int) -> None:
        """End a lease and remove the keys attached to it."""
        self.leases.pop(lease_id, None)
        for key, item in list(self.items.items()):
            if item.lease == lease_id:
                self.remove(key)


class PlatformStoreServer:
    """Serves a store over HTTP, and ends its expired leases in the background.

    Responses take the time that they need on `link`, if one is set.
    """

    def __init__(self, address: Address) -> None:
        self.state = PlatformStoreState()
        self.link: SharedLink | None = None
        self.server = Server(address, self)
        self._lease_sweeper: gevent.Greenlet | None = None

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return self.server.bound_address

    def start(self) -> None:
        """Start listening and expiring leases."""
        self.server.start()
        self._lease_sweeper = gevent.spawn(self._sweep_leases)

    def _sweep_leases(self) -> None:
        while True:
            gevent.sleep(LEASE_SWEEP_INTERVAL_S)
            self.state.end_expired_leases()

    def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._lease_sweeper is not None:
            self._lease_sweeper.kill(block=False)
        self.server.kill_connections()

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one call, with the faults of the state applied first."""
        path = environ["PATH_INFO"].removeprefix("/chervilstall/")
        self.state.calls.append(path)
        if self.state.is_silent:
            gevent.sleep(SILENCE_S)
        gevent.sleep(self.state.delay_s)
        if self.state.error_status:
            reply = json_response(self.state.error_status, {})
            return reply.start(start_response)
        query = {
            name: values[0]
            for name, values in parse_qs(
                environ["QUERY_STRING"], keep_blank_values=True
            ).items()
        }
        status, body = self._handle_call(environ, path, query)
        reply = json_response(status, body)
        era_header = ("Store-Era", str(self.state.era))
        reply = replace(reply, headers=(*reply.headers, era_header))
        content = reply.start(start_response)
        return content if self.link is None else self.link.send(reply.body)

    def _handle_call(
        self, environ: Environ, path: str, query: dict[str, str]
    ) -> tuple[int, object]:
        state = self.state
        name, _, lease_id = path.partition("/")
        match name:
            case "kv-key":
                if query["key"] not in state.items:
                    return 404, {"at": state.revision}
                return 200, {**state.describe(query["key"]), "at": state.revision}
            case "kv-range":
                return 200, self._list_range(query)
            case "kv-watch":
                return self._watch(query)
            case "kv-txn":
                return self._run_transaction(msgspec.json.decode(read_body(environ)))
            case "kv-lease":
                return self._open_lease(msgspec.json.decode(read_body(environ)))
            case "kv-keep":
                return self._keep_lease(int(lease_id))
            case "kv-lease-end":
                state.end_lease(int(lease_id))
                return 200, {}
        return 404, {}

    def _list_range(self, query: dict[str, str]) -> dict[str, Any]:
        keys = sorted(
            key for key in self.state.items if key.startswith(query["prefix"])
        )
        keys = [key for key in keys if key > query.get("after", "")]
        items = [self.state.describe(key) for key in keys]
        return {"items": items, "has-more": False, "at": self.state.revision}

    def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        state = self.state
        after = int(query["after"])
        watch_drops = state.watch_drops
        deadline_s = time.monotonic() + int(query["wait-ms"]) / 1e3
        while True:
            if after < state.compacted_revision or after > state.revision:
                return 410, {}
            events = [
                event
                for event in state.history
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            remaining_s = deadline_s - time.monotonic()
            if events or remaining_s <= 0.0:
                return 200, {"events": events, "at": state.revision}
            state.changed.wait(remaining_s)
            if state.is_silent:
                state.drop_watches()
            if state.watch_drops != watch_drops:
                gevent.sleep(SILENCE_S)

    def _run_transaction(self, body: dict[str, Any]) -> tuple[int, object]:
        state = self.state
        for row in body.get("expected", ()):
            item = state.items.get(row["key"])
            if (item.revision if item is not None else 0) != row["revision"]:
                return 412, {"items": []}
        for row in body.get("writes", ()):
            lease = row.get("lease", 0)
            if lease and lease not in state.leases:
                return 404, {}
        for row in body.get("writes", ()):
            value = base64.b64decode(row["value"])
            state.put(row["key"], value, row.get("lease", 0))
        for key in body.get("remove", ()):
            state.remove(key)
        return 200, {"revision": state.revision}

    def _open_lease(self, body: dict[str, Any]) -> tuple[int, object]:
        ttl_s = body["ttl-ms"] / 1e3
        self.state.revision += 1
        lease_id = self.state.revision
        self.state.leases[lease_id] = _Lease(ttl_s, time.monotonic() + ttl_s)
        return 200, {"lease": lease_id, "ttl-ms": body["ttl-ms"]}

    def _keep_lease(self, lease_id: int) -> tuple[int, object]:
        lease = self.state.leases.get(lease_id)
        if lease is None:
            return 404, {}
        lease.ends_at_s = time.monotonic() + lease.ttl_s
        return 200, {"ttl-ms": lease.ttl_s * 1e3}
