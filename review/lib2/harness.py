"""Starts one edge program with the deploy file's command, and calls it as clients do."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

import platform_standin as ps

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


NO_CHANNEL, NO_ANSWER, CLOSED = -1, 0, -2
"""Ends of a request without an answer: no channel, silence, a closed channel."""


class NoChannel(OSError):
    """No channel was established within the second that consumers allow."""


class CannotRun(Exception):
    """The case could not be set up."""


def free_port(host):
    with socket.socket() as found:
        found.bind((host, 0))
        return found.getsockname()[1]


class Record:
    """Writes record.txt: one JSON object a line, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, entry):
        with self.lock:
            line = {"s": round(time.monotonic() - self.began, 3), **entry}
            self.file.write(json.dumps(line) + "\n")
            self.file.flush()


class PlatformThread(threading.Thread):
    """Store and servers in a thread of their own."""

    def __init__(self, record, host, servers):
        super().__init__(daemon=True)
        self.record, self.host, self.make_servers = record, host, servers
        self.ready = threading.Event()
        self.store_port = 0

    def run(self):
        asyncio.run(self._main())

    async def _main(self):
        self.loop = asyncio.get_running_loop()
        self.platform = ps.Platform(self.record)
        self.store_port = await self.platform.start_store(self.host)
        self.platform.configure(ps.configuration())
        self.servers = self.make_servers(self.platform)
        for server in self.servers:
            await server.start(self.host)
        self.ready.set()
        await asyncio.Event().wait()


class Edge:
    """One edge process, as the platform starts it."""

    def __init__(self, record, host, store_port, memory_mb=300, name="edge-a-1", zone="a",
                 store_host=None):
        self.record = record
        self.host = host
        self.folder = tempfile.TemporaryDirectory()
        self.frontend = (host, free_port(host))
        self.ready = (host, free_port(host))
        base = random.randrange(20_000, 30_000)
        node = {
            "node-name": name, "role": "router", "machine-class": "edge",
            "serves": ["edge"], "ip": host, "zone": zone, "region": "r",
            "zones": {"a": "r", "b": "r", "c": "r"},
            "listen": {"frontend": "%s:%d" % self.frontend, "ready": "%s:%d" % self.ready},
            "internal-ports": [base, base + 15], "seeds": [], "bootstrap": True,
            "limits": {"cpu-quota": 0.537, "cores": 2, "memory-mb": memory_mb,
                       "max-fds": 4200, "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
            "bounds": {"contact-ms": 3000, "drain-ms": 2000, "grace-s": 8,
                       "loss-slack-ms": 200, "config-apply-ms": 2000,
                       "retry-budget-ratio": 0.2, "budget-window-s": 10,
                       "retry-min-extra": 196, "recovery-s": 12, "stall_ms": 2500,
                       "fencing-enforced": False},
            "platform": {"address": f"{store_host or host}:{store_port}", "form": "kv",
                         "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20,
                         "value-bytes": 1048576, "ttl-min-ms": 1000},
        }
        path = pathlib.Path(self.folder.name) / "boot.json"
        path.write_text(json.dumps(node))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["CHERVILSTALL_NODE_FILE"] = str(path)
        self.name, self.command, self.env = name, command, env
        self.output = open(pathlib.Path(self.folder.name) / "output", "wb")
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, env=self.env, stdout=self.output,
            stderr=subprocess.STDOUT,
        )
        self.record({"at": "edge", "started": self.name})

    def is_ready(self):
        try:
            return call(self.ready, "GET", "/chervilstall/readyz", timeout=1.0)[0] == 200
        except OSError:
            return False

    def wait_ready(self, seconds=20.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun("the edge program ended")
            if self.is_ready():
                return
            time.sleep(0.1)
        raise CannotRun("the edge program isn't ready")

    def rss_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def logs(self):
        return (pathlib.Path(self.folder.name) / "output").read_text(errors="replace")

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.output.close()
        self.folder.cleanup()


def head_of(method, target, headers):
    lines = [f"{method} {target} HTTP/1.1", "Host: shop.example"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def new_id():
    return "%016x" % random.getrandbits(64)


def call(address, method, target, headers=(), body=b"", timeout=5.0):
    """Send a request on a new channel; return status, headers and body.

    Raises OSError where no complete answer comes in time.
    """
    until = time.monotonic() + timeout
    fields = list(headers)
    if body:
        fields.append(("Content-Length", str(len(body))))
    try:
        channel = socket.create_connection(address, timeout=min(1.0, timeout))
    except OSError as error:
        raise NoChannel(str(error)) from error
    with channel:
        channel.settimeout(timeout)
        channel.sendall(head_of(method, target, fields) + body)
        return read_answer(channel, until)


def read_answer(channel, until):
    data = b""

    def more():
        nonlocal data
        channel.settimeout(max(0.001, until - time.monotonic()))
        piece = channel.recv(65_536)
        if not piece:
            raise ConnectionError("closed before the end of the answer")
        data += piece

    while b"\r\n\r\n" not in data:
        more()
    head, _, data = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1])
    found = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        found[name.strip().lower()] = value.strip()
    if "content-length" in found:
        while len(data) < int(found["content-length"]):
            more()
        return status, found, data[: int(found["content-length"])]
    body = b""
    while True:
        while b"\r\n" not in data:
            more()
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        while len(data) < length + 2:
            more()
        body += data[:length]
        data = data[length + 2 :]
        if not length:
            return status, found, body


def plain(address, target="/lookup/1", deadline_ms=4000, method="GET", body=b"", wait=None):
    """Send a request like a caller; return (id, status or 0, seconds, body)."""
    request = new_id()
    headers = [("Attempt-Id", request), ("Deadline-Ms", str(deadline_ms)),
               ("Credential", "key-1")]
    began = time.monotonic()
    try:
        status, found, text = call(
            address, method, target, headers, body, wait or deadline_ms / 1e3
        )
    except NoChannel:
        status, text = NO_CHANNEL, b""
    except TimeoutError:
        status, text = NO_ANSWER, b""
    except OSError:
        status, text = CLOSED, b""
    return request, status, time.monotonic() - began, text


def draft_headers(request, tokens=20):
    parts = f"{random.getrandbits(32):08x}:40,{random.getrandbits(32):08x}:200"
    return [("Attempt-Id", request), ("Deadline-Ms", "20000"), ("Credential", "key-1"),
            ("Model", "m0"), ("Token-Count", f"240,{tokens}"), ("Prefix-Hash", parts)]


class Callers:
    """Callers of the booking route: one request each `gap_s`, each on its own channel.

    Bookings aren't idempotent, so that their callers wait until their deadline, two
    seconds behind the route's `timeout-ms`.
    """

    def __init__(self, record, address, gap_s=0.1):
        self.record, self.address, self.gap_s = record, address, gap_s
        self.results = []
        self.stopped = threading.Event()
        self.threads = []

    def start(self):
        self.main = threading.Thread(target=self._run, daemon=True)
        self.main.start()

    def _run(self):
        while not self.stopped.wait(self.gap_s):
            thread = threading.Thread(target=self._one, daemon=True)
            thread.start()
            self.threads.append(thread)

    def _one(self):
        sent = time.monotonic()
        request, status, took, _ = plain(self.address, "/book/1", 4000, "POST", b"{}")
        self.results.append((sent, status, took))
        self.record({"at": "caller", "request": request, "status": status,
                     "took_s": round(took, 3)})

    def stop(self):
        self.stopped.set()
        self.main.join()
        for thread in self.threads:
            thread.join(6.0)

    def overdue(self, timeout_s=2.0, slack_s=0.5):
        """Return (unanswered at the timeout, of these still so half a second later).

        A request without a channel, or whose channel was closed, isn't counted.
        """
        sent = [r for r in self.results if r[1] == NO_ANSWER or r[1] > 0]
        at = [r for r in sent if r[1] == NO_ANSWER or r[2] >= timeout_s]
        later = [r for r in at if r[1] == NO_ANSWER or r[2] >= timeout_s + slack_s]
        return len(at), len(later)

    def summary(self):
        ends = {}
        names = {NO_CHANNEL: "no channel", NO_ANSWER: "no answer", CLOSED: "closed"}
        for _, status, _ in self.results:
            name = names.get(status, str(status))
            ends[name] = ends.get(name, 0) + 1
        at, later = self.overdue()
        return {"bookings": len(self.results), "ends": ends,
                "unanswered_at_timeout": at, "so_half_a_second_later": later}


def main(folder, case):
    """Run a case; exit 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    host = "127.%d.%d.%d" % tuple(random.randrange(2, 250) for _ in range(3))
    cleanup = []
    # A script that is stopped ends its processes, too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    code = 2
    try:
        broken = case(record, host, cleanup)
        code = 1 if broken else 0
    except CannotRun as error:
        record({"at": "script", "cannot_run": str(error)})
    except (Exception, SystemExit) as error:
        record({"at": "script", "cannot_run": repr(error)})
    finally:
        for end in reversed(cleanup):
            end()
    record({"at": "script", "exit": code})
    print(f"exit {code}")
    sys.stdout.flush()
    os._exit(code)
