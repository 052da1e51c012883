"""Per-request choice of a chain of engines.

Two chain templates are drawn in proportion to the planned flow; for each slice, two
engines of the slice's class are drawn from this router's subset, joined by an engine
that holds the prompt's prefix where one is known. The lower expected time to drain
wins at both levels. Drawing at random among few keeps routers that share a lagged
load report from converging on the same target.
"""

import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from chervilstall.ids import TargetId, ZoneName
from chervilstall.routing.affinity import AffinityIndex
from chervilstall.routing.fleet import (
    Capability,
    CapabilityFleet,
    EngineTarget,
    Fleet,
    Pause,
    no_pause,
)
from chervilstall.routing.flow import ChainTemplate, FlowPlan, StageSlice, solve_flow
from chervilstall.routing.instances import InstanceSelector
from chervilstall.routing.load import LoadTable, TargetLoad
from chervilstall.routing.reservation import ChainRequest, ChainReservation
from chervilstall.routing.spill import SpillOver
from chervilstall.routing.subset import choose_subset
from chervilstall.settings.processes import RoutingSettings
from chervilstall.target.contract import Hop, Priority

CHOICES = 2


@dataclass
class _Candidate:
    template: ChainTemplate
    engines: list[EngineTarget] = field(default_factory=list)
    loads: list[TargetLoad] = field(default_factory=list)
    works: list[float] = field(default_factory=list)
    cost_s: float = 0.0


@dataclass
class _CapabilityState:
    fleet: CapabilityFleet
    plan: FlowPlan
    signature: object
    subsets: dict[object, tuple[EngineTarget, ...]]
    spills: dict[Priority, SpillOver]
    templates: list[ChainTemplate] = field(default_factory=list)
    local: list[ChainTemplate] = field(default_factory=list)
    local_weights: list[float] = field(default_factory=list)
    all_weights: list[float] = field(default_factory=list)
    groups: dict[object, list[TargetLoad]] = field(default_factory=dict)


class ChainSelector:
    """Chooses chains for one router, and holds its choice of service instances.

    `name` is the router's identity for subsetting. `seed` makes the draws
    repeatable in tests; without it they differ by process.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        zone: ZoneName,
        name: str,
        seed: int | None = None,
    ) -> None:
        self.settings = settings
        self.zone = zone
        self.name = name
        self.load_table = LoadTable(settings)
        self.affinity = AffinityIndex(settings.affinity_entries)
        self.solves = 0
        self._random = random.Random(seed)
        self.instances = InstanceSelector(
            settings, zone, name, self.load_table, self._random
        )
        self._states: dict[Capability, _CapabilityState] = {}
        self._addresses: dict[TargetId, EngineTarget] = {}
        self._is_first_fleet = True

    # Fleet

    def update(self, fleet: Fleet, pause: Pause = no_pause) -> None:
        """Take in the fleet of a new settings revision.

        Only capabilities whose capacities or links changed are solved again. `pause`
        is called between capabilities; requests in between see the earlier fleet.
        """
        states = {}
        known: set[TargetId] = set()
        for capability, engines in fleet.capabilities.items():
            pause()
            state = self._update_capability(
                capability, engines, fleet.links_tokens_per_s
            )
            states[capability] = state
            for subset in state.subsets.values():
                known |= {engine.target for engine in subset}
        self._states = states
        known |= self.instances.update(fleet.services)
        self.load_table.retain(known)
        for target in set(self._addresses) - known:
            del self._addresses[target]
            self.affinity.forget(target)
        if self._is_first_fleet:
            self.load_table.skip_slow_start()
            self._is_first_fleet = False

    def _update_capability(
        self,
        capability: Capability,
        engines: CapabilityFleet,
        links: dict[tuple[str, str], float],
    ) -> _CapabilityState:
        signature = (engines.layers, engines.capacities(), links)
        previous = self._states.get(capability)
        if previous is not None and previous.signature == signature:
            plan = previous.plan
        else:
            plan = solve_flow(engines, links)
            self.solves += 1
        # Each priority sees a different queue, so each spills for itself.
        spills = {priority: SpillOver(self.settings) for priority in Priority}
        if previous is not None:
            spills = previous.spills
        subsets: dict[object, tuple[EngineTarget, ...]] = {}
        groups: dict[object, list[TargetLoad]] = {}
        for stage_class, members in engines.classes.items():
            names = [member.target for member in members]
            subset = choose_subset(self.name, members, names, self.settings.subset_size)
            subsets[stage_class] = subset
            groups[stage_class] = [self._ensure_engine(engine) for engine in subset]
        state = _CapabilityState(
            engines, plan, signature, subsets, spills, groups=groups
        )
        for template in plan.templates:
            state.templates.append(template)
            state.all_weights.append(template.tokens_per_s)
            if template.zones == {self.zone}:
                state.local.append(template)
                state.local_weights.append(template.tokens_per_s)
        return state

    def _ensure_engine(self, engine: EngineTarget) -> TargetLoad:
        self._addresses[engine.target] = engine
        return self.load_table.ensure(
            engine.target, engine.layer_tokens_per_s, engine.concurrency
        )

    def engines(self) -> list[EngineTarget]:
        """Return the engines in this router's subsets."""
        return list(self._addresses.values())

    def engine(self, target: str) -> EngineTarget | None:
        """Return an engine of this router's subsets, or None."""
        return self._addresses.get(TargetId(target))

    def plans(self) -> dict[Capability, FlowPlan]:
        """Return the plan of each capability."""
        return {capability: state.plan for capability, state in self._states.items()}

    def spilling_priorities(self, capability: Capability) -> list[Priority]:
        """Return the priorities whose requests leave the zone now."""
        state = self._states[capability]
        return [item for item, spill in state.spills.items() if spill.is_spilling]

    # Chains

    def is_served(self, capability: Capability) -> bool:
        """Return whether any chain serves a capability, with room or without."""
        state = self._states.get(capability)
        return state is not None and bool(state.plan.templates)

    def reserve(self, request: ChainRequest) -> ChainReservation | None:
        """Take room on a chain, or return None where nothing suitable has room."""
        state = self._states.get(request.capability)
        if state is None or not state.plan.templates:
            return None
        now_s = time.monotonic()
        self.load_table.refresh_health(now_s)
        holders = self.affinity.best_holders(request.prefixes)
        best = self._choose_chain(state, request, holders, now_s)
        if best is None:
            return None
        return self._take(state, best, request, now_s)

    def _choose_chain(
        self,
        state: _CapabilityState,
        request: ChainRequest,
        holders: frozenset[TargetId],
        now_s: float,
    ) -> _Candidate | None:
        """Return the chain inside the zone, or while spilling the better one."""
        anywhere = self._best(
            state, state.templates, state.all_weights, request, holders, now_s
        )
        if not state.local:
            return anywhere
        own = self._best(
            state, state.local, state.local_weights, request, holders, now_s
        )
        spill = state.spills[request.priority]
        spill.observe(
            own.cost_s if own else None, anywhere.cost_s if anywhere else None
        )
        if own is None or anywhere is None:
            return own or anywhere
        if spill.is_spilling and anywhere.cost_s < own.cost_s:
            return anywhere
        return own

    def _best(
        self,
        state: _CapabilityState,
        templates: list[ChainTemplate],
        weights: list[float],
        request: ChainRequest,
        holders: frozenset[TargetId],
        now_s: float,
    ) -> _Candidate | None:
        drawn = self._draw(templates, weights)
        best = None
        for template in drawn:
            candidate = self._fill(state, template, request, holders, now_s)
            if candidate is None:
                continue
            if best is None or candidate.cost_s < best.cost_s:
                best = candidate
        if best is not None or len(templates) <= len(drawn):
            return best
        for template in templates:
            candidate = self._fill(state, template, request, holders, now_s)
            if candidate is not None:
                return candidate
        return None

    def _draw(
        self, templates: list[ChainTemplate], weights: list[float]
    ) -> list[ChainTemplate]:
        if len(templates) <= CHOICES:
            return templates
        first, second = self._random.choices(templates, weights, k=CHOICES)
        return [first] if first is second else [first, second]

    def _fill(
        self,
        state: _CapabilityState,
        template: ChainTemplate,
        request: ChainRequest,
        holders: frozenset[TargetId],
        now_s: float,
    ) -> _Candidate | None:
        candidate = _Candidate(template)
        for item in template.slices:
            work = request.tokens * (item.end_layer - item.first_layer)
            chosen = self._choose_engine(state, item, request, holders, work, now_s)
            if chosen is None:
                return None
            engine, load, cost_s = chosen
            candidate.engines.append(engine)
            candidate.loads.append(load)
            candidate.works.append(work)
            candidate.cost_s = max(candidate.cost_s, cost_s)
        return candidate

    def _choose_engine(
        self,
        state: _CapabilityState,
        item: StageSlice,
        request: ChainRequest,
        holders: frozenset[TargetId],
        work: float,
        now_s: float,
    ) -> tuple[EngineTarget, TargetLoad, float] | None:
        subset = state.subsets[item.stage_class]
        drawn = self._draw_engines(subset, holders)
        best = self._cheapest(drawn, request, work, now_s)
        if best is not None or len(drawn) == len(subset):
            return best
        # The draw found no room; look at the whole subset before giving up.
        return self._cheapest(subset, request, work, now_s)

    def _cheapest(
        self,
        engines: Sequence[EngineTarget],
        request: ChainRequest,
        work: float,
        now_s: float,
    ) -> tuple[EngineTarget, TargetLoad, float] | None:
        """Return the engine with room that drains a request first, or None."""
        best: tuple[EngineTarget, TargetLoad, float] | None = None
        for engine in engines:
            load = self.load_table.loads[engine.target]
            if engine.target in request.avoid or not load.has_room(request.priority):
                continue
            cost_s = self._cost(load, request, work, now_s)
            if best is None or cost_s < best[2]:
                best = (engine, load, cost_s)
        return best

    def _draw_engines(
        self, subset: tuple[EngineTarget, ...], holders: frozenset[TargetId]
    ) -> Sequence[EngineTarget]:
        if len(subset) <= CHOICES:
            return subset
        drawn = self._random.sample(subset, CHOICES)
        for engine in subset if holders else ():
            if engine.target in holders and engine not in drawn:
                drawn.append(engine)
                break
        return drawn

    def _cost(
        self, load: TargetLoad, request: ChainRequest, work: float, now_s: float
    ) -> float:
        slow_start_s = self.settings.slow_start_s
        cost_s = load.score(now_s, slow_start_s, work, request.priority)
        if request.prefixes:
            share = self.affinity.cached_share(load.target, request.prefixes)
            saved = share * self.settings.affinity_weight * load.concurrency
            cost_s -= saved * load.mean_work(work) / load.capacity
        return cost_s

    def _take(
        self,
        state: _CapabilityState,
        candidate: _Candidate,
        request: ChainRequest,
        now_s: float,
    ) -> ChainReservation:
        hops = []
        for engine, item in zip(candidate.engines, candidate.template.slices):
            hop = Hop(
                engine.target,
                engine.address.host,
                engine.address.port,
                item.first_layer,
                item.end_layer,
            )
            hops.append(hop)
        for load, work in zip(candidate.loads, candidate.works):
            self.load_table.start(load, work, request.priority)
        reason = f"drains in {candidate.cost_s:.3f} s"
        return ChainReservation(
            request.capability,
            request.priority,
            tuple(hops),
            tuple(candidate.loads),
            tuple(candidate.works),
            now_s,
            state.spills[request.priority].is_spilling,
            reason,
        )

    def release(self, placement: ChainReservation) -> None:
        """Give a chain's room back; a second call does nothing."""
        if placement.is_released:
            return
        placement.is_released = True
        for load, work in zip(placement.loads, placement.works):
            self.load_table.finish(load, work, placement.priority)

    def record_success(self, placement: ChainReservation) -> None:
        """Note that a chain served its request."""
        latency_s = time.monotonic() - placement.started_at_s
        for load in placement.loads:
            self.load_table.succeed(load, latency_s)

    def record_failure(self, placement: ChainReservation, target: TargetId) -> None:
        """Note that `target` made a chain fail."""
        state = self._states.get(placement.capability)
        load = self.load_table.loads.get(target)
        if state is None or load is None:
            return
        self.load_table.fail(load)
        for group in state.groups.values():
            if load in group:
                self.load_table.eject_if_due(load, group)

    def record_refusal(self, target: TargetId) -> None:
        """Note that a target refused work."""
        load = self.load_table.loads.get(target)
        if load is not None:
            self.load_table.refuse(load)
