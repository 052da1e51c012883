"""The router's view of the targets, grouped by what they can serve."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from chervilstall.configuration.tree import Tree
from chervilstall.ids import ModelName, ServiceName, TargetId, ZoneName
from chervilstall.settings.documents import (
    GrantDocument,
    PipelineDocument,
    ServiceDocument,
    TargetDocument,
    TargetKind,
)
from chervilstall.settings.option import Address

YieldControl = Callable[[], object]
"""Called between units of work, so that other tasks of the event loop can run."""

DEFAULT_LAYER_TOKENS_PER_S = 1_000.0
"""Capacity assumed for an engine whose document declares none."""

TARGETS_PER_YIELD = 250


def no_yield() -> None:
    """Continue without yielding; for callers that run no other tasks."""


@dataclass(frozen=True)
class Capability:
    """The model, version and adapter that a pipeline requires of an engine."""

    model: ModelName
    version: str
    adapter: str


@dataclass(frozen=True, order=True)
class StageClass:
    """Key of a class of interchangeable engines.

    Its engines share the availability zone, the accelerator type and the layers
    [first_layer, end_layer).
    """

    zone: ZoneName
    accelerator: str
    first_layer: int
    end_layer: int


@dataclass(frozen=True)
class EngineTarget:
    """A model engine, as the router sees it.

    `layer_tokens_per_s` is its capacity: one layer run for one token counts as one
    layer token. `concurrency` bounds the requests in flight.
    """

    target: TargetId
    address: Address
    stage_class: StageClass
    layer_tokens_per_s: float
    concurrency: int


@dataclass(frozen=True)
class ServiceTarget:
    """An instance of a plain service, as the router sees it."""

    target: TargetId
    address: Address
    zone: ZoneName
    concurrency: int


@dataclass(frozen=True)
class CapabilityFleet:
    """The engines that serve one capability, by class, and the model's layer count."""

    layers: int
    classes: dict[StageClass, tuple[EngineTarget, ...]]

    def capacities(self) -> dict[StageClass, float]:
        """Return the capacity of each class in layer tokens per second."""
        sums = {}
        for stage_class, engines in self.classes.items():
            sums[stage_class] = sum(engine.layer_tokens_per_s for engine in engines)
        return sums


@dataclass(frozen=True)
class Fleet:
    """All targets that may receive new work, at one revision of the settings.

    `links_tokens_per_s` maps pairs of zones, in both directions, to the capacity of
    the link between them.
    """

    capabilities: dict[Capability, CapabilityFleet] = field(default_factory=dict)
    services: dict[ServiceName, tuple[ServiceTarget, ...]] = field(default_factory=dict)
    links_tokens_per_s: dict[tuple[str, str], float] = field(default_factory=dict)


def capability_of(pipeline: PipelineDocument) -> Capability:
    """Return the capability that a pipeline requires."""
    return Capability(pipeline.model, pipeline.version, pipeline.adapter)


def make_engine_target(name: TargetId, document: TargetDocument) -> EngineTarget:
    """Return the engine that a target document declares."""
    stage_class = StageClass(
        document.zone,
        document.accelerator,
        document.first_layer,
        document.end_layer,
    )
    return EngineTarget(
        name,
        document.address,
        stage_class,
        document.layer_tokens_per_s or DEFAULT_LAYER_TOKENS_PER_S,
        document.concurrency,
    )


def build_fleet(tree: Tree, yield_control: YieldControl = no_yield) -> Fleet:
    """Return the fleet that a settings tree describes, without leaving targets.

    `yield_control` is called every `TARGETS_PER_YIELD` targets and once per
    capability, so that building a large fleet does not block the event loop that
    serves requests.
    """
    models = tree.models()
    needed = {capability_of(pipeline) for _, _, pipeline in tree.pipelines()}
    engines_by_version: dict[tuple[str, str], list[tuple[TargetId, TargetDocument]]] = (
        defaultdict(list)
    )
    services: dict[ServiceName, list[ServiceTarget]] = defaultdict(list)
    for index, (name, document) in enumerate(tree.targets().items()):
        if index % TARGETS_PER_YIELD == 0:
            yield_control()
        if document.is_leaving:
            continue
        if document.kind is TargetKind.SERVICE:
            instance = ServiceTarget(
                name, document.address, document.zone, document.concurrency
            )
            services[document.service].append(instance)
            continue
        engines_by_version[(document.model, document.version)].append((name, document))
    capabilities = {}
    for capability in needed:
        yield_control()
        engines = engines_by_version[(capability.model, capability.version)]
        layers = models[capability.model].layers
        capabilities[capability] = _capability_fleet(capability, layers, engines)
    links = {}
    for (first, second), link in tree.links().items():
        links[(first, second)] = link.tokens_per_s
        links[(second, first)] = link.tokens_per_s
    instances_by_service = {
        name: tuple(instances) for name, instances in services.items()
    }
    return Fleet(capabilities, instances_by_service, links)


def _capability_fleet(
    capability: Capability,
    layers: int,
    engines: list[tuple[TargetId, TargetDocument]],
) -> CapabilityFleet:
    classes: dict[StageClass, list[EngineTarget]] = defaultdict(list)
    for name, document in engines:
        if capability.adapter and capability.adapter not in document.adapters:
            continue
        engine = make_engine_target(name, document)
        classes[engine.stage_class].append(engine)
    return CapabilityFleet(
        layers, {key: tuple(value) for key, value in classes.items()}
    )


def is_fleet_same(before: Tree, after: Tree) -> bool:
    """Return whether a newer tree describes the same fleet.

    Trees share the documents that did not change, so comparing identities suffices.
    Grants and the permissions of services do not affect routing and are ignored.
    """
    compared_count = 0
    for path, document in after.documents.items():
        if isinstance(document, (GrantDocument, ServiceDocument)):
            continue
        if before.documents.get(path) is not document:
            return False
        compared_count += 1
    previous_count = sum(
        not isinstance(document, (GrantDocument, ServiceDocument))
        for document in before.documents.values()
    )
    return compared_count == previous_count
