"""Stand-ins of the platform for the scripts of the second review: store and servers.

They follow PROTOCOL.md and behave like a sound platform, but for what a case changes.
Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

LAYERS = 4


class Store:
    """The platform's metadata store, in memory."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()

    def _note(self, key, item):
        self.history.append((key, item))
        del self.history[:-5000]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created-revision"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created-revision": created,
            "lease": lease,
        }
        self.items[key] = item
        self._note(key, item)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._note(key, {"key": key, "revision": self.revision, "deleted": True})

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (ttl, until) in list(self.leases.items()):
                if until < now:
                    self.end_lease(lease)

    async def call(self, method, path, query, body):
        """Return status and body of a call."""
        if path == "/chervilstall/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**item, "at": self.revision}
        if path == "/chervilstall/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[k] for k in keys[:500]]
            return 200, {"items": items, "has-more": len(keys) > 500, "at": self.revision}
        if path == "/chervilstall/kv-watch":
            until = time.monotonic() + min(int(query["wait-ms"]), 30_000) / 1e3
            after = int(query["after"])
            prefix = query.get("prefix", "")
            while True:
                changed, at = self.changed, self.revision
                events = [
                    item
                    for key, item in self.history
                    if item["revision"] > after and key.startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": at}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/chervilstall/kv-txn":
            for row in body.get("expected", []):
                found = self.items.get(row["key"])
                if (found["revision"] if found else 0) != row["revision"]:
                    keys = [r["key"] for r in body["expected"]]
                    return 412, {"items": [self.items[k] for k in keys if k in self.items]}
            for write in body.get("writes", []):
                if write.get("lease") and write["lease"] not in self.leases:
                    return 404, {}
            for write in body.get("writes", []):
                value = base64.b64decode(write["value"])
                self.put(write["key"], value, write.get("lease", 0))
            for key in body.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.revision}
        if path == "/chervilstall/kv-lease":
            self.next_lease += 1
            ttl = max(1000, body["ttl-ms"])
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1e3)
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        if path.startswith("/chervilstall/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1e3)
            return 200, {"ttl-ms": ttl}
        if path.startswith("/chervilstall/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}


async def read_message(reader):
    """Return method, target, headers (lower case) and body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    return method, target, headers, body


def answer(status, body=b"", headers=()):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Platform:
    """Store, operator and servers in one event loop. `log` takes one dict a line."""

    def __init__(self, log):
        self.store = Store()
        self.log = log
        self.tasks = []

    async def start_store(self, host):
        self.tasks.append(asyncio.ensure_future(self.store.expire()))
        server = await asyncio.start_server(self._serve_store, host, 0, limit=2**21)
        return server.sockets[0].getsockname()[1]

    async def _serve_store(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, target, headers, body = message
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                content = json.loads(body) if body else {}
                await asyncio.sleep(0.004)
                status, result = await self.store.call(
                    method, unquote(parts.path), query, content
                )
                fields = [("Content-Type", "application/json")]
                writer.write(answer(status, json.dumps(result).encode(), fields))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def configure(self, configuration):
        self.store.put("op/config", json.dumps(configuration).encode())


class Server:
    """One sound server. A case overrides `run`."""

    def __init__(self, platform, name, service, zone, is_model):
        self.platform = platform
        self.name, self.service, self.zone = name, service, zone
        self.is_model = is_model
        self.layers = None
        self.orders = 0
        self.born = int(time.time() * 1000)
        self.address = ""

    async def start(self, host):
        server = await asyncio.start_server(self._serve, host, 0, limit=2**21)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"
        self.register()

    def register(self):
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 96,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        if self.is_model:
            entry["type"] = "l4"
            entry["phase"] = "mixed"
            entry["models"] = [{"name": "m0", "version": 1, "adapters": []}]
            if self.layers:
                entry["layers"] = {"from": self.layers[0], "to": self.layers[1], "version": 1}
        key = f"servers/{self.name}"
        self.platform.store.put(key, json.dumps(entry).encode())

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, target, headers, body = message
                expected = headers.get("expect-instance", self.name)
                if expected != self.name:
                    writer.write(answer(421, b"", [("Instance-Id", self.name)]))
                elif target == "/chervilstall/report":
                    writer.write(answer(200, json.dumps(self.report()).encode()))
                elif target == "/chervilstall/order":
                    writer.write(self.order(json.loads(body)))
                elif target == "/healthz":
                    writer.write(answer(200, b"{}", [("Instance-Id", self.name)]))
                else:
                    request = headers.get("attempt-id", "")
                    self.platform.log(
                        {"at": "server", "server": self.name, "runs": request, "target": target,
                         "body_bytes": len(body)}
                    )
                    if not await self.run(target, headers, body, reader, writer):
                        break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def report(self):
        found = {"phase": "mixed", "busy": False, "sequence": self.orders, "pace": 1.0}
        found.update({"queued": 0, "active": 0, "kv-used-count": 0})
        found.update({"kv-total-count": 200_000, "handles": 0, "stalled": []})
        if self.layers:
            found["layers"] = {"from": self.layers[0], "to": self.layers[1], "version": 1}
        return found

    def order(self, body):
        if body["op"] != "place":
            return answer(404, b"{}")
        if body.get("expected", self.orders) != self.orders:
            return answer(409, b"{}")
        self.orders += 1
        asyncio.get_running_loop().call_later(0.2, self._placed, body["from"], body["to"])
        return answer(202, b"{}")

    def _placed(self, first, end):
        self.layers = (first, end)
        self.register()

    def signed(self, headers):
        request = headers.get("attempt-id", "")
        return [("Attempt-Id", request), ("Server-Signature", f"s.{self.name}.{request}")]

    async def run(self, target, headers, body, reader, writer):
        """Answer a request; return whether the channel stays open."""
        if not self.is_model:
            await asyncio.sleep(0.02)
            text = f"answer to {headers.get('attempt-id')}".encode()
            writer.write(answer(200, text, self.signed(headers)))
            return True
        await self.stream(headers, writer)
        return True

    def stream_head(self, headers):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{n}: {v}" for n, v in self.signed(headers)]
        lines += ["Transfer-Encoding: chunked", "", ""]
        return "\r\n".join(lines).encode()

    async def stream(self, headers, writer):
        events = int(headers["token-count"].split(",")[1])
        first = int(headers.get("last-event-id") or 0) + 1
        writer.write(self.stream_head(headers))
        for number in range(first, events + 1):
            await asyncio.sleep(0.02)
            event = f"id: {number}\ndata: token\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def engine():
    """Return the engine of a small model of which each server holds all layers."""
    return {
        "slots": 96,
        "kv-capacity-tokens": 50_000,
        "kv-bytes": 1_180_000,
        "stride": 2,
        "models": [{"name": "m0", "pace": 1.0, "load-time-s": 1.0}],
        "step_ms": 0.85,
        "read_per_s": 196_000.0,
        "loads_at_once": 6,
        "usual": {"prompt": 772, "answer": 174},
        "layers": LAYERS,
        "layer-mb": 1750.0,
        "activation-bytes": 59_000,
        "pipe-mbps": 11_000.0,
        "kinds": [{"name": "l4", "size-mb": 72_000.0, "pace": 1.0, "read-factor": 1.0}],
    }


def configuration(version=1):
    """Return a small configuration with a model, a lookup and a booking route."""
    def route(name, prefix, kind, service, **more):
        found = {"name": name, "host": "shop.example", "prefix": prefix, "type": kind}
        found.update({"service": service, "priority": 1, "public": False, "sticky": False})
        found.update({"timeout-ms": 2000, "target-latency-ms": 300, "max-attempts": 2})
        found.update(more)
        return found

    return {
        "version": version,
        "routes": [
            route(
                "draft", "/draft/", "streaming", "drafts", resumable=True, sticky=True,
                **{"timeout-ms": 20_000, "target-latency-ms": 500, "gap-target-ms": 200},
            ),
            route("lookup", "/lookup/", "idempotent", "counter"),
            route("book", "/book/", "non_idempotent", "counter", **{"max-attempts": 1}),
        ],
        "services": [
            {"name": "drafts", "health-path": "/healthz", "max-connections": 968,
             "protocol": "h1", "tls": False, "engine": engine()},
            {"name": "counter", "health-path": "/healthz", "max-connections": 96,
             "protocol": "h1", "tls": False},
        ],
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 4_194_304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15_000},
        "tenants": [{"name": "shops", "api-keys": ["key-1"], "priority": 1}],
    }
