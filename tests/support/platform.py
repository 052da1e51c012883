"""A small platform for scenarios: store, targets, and routers on it."""

import http.client
import json
import socket
from dataclasses import dataclass, field
from pathlib import Path

from chervilstall.edge.server import EdgeServer
from chervilstall.fleet.records import LayerRange
from chervilstall.ids import VmId, ZoneName
from chervilstall.settings.node import NodeBounds, NodeSettings, StoreAddress
from chervilstall.settings.option import Address
from chervilstall.standin.platform_store import PlatformStoreServer
from chervilstall.standin.platform_target import PlatformTarget
from tests.support.fleet import eventually
from tests.support.market import ANY, HOST, Response

ZONES = ("ba-hall", "za-hall")
LAYERS = 8
CALLER_HOST = "counter.example"
KEY = "key-of-depot"
BOUNDS = NodeBounds(
    drain_s=2.0,
    grace_s=4.0,
    apply_s=2.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_extra=40.0,
    is_fenced=False,
)


def route(prefix: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": f"r{prefix.strip('/')}",
        "host": CALLER_HOST,
        "prefix": prefix,
        "type": kind,
        "service": service,
        "timeout-ms": 3000,
        "target-latency-ms": 300,
        "gap-target-ms": 200,
        "priority": 1,
        "max-attempts": 2,
        "public": False,
        "resumable": kind == "streaming",
        **fields,
    }


def configuration(version: int = 1, **fields: object) -> dict:
    """Return a configuration as the operator writes it."""
    engine = {
        "layers": LAYERS,
        "layer-mb": 1000.0,
        "kv-bytes": 800_000,
        "step_ms": 1.0,
        "read_per_s": 200_000.0,
        "activation-bytes": 59_000,
        "pipe-mbps": 11_000.0,
        "loads_at_once": 6,
        "models": [{"load-time-s": 1.0}],
        "usual": {"prompt": 100, "answer": 50},
        "kinds": [{"name": "card", "size-mb": 20_000.0, "pace": 1.0}],
    }
    config = {
        "version": version,
        "routes": [
            route("/lookup/", "idempotent", "lookups"),
            route("/hold/", "non_idempotent", "lookups"),
            route("/brief/", "idempotent", "lookups", **{"timeout-ms": 150}),
            route("/open/", "idempotent", "lookups", public=True),
            route("/draft/", "streaming", "drafts"),
        ],
        "services": [
            {"name": "lookups", "max-connections": 50, "health-path": "/healthz"},
            {
                "name": "drafts",
                "max-connections": 500,
                "health-path": "/healthz",
                "engine": engine,
            },
        ],
        "limits": {
            "max-header-bytes": 2000,
            "max-body-bytes": 5000,
            "header-timeout-ms": 1000,
            "idle-timeout-ms": 5000,
        },
        "tenants": [{"name": "depot", "api-keys": [KEY]}],
    }
    config.update(fields)
    return config


@dataclass
class Platform:
    """A store, targets and routers in one process."""

    store: PlatformStoreServer = field(default_factory=lambda: PlatformStoreServer(ANY))
    targets: dict[str, PlatformTarget] = field(default_factory=dict)
    routers: list[EdgeServer] = field(default_factory=list)

    def start(self, config: dict | None = None) -> None:
        """Start the store with a configuration."""
        self.store.start()
        self.write_config(config or configuration())

    def write_config(self, config: dict) -> None:
        """Write a configuration as the operator does."""
        self.store.state.put("op/config", json.dumps(config).encode())

    def add_target(
        self, name: str, service: str, zone: str, layers: LayerRange | None = None
    ) -> PlatformTarget:
        """Start a target and register it."""
        target = PlatformTarget(name, ANY)
        if layers is not None:
            target.layers = layers
        target.start()
        self.targets[name] = target
        self.register(name, service, zone)
        return target

    def register(
        self, name: str, service: str, zone: str, state: str = "ready"
    ) -> None:
        """Write a target's entry as the target does."""
        target = self.targets[name]
        entry = {
            "service": service,
            "address": str(target.address),
            "zone": zone,
            "state": state,
            "sequence": 7,
            "type": "card",
        }
        if len(target.layers):
            entry["layers"] = {"from": target.layers.first, "to": target.layers.end}
        self.store.state.put(f"servers/{name}", json.dumps(entry).encode())

    def node_settings(self, zone: str = "ba-hall") -> NodeSettings:
        """Return the settings of a new router."""
        return NodeSettings(
            vm=VmId(f"vm-{len(self.routers) + 1}"),
            zone=ZoneName(zone),
            host=HOST,
            zones=tuple(ZoneName(name) for name in ZONES),
            callers=ANY,
            ready=ANY,
            ports=(),
            store=StoreAddress(self.store.address, 20.0, 1.0),
            bounds=BOUNDS,
        )

    def add_router(
        self,
        zone: str = "ba-hall",
        wait: bool = True,
        callers: socket.socket | None = None,
    ) -> EdgeServer:
        """Start a router and wait until it is ready."""
        settings = self.node_settings(zone)
        router = EdgeServer(settings, Path("/nonexistent"), 0, callers)
        router.start()
        self.routers.append(router)
        if wait:
            eventually(lambda: router.is_ready)
        return router

    def stop(self) -> None:
        """Stop everything."""
        for router in self.routers:
            router.stop()
        for target in self.targets.values():
            target.stop()
        self.store.stop()

    def runs(self) -> list[str]:
        """Return the identities of the requests that targets ran."""
        return [
            run.request for target in self.targets.values() for run in target.log.runs
        ]


def send(
    router: EdgeServer,
    path: str,
    method: str = "POST",
    body: bytes = b"",
    request: str = "r1",
    **headers: str,
) -> Response:
    """Send one request and read the whole answer."""
    address = router.callers.bound_address
    connection = http.client.HTTPConnection(address.host, address.port, timeout=20)
    fields = {
        "Host": CALLER_HOST,
        "Attempt-Id": request,
        "Credential": KEY,
        "Deadline-Ms": "5000",
        "Token-Count": "100,10",
    }
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    try:
        connection.request(method, path, body=body, headers=fields)
        answer = connection.getresponse()
        content = answer.read()
        return Response(answer.status, dict(answer.getheaders()), content)
    finally:
        connection.close()


def raw_request(path: str, request: str = "r1") -> bytes:
    """Return the bytes of a request."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\nAttempt-Id: {request}\r\n"
        f"Credential: {KEY}\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def open_connection(address: Address) -> socket.socket:
    """Open a plain connection to a listener."""
    connection = socket.create_connection((address.host, address.port), timeout=10)
    return connection
