"""Routes, services, targets and model pipelines as the router uses them.

Records are immutable and valid: the decoder rejects what it cannot read.
"""

from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from chervilstall.ids import ServiceName, TargetId, WorkspaceName, ZoneName
from chervilstall.settings.option import Address

BYTES_PER_MB = 1_000_000.0


class RouteKind(Enum):
    """Whether the requests of a route may be sent again after they may have run.

    Idempotent requests may, non-idempotent ones may not. A stream may where its route
    is resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class WeightedService:
    """One service of a route and its weight in the split of the route's requests.

    A service gets its weight divided by the sum of the route's weights.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests of a host and path prefix go, and within which limits.

    `attempts_max` limits the targets that one request may be sent to, and `timeout_s`
    the time that it may wait. `latency_slo_s` is the latency objective: the time to the
    answer or, for streams, to the first event. `gap_slo_s` is the objective for the
    pause between two events. A lower `priority` is more urgent. Requests of a public
    route need no key.
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
        """Return whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True)
class LayerRange:
    """A half-open range of layers: from `first` up to, not including, `end`."""

    first: int
    end: int

    def __len__(self) -> int:
        return self.end - self.first

    def covers(self, other: "LayerRange") -> bool:
        """Return whether this range includes every layer of `other`."""
        return self.first <= other.first and other.end <= self.end

    def overlaps(self, other: "LayerRange") -> bool:
        """Return whether both ranges include a layer."""
        return self.first < other.end and other.first < self.end


NO_LAYERS = LayerRange(0, 0)


@dataclass(frozen=True)
class AcceleratorType:
    """A type of accelerator, with its memory and its speed.

    `step_factor` and `prefill_factor` are the times for a decode step and for the
    prefill of a prompt, each divided by that of the fastest type.
    """

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclass(frozen=True)
class Pipeline:
    """A model whose layers are split over targets, each holding a range of them.

    `layer_mb` is the memory of one layer's weights. `kv_bytes_per_token` is the memory
    that one token of a request takes over all layers. `step_ms` is the time of a decode
    step through all layers on the fastest accelerator, which prefills
    `prefill_tokens_per_s` tokens in a second. `load_s` is the time to load all layers
    on one target while no other load runs; `loads_at_once` loads run at full speed side
    by side. `token_transfer_s` is the time for which the activations of one token
    occupy the link between two zones, which all requests share. `typical_tokens` is the
    size of a typical request, prompt and answer together. `accelerators` maps the name
    of each accelerator type to its record.
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

    def prefill_s(self, accelerator: str, layers: LayerRange, tokens: float) -> float:
        """Return the time for prefilling `tokens` through `layers` on an accelerator.

        An accelerator type that is not listed counts as the fastest.
        """
        factor = (
            self.accelerators[accelerator].prefill_factor
            if accelerator in self.accelerators
            else 1.0
        )
        share = len(layers) / self.layers
        return tokens / self.prefill_tokens_per_s * factor * share

    def layers_max(self, memory_mb: float, tokens: float = 0.0) -> int:
        """Return how many layers fit into memory beside `tokens` tokens of requests."""
        token_mb = self.kv_bytes_per_token / self.layers / BYTES_PER_MB
        return int(memory_mb / (self.layer_mb + tokens * token_mb))


@dataclass(frozen=True)
class Service:
    """A group of targets that do the same work.

    `connections_max` is the operator's limit on connections. Where `health_path` is
    empty, targets have no health check. `pipeline` is None for plain services.
    """

    name: ServiceName
    connections_max: int
    health_path: str
    pipeline: Pipeline | None


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of a caller's request and on the time it may take or idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@dataclass(frozen=True)
class RouterConfiguration:
    """One accepted version of routes, services, API keys and limits.

    `workspaces` maps each API key to its workspace. Where `has_workspaces` is false,
    requests carry no keys. `priorities` holds the priorities of workspaces that have
    one; they override those of the routes.
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
        """Return the priority of a workspace's requests on a route.

        The workspace's priority takes precedence. Where streams are ranked, the route's
        own one decides between requests that are otherwise equal, and the result is
        the rank among all pairs of both.
        """
        pair = self._priority_pair(route, self._own_priority(workspace))
        if not self.ranks_pipeline:
            return pair[0]
        return self._priority_ranks[pair]

    def _own_priority(self, workspace: WorkspaceName | None) -> int | None:
        return None if workspace is None else self.priorities.get(workspace)

    @staticmethod
    def _priority_pair(route: Route, own: int | None) -> tuple[int, int]:
        return (route.priority if own is None else own, route.priority)

    @cached_property
    def _priority_ranks(self) -> dict[tuple[int, int], int]:
        """Return the rank of each pair of a request's and its route's priority."""
        pairs = {
            self._priority_pair(route, own)
            for route in self.routes
            for own in {None, *self.priorities.values()}
        }
        return {pair: rank for rank, pair in enumerate(sorted(pairs))}

    def ranks(self, service: ServiceName) -> bool:
        """Return whether streams of a service have two or more priorities.

        The priorities of workspaces count, as they take precedence over those of
        routes.
        """
        pairs = {
            self._priority_pair(route, own)
            for route in self.routes
            if route.kind is RouteKind.STREAMING
            and any(each.service == service for each in route.weighted_services)
            for own in {None, *self.priorities.values()}
        }
        return len(pairs) > 1

    @cached_property
    def ranks_pipeline(self) -> bool:
        """Return whether the requests of some pipeline service have priorities."""
        return any(
            service.pipeline is not None and self.ranks(service.name)
            for service in self.services.values()
        )

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class TargetReadiness(Enum):
    """Whether a target accepts new work, by its own entry in the store."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class Target:
    """A target as its own entry in the store describes it.

    `started_at_ms` is the time of its start in Unix milliseconds and tells a restart
    under the same id apart; it is 0 where each restart gets a new id. `accelerator`
    names the accelerator type. `revision` is the store revision of the entry's last
    change, and `heartbeats` the count of heartbeats in it, 0 if it names none.
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
    heartbeats: int = 0

    @property
    def incarnation(self) -> "TargetIncarnation":
        """Return the identity of the target since its last start."""
        return TargetIncarnation(self.id, self.started_at_ms)


@dataclass(frozen=True, slots=True)
class TargetIncarnation:
    """Identity of one start of a target; a restart is another and keeps no state."""

    target_id: TargetId
    started_at_ms: int
