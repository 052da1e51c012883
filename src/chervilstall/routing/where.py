"""Describes which chain or instance a request would get, and why.

The selector compares a few candidates that it draws at random; here all candidates are
compared, by the same costs and without a draw. Nothing is reserved or changed.
"""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from chervilstall.ids import ServiceName, TargetId, ZoneName
from chervilstall.routing.fleet import EngineTarget
from chervilstall.routing.fleet_plans import CapabilityState
from chervilstall.routing.flow import ChainTemplate
from chervilstall.routing.instances import SERVICE_WORK, InstanceSelector
from chervilstall.routing.load import Health, TargetLoad
from chervilstall.routing.reservation import ChainRequest
from chervilstall.routing.selector import ChainSelector
from chervilstall.target.contract import Priority
from chervilstall.where_answer import (
    PATHS_MAX,
    SCOPE_ALL,
    CostPart,
    ExcludedTarget,
    RankedPath,
    StageAnswer,
)

DRAIN_SECONDS = "s to drain"
CHAINS_MAX = 64
"""Chains compared; plans have a few for each model."""

SETTINGS = "settings"
OWN_LOAD = "this router's requests"
REPORTS = "the target's load report"


def load_now(load: TargetLoad, now_s: float) -> TargetLoad:
    """Return a load that counts as probing if its ejection is over."""
    if load.health is Health.EJECTED and load.ejected_until_s <= now_s:
        return replace(load, health=Health.PROBING)
    return load


def cost_parts(
    load: TargetLoad, now_s: float, slow_start_s: float, work: float, priority: Priority
) -> tuple[CostPart, ...]:
    """Return the components of a target's drain time."""
    ahead = load.work_ahead(now_s, work, priority)
    drain_s = load.drain_time_s(now_s, slow_start_s, work, priority)
    request_s, own_s, others_s = (part / load.capacity_per_s for part in ahead)
    slow_s = drain_s - request_s - own_s - others_s
    age_s = now_s - load.reported_at_s if load.reported_at_s else None
    return (
        CostPart("request", round(request_s, 6), DRAIN_SECONDS, SETTINGS),
        CostPart("own_requests_ahead", round(own_s, 6), DRAIN_SECONDS, OWN_LOAD, 0.0),
        CostPart(
            "other_routers",
            round(others_s, 6),
            DRAIN_SECONDS,
            REPORTS,
            None if age_s is None else round(age_s, 3),
        ),
        CostPart("slow_start", round(slow_s, 6), DRAIN_SECONDS, OWN_LOAD, 0.0),
    )


def excluded_load(
    target: TargetId, zone: ZoneName, load: TargetLoad, priority: Priority, now_s: float
) -> ExcludedTarget | None:
    """Return why a target gets no request of a priority, or None if it may."""
    if load.has_room(priority):
        return None
    if load.is_leaving:
        age_s = round(now_s - load.reported_at_s, 3)
        detail = "by its load report"
        return ExcludedTarget(target, zone, "leaving", SCOPE_ALL, detail, age_s)
    if load.health is Health.EJECTED:
        left_s = load.ejected_until_s - now_s
        detail = f"ejected after failures, for {left_s:.1f} s more"
        return ExcludedTarget(target, zone, "suspected", SCOPE_ALL, detail)
    if load.health is Health.PROBING:
        detail = "ejected after failures, its probing request runs"
        return ExcludedTarget(target, zone, "suspected", SCOPE_ALL, detail)
    detail = f"{load.in_flight} requests in flight, limit {load.limit:.1f}"
    return ExcludedTarget(target, zone, "full", SCOPE_ALL, detail, 0.0)


@dataclass(frozen=True)
class _Choice:
    """An engine for one slice of a chain, its load, and the slice's work and cost."""

    engine: EngineTarget
    load: TargetLoad
    work: float
    cost_s: float


@dataclass(frozen=True)
class _Chain:
    """A chain with an engine for each slice, whose cost is that of the slowest."""

    template: ChainTemplate
    choices: tuple[_Choice, ...]

    @property
    def cost_s(self) -> float:
        return max(choice.cost_s for choice in self.choices)

    @property
    def targets(self) -> tuple[TargetId, ...]:
        return tuple(choice.engine.target for choice in self.choices)


@dataclass
class ChainRanking:
    """Ranks the chains of one request."""

    selector: ChainSelector
    request: ChainRequest
    now_s: float = field(default_factory=time.monotonic)
    state: CapabilityState | None = field(init=False)

    def __post_init__(self) -> None:
        self.state = self.selector.state(self.request.capability)

    def ranked(self) -> tuple[RankedPath, ...]:
        """Return the chain that would be chosen, and the next best ones."""
        if self.state is None:
            return ()
        overall = self._rank(self.state.templates)
        own = self._rank(self.state.own_templates)
        spill = self.state.spills[self.request.priority]
        first = own or overall
        if own and spill.is_spilling and overall[0].cost_s < own[0].cost_s:
            first = overall
        chains: dict[tuple[TargetId, ...], _Chain] = {}
        for chain in [*first[:1], *overall]:
            chains.setdefault(chain.targets, chain)
        return tuple(self._describe(each) for each in list(chains.values())[:PATHS_MAX])

    def _rank(self, templates: list[ChainTemplate]) -> list[_Chain]:
        chains: list[_Chain] = []
        for template in templates[:CHAINS_MAX]:
            chains += self._fill(template)
        return sorted(chains, key=lambda chain: chain.cost_s)

    def _fill(self, template: ChainTemplate) -> Iterator[_Chain]:
        """Yield a chain of the best engines, and those with one of the next best."""
        slices = [
            self._choices(template, number) for number in range(len(template.slices))
        ]
        if not slices or not all(slices):
            return
        best = tuple(choices[0] for choices in slices)
        yield _Chain(template, best)
        for number, choices in enumerate(slices):
            for other in choices[1:PATHS_MAX]:
                chosen = (*best[:number], other, *best[number + 1 :])
                yield _Chain(template, chosen)

    def _choices(self, template: ChainTemplate, number: int) -> list[_Choice]:
        """Return the engines with capacity for a slice, the fastest first."""
        assert self.state is not None
        stage = template.slices[number]
        work = self.request.tokens * (stage.end_layer - stage.first_layer)
        choices: list[_Choice] = []
        for engine in self.state.subsets[stage.stage_class]:
            load = load_now(self.selector.load_table.loads[engine.target], self.now_s)
            if not load.has_room(self.request.priority):
                continue
            cost_s = self.selector.cost_s(load, self.request, work, self.now_s)
            choices.append(_Choice(engine, load, work, cost_s))
        return sorted(choices, key=lambda choice: choice.cost_s)

    def _describe(self, chain: _Chain) -> RankedPath:
        stages = tuple(
            StageAnswer(
                choice.engine.target,
                choice.engine.stage_class.zone,
                item.first_layer,
                item.end_layer,
                round(choice.cost_s, 6),
            )
            for item, choice in zip(chain.template.slices, chain.choices, strict=True)
        )
        costliest = max(chain.choices, key=lambda choice: choice.cost_s)
        parts = cost_parts(
            costliest.load,
            self.now_s,
            self.selector.settings.slow_start_s,
            costliest.work,
            self.request.priority,
        )
        return RankedPath(stages, round(chain.cost_s, 6), DRAIN_SECONDS, parts, True)

    def excluded(self) -> Iterator[ExcludedTarget]:
        """Yield the engines of this router's subsets that get no such request."""
        if self.state is None:
            return
        for subset in self.state.subsets.values():
            for engine in subset:
                load = self.selector.load_table.loads[engine.target]
                zone = ZoneName(engine.stage_class.zone)
                found = excluded_load(
                    engine.target,
                    zone,
                    load_now(load, self.now_s),
                    self.request.priority,
                    self.now_s,
                )
                if found is not None:
                    yield found

    def used(self) -> frozenset[TargetId]:
        """Return the engines in this router's subsets."""
        subsets = () if self.state is None else self.state.subsets.values()
        return frozenset(engine.target for subset in subsets for engine in subset)

    def notes(self) -> list[str]:
        """Return what a reader needs to know about the costs."""
        if self.state is None or not self.state.templates:
            return ["No chain of targets covers the model's layers."]
        spill = self.state.spills[self.request.priority]
        where = "may leave the zone" if spill.is_spilling else "stay in the zone"
        return [
            "For a request, the router draws two chains of "
            f"{len(self.state.templates)} and two engines of each stage at random and "
            "takes the fastest. Here all are compared, without a draw.",
            f"Requests of this priority {where} (ratio of drain times {spill.ratio:.2f}"
            ", as of the latest request).",
            "The prompt isn't known, so a cached part of it saves nothing here.",
        ]


@dataclass
class InstanceRanking:
    """Ranks the instances of a plain service for one request."""

    instances: InstanceSelector
    service: ServiceName
    priority: Priority
    now_s: float = field(default_factory=time.monotonic)

    def ranked(self) -> tuple[RankedPath, ...]:
        """Return the instance that would be chosen, and the next best ones."""
        found: list[tuple[bool, float, RankedPath]] = []
        slow_start_s = self.instances.settings.slow_start_s
        for instance in self.instances.subset(self.service):
            load = load_now(self.instances.table.loads[instance.target], self.now_s)
            if not load.has_room(self.priority):
                continue
            arguments = (self.now_s, slow_start_s, SERVICE_WORK, self.priority)
            cost_s = load.drain_time_s(*arguments)
            stage = StageAnswer(instance.target, instance.zone, cost=round(cost_s, 6))
            parts = cost_parts(load, *arguments)
            path = RankedPath((stage,), round(cost_s, 6), DRAIN_SECONDS, parts)
            found.append((instance.zone != self.instances.zone, cost_s, path))
        found.sort(key=lambda each: each[:2])
        return tuple(path for _, _, path in found[:PATHS_MAX])

    def excluded(self) -> Iterator[ExcludedTarget]:
        """Yield the instances of this router's subset that get no such request."""
        for instance in self.instances.subset(self.service):
            load = load_now(self.instances.table.loads[instance.target], self.now_s)
            found = excluded_load(
                instance.target, instance.zone, load, self.priority, self.now_s
            )
            if found is not None:
                yield found

    def used(self) -> frozenset[TargetId]:
        """Return the instances in this router's subset."""
        subset = self.instances.subset(self.service)
        return frozenset(instance.target for instance in subset)

    def notes(self) -> list[str]:
        """Return what a reader needs to know about the costs."""
        return [
            "For a request, the router draws two instances at random, of its own zone "
            "where one has capacity, and takes the faster. Here all are compared."
        ]
