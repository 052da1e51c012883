"""Stand-ins of the platform's store, servers and consumers, and a starter of machines.

Standard library only. All addresses are loopback addresses, all ports are free ones.
Every stand-in keeps to PROTOCOL.md; where that is silent it does the harmless thing.
"""

import base64
import copy
import http.client
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BEGAN_S = time.monotonic()


def now_s():
    """Return the seconds since the script began."""
    return time.monotonic() - BEGAN_S


class Record:
    """What was sent, answered and run, one line each, in record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()

    def line(self, text):
        with self._lock:
            self._file.write(f"{now_s():8.3f} {text}\n")
            self._file.flush()


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._open = set()

    def handle_error(self, request, client_address):
        """A peer that closes its connection is no error."""

    def process_request(self, request, client_address):
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self._open.discard(request)
        super().shutdown_request(request)

    def close_all(self):
        """Stop listening, and reset every channel."""
        self.shutdown()
        self.server_close()
        for each in list(self._open):
            try:
                each.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                each.shutdown(socket.SHUT_RDWR)
                each.close()
            except OSError:
                continue


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 65536

    def log_message(self, *arguments):
        """Log nothing."""

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, body=b"", headers=()):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def do_GET(self):
        self.server.owner.serve(self)

    do_POST = do_DELETE = do_GET


def start_server(owner, host=HOST, port=0):
    server = QuietServer((host, port), Handler)
    server.owner = owner
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """The platform's store: keys with revisions, leases, watches, and an era."""

    def __init__(self, record, first_era=1):
        self.record = record
        self.lock = threading.Condition()
        self.revision = 10
        self.items = {}
        self.leases = {}
        self.history = []
        self.era = first_era
        self.is_down = False
        self._server = start_server(self)
        threading.Thread(target=self._sweep, daemon=True).start()

    @property
    def address(self):
        return f"{HOST}:{self._server.server_port}"

    # What the operator and the servers do

    def put(self, key, value, lease=0):
        with self.lock:
            self._put(key, value, lease)

    def remove(self, key):
        with self.lock:
            self._remove(key)

    def _put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created-revision"] if key in self.items else 0
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created-revision": created or self.revision,
            "lease": lease,
        }
        self.history.append(dict(self.items[key]))
        self.lock.notify_all()
        return self.revision

    def _remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        event = {"key": key, "revision": self.revision, "deleted": True}
        self.history.append(event)
        self.lock.notify_all()

    # The drill: away for a moment, and back from a copy some seconds old

    def take_copy(self):
        with self.lock:
            return copy.deepcopy(
                (self.revision, self.items, self.leases, self.history)
            )

    def go_away(self):
        with self.lock:
            self.is_down = True
            self.lock.notify_all()

    def come_back(self, saved=None):
        with self.lock:
            if saved is not None:
                self.revision, self.items, self.leases, self.history = copy.deepcopy(
                    saved
                )
                self.era += 1
            self.is_down = False
            self.lock.notify_all()

    def _sweep(self):
        while True:
            time.sleep(0.05)
            with self.lock:
                if self.is_down:
                    continue
                for lease_id, lease in list(self.leases.items()):
                    if lease["ends"] < time.monotonic():
                        self._end_lease(lease_id)

    def _end_lease(self, lease_id):
        self.leases.pop(lease_id, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease_id:
                self._remove(key)

    # Calls

    def serve(self, call):
        body = call.read_body()
        parts = urlsplit(call.path)
        query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
        name, _, lease_id = parts.path.removeprefix("/chervilstall/").partition("/")
        with self.lock:
            if self.is_down:
                status, answer = 503, {}
            else:
                status, answer = self._handle(name, lease_id, query, body)
            era = str(self.era)
        call.reply(status, answer, [("Store-Era", era)])

    def _handle(self, name, lease_id, query, body):
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**item, "at": self.revision}
        if name == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]))
            keys = [k for k in keys if k > query.get("after", "")]
            found = [self.items[k] for k in keys]
            return 200, {"items": found, "has-more": False, "at": self.revision}
        if name == "kv-watch":
            return self._watch(query)
        if name == "kv-txn":
            return self._transact(json.loads(body))
        if name == "kv-lease":
            ttl_ms = json.loads(body)["ttl-ms"]
            self.revision += 1
            self.leases[self.revision] = {
                "ttl": ttl_ms / 1e3,
                "ends": time.monotonic() + ttl_ms / 1e3,
            }
            return 200, {"lease": self.revision, "ttl-ms": ttl_ms}
        if name == "kv-keep":
            lease = self.leases.get(int(lease_id))
            if lease is None:
                return 404, {}
            lease["ends"] = time.monotonic() + lease["ttl"]
            return 200, {"ttl-ms": lease["ttl"] * 1e3}
        if name == "kv-lease-end":
            self._end_lease(int(lease_id))
            return 200, {}
        return 404, {}

    def _watch(self, query):
        after = int(query["after"])
        until_s = time.monotonic() + int(query["wait-ms"]) / 1e3
        era = self.era
        while True:
            if self.is_down:
                return 503, {}
            if after > self.revision or era != self.era:
                return 410, {}
            events = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(query["prefix"])
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            self.lock.wait(left_s)

    def _transact(self, body):
        for row in body.get("expected", ()):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for row in body.get("writes", ()):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("writes", ()):
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", ()):
            self._remove(key)
        return 200, {"revision": self.revision}


class Server:
    """A server of a plain service or a model server that holds some layers."""

    def __init__(self, record, store, name, service, zone, **options):
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.layers = options.get("layers")
        self.kind = options.get("kind", "")
        self.work_s = options.get("work_s", 0.03)
        self.event_s = options.get("event_s", 0.02)
        self.size_mb = options.get("size_mb", 0.0)
        self.layer_mb = options.get("layer_mb", 0.0)
        self.load_s = options.get("load_s", 0.0)
        self.all_layers = options.get("all_layers", 8)
        self.loading_until_s = 0.0
        self.has_crashed = False
        self.is_gone = False
        self.state = "ready"
        self.overfull_orders = []
        self.born = int(time.time() * 1e3)
        self.is_leaving = False
        self.arrivals = []
        self.orders = 0
        self.sequence = 0
        self._http = start_server(self, port=options.get("port", 0))
        self.port = self._http.server_port

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def crash(self):
        """Go down: every channel is reset and nothing listens any more."""
        self.has_crashed = True
        self.record.line(f"{self.name} crashes")
        self._http.close_all()

    def entry(self, state="ready"):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": 1,
            "slots": 96,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.kind:
            entry["type"] = self.kind
            entry["phase"] = "mixed"
            entry["models"] = [{"name": "m0", "version": 1, "adapters": []}]
        if self.layers:
            first, end = self.layers
            entry["layers"] = {"from": first, "to": end, "version": 1}
        return json.dumps(entry).encode()

    def register(self, state="ready"):
        self.state = state
        self.store.put(f"servers/{self.name}", self.entry(state))
        self.record.line(f"entry {self.name} {state}")

    def start_again(self, after_s):
        """Start again at the same address and under the same id, empty."""
        time.sleep(after_s)
        self.layers = None
        self.orders = 0
        self.loading_until_s = 0.0
        self.born = int(time.time() * 1e3)
        self._http = start_server(self, port=self.port)
        self.has_crashed = False
        self.register()

    def start_pings(self, period_s):
        """Write the entry again and again, as long as this server is there."""
        def ping():
            while not self.has_crashed:
                time.sleep(period_s)
                with self.store.lock:
                    key = f"servers/{self.name}"
                    if not self.store.is_down and not self.is_gone:
                        self.store._put(key, self.entry(self.state))
        threading.Thread(target=ping, daemon=True).start()

    def unregister(self):
        self.store.remove(f"servers/{self.name}")
        self.record.line(f"entry {self.name} removed")

    def serve(self, call):
        body = call.read_body()
        leaving = [("Server-Leaving", "1")] if self.is_leaving else []
        if call.path == "/chervilstall/report":
            return call.reply(200, self._report(), leaving)
        if call.path == "/chervilstall/order":
            return self._order(call, json.loads(body), leaving)
        if call.path == "/healthz":
            status = 503 if self.is_leaving else 200
            return call.reply(status, b"", [("Instance-Id", self.name), *leaving])
        attempt = call.headers.get("Attempt-Id", "")
        self.arrivals.append((now_s(), attempt))
        if call.headers.get("Expect-Instance", self.name) != self.name:
            return call.reply(421, b"", [("Not-Executed", "1"), ("Attempt-Id", attempt)])
        self.record.line(f"run {attempt} at {self.name}")
        head = [
            ("Attempt-Id", attempt),
            ("Server-Signature", f"{self.name}.{attempt}"),
        ]
        if call.headers.get("Hop-Count"):
            return self._stream(call, head)
        time.sleep(self.work_s)
        leaving = [("Server-Leaving", "1")] if self.is_leaving else []
        call.reply(200, f"answer to {attempt} by {self.name}".encode(), head + leaving)
        return None

    def _stream(self, call, head):
        leaving = [("Server-Leaving", "1")] if self.is_leaving else []
        count = int(call.headers["Token-Count"].split(",")[1])
        call.send_response_only(200)
        for name, value in [*head, *leaving, ("Content-Type", "text/event-stream")]:
            call.send_header(name, value)
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        try:
            for number in range(int(call.headers.get("Last-Event-Id", 0)) + 1, count + 1):
                time.sleep(self.event_s)
                event = f"id: {number}\ndata: {self.name}\n\n".encode()
                call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                call.wfile.flush()
            call.wfile.write(b"0\r\n\r\n")
            call.wfile.flush()
        except OSError:
            call.close_connection = True

    def _report(self):
        first, end = self.layers or (0, 0)
        return {
            "phase": "mixed",
            "models": [{"name": "m0", "version": 1, "adapters": []}],
            "type": self.kind,
            "busy": time.monotonic() < self.loading_until_s,
            "sequence": self.orders,
            "queued": 0,
            "active": 0,
            "kv-used-count": 0,
            "kv-total-count": 100_000,
            "handles": 0,
            "pace": 1.0,
            "layers": {"from": first, "to": end, "version": 1},
        }

    def _order(self, call, order, leaving):
        expected = call.headers.get("Expect-Instance", self.name)
        if expected != self.name:
            return call.reply(421, {}, [("At-Server", self.address), *leaving])
        if order.get("expected", self.orders) != self.orders:
            return call.reply(409, {}, leaving)
        if order["op"] != "place":
            return call.reply(404, {}, leaving)
        if time.monotonic() < self.loading_until_s:
            return call.reply(409, {}, leaving)
        first, end = order["from"], order["to"]
        needed_mb = (end - first) * self.layer_mb
        self.record.line(
            f"order {self.name} ({self.service}, {self.kind}) {first}-{end}: "
            f"{needed_mb:.0f} of {self.size_mb:.0f} MB"
        )
        self.orders += 1
        load_s = self.load_s * (end - first) / self.all_layers
        self.loading_until_s = time.monotonic() + load_s
        call.reply(202, {}, leaving)
        if needed_mb > self.size_mb:
            self.overfull_orders.append((now_s(), first, end))
            threading.Thread(target=self.crash, daemon=True).start()
            return None
        threading.Timer(load_s, self._finish_load, (first, end)).start()
        return None

    def _finish_load(self, first, end):
        if not self.has_crashed:
            self.layers = (first, end)
            self.register("draining" if self.is_leaving else "ready")


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Machine:
    """One `edge` machine: a process of the deploy file's role, on its own address."""

    def __init__(self, number, zone, store_address, folder, zones):
        self.name = f"edge-{zone}-{number}"
        pid = os.getpid()
        self.host = f"127.{pid // 250 % 250 + 1}.{pid % 250 + 1}.{number}"
        self.frontend = free_port(self.host)
        self.ready = free_port(self.host)
        first = free_port(self.host)
        settings = {
            "node-name": self.name,
            "role": "router",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": zone,
            "region": "r",
            "zones": {each: "r" for each in zones},
            "listen": {
                "frontend": f"{self.host}:{self.frontend}",
                "ready": f"{self.host}:{self.ready}",
            },
            "internal-ports": [first, first + 1],
            "seeds": [],
            "bootstrap": True,
            "heartbeat-ms": 1200,
            "limits": {"cpu-quota": 0.5, "cores": 2, "memory-mb": 300,
                       "max-fds": 4200, "link-mbps": 1000.0},
            "bounds": {
                "contact-ms": 3000, "drain-ms": 2000, "grace-s": 8,
                "config-apply-ms": 2000, "downgrade-slack-ms": 250,
                "retry-budget-ratio": 0.2, "budget-window-s": 10,
                "retry-min-extra": 196, "recovery-s": 12,
                "fencing-enforced": False,
            },
            "platform": {
                "address": store_address, "form": "kv", "writes-per-s": 400,
                "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576,
                "ttl-min-ms": 1000,
            },
        }
        path = Path(folder) / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": os.environ.get("DEPS") or str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CHERVILSTALL_NODE_FILE": str(path),
        }
        self.log_path = Path(folder) / f"{self.name}.log"
        self._log = open(self.log_path, "wb")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )

    def is_ready(self):
        try:
            link = http.client.HTTPConnection(self.host, self.ready, timeout=1)
            link.request("GET", "/chervilstall/readyz")
            return link.getresponse().status == 200
        except OSError:
            return False
        finally:
            link.close()

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


def wait_until(condition, within_s, what):
    until_s = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > until_s:
            print(f"could not run: {what}", file=sys.stderr)
            raise CannotRun(what)
        time.sleep(0.02)


class CannotRun(Exception):
    """The case could not be set up."""


class Answer:
    """What a consumer got."""

    def __init__(self, attempt, sent_at_s, status, headers, body):
        self.attempt, self.sent_at_s = attempt, sent_at_s
        self.status, self.headers, self.body = status, headers, body
        self.ended_at_s = now_s()


class Consumer:
    """Sends requests to one machine, each over a new channel."""

    def __init__(self, record, machine, key="key-1"):
        self.record, self.machine, self.key = record, machine, key

    def send(self, attempt, path, method="POST", body=b"", wait_s=5.0, **fields):
        """Send one request; return its answer, status 0 if there was none."""
        headers = {
            "Host": "counter.example",
            "Attempt-Id": attempt,
            "Deadline-Ms": str(int(wait_s * 1e3)),
            "Credential": self.key,
        }
        headers.update({k.replace("_", "-"): v for k, v in fields.items()})
        sent_at_s = now_s()
        link = http.client.HTTPConnection(
            self.machine.host, self.machine.frontend, timeout=wait_s
        )
        try:
            link.request(method, path, body=body, headers=headers)
            response = link.getresponse()
            content = response.read()
            found = {k.lower(): v for k, v in response.getheaders()}
            answer = Answer(attempt, sent_at_s, response.status, found, content)
        except (OSError, http.client.HTTPException) as error:
            answer = Answer(attempt, sent_at_s, 0, {}, repr(error).encode())
        finally:
            link.close()
        self.record.line(
            f"answer {attempt} {answer.status} sent={sent_at_s:.3f} "
            f"leaving={answer.headers.get('server-leaving', '')} "
            f"{answer.body[:60]!r}"
        )
        return answer


class Traffic:
    """Requests at a steady rate, each in a thread of its own."""

    def __init__(self, consumer, path, per_s, **options):
        self.consumer, self.path, self.per_s, self.options = (
            consumer, path, per_s, options,
        )
        self.answers = []
        self._stopped = threading.Event()
        self._threads = []
        self._clock = threading.Thread(target=self._run, daemon=True)
        self._clock.start()

    def _run(self):
        number = 0
        while not self._stopped.wait(1.0 / self.per_s):
            number += 1
            prefix = self.path.strip("/").replace("/", "-")
            thread = threading.Thread(
                target=self._send, args=(f"{prefix}-{number}",), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def _send(self, attempt):
        answer = self.consumer.send(attempt, self.path, **self.options)
        self.answers.append(answer)

    def stop(self):
        self._stopped.set()
        self._clock.join()
        for thread in self._threads:
            thread.join(10)


def route(prefix, kind, service, **fields):
    return {
        "name": prefix.strip("/"), "host": "counter.example", "prefix": prefix,
        "type": kind, "service": service, "timeout-ms": 4000,
        "target-latency-ms": 400, "gap-target-ms": 200, "priority": 1,
        "max-attempts": 2, "public": False, "resumable": kind == "streaming",
        "sticky": kind == "streaming", **fields,
    }


ENGINE = {
    "layers": 8, "layer-mb": 1750.0, "kv-bytes": 800_000, "activation-bytes": 16_384,
    "step_ms": 0.85, "read_per_s": 196_000.0, "pipe-mbps": 11_000.0,
    "link-mbps": 11_000.0, "loads_at_once": 6, "stall_ms": 2500,
    "report_lag_ms": 200, "models": [{"name": "m0", "load-time-s": 4.0}],
    "usual": {"prompt": 800, "answer": 86},
    "kinds": [{"name": "l4", "size-mb": 22_000.0, "pace": 1.0, "read-factor": 1.0}],
}


def configuration(version=1, routes=(), **fields):
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": "lookups", "max-connections": 96, "health-path": "/healthz"},
            {"name": "drafts", "max-connections": 900, "health-path": "/healthz",
             "engine": ENGINE},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 1_000_000,
                   "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
        "tenants": [{"name": "depot", "api-keys": ["key-1"]}],
        **fields,
    }


def run_case(folder, case, has_trouble):
    """Run a case in a temporary folder; exit with 0, 1 or 2 as the rule held.

    Without `has_trouble` the case does the same without the disruption.
    """
    record = Record(Path(folder) / "record.txt")
    record.line("with the disruption" if has_trouble else "without the disruption")
    machines = []
    with tempfile.TemporaryDirectory() as scratch:
        try:
            broken = case(record, has_trouble, scratch, machines)
        except CannotRun as error:
            record.line(f"could not run: {error}")
            broken = None
        finally:
            for machine in machines:
                machine.stop()
            if os.environ.get("KEEP_LOG"):
                for machine in machines:
                    sys.stderr.write(machine.log_path.read_text("utf-8", "replace"))
    if broken is None:
        code = 2
    else:
        for line in broken:
            record.line(f"BROKEN {line}")
            print(line)
        code = 1 if broken else 0
    record.line(f"exit {code}")
    sys.stdout.flush()
    os._exit(code)


class Link:
    """A TCP proxy from one machine to one server, which can be cut."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = "pass"
        self._pairs = set()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((HOST, 0))
        self.port = self._listener.getsockname()[1]
        self._listener.listen(128)
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, mode):
        """Cut the link: `hang` (silent), `reset`, or `refuse` (open channels live on)."""
        self.mode = mode
        if mode == "reset":
            for pair in list(self._pairs):
                for each in pair:
                    _reset(each)

    def heal(self):
        """Let new channels through; what hung in the cut is lost."""
        was, self.mode = self.mode, "pass"
        if was == "hang":
            for pair in list(self._pairs):
                for each in pair:
                    _reset(each)

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            if self.mode in ("reset", "refuse"):
                _reset(near)
                continue
            threading.Thread(target=self._serve, args=(near,), daemon=True).start()

    def _serve(self, near):
        while self.mode == "hang":
            time.sleep(0.02)
        try:
            far = socket.create_connection((HOST, self.target_port), timeout=2)
        except OSError:
            _reset(near)
            return
        far.settimeout(None)
        for each in (near, far):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (near, far)
        self._pairs.add(pair)
        back = threading.Thread(target=self._copy, args=(far, near), daemon=True)
        back.start()
        self._copy(near, far)
        back.join()
        self._pairs.discard(pair)
        near.close()
        far.close()

    def _copy(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                while self.mode == "hang":
                    time.sleep(0.02)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            # A reset on one side is a reset on the other.
            _reset(sink)


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        os.close(sock.detach())
    except OSError:
        return


class StoreView:
    """The store as one machine sees it: servers' addresses are those of its links."""

    def __init__(self, store):
        self.store = store
        self.links = {}
        self._server = start_server(self)

    @property
    def address(self):
        return f"{HOST}:{self._server.server_port}"

    def add_link(self, server):
        self.links[server.address] = Link(server.port)

    def cut(self, mode):
        for link in self.links.values():
            link.cut(mode)

    def heal(self):
        for link in self.links.values():
            link.heal()

    def serve(self, call):
        self.store.serve(Rewritten(call, self._rewrite))

    def _rewrite(self, answer):
        for item in [answer, *answer.get("items", ()), *answer.get("events", ())]:
            if item.get("key", "").startswith("servers/") and item.get("value"):
                text = base64.b64decode(item["value"]).decode()
                for address, link in self.links.items():
                    text = text.replace(address, f"{HOST}:{link.port}")
                item["value"] = base64.b64encode(text.encode()).decode()
        return answer


class Rewritten:
    """A call whose answer is changed on its way."""

    def __init__(self, call, rewrite):
        self._call, self._rewrite = call, rewrite
        self.path = call.path
        self.read_body = call.read_body

    def reply(self, status, body=b"", headers=()):
        if isinstance(body, dict):
            body = self._rewrite(copy.deepcopy(body))
        self._call.reply(status, body, headers)


class PipelineServer(Server):
    """A model server that passes requests on along the path in `Hop-Count`.

    `fleet` maps addresses to servers. A request with one of `bad_parts` crashes the
    server that begins to write the answer, the last one of the path; with
    `crashes_first` it crashes the first one. It is back after `restart_s`.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.fleet = options["fleet"]
        self.bad_parts = options["bad_parts"]
        self.crashes_first = options.get("crashes_first", False)
        self.events_before_crash = options.get("events_before_crash", 0)
        self.restart_s = options.get("restart_s", 3.0)
        self.stall_s = options.get("stall_s", 2.5)
        self.paths = {}
        self.stalled = {}
        self.crashed_at_s = []
        self.fleet[self.address] = self

    def _report(self):
        stalled = [{"id": i, "address": a} for i, a in list(self.stalled.items())]
        return {**super()._report(), "stalled": stalled}

    def _order(self, call, order, leaving):
        if order["op"] != "repath":
            return super()._order(call, order, leaving)
        if order["id"] not in self.paths:
            return call.reply(404, {}, leaving)
        stages = _parse_path(order["path"])
        for address, first, end in stages:
            if not self._holds(address, first, end):
                return call.reply(409, {"address": address}, leaving)
        self.record.line(f"repath {order['id']} {order['path']}")
        self.paths[order["id"]] = stages
        return call.reply(200, {}, leaving)

    def _holds(self, address, first, end):
        server = self.fleet.get(address)
        if server is None or server.has_crashed or server.layers is None:
            return False
        return server.layers[0] <= first and end <= server.layers[1]

    def _is_alive(self, address):
        server = self.fleet.get(address)
        return server is not None and not server.has_crashed

    def _stream(self, call, head):
        attempt = call.headers["Attempt-Id"]
        stages = _parse_path(call.headers["Hop-Count"])
        for address, first, end in stages:
            if self._is_alive(address) and not self._holds(address, first, end):
                extra = [("Not-Executed", "1"), ("At-Server", address)]
                return call.reply(421, b"", [head[0], *extra])
        self.paths[attempt] = stages
        try:
            return self._run_path(call, head, attempt)
        except OSError:
            call.close_connection = True
            return None
        finally:
            self.paths.pop(attempt, None)
            self.stalled.pop(attempt, None)

    def _run_path(self, call, head, attempt):
        time.sleep(0.03)
        parts = call.headers.get("Prefix-Hash", "").split(",")[:-1]
        is_bad = any(part.partition(":")[0] in self.bad_parts for part in parts)
        count = int(call.headers["Token-Count"].split(",")[1])
        number = int(call.headers.get("Last-Event-Id", 0))
        has_begun = False
        written = 0
        while number < count:
            time.sleep(self.event_s)
            if not self._wait_for_path(call, attempt):
                if has_begun:
                    call.close_connection = True
                    _reset(call.connection)
                    raise ConnectionResetError
                dead = self.stalled.get(attempt, self.address)
                extra = [("Not-Executed", "1"), ("At-Server", dead)]
                return call.reply(503, b"", [head[0], *extra])
            stages = self.paths[attempt]
            if is_bad and written >= self.events_before_crash:
                victim = self if self.crashes_first else self.fleet[stages[-1][0]]
                if not victim.has_crashed:
                    victim.crashed_at_s.append(now_s())
                    victim.record.line(f"{attempt} crashes {victim.name}")
                    victim.crash()
                    threading.Thread(
                        target=victim.start_again, args=(self.restart_s,), daemon=True
                    ).start()
                if victim is self:
                    raise ConnectionResetError
                continue
            if not has_begun:
                has_begun = True
                call.send_response_only(200)
                for name, value in [*head, ("Content-Type", "text/event-stream")]:
                    call.send_header(name, value)
                call.send_header("Transfer-Encoding", "chunked")
                call.end_headers()
            number += 1
            written += 1
            event = f"id: {number}\ndata: {self.name}\n\n".encode()
            call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            call.wfile.flush()
        call.wfile.write(b"0\r\n\r\n")
        call.wfile.flush()
        return None

    def _wait_for_path(self, call, attempt):
        """Stall while a server of the path is dead; return whether it goes on."""
        until_s = time.monotonic() + self.stall_s
        while True:
            dead = [a for a, f, e in self.paths[attempt] if not self._holds(a, f, e)]
            if not dead:
                self.stalled.pop(attempt, None)
                return True
            if self.has_crashed or time.monotonic() > until_s:
                return False
            if _has_closed(call.connection):
                raise ConnectionResetError
            self.stalled[attempt] = dead[0]
            time.sleep(0.02)


def _has_closed(sock):
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def _parse_path(text):
    stages = []
    for part in text.split(","):
        address, _, layers = part.partition("=")
        first, _, end = layers.partition("-")
        stages.append((address, int(first), int(end)))
    return stages
