"""Per-request selection of a chain of engines.

Two chain templates are drawn at random, weighted by their planned token rate. For
each slice of a template, two engines of its class are drawn from this router's
subset, and one that caches a prefix of the prompt is added if known. The lower drain
time wins at both levels. Comparing few random candidates keeps routers that read the
same lagged load reports from converging on the same target.
"""

import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from chervilstall.ids import TargetId, ZoneName
from chervilstall.routing.affinity import AffinityIndex
from chervilstall.routing.fleet import (
    Capability,
    EngineTarget,
    Fleet,
    YieldControl,
    no_yield,
)
from chervilstall.routing.fleet_plans import CapabilityState, FleetPlans
from chervilstall.routing.flow import ChainTemplate, FlowPlan, StageSlice
from chervilstall.routing.instances import InstanceSelector
from chervilstall.routing.load import LoadTable, TargetLoad
from chervilstall.routing.reservation import ChainRequest, ChainReservation
from chervilstall.settings.processes import RoutingSettings
from chervilstall.target.contract import Hop, Priority

CANDIDATES = 2
"""Chains, and engines per slice, compared per request (power of two choices)."""


@dataclass
class _Candidate:
    template: ChainTemplate
    engines: list[EngineTarget] = field(default_factory=list)
    loads: list[TargetLoad] = field(default_factory=list)
    stage_work: list[float] = field(default_factory=list)
    cost_s: float = 0.0


class ChainSelector:
    """Selects chains for one router; `instances` selects its service instances.

    `name` is the router's identity for subsetting. `seed` makes the random draws
    reproducible in tests; without it they differ by process.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        zone: ZoneName,
        name: str,
        seed: int | None = None,
    ) -> None:
        self.settings = settings
        self.load_table = LoadTable(settings)
        self.affinity = AffinityIndex(settings.affinity_entries)
        self._random = random.Random(seed)
        self.instances = InstanceSelector(
            settings, zone, name, self.load_table, self._random
        )
        self._plans = FleetPlans(settings, zone, name, self.load_table)
        self._is_first_fleet = True

    def update(self, fleet: Fleet, yield_control: YieldControl = no_yield) -> None:
        """Switch to the fleet of a new settings revision.

        Only capabilities whose capacities or links changed are planned again.
        `yield_control` is called between capabilities; requests served in between
        still see the previous fleet.
        """
        used_targets = self._plans.update(fleet, yield_control)
        used_targets |= self.instances.update(fleet.services)
        self.load_table.retain(used_targets)
        for target in self._plans.remove_engines(used_targets):
            self.affinity.forget(target)
        if self._is_first_fleet:
            self.load_table.skip_slow_start()
            self._is_first_fleet = False

    @property
    def solve_count(self) -> int:
        """Return how many plans were computed."""
        return self._plans.solve_count

    def engines(self) -> list[EngineTarget]:
        """Return the engines in this router's subsets."""
        return list(self._plans.engines.values())

    def engine(self, target: str) -> EngineTarget | None:
        """Return an engine of this router's subsets, or None if it has no such."""
        return self._plans.engines.get(TargetId(target))

    def plans(self) -> dict[Capability, FlowPlan]:
        """Return the plan of each capability."""
        return {
            capability: state.plan for capability, state in self._plans.states.items()
        }

    def spilling_priorities(self, capability: Capability) -> list[Priority]:
        """Return the priorities whose requests may leave the zone now."""
        state = self._plans.states[capability]
        return [
            priority for priority, spill in state.spills.items() if spill.is_spilling
        ]

    def state(self, capability: Capability) -> CapabilityState | None:
        """Return the plan and the subsets of a capability, None if it is unknown."""
        return self._plans.states.get(capability)

    def is_served(self, capability: Capability) -> bool:
        """Return whether any chain serves a capability, even if all are full."""
        state = self._plans.states.get(capability)
        return state is not None and bool(state.plan.templates)

    def reserve(self, request: ChainRequest) -> ChainReservation | None:
        """Reserve capacity on a chain, or return None if no suitable chain has any."""
        state = self._plans.states.get(request.capability)
        if state is None or not state.plan.templates:
            return None
        now_s = time.monotonic()
        self.load_table.refresh_health(now_s)
        holders = self.affinity.longest_prefix_holders(request.prefixes)
        best = self._select_chain(state, request, holders, now_s)
        if best is None:
            return None
        return self._reserve_candidate(state, best, request, now_s)

    def _select_chain(
        self,
        state: CapabilityState,
        request: ChainRequest,
        holders: frozenset[TargetId],
        now_s: float,
    ) -> _Candidate | None:
        """Return the best chain of the own zone, or of all zones while spilling."""
        overall = self._best_chain(
            state, state.templates, state.weights, request, holders, now_s
        )
        if not state.own_templates:
            return overall
        own = self._best_chain(
            state,
            state.own_templates,
            state.own_weights,
            request,
            holders,
            now_s,
        )
        spill = state.spills[request.priority]
        spill.observe(
            own.cost_s if own else None,
            overall.cost_s if overall else None,
        )
        if own is None or overall is None:
            return own or overall
        if spill.is_spilling and overall.cost_s < own.cost_s:
            return overall
        return own

    def _best_chain(
        self,
        state: CapabilityState,
        templates: list[ChainTemplate],
        weights: list[float],
        request: ChainRequest,
        holders: frozenset[TargetId],
        now_s: float,
    ) -> _Candidate | None:
        drawn = self._draw_templates(templates, weights)
        best = None
        for template in drawn:
            candidate = self._fill_template(state, template, request, holders, now_s)
            if candidate is None:
                continue
            if best is None or candidate.cost_s < best.cost_s:
                best = candidate
        if best is not None or len(templates) <= len(drawn):
            return best
        for template in templates:
            candidate = self._fill_template(state, template, request, holders, now_s)
            if candidate is not None:
                return candidate
        return None

    def _draw_templates(
        self, templates: list[ChainTemplate], weights: list[float]
    ) -> list[ChainTemplate]:
        if len(templates) <= CANDIDATES:
            return templates
        first, second = self._random.choices(templates, weights, k=CANDIDATES)
        return [first] if first is second else [first, second]

    def _fill_template(
        self,
        state: CapabilityState,
        template: ChainTemplate,
        request: ChainRequest,
        holders: frozenset[TargetId],
        now_s: float,
    ) -> _Candidate | None:
        candidate = _Candidate(template)
        for stage in template.slices:
            work = request.tokens * (stage.end_layer - stage.first_layer)
            chosen = self._select_engine(state, stage, request, holders, work, now_s)
            if chosen is None:
                return None
            engine, load, cost_s = chosen
            candidate.engines.append(engine)
            candidate.loads.append(load)
            candidate.stage_work.append(work)
            candidate.cost_s = max(candidate.cost_s, cost_s)
        return candidate

    def _select_engine(
        self,
        state: CapabilityState,
        stage: StageSlice,
        request: ChainRequest,
        holders: frozenset[TargetId],
        work: float,
        now_s: float,
    ) -> tuple[EngineTarget, TargetLoad, float] | None:
        subset = state.subsets[stage.stage_class]
        drawn = self._draw_engines(subset, holders)
        best = self._fastest_engine(drawn, request, work, now_s)
        if best is not None or len(drawn) == len(subset):
            return best
        # No drawn engine has capacity; fall back to the whole subset.
        return self._fastest_engine(subset, request, work, now_s)

    def _fastest_engine(
        self,
        engines: Sequence[EngineTarget],
        request: ChainRequest,
        work: float,
        now_s: float,
    ) -> tuple[EngineTarget, TargetLoad, float] | None:
        """Return the engine with capacity and the lowest drain time, or None."""
        best: tuple[EngineTarget, TargetLoad, float] | None = None
        for engine in engines:
            load = self.load_table.loads[engine.target]
            if engine.target in request.avoid or not load.has_room(request.priority):
                continue
            cost_s = self.cost_s(load, request, work, now_s)
            if best is None or cost_s < best[2]:
                best = (engine, load, cost_s)
        return best

    def _draw_engines(
        self, subset: tuple[EngineTarget, ...], holders: frozenset[TargetId]
    ) -> Sequence[EngineTarget]:
        if len(subset) <= CANDIDATES:
            return subset
        drawn = self._random.sample(subset, CANDIDATES)
        for engine in subset if holders else ():
            if engine.target in holders and engine not in drawn:
                drawn.append(engine)
                break
        return drawn

    def cost_s(
        self, load: TargetLoad, request: ChainRequest, work: float, now_s: float
    ) -> float:
        """Return the drain time, less the time that a cached prefix saves."""
        slow_start_s = self.settings.slow_start_s
        cost_s = load.drain_time_s(now_s, slow_start_s, work, request.priority)
        if request.prefixes:
            fraction = self.affinity.cached_fraction(load.target, request.prefixes)
            saved = fraction * self.settings.affinity_weight * load.concurrency
            cost_s -= saved * load.mean_outstanding_work(work) / load.capacity_per_s
        return cost_s

    def _reserve_candidate(
        self,
        state: CapabilityState,
        candidate: _Candidate,
        request: ChainRequest,
        now_s: float,
    ) -> ChainReservation:
        hops = []
        for engine, stage in zip(candidate.engines, candidate.template.slices):
            hop = Hop(
                engine.target,
                engine.address.host,
                engine.address.port,
                stage.first_layer,
                stage.end_layer,
            )
            hops.append(hop)
        for load, work in zip(candidate.loads, candidate.stage_work):
            self.load_table.record_start(load, work, request.priority)
        reason = f"expected drain time {candidate.cost_s:.3f} s"
        return ChainReservation(
            request.capability,
            request.priority,
            tuple(hops),
            tuple(candidate.loads),
            tuple(candidate.stage_work),
            now_s,
            state.spills[request.priority].is_spilling,
            reason,
        )

    def release(self, reservation: ChainReservation) -> None:
        """Free the reserved capacity; a second call does nothing."""
        if reservation.is_released:
            return
        reservation.is_released = True
        for load, work in zip(reservation.loads, reservation.stage_work):
            self.load_table.record_end(load, work, reservation.priority)

    def record_success(self, reservation: ChainReservation) -> None:
        """Record that a chain served its request."""
        latency_s = time.monotonic() - reservation.started_at_s
        for load in reservation.loads:
            self.load_table.record_success(load, latency_s)

    def record_failure(self, reservation: ChainReservation, target: TargetId) -> None:
        """Record that `target` made a chain fail, and eject the target if due."""
        state = self._plans.states.get(reservation.capability)
        load = self.load_table.loads.get(target)
        if state is None or load is None:
            return
        self.load_table.record_failure(load)
        for group in state.ejection_groups.values():
            if load in group:
                self.load_table.eject_if_due(load, group)

    def record_refusal(self, target: TargetId) -> None:
        """Record that a target refused work."""
        load = self.load_table.loads.get(target)
        if load is not None:
            self.load_table.record_refusal(load)
