"""A stand-in of the platform's key-value store, in memory and over HTTP."""

import base64
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.event import Event

from chervilstall.settings.option import Address
from chervilstall.wsgi import (
    Environ,
    Server,
    StartResponse,
    json_response,
    read_body,
)

HISTORY_MAX = 1_000
SWEEP_S = 0.05
SILENCE_S = 60.0


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class _Lease:
    ttl_s: float
    ends_at_s: float


@dataclass
class PlatformStoreState:
    """Keys, leases and history.

    A `error_status` other than 0 answers every call; a silent store answers none,
    and watches that waited when it fell silent are never answered.
    """

    revision: int = 1
    items: dict[str, _Item] = field(default_factory=dict)
    leases: dict[int, _Lease] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    oldest: int = 0
    error_status: int = 0
    is_silent: bool = False
    delay_s: float = 0.0
    calls: list[str] = field(default_factory=list)
    changed: Event = field(default_factory=Event)
    watches_lost: int = 0

    def drop_watches(self) -> None:
        """Never answer the watches that wait now."""
        self.watches_lost += 1

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return its revision."""
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known is not None else self.revision
        self.items[key] = _Item(value, self.revision, created, lease)
        self._note({**self.describe(key)})
        return self.revision

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        del self.history[:-HISTORY_MAX]
        self.changed.set()
        self.changed.clear()

    def compact_history(self) -> None:
        """Drop the history; watches from the past are cut and refused."""
        self.history.clear()
        self.oldest = self.revision
        self.changed.set()
        self.changed.clear()

    def describe(self, key: str) -> dict[str, Any]:
        """Return a key as it goes over the wire."""
        item = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created-revision": item.created,
            "lease": item.lease,
        }

    def end_leases(self) -> None:
        """Remove the keys of leases that ran out."""
        now_s = time.monotonic()
        for number, lease in list(self.leases.items()):
            if lease.ends_at_s <= now_s:
                self.end_lease(number)

    def end_lease(self, number: int) -> None:
        """End one lease and remove its keys."""
        self.leases.pop(number, None)
        for key, item in list(self.items.items()):
            if item.lease == number:
                self.remove(key)


class PlatformStoreServer:
    """Serves the store on an address."""

    def __init__(self, address: Address) -> None:
        self.state = PlatformStoreState()
        self.server = Server(address, self)
        self._sweeper: gevent.Greenlet | None = None

    @property
    def address(self) -> Address:
        """Return the address that is served."""
        return self.server.bound_address

    def start(self) -> None:
        """Start serving."""
        self.server.start()
        self._sweeper = gevent.spawn(self._sweep)

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_S)
            self.state.end_leases()

    def stop(self) -> None:
        """Stop serving and cut every connection."""
        if self._sweeper is not None:
            self._sweeper.kill(block=False)
        self.server.kill_connections()

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
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
        status, body = self._answer(environ, path, query)
        return json_response(status, body).start(start_response)

    def _answer(
        self, environ: Environ, path: str, query: dict[str, str]
    ) -> tuple[int, object]:
        state = self.state
        name, _, number = path.partition("/")
        match name:
            case "kv-key":
                if query["key"] not in state.items:
                    return 404, {"at": state.revision}
                return 200, {**state.describe(query["key"]), "at": state.revision}
            case "kv-range":
                return 200, self._range(query)
            case "kv-watch":
                return self._watch(query)
            case "kv-txn":
                return self._transact(msgspec.json.decode(read_body(environ)))
            case "kv-lease":
                return self._open(msgspec.json.decode(read_body(environ)))
            case "kv-keep":
                return self._keep(int(number))
            case "kv-lease-end":
                state.end_lease(int(number))
                return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        keys = sorted(
            key for key in self.state.items if key.startswith(query["prefix"])
        )
        keys = [key for key in keys if key > query.get("after", "")]
        items = [self.state.describe(key) for key in keys]
        return {"items": items, "has-more": False, "at": self.state.revision}

    def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        state = self.state
        after = int(query["after"])
        watches_lost = state.watches_lost
        deadline_s = time.monotonic() + int(query["wait-ms"]) / 1e3
        while True:
            if after < state.oldest:
                return 410, {}
            events = [
                event
                for event in state.history
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = deadline_s - time.monotonic()
            if events or left_s <= 0.0:
                return 200, {"events": events, "at": state.revision}
            state.changed.wait(left_s)
            if state.is_silent:
                state.drop_watches()
            if state.watches_lost != watches_lost:
                gevent.sleep(SILENCE_S)

    def _transact(self, body: dict[str, Any]) -> tuple[int, object]:
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

    def _open(self, body: dict[str, Any]) -> tuple[int, object]:
        ttl_s = body["ttl-ms"] / 1e3
        self.state.revision += 1
        number = self.state.revision
        self.state.leases[number] = _Lease(ttl_s, time.monotonic() + ttl_s)
        return 200, {"lease": number, "ttl-ms": body["ttl-ms"]}

    def _keep(self, number: int) -> tuple[int, object]:
        lease = self.state.leases.get(number)
        if lease is None:
            return 404, {}
        lease.ends_at_s = time.monotonic() + lease.ttl_s
        return 200, {"ttl-ms": lease.ttl_s * 1e3}
