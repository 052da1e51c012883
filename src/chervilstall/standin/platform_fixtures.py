"""Builds what the operator, the platform, targets and callers of a test fleet send."""

import json
from typing import Any

from chervilstall.fleet.records import LayerRange
from chervilstall.standin.platform_store import PlatformStoreState

LAYERS = 8
CALLER_HOST = "counter.example"
API_KEY = "key-of-depot"
WORKSPACE = "depot"


def build_route(
    prefix: str, kind: str, service: str, **fields: object
) -> dict[str, Any]:
    """Return a route as the operator's configuration has it.

    `fields` are added to the defaults or replace them.
    """
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


def build_configuration(version: int = 1, **fields: object) -> dict[str, Any]:
    """Return an operator's configuration.

    `fields` are added to the top-level fields or replace them.
    """
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
            build_route("/lookup/", "idempotent", "lookups"),
            build_route("/hold/", "non_idempotent", "lookups"),
            build_route("/brief/", "idempotent", "lookups", **{"timeout-ms": 150}),
            build_route("/open/", "idempotent", "lookups", public=True),
            build_route("/draft/", "streaming", "drafts"),
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
        "tenants": [{"name": WORKSPACE, "api-keys": [API_KEY]}],
    }
    config.update(fields)
    return config


def write_configuration(store: PlatformStoreState, config: dict[str, Any]) -> None:
    """Write a configuration under the operator's key."""
    store.put("op/config", json.dumps(config).encode())


def write_target_entry(
    store: PlatformStoreState,
    name: str,
    service: str,
    address: str,
    zone: str,
    layers: LayerRange,
    state: str = "ready",
    started_at_ms: int = 0,
) -> None:
    """Write the entry with which a target registers itself."""
    entry: dict[str, Any] = {
        "service": service,
        "address": address,
        "zone": zone,
        "state": state,
        "sequence": 7,
        "born": started_at_ms,
        "type": "card",
    }
    if len(layers):
        entry["layers"] = {"from": layers.first, "to": layers.end}
    store.put(f"servers/{name}", json.dumps(entry).encode())


def remove_target_entry(store: PlatformStoreState, name: str) -> None:
    """Remove a target's entry, as when the target has left."""
    store.remove(f"servers/{name}")


def build_node_file(
    vm: str, host: str, zone: str, port: int, store: str, **bounds: float
) -> bytes:
    """Return the content of the settings file that the platform places on a VM.

    The names of `bounds` are written with hyphens for underscores.
    """
    node = {
        "node-name": vm,
        "zone": zone,
        "ip": host,
        "zones": {"ba-hall": "r", "za-hall": "r"},
        "listen": {"frontend": f"{host}:{port}", "ready": f"{host}:{port + 1}"},
        "internal-ports": [],
        "platform": {"address": store},
        "bounds": {name.replace("_", "-"): value for name, value in bounds.items()},
    }
    return json.dumps(node).encode()


def build_request_headers(request: str, wait_s: float, **fields: str) -> dict[str, str]:
    """Return the headers of a caller's request with a deadline of `wait_s` seconds.

    The names of `fields` are written with hyphens for underscores.
    """
    headers = {
        "Host": CALLER_HOST,
        "Attempt-Id": request,
        "Credential": API_KEY,
        "Deadline-Ms": str(int(wait_s * 1e3)),
        "Token-Count": "100,10",
    }
    headers.update({name.replace("_", "-"): value for name, value in fields.items()})
    return headers
