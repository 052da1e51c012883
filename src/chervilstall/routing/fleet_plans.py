"""One router's plans and engine subsets for each capability of the fleet."""

from dataclasses import dataclass, field

from chervilstall.ids import TargetId, ZoneName
from chervilstall.routing.fleet import (
    Capability,
    CapabilityFleet,
    EngineTarget,
    Fleet,
    YieldControl,
)
from chervilstall.routing.flow import ChainTemplate, FlowPlan, solve_flow
from chervilstall.routing.load import LoadTable, TargetLoad
from chervilstall.routing.spill import SpillOver
from chervilstall.routing.subset import choose_subset
from chervilstall.settings.processes import RoutingSettings
from chervilstall.target.contract import Priority


@dataclass
class CapabilityState:
    """The plan of one capability, and this router's part of its engines.

    `subsets` and `ejection_groups` are by stage class. `own_templates` are the chain
    templates that stay in the router's zone; weights are planned token rates.
    """

    plan: FlowPlan
    signature: object  # inputs of `plan`, which stays while they are equal
    subsets: dict[object, tuple[EngineTarget, ...]]
    spills: dict[Priority, SpillOver]
    templates: list[ChainTemplate] = field(default_factory=list)
    own_templates: list[ChainTemplate] = field(default_factory=list)
    own_weights: list[float] = field(default_factory=list)
    weights: list[float] = field(default_factory=list)
    ejection_groups: dict[object, list[TargetLoad]] = field(default_factory=dict)


class FleetPlans:
    """The state of each capability, and the engines in this router's subsets.

    `name` is the router's identity for subsetting. `solve_count` counts the plans
    that were computed.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        zone: ZoneName,
        name: str,
        load_table: LoadTable,
    ) -> None:
        self.settings = settings
        self.zone = zone
        self.name = name
        self.load_table = load_table
        self.states: dict[Capability, CapabilityState] = {}
        self.engines: dict[TargetId, EngineTarget] = {}
        self.solve_count = 0

    def update(self, fleet: Fleet, yield_control: YieldControl) -> set[TargetId]:
        """Switch to a new fleet; return the targets of this router's subsets.

        Only capabilities whose capacities or links changed are planned again.
        `yield_control` is called between capabilities.
        """
        states = {}
        used_targets: set[TargetId] = set()
        for capability, capability_fleet in fleet.capabilities.items():
            yield_control()
            state = self._update_capability(
                capability, capability_fleet, fleet.links_tokens_per_s
            )
            states[capability] = state
            for subset in state.subsets.values():
                used_targets |= {engine.target for engine in subset}
        self.states = states
        return used_targets

    def _update_capability(
        self,
        capability: Capability,
        fleet: CapabilityFleet,
        links: dict[tuple[str, str], float],
    ) -> CapabilityState:
        signature = (fleet.layers, fleet.capacities(), links)
        previous = self.states.get(capability)
        if previous is not None and previous.signature == signature:
            plan = previous.plan
        else:
            plan = solve_flow(fleet, links)
            self.solve_count += 1
        # Each priority has its own queue at a target, so each spills over separately.
        spills = {priority: SpillOver(self.settings) for priority in Priority}
        if previous is not None:
            spills = previous.spills
        subsets: dict[object, tuple[EngineTarget, ...]] = {}
        groups: dict[object, list[TargetLoad]] = {}
        for stage_class, members in fleet.classes.items():
            names = [member.target for member in members]
            subset = choose_subset(self.name, members, names, self.settings.subset_size)
            subsets[stage_class] = subset
            groups[stage_class] = [self._get_or_add_load(engine) for engine in subset]
        state = CapabilityState(
            plan, signature, subsets, spills, ejection_groups=groups
        )
        for template in plan.templates:
            state.templates.append(template)
            state.weights.append(template.tokens_per_s)
            if template.zones == {self.zone}:
                state.own_templates.append(template)
                state.own_weights.append(template.tokens_per_s)
        return state

    def _get_or_add_load(self, engine: EngineTarget) -> TargetLoad:
        self.engines[engine.target] = engine
        return self.load_table.get_or_add(
            engine.target, engine.layer_tokens_per_s, engine.concurrency
        )

    def remove_engines(self, used_targets: set[TargetId]) -> set[TargetId]:
        """Remove the engines that are no longer used; return their ids."""
        removed = set(self.engines) - used_targets
        for target in removed:
            del self.engines[target]
        return removed
