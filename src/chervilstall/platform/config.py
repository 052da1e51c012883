"""Decoding of the operator's configuration from its JSON value in the store."""

import math

import msgspec

from chervilstall.decoding import decode_untrusted
from chervilstall.fleet.records import (
    AcceleratorType,
    CallerLimits,
    Pipeline,
    Route,
    RouteKind,
    RouterConfiguration,
    Service,
    WeightedService,
)
from chervilstall.ids import ServiceName, WorkspaceName

DEFAULT_TIMEOUT_MS = 30_000.0
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="kebab"):
    host: str
    prefix: str
    type: str
    name: str = ""
    service: str = ""
    split: list[_Split] = []
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    target_latency_ms: float = 0.0
    gap_target_ms: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Accelerator(msgspec.Struct, rename="kebab"):
    name: str
    size_mb: float
    pace: float = 1.0
    read_factor: float = 1.0


class _Model(msgspec.Struct, rename="kebab"):
    load_time_s: float = 0.0


class _TypicalTokens(msgspec.Struct):
    prompt: float = 0.0
    answer: float = 0.0


class _Engine(msgspec.Struct, rename="kebab"):
    # Unlike in all other objects, some field names have underscores in the JSON.
    layers: int = 0
    layer_mb: float = 0.0
    kv_bytes: float = 0.0
    activation_bytes: float = 0.0
    pipe_mbps: float = 0.0
    step_ms: float = msgspec.field(default=1.0, name="step_ms")
    read_per_s: float = msgspec.field(default=0.0, name="read_per_s")
    loads_at_once: int = msgspec.field(default=1, name="loads_at_once")
    models: list[_Model] = []
    usual: _TypicalTokens = msgspec.field(default_factory=_TypicalTokens)
    kinds: list[_Accelerator] = []


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    max_connections: int = 0
    health_path: str = ""
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 5_000.0
    idle_timeout_ms: float = 30_000.0


class _Workspace(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    # Takes precedence over the priority of the route if it is set.
    priority: int | None = None


class _Config(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Workspace] | None = None


_decoder = msgspec.json.Decoder(_Config)


def decode_configuration(content: bytes) -> RouterConfiguration:
    """Decode a configuration. Raises ValueError if it is malformed."""
    config = decode_untrusted(_decoder, content)
    workspaces = config.tenants or []
    keys = {
        key: WorkspaceName(workspace.name)
        for workspace in workspaces
        for key in workspace.api_keys
    }
    return RouterConfiguration(
        version=config.version,
        routes=tuple(_route(route) for route in config.routes),
        services={ServiceName(each.name): _service(each) for each in config.services},
        limits=CallerLimits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            config.limits.header_timeout_ms / 1e3,
            config.limits.idle_timeout_ms / 1e3,
        ),
        workspaces=keys,
        has_workspaces=config.tenants is not None,
        priorities={
            WorkspaceName(each.name): each.priority
            for each in workspaces
            if each.priority is not None
        },
    )


def _route(route: _Route) -> Route:
    weighted_services = tuple(
        WeightedService(ServiceName(part.service), part.weight) for part in route.split
    )
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=RouteKind(route.type),
        weighted_services=weighted_services
        or (WeightedService(ServiceName(route.service), 1.0),),
        timeout_s=route.timeout_ms / 1e3,
        latency_slo_s=route.target_latency_ms / 1e3,
        gap_slo_s=route.gap_target_ms / 1e3,
        priority=route.priority,
        attempts_max=max(1, route.max_attempts),
        is_public=route.public,
        is_resumable=route.resumable,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    pipeline = _pipeline(engine) if engine is not None and engine.layers else None
    return Service(
        ServiceName(service.name),
        service.max_connections,
        service.health_path,
        pipeline,
    )


def _pipeline(engine: _Engine) -> Pipeline:
    accelerators = {
        kind.name: AcceleratorType(kind.name, kind.size_mb, kind.pace, kind.read_factor)
        for kind in engine.kinds
    }
    return Pipeline(
        layers=engine.layers,
        layer_mb=engine.layer_mb,
        kv_bytes_per_token=engine.kv_bytes,
        step_ms=engine.step_ms,
        token_transfer_s=_token_transfer_s(engine),
        prefill_tokens_per_s=engine.read_per_s or math.inf,
        load_s=max((model.load_time_s for model in engine.models), default=0.0),
        loads_at_once=max(1, engine.loads_at_once),
        typical_tokens=engine.usual.prompt + engine.usual.answer,
        accelerators=accelerators,
    )


def _token_transfer_s(engine: _Engine) -> float:
    """Return the time in seconds to send one token's activations between zones."""
    if not engine.pipe_mbps:
        return 0.0
    return (
        engine.activation_bytes * BITS_PER_BYTE / (engine.pipe_mbps * BITS_PER_MEGABIT)
    )
