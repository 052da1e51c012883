"""Small stand-ins of the platform for the cases of the third review.

All of them run in one asyncio loop: the store, servers and clients. The routers are
started as processes of their own, with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "counter.example"
KEY = "key-of-depot"
TENANT = "depot"
HEAD_MAX = 1_000_000
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000,
    "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
    "config-apply-ms": 2000, "downgrade-slack-ms": 250, "max-skew-ms": 5000,
    "strict-revocation": False, "revoke-ms": 5000, "retry-budget-ratio": 0.2,
    "budget-window-s": 10, "retry-min-extra": 196, "recovery-s": 12,
    "event-delay-ms": 120, "retry-after-s": 0, "stall_ms": 2500,
    "fencing-enforced": False,
}
LIMITS = {
    "max-header-bytes": 16384, "max-body-bytes": 4194304,
    "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
}


def is_trouble():
    """Return whether the disruption is to be applied."""
    return os.environ.get("TROUBLE", "1") != "0"


def loopback_hosts(count):
    """Return loopback addresses that no other run uses, most likely."""
    net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
    return [f"{net}.{10 + index}" for index in range(count)]


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.file = self.path.open("w", buffering=1)
        self.started_at = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")

    def say(self, text):
        self(text)
        print(text, flush=True)


def parse_head(data):
    """Return the first line and the fields of a head, names in lower case."""
    lines = data.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.lower(), value.strip()))
    return lines[0], fields


async def read_head(reader):
    """Return the bytes of a head, empty at the end of the channel."""
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial.strip():
            raise ConnectionError("a head was cut off") from error
        return b""


async def read_chunks(reader):
    """Return a body in chunks."""
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise ConnectionError("a body was cut off")
        size = int(line.split(b";")[0].strip(), 16)
        if not size:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readline()


async def read_request_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Store:
    """The platform's store."""

    def __init__(self, host):
        self.host = host
        self.revision = 10
        self.items = {}
        self.leases = {}
        self.history = []
        self.changed = asyncio.Event()
        self.era = 1
        self.stale_s = 0.0
        self.lost_until = float("-inf")
        self.lost_share = 0.0
        self.answers_lost = 0
        self.revisions = []

    def lose_answers(self, for_s, share):
        """Lose a share of the answers for a time; channels return nothing further."""
        self.lost_share = share
        self.lost_until = time.monotonic() + for_s

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, 0, limit=HEAD_MAX)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{self.port}"
        self.sweeper = asyncio.create_task(self._sweep())

    def put(self, key, value, lease=0):
        self.revision += 1
        before = self.items.get(key)
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created-revision": before["created-revision"] if before else self.revision,
            "lease": lease,
        }
        self._add(dict(self.items[key]))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add({"key": key, "revision": self.revision, "deleted": True})

    def _add(self, event):
        self.history.append(event)
        self.revisions.append((time.monotonic(), self.revision))
        self.changed.set()
        self.changed = asyncio.Event()

    def put_config(self, config):
        self.put("op/config", json.dumps(config).encode())

    async def _sweep(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, until) in list(self.leases.items()):
                if until < now:
                    self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if not head:
                    break
                line, fields = parse_head(head)
                method, target, _ = line.split(" ")
                body = await read_request_body(reader, dict(fields))
                status, answer = await self._call(method, target, body)
                if (time.monotonic() < self.lost_until
                        and random.random() < self.lost_share):
                    self.answers_lost += 1
                    await asyncio.sleep(3600.0)
                content = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode() + content
                )
                await writer.drain()
        except (OSError, ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            return
        finally:
            writer.close()

    async def _call(self, method, target, body):
        parts = urlsplit(target)
        name, _, number = parts.path.removeprefix("/chervilstall/").partition("/")
        query = {key: values[0] for key, values in parse_qs(parts.query, True).items()}
        data = json.loads(body) if body else {}
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**item, "at": self.revision}
        if name == "kv-range":
            if query.get("allow-stale") == "1" and self.stale_s:
                return 200, self._stale_range(query.get("prefix", ""))
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
            keys = [k for k in keys if k > query.get("after", "")]
            page = keys[:500]
            return 200, {"items": [self.items[k] for k in page],
                         "has-more": len(keys) > len(page), "at": self.revision}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._txn(data)
        if name == "kv-lease":
            self.revision += 1
            ttl = max(1.0, data["ttl-ms"] / 1e3)
            self.leases[self.revision] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": self.revision, "ttl-ms": int(ttl * 1e3)}
        if name == "kv-keep":
            known = self.leases.get(int(number))
            if known is None:
                return 404, {}
            self.leases[int(number)] = (known[0], time.monotonic() + known[0])
            return 200, {"ttl-ms": int(known[0] * 1e3)}
        if name == "kv-lease-end":
            self._end(int(number))
            return 200, {}
        return 404, {}

    def _stale_range(self, prefix):
        """Return the content of some seconds ago."""
        moment = time.monotonic() - self.stale_s
        at = max((rev for when, rev in self.revisions if when <= moment), default=10)
        latest = {}
        for event in self.history:
            if event["revision"] <= at and event["key"].startswith(prefix):
                latest[event["key"]] = event
        items = [latest[key] for key in sorted(latest) if "deleted" not in latest[key]]
        return {"items": items[:500], "has-more": len(items) > 500, "at": at}

    async def _watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait-ms"]) / 1e3
        while True:
            events = [event for event in self.history
                      if event["revision"] > after
                      and event["key"].startswith(query.get("prefix", ""))]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def _txn(self, data):
        for row in data.get("expected") or ():
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for row in data.get("writes") or ():
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in data.get("writes") or ():
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in data.get("remove") or ():
            self.remove(key)
        return 200, {"revision": self.revision}


class Request:
    """A request as a server has read it."""

    def __init__(self, line, fields, body, writer):
        self.method, self.target, _ = line.split(" ")
        self.fields = dict(fields)
        self.body = body
        self.writer = writer
        self.id = self.fields.get("attempt-id", "")


class Server:
    """A server of a plain service. Each subclass decides what its requests get."""

    service = "lookups"
    boots = 0

    def __init__(self, record, store, host, zone, name=None):
        Server.boots += 1
        self.name = name or f"i-{Server.boots:04x}{random.randrange(16**6):06x}"
        self.born = int(time.time() * 1e3) + Server.boots
        self.record, self.store, self.host, self.zone = record, store, host, zone
        self.state = "ready"
        self.sequence = 0
        self.layers = None
        self.writers = set()
        self.runs = []
        self.port = 0
        self.beats = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=HEAD_MAX, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{self.port}"
        self.register()
        self.beats = asyncio.create_task(self._beat())

    def entry(self):
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "slots": 96, "state": self.state,
                 "cold-remaining-ms": 0, "sequence": self.sequence, "born": self.born}
        return entry

    def register(self):
        self.sequence += 1
        self.store.put(f"servers/{self.name}", json.dumps(self.entry()).encode())

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    def halt(self, reset=True):
        """End all channels and the listener at once."""
        self.server.close()
        if self.beats is not None:
            self.beats.cancel()
        for writer in list(self.writers):
            if reset:
                sock = writer.get_extra_info("socket")
                if sock is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                    b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if not head:
                    break
                line, fields = parse_head(head)
                body = await read_request_body(reader, dict(fields))
                request = Request(line, fields, body, writer)
                expected = request.fields.get("expect-instance", self.name)
                if expected != self.name:
                    self.send(request, 421, [("Instance-Id", self.name),
                                             ("Not-Executed", "1")], b"{}")
                elif request.target == "/chervilstall/report":
                    self.send(request, 200, [], json.dumps(self.report()).encode())
                elif request.target == "/chervilstall/order":
                    status = await self.order(json.loads(request.body))
                    self.send(request, status, [], b"{}")
                elif request.target == "/healthz":
                    self.send(request, 200, [("Instance-Id", self.name)], b"{}")
                else:
                    self.runs.append(request)
                    await self.run(request)
                await writer.drain()
        except (OSError, ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def report(self):
        return {"phase": "mixed", "models": [], "busy": False, "sequence": 0,
                "queued": 0, "active": 0, "kv-used-count": 0,
                "kv-total-count": 1_000_000, "handles": 0, "pace": 1.0, "stalled": []}

    async def order(self, order):
        return 400

    async def run(self, request):
        self.record(f"server {self.name} runs {request.id} {request.method} "
                    f"{request.target} body {len(request.body)} bytes")
        self.answer(request, f"answer to {request.id}".encode())

    def answer(self, request, body):
        self.send(request, 200, [("Attempt-Id", request.id),
                                 ("Server-Signature", f"s.{self.name}.{len(body)}")], body)

    def send(self, request, status, fields, body):
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields)
        request.writer.write(head.encode() + b"\r\n" + body)


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": HOST_NAME, "prefix": prefix, "type": kind,
            "service": service, "timeout-ms": 4000, "target-latency-ms": 300,
            "priority": 2, "max-attempts": 2, "public": False, "resumable": False,
            **more}


def config(routes, services, version=7, **more):
    return {"version": version, "routes": routes, "services": services,
            "limits": LIMITS, "tenants": [{"name": TENANT, "api-keys": [KEY]}], **more}


PLAIN_SERVICE = {"name": "lookups", "max-connections": 96, "health-path": "/healthz",
                 "protocol": "h1", "tls": False}


def deploy_command():
    with (ROOT / "deploy/system.toml").open("rb") as file:
        deploy = tomllib.load(file)
    (role,) = deploy["roles"].values()
    return role["run"].split(" ")


def free_ports(host, count):
    """Return the first of `count` ports in a row that are free at a host."""
    while True:
        first = random.randint(20_000, 30_000)
        sockets = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()


class Router:
    """A router process of the project, with the settings of a small deployment."""

    def __init__(self, record, store, host, zone, zones, folder, memory_mb=300):
        self.record, self.store, self.host, self.zone = record, store, host, zone
        first = free_ports(host, 24)
        self.frontend = (host, first)
        self.ready = (host, first + 1)
        name = f"edge-{zone}-{host.rpartition('.')[2]}"
        self.name = name
        settings = {
            "node-name": name, "role": "router", "machine-class": "edge",
            "serves": ["edge"], "ip": host, "zone": zone, "region": "sk-central",
            "zones": dict.fromkeys(zones, "sk-central"),
            "listen": {"frontend": f"{host}:{first}", "ready": f"{host}:{first + 1}"},
            "internal-ports": [first + 4, first + 19], "seeds": [], "bootstrap": True,
            "fault-counted": False,
            "limits": {"cpu-quota": 0.537, "cores": 2, "memory-mb": memory_mb,
                       "max-fds": 4200, "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat-ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "engine", "stream", "tenants", "platform", "layers"],
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": store.address, "form": "kv", "writes-per-s": 400,
                         "reads-per-s": 2000, "history-s": 20,
                         "value-bytes": 1048576, "ttl-min-ms": 1000},
        }
        self.settings = Path(folder) / f"{name}.json"
        self.settings.write_text(json.dumps(settings))
        self.log = (Path(folder) / f"{name}.log").open("ab")
        self.process = None

    def start(self):
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["CHERVILSTALL_NODE_FILE"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        self.process = subprocess.Popen(
            deploy_command(), cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.record(f"router {self.name} started")

    async def wait_ready(self, limit_s=20.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                answer = await asyncio.wait_for(
                    send_request(self.ready, b"GET /chervilstall/readyz HTTP/1.1\r\n"
                                 b"Host: x\r\nConnection: close\r\n\r\n"), 1.0)
                if answer.status == 200:
                    self.record(f"router {self.name} is ready")
                    return
            except (OSError, TimeoutError, ConnectionError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"router {self.name} did not become ready")

    def signal(self, number):
        self.record(f"router {self.name} gets signal {number}")
        self.process.send_signal(number)

    def memory_mb(self):
        """Return the resident memory of the process, None if it has ended."""
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return None

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Answer:
    """An answer as a client has read it."""

    def __init__(self, status, fields, body, is_whole):
        self.status, self.fields, self.body = status, dict(fields), body
        self.is_whole = is_whole


async def read_answer(reader):
    head = await read_head(reader)
    if not head:
        raise ConnectionError("closed without an answer")
    line, fields = parse_head(head)
    named = dict(fields)
    status = int(line.split(" ")[1])
    if named.get("transfer-encoding", "").lower() == "chunked":
        return Answer(status, fields, await read_chunks(reader), True)
    body = await reader.readexactly(int(named.get("content-length", "0")))
    return Answer(status, fields, body, True)


async def send_request(address, data):
    """Send bytes over a new channel and return the first answer."""
    reader, writer = await asyncio.open_connection(*address, limit=HEAD_MAX)
    try:
        writer.write(data)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


def request_id():
    return f"{random.randrange(16**16):016x}"


def request_bytes(method, target, number, body=b"", deadline_ms=4000, **fields):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST_NAME}", f"Attempt-Id: {number}",
             f"Deadline-Ms: {deadline_ms}", f"Credential: {KEY}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def run_case(folder, main):
    """Run a case within its time; exit with 1, 0 or 2."""
    record = Record(folder)
    record(f"trouble {'on' if is_trouble() else 'off'}")
    routers = []
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(asyncio.wait_for(main(record, routers, temporary), 112))
            code = 1 if broken else 0
        except BaseException as error:  # noqa: BLE001
            record.say(f"could not run: {error!r}")
        finally:
            for router in routers:
                router.end()
            for log in sorted(Path(temporary).glob("*.log")):
                if os.environ.get("KEEP_LOGS"):
                    (Path(folder) / log.name).write_bytes(log.read_bytes())
    record.say({0: "held", 1: "BROKEN", 2: "not run"}[code])
    sys.exit(code)
