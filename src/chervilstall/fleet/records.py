"""Routes, services, targets and model pipelines as the router uses them.

Records are immutable and already checked: whatever could not be read was left out
where it was decoded.
"""

from dataclasses import dataclass, field
from enum import Enum

from chervilstall.ids import ServiceName, TargetId, WorkspaceName, ZoneName
from chervilstall.settings.option import Address

BYTES_PER_MB = 1_000_000.0


class RouteKind(Enum):
    """What a route promises about repeating its requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class WeightedService:
    """One service of a route and its share of the route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests of a host and path prefix go, and within which limits.

    `attempts_max` bounds the targets that one request may be sent to, `timeout_s`
    the time it may be kept waiting. `latency_slo_s` is the time to a useful answer, for
    streams to the first event, and `gap_slo_s` the longest useful pause between two
    events. A lower `priority` is more urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    weighted_services: tuple[WeightedService, ...]
    timeout_s: float
    latency_slo_s: float
    gap_slo_s: float
    priority: int
    attempts_max: int
    is_public: bool
    is_resumable: bool

    @property
    def is_retryable(self) -> bool:
        """Return whether a request that may have run may be sent once more."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True)
class LayerRange:
    """Layers `first` to `end`, `end` not included."""

    first: int
    end: int

    def __len__(self) -> int:
        return self.end - self.first

    def covers(self, other: "LayerRange") -> bool:
        """Return whether every layer of `other` is in this range."""
        return self.first <= other.first and other.end <= self.end


NO_LAYERS = LayerRange(0, 0)


@dataclass(frozen=True)
class AcceleratorType:
    """A kind of accelerator: memory, and step and prompt times against the fastest."""

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclass(frozen=True)
class Pipeline:
    """A model that is served in parts, each target holding a range of layers.

    `kv_bytes_per_token` is the memory one token needs over all layers. The fastest kind
    reads `prefill_tokens_per_s` through all layers. `load_s` is the time to load all
    layers on one target with no other load running. Between zones a token takes
    `token_transfer_s` of a pipe that all requests share.
    """

    layers: int
    layer_mb: float
    kv_bytes_per_token: float
    step_ms: float
    prefill_tokens_per_s: float
    token_transfer_s: float
    load_s: float
    loads_at_once: int
    typical_tokens: float
    accelerators: dict[str, AcceleratorType]

    def prefill_s(self, kind: str, layers: LayerRange, tokens: float) -> float:
        """Return the time in which a kind reads a prompt through a range of layers."""
        factor = (
            self.accelerators[kind].prefill_factor if kind in self.accelerators else 1.0
        )
        share = len(layers) / self.layers
        return tokens / self.prefill_tokens_per_s * factor * share

    def layers_max(self, memory_mb: float, tokens: float = 0.0) -> int:
        """Return how many layers fit beside `tokens` tokens of requests."""
        token_mb = self.kv_bytes_per_token / self.layers / BYTES_PER_MB
        return int(memory_mb / (self.layer_mb + tokens * token_mb))


@dataclass(frozen=True)
class Service:
    """Targets of one kind of work. `pipeline` is None for plain services."""

    name: ServiceName
    connections_max: int
    health_path: str
    pipeline: Pipeline | None


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@dataclass(frozen=True)
class RouterConfiguration:
    """One accepted version of routes, services, keys and limits.

    `workspaces` maps each key to its workspace. Without `has_workspaces`, requests
    carry no keys. `priorities` go before those of the routes.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service]
    limits: CallerLimits
    workspaces: dict[str, WorkspaceName]
    has_workspaces: bool
    priorities: dict[WorkspaceName, int] = field(default_factory=dict)
    _by_host: dict[str, list[Route]] = field(default_factory=dict, compare=False)

    def priority(self, route: Route, workspace: WorkspaceName | None) -> int:
        """Return how urgent a workspace's requests on a route are."""
        if workspace is None:
            return route.priority
        return self.priorities.get(workspace, route.priority)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins `path`."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class TargetReadiness(Enum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class Target:
    """One start of a target, as its own entry in the store shows it.

    A restart under the same identity has another `started_at_ms`, a wall-clock time
    in Unix milliseconds; it is 0 where restarts get a new identity. `revision` is the
    store's number of the entry's last change.
    """

    id: TargetId
    started_at_ms: int
    service: ServiceName
    address: Address
    zone: ZoneName
    state: TargetReadiness
    accelerator: str
    layers: LayerRange
    revision: int

    @property
    def incarnation(self) -> "TargetIncarnation":
        """Return the identity of this start."""
        return TargetIncarnation(self.id, self.started_at_ms)


@dataclass(frozen=True)
class TargetIncarnation:
    """One start of a target; a restart is another one and remembers nothing."""

    target_id: TargetId
    started_at_ms: int
