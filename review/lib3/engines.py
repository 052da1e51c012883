"""Model servers that hold ranges of layers and run requests over paths of servers."""

import asyncio
import json
import random
import time

from standins import Server, route

LAYERS = 8
LAYER_MB = 1000.0
SIZE_MB = 5000.0
LOAD_TIME_S = 2.0
STALL_S = 2.5
EVENT_S = 0.02
PREFILL_S = 0.04
RESTART_S = 3.2

ENGINE = {
    "slots": 96, "kv-capacity-tokens": 50000, "kv-bytes": 800_000,
    "link-mbps": 480000.0, "stride": 2, "layers": LAYERS, "layer-mb": LAYER_MB,
    "activation-bytes": 29500, "pipe-mbps": 11000.0, "step_ms": 1.0,
    "per_seq_ms": 0.008, "context_per_k": 0.01, "read_per_s": 196000.0,
    "pairs_per_m": 0.166, "chunk": 512, "report_lag_ms": 200.0, "loads_at_once": 6,
    "models": [{"name": "m1", "pace": 1.0, "load-time-s": LOAD_TIME_S, "warmup-s": 0.0}],
    "usual": {"prompt": 300, "answer": 40}, "delays": [],
    "kinds": [{"name": "card", "size-mb": SIZE_MB, "pace": 1.0, "read-factor": 1.0}],
}
ENGINE_SERVICE = {"name": "drafts", "max-connections": 900, "health-path": "/healthz",
                  "protocol": "h1", "tls": False, "engine": ENGINE}
STREAM_ROUTE = route("drafts", "/draft/", "streaming", "drafts", sticky=True,
                     **{"timeout-ms": 20000, "target-latency-ms": 500,
                        "gap-target-ms": 200, "resumable": True, "priority": 1})


class Engine(Server):
    """A model server. `fleet` holds the living servers by their addresses."""

    service = "drafts"
    fleet: dict = {}
    on_crash = staticmethod(lambda engine: None)
    on_request = staticmethod(lambda request: None)
    crashes_on = staticmethod(lambda request: False)
    crashing_stage = -1

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.layers = (0, 0)
        self.orders = 0
        self.loading = False
        self.running = {}
        self.is_dead = False

    async def start(self):
        await super().start()
        Engine.fleet[self.address] = self

    def entry(self):
        entry = super().entry()
        entry.update(type="card", phase="mixed",
                     models=[{"name": "m1", "version": 1, "adapters": []}])
        if self.layers[1]:
            entry["layers"] = {"from": self.layers[0], "to": self.layers[1], "version": 1}
        return entry

    def report(self):
        report = super().report()
        now = time.monotonic()
        report.update(
            sequence=self.orders, busy=self.loading, active=len(self.running),
            stalled=[{"id": number, "address": run["stalled"]}
                     for number, run in self.running.items()
                     if run["stalled"] and now - run["since"] > 0.2],
            type="card")
        report["layers"] = {"from": self.layers[0], "to": self.layers[1], "version": 1}
        return report

    async def order(self, order):
        if order["op"] == "place":
            if "expected" in order and order["expected"] != self.orders:
                return 409
            if self.loading:
                return 409
            wanted = (order["from"], order["to"])
            if (wanted[1] - wanted[0]) * LAYER_MB > SIZE_MB:
                self.record(f"LIMIT {self.name} ordered to hold {wanted}")
            self.orders += 1
            self.loading = True
            asyncio.create_task(self._load(wanted))
            return 202
        run = self.running.get(order.get("id"))
        if run is None:
            return 404
        path = parse_path(order["path"])
        for address, part in path:
            other = Engine.fleet.get(address)
            if other is None or not other.holds(part):
                return 409
        added = [address for address, _ in path if address not in dict(run["path"])]
        self.record(f"server {self.name} repath {order['id']} to {order['path']}")
        run["path"], run["stalled"] = path, ""
        if added:
            run["pause"] = PREFILL_S
        return 202

    async def _load(self, wanted):
        """Keep the layers that both ranges hold, and load the others."""
        first, end = max(wanted[0], self.layers[0]), min(wanted[1], self.layers[1])
        kept = max(0, end - first)
        self.layers = (first, end) if kept else (0, 0)
        self.register()
        await asyncio.sleep(LOAD_TIME_S * (wanted[1] - wanted[0] - kept) / LAYERS)
        self.loading = False
        if not self.is_dead:
            self.layers = wanted
            self.register()

    def holds(self, part):
        return self.layers[0] <= part[0] and part[1] <= self.layers[1]

    def crash(self, why):
        if self.is_dead:
            return
        self.is_dead = True
        self.record(f"server {self.name} crashes: {why}")
        Engine.fleet.pop(self.address, None)
        Engine.on_crash(self)
        self.halt()
        asyncio.create_task(self._restart())

    async def _restart(self):
        await asyncio.sleep(RESTART_S)
        again = type(self)(self.record, self.store, self.host, self.zone)
        again.port = self.port
        self.store.remove(f"servers/{self.name}")
        await again.start()
        self.record(f"server {again.name} starts at {again.address}")

    async def run(self, request):
        path = parse_path(request.fields.get(
            "hop-count", f"{self.address}={self.layers[0]}-{self.layers[1]}"))
        self.record(f"server {self.name} gets {request.id} path "
                    f"{request.fields.get('hop-count')} parts "
                    f"{request.fields.get('prefix-hash')} after "
                    f"{request.fields.get('last-event-id', '')}")
        for address, part in path:
            other = Engine.fleet.get(address)
            if other is not None and not other.holds(part):
                self.refuse(request, 421, address)
                return
        Engine.on_request(request)
        run = {"path": path, "stalled": "", "since": 0.0, "pause": PREFILL_S}
        self.running[request.id] = run
        try:
            await self._generate(request, run)
        finally:
            self.running.pop(request.id, None)

    def refuse(self, request, status, address):
        self.send(request, status, [("Attempt-Id", request.id), ("Not-Executed", "1"),
                                    ("At-Server", address)], b"{}")

    async def _generate(self, request, run):
        last = int(request.fields["token-count"].split(",")[1])
        begun = False
        for number in range(int(request.fields.get("last-event-id") or 0) + 1, last + 1):
            await asyncio.sleep(run.pop("pause", EVENT_S))
            while True:
                if self.is_dead:
                    raise ConnectionError("crashed")
                dead = await self._await_path(run)
                if dead:
                    if begun:
                        self.record(f"server {self.name} cuts {request.id} off")
                        raise ConnectionError("cut off")
                    self.record(f"server {self.name} refuses {request.id} at {dead}")
                    self.refuse(request, 503, dead)
                    return
                writer = Engine.fleet.get(run["path"][Engine.crashing_stage][0])
                if writer is None:
                    continue
                if not Engine.crashes_on(request):
                    break
                writer.crash(f"begins to write {request.id}")
                if writer is self:
                    raise ConnectionError("crashed")
            if not begun:
                begun = True
                request.writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    b"Transfer-Encoding: chunked\r\n" +
                    f"Attempt-Id: {request.id}\r\nServer-Signature: s.{self.name}\r\n\r\n"
                    .encode())
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            request.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await request.writer.drain()
        request.writer.write(b"0\r\n\r\n")

    async def _await_path(self, run):
        """Wait while a server of the path is dead; return its address in the end."""
        stalled_at = time.monotonic()
        while True:
            dead = [address for address, _ in run["path"] if address not in Engine.fleet]
            if not dead:
                run["stalled"] = ""
                if "pause" in run:
                    await asyncio.sleep(run.pop("pause"))
                return ""
            if run["stalled"] != dead[0]:
                run["stalled"], run["since"] = dead[0], time.monotonic()
                stalled_at = time.monotonic()
            if time.monotonic() - stalled_at > STALL_S or self.is_dead:
                return dead[0]
            await asyncio.sleep(0.01)


def parse_path(text):
    path = []
    for stage in text.split(","):
        address, _, part = stage.partition("=")
        first, _, end = part.partition("-")
        path.append((address, (int(first), int(end))))
    return path


async def start_engines(record, store, hosts, zones):
    engines = [Engine(record, store, host, zones[index % len(zones)])
               for index, host in enumerate(hosts)]
    for engine in engines:
        await engine.start()
    return engines


async def wait_layers(count, limit_s=30.0):
    """Wait until the layers are held by enough servers."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        held = [sum(e.holds((layer, layer + 1)) for e in Engine.fleet.values())
                for layer in range(LAYERS)]
        if min(held) >= count:
            return
        await asyncio.sleep(0.2)
    raise RuntimeError(f"the layers were not placed: {held}")
