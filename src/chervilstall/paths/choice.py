"""Choice of the path of a request through a model pipeline, by its cost.

The cost of a path is in milliseconds per decode step: the pass time of each stage, a
hop for each target, and penalties for crossing availability zones, for targets short
of memory and for targets that are draining.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from chervilstall.fleet.records import (
    Pipeline,
    Service,
    Target,
    TargetIncarnation,
    TargetReadiness,
)
from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId, ZoneName
from chervilstall.paths.capacity import step_factor, token_capacity
from chervilstall.paths.estimate import LoadEstimate
from chervilstall.paths.load import LoadTracker
from chervilstall.paths.peer_loads import PeerLoads
from chervilstall.paths.prompt_cost import PrefillCosts
from chervilstall.paths.records import Path, PathRequest, PathStage
from chervilstall.paths.search import CostedPath, PathSearch, SearchCosts
from chervilstall.paths.spread import TargetCost, spread_costs_ms
from chervilstall.paths.zone_costs import REMOTE_ZONE_MS, ZONE_CHANGE_MS

HOP_MS = 0.3
DRAINING_MS = 60.0
REQUEST_MS = 0.02
"""Cost per request of this router already at the target."""

JITTER_MS = 2.0
"""Mean of the random part of a target's cost.

Routers have the same information and would all choose the same targets. With the
jitter, interchangeable targets get requests in proportion to their free capacity.
"""

JITTER_MAX = 3.0
"""Upper bound of the random part, as a multiple of `JITTER_MS`."""

FULL_MS = 40.0
"""Penalty for a target that recently had no room for a request."""

USE_THRESHOLD = 0.5
USE_MS = 40.0
"""Factor of the squared share of a target's memory in use beyond `USE_THRESHOLD`.

The use is estimated as if the other routers did the same as this one. Requests thus
spread over zones well before targets run out of memory and preempt requests.
"""

SIMILAR_ROUTERS_MIN = 8
"""Least number of routers assumed to act like this one, if that many run at all.

Where a zone has more routers, as many are assumed as a zone has on average.
"""

SLOW_MS = 15.0


@dataclass
class PathChooser:
    """Chooses paths for the requests of one router.

    `zone` is the router's own zone. `zone_count` and `router_count` are the numbers of
    zones and of running routers, from which the load by other routers is estimated;
    `zone_routers` is the number of those in the router's zone, or 0 if not known.
    `load` counts this router's own requests. `peer_loads` holds those that others
    report; they count in the choice of a path while `guides_paths` returns true. The
    prompts that others have queued also count while `weighs_prompts` returns true.
    Without `rng`, costs have no random part.
    """

    fleet_view: FleetView
    zone: ZoneName
    zone_count: int = 1
    router_count: int = 1
    rng: random.Random | None = field(default_factory=random.Random)
    load: LoadTracker = field(default_factory=LoadTracker)
    peer_loads: PeerLoads = field(default_factory=PeerLoads)
    guides_paths: Callable[[], bool] = lambda: True
    weighs_prompts: Callable[[], bool] = lambda: False
    zone_routers: int = 0
    _no_loads: PeerLoads = field(default_factory=PeerLoads)

    def choose(self, service: Service, request: PathRequest) -> Path | None:
        """Return the cheapest path for a request, or None if there is none.

        The service must have a pipeline. There is no path when some layer is held by no
        target that may be used.
        """
        assert service.pipeline is not None
        targets = self.candidates(service, request)
        local = [target for target in targets if target.zone == self.zone]
        found = self._find_valid(service.pipeline, local, request)
        if found is not None:
            # Most requests end here: with penalties below that for another zone, the
            # other zones need no search.
            normal_ms = self.step_ms(service.pipeline, found.path)
            jitter_ms = JITTER_MS * len(found.path.stages)
            if found.cost_ms - normal_ms - jitter_ms < REMOTE_ZONE_MS:
                return found.path
        found = self._find_in_zones(service.pipeline, targets, request)
        return None if found is None else found.path

    def _find_in_zones(
        self, pipeline: Pipeline, targets: list[Target], request: PathRequest
    ) -> CostedPath | None:
        """Return the cheapest path over all targets.

        A search's work grows with the square of the targets and more, so each zone is
        searched by itself first. A path that changes zones costs more than the penalty
        for that, so it is looked for only if no path inside a zone costs less.
        """
        costs = self._search_costs(pipeline, targets, request)
        by_zone: dict[ZoneName, list[Target]] = defaultdict(list)
        for target in targets:
            by_zone[target.zone].append(target)
        best: CostedPath | None = None
        for members in by_zone.values():
            found = self._find_valid(pipeline, members, request, costs)
            if found is not None and (best is None or found.cost_ms < best.cost_ms):
                best = found
        if len(by_zone) == 1 or (best is not None and best.cost_ms < ZONE_CHANGE_MS):
            return best
        return self._find_valid(pipeline, targets, request, costs) or best

    def _find_valid(
        self,
        pipeline: Pipeline,
        targets: list[Target],
        request: PathRequest,
        costs: SearchCosts | None = None,
    ) -> CostedPath | None:
        """Return the cheapest path that uses no target twice and is not too long.

        A second search lets paths leave a target only at the end of its layers, which
        gives fewer and longer stages. Without `costs`, each search draws its own.
        """
        for may_exit_early in (True, False):
            drawn = costs or self._search_costs(pipeline, targets, request)
            search = PathSearch(pipeline, targets, request, self.zone, drawn)
            found = search.find(may_exit_early)
            if found is None:
                return None
            if found.path.is_valid:
                return found
        return None

    def candidates(self, service: Service, request: PathRequest) -> list[Target]:
        """Return the targets that a path of a request may use."""
        candidates: list[Target] = []
        for target in self.fleet_view.targets.values():
            if target.service != service.name or not len(target.layers):
                continue
            if target.id in request.avoid or self.fleet_view.is_suspected(target):
                continue
            if self.fleet_view.is_usable(target):
                candidates.append(target)
        return candidates

    def _search_costs(
        self, pipeline: Pipeline, targets: list[Target], request: PathRequest
    ) -> SearchCosts:
        prefill = self.prefill_costs(pipeline, targets, request)
        layer_ms = {
            target.id: self.layer_ms(pipeline, target) + prefill.layer_ms(target)
            for target in targets
        }
        target_ms = self._target_costs_ms(targets, request.tokens, prefill)
        return SearchCosts(layer_ms, target_ms)

    def layer_ms(self, pipeline: Pipeline, target: Target) -> float:
        """Return the time that a target takes for one layer in a decode step."""
        slowness = self.fleet_view.slowness.get(target.incarnation, 1.0)
        factor = step_factor(pipeline, target)
        return pipeline.step_ms * factor * slowness / pipeline.layers

    def step_ms(self, pipeline: Pipeline, path: Path) -> float:
        """Return the expected decode step time of a path without slow targets."""
        total_ms = 0.0
        for stage in path.stages:
            factor = step_factor(pipeline, stage.target)
            share = len(stage.layers) / pipeline.layers
            total_ms += HOP_MS + pipeline.step_ms * factor * share
        return total_ms

    def prefill_wait_s(
        self, pipeline: Pipeline, path: Path, tokens: float, before: Path | None = None
    ) -> float:
        """Return the time until every stage of a path has prefilled a prompt.

        Where a request moves from the path `before`, stages that both paths share have
        prefilled it already. Routers that don't report are assumed to send as many
        prompts, since they have the same information as this one.
        """
        longest_s = 0.0
        estimate = self._prefill_estimate
        for stage in path.stages_added(before):
            own_s = _prefill_s(pipeline, stage, tokens)
            wait_s = estimate.prefill_backlog_s(stage.target.incarnation, own_s)
            longest_s = max(longest_s, wait_s)
        transfer_s = self._transfer_s(pipeline, path, tokens)
        if not transfer_s:
            return longest_s
        return max(longest_s, self.load.transfer_backlog_s() + transfer_s)

    def note_prefill(
        self, pipeline: Pipeline, path: Path, tokens: float, before: Path | None = None
    ) -> None:
        """Queue a prompt at the stages of a path that have yet to prefill it.

        Routers that don't report are assumed to queue as much as those whose prompts
        are known do on average.
        """
        estimate = self._prefill_estimate
        for stage in path.stages_added(before):
            own_s = _prefill_s(pipeline, stage, tokens)
            incarnation = stage.target.incarnation
            peers_s = estimate.peers.prefill_backlog_s(incarnation)
            self.load.add_prefill(incarnation, own_s, peers_s, estimate.unseen_factor)
        self.load.add_transfer(self._transfer_s(pipeline, path, tokens))

    def _transfer_s(self, pipeline: Pipeline, path: Path, tokens: float) -> float:
        return (
            path.zone_changes
            * pipeline.token_transfer_s
            * tokens
            * self._similar_routers
        )

    def _target_costs_ms(
        self, targets: list[Target], tokens: float, prefill: PrefillCosts
    ) -> dict[TargetId, float]:
        costs = self.target_costs(targets, tokens, prefill)
        if self.counts_reports:
            return spread_costs_ms(targets, costs, self.rng)
        capacities = [cost.capacity_tokens for cost in costs.values()]
        mean_capacity = sum(capacities) / max(1, len(capacities))
        costs_ms: dict[TargetId, float] = {}
        for target_id, cost in costs.items():
            draw = 0.0 if self.rng is None else self.rng.expovariate(1.0)
            jitter = draw * mean_capacity / cost.capacity_tokens
            cost_ms = cost.other_ms + cost.load_ms
            costs_ms[target_id] = cost_ms + JITTER_MS * min(jitter, JITTER_MAX)
        return costs_ms

    def prefill_costs(
        self, pipeline: Pipeline, targets: list[Target], request: PathRequest
    ) -> PrefillCosts:
        """Return the prefill component of the targets' costs for a request."""
        estimate = self._prefill_estimate
        return PrefillCosts(pipeline, estimate, request.prompt, self.zone, targets)

    def target_costs(
        self, targets: list[Target], tokens: float, prefill: PrefillCosts
    ) -> dict[TargetId, TargetCost]:
        """Return the costs of targets for a request, without their random part."""
        estimate = self._estimate
        costs: dict[TargetId, TargetCost] = {}
        for target in targets:
            capacity_tokens = max(1.0, token_capacity(prefill.pipeline, target))
            costs[target.id] = self._target_cost(
                target, tokens, capacity_tokens, estimate, prefill
            )
        return costs

    def _target_cost(
        self,
        target: Target,
        tokens: float,
        capacity_tokens: float,
        estimate: LoadEstimate,
        prefill: PrefillCosts,
    ) -> TargetCost:
        incarnation = target.incarnation
        is_draining = target.state is TargetReadiness.DRAINING
        use = estimate.tokens(incarnation, tokens) / capacity_tokens
        return TargetCost(
            requests_ms=REQUEST_MS * self.load.requests.get(incarnation, 0),
            prefill_ms=prefill.backlog_ms(incarnation),
            memory_ms=USE_MS * max(0.0, use - USE_THRESHOLD) ** 2,
            hop_ms=HOP_MS,
            slow_ms=SLOW_MS if incarnation in self.fleet_view.slowness else 0.0,
            draining_ms=DRAINING_MS if is_draining else 0.0,
            full_ms=FULL_MS if self.load.is_full(incarnation) else 0.0,
            capacity_tokens=capacity_tokens,
        )

    def estimated_tokens(self, incarnation: TargetIncarnation) -> float:
        """Return the tokens in flight of all routers at a target, as estimated here."""
        return self._estimate.tokens(incarnation)

    @property
    def _estimate(self) -> LoadEstimate:
        return self._estimate_with(self._path_loads)

    @property
    def _prefill_estimate(self) -> LoadEstimate:
        """Return the estimate of load by which queued prompts are counted."""
        peers = self.peer_loads if self.weighs_prompts() else self._path_loads
        return self._estimate_with(peers)

    def _estimate_with(self, peers: PeerLoads) -> LoadEstimate:
        return LoadEstimate(self.load, peers, self._unseen_factor(peers))

    @property
    def counts_reports(self) -> bool:
        """Return whether load that other routers report counts in the choice."""
        return bool(self._path_loads.reporting_routers)

    @property
    def _path_loads(self) -> PeerLoads:
        """Return the reported load that counts in the choice of a path."""
        return self.peer_loads if self.guides_paths() else self._no_loads

    def _unseen_factor(self, peers: PeerLoads) -> float:
        """Return the load of all routers as a multiple of the load that is known.

        Routers that don't report are assumed to load a target as those do on average
        whose load is known, this one included.
        """
        reporting_routers = peers.reporting_routers
        if not reporting_routers:
            return self._similar_routers
        return max(1.0, self.routers_of_zone / (1 + reporting_routers))

    @property
    def routers_of_zone(self) -> float:
        """Return the number of routers in the zone, or the mean number in a zone."""
        return self.zone_routers or self.router_count / self.zone_count

    @property
    def _similar_routers(self) -> float:
        """Return how many routers are assumed to load a target as this one does."""
        return min(
            self.router_count,
            max(SIMILAR_ROUTERS_MIN, self.router_count / self.zone_count),
        )


def _prefill_s(pipeline: Pipeline, stage: PathStage, tokens: float) -> float:
    return pipeline.prefill_s(stage.target.accelerator, stage.layers, tokens)
