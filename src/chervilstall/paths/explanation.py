"""Describes the choice of a path: the next best ones, and the parts of their costs.

The parts come from the functions that `PathChooser` uses to search. Nothing here
changes the chooser, which the caller passes without a random generator.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from chervilstall.fleet.records import Pipeline, Service, Target
from chervilstall.ids import TargetId
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.prompt_cost import PrefillCosts
from chervilstall.paths.records import Path, PathRequest, PathStage
from chervilstall.paths.spread import TargetCost, spread_costs_ms
from chervilstall.paths.zone_costs import entry_ms, zone_change_ms

SEARCHES_MAX = 24
"""Searches for next best paths; each takes as long as that of a request."""

ChoosePath = Callable[[frozenset[TargetId]], Path | None]
"""Returns the path that would be chosen without the given targets, or None."""


def _no_yield() -> None:
    """Continue without yielding."""


@dataclass(frozen=True)
class PathCost:
    """The cost of a path in ms, by named part; `stages_ms` are those of its stages."""

    parts_ms: dict[str, float]
    stages_ms: tuple[float, ...]

    @property
    def total_ms(self) -> float:
        """Return the sum of the parts."""
        return sum(self.parts_ms.values())


@dataclass
class PathCoster:
    """Calculates the costs of paths for one request, without their random part.

    The least load cost that a target counts with (`spread_costs_ms`) is calculated over
    all targets that the request may use.
    """

    chooser: PathChooser
    service: Service
    request: PathRequest
    pipeline: Pipeline = field(init=False)
    _prefill: PrefillCosts = field(init=False)
    _costs: dict[TargetId, TargetCost] = field(init=False)
    _spread_ms: dict[TargetId, float] = field(init=False)

    def __post_init__(self) -> None:
        assert self.service.pipeline is not None
        self.pipeline = self.service.pipeline
        targets = self.chooser.candidates(self.service, self.request)
        tokens = self.request.tokens
        self._prefill = self.chooser.prefill_costs(self.pipeline, targets, self.request)
        self._costs = self.chooser.target_costs(targets, tokens, self._prefill)
        self._spread_ms = {}
        if self.chooser.counts_reports:
            self._spread_ms = spread_costs_ms(targets, self._costs, None)

    def is_known(self, path: Path) -> bool:
        """Return whether the cost of every target of a path is known."""
        return all(stage.target.id in self._costs for stage in path.stages)

    def cost(self, path: Path) -> PathCost:
        """Return the cost of a path of targets that the request may use."""
        parts_ms: dict[str, float] = {}
        stages_ms: list[float] = []
        before: Target | None = None
        for stage in path.stages:
            stage_parts_ms = self._stage_parts_ms(stage, before)
            before = stage.target
            stages_ms.append(sum(stage_parts_ms.values()))
            for name, part_ms in stage_parts_ms.items():
                parts_ms[name] = parts_ms.get(name, 0.0) + part_ms
        return PathCost(parts_ms, tuple(stages_ms))

    def _stage_parts_ms(
        self, stage: PathStage, before: Target | None
    ) -> dict[str, float]:
        target = stage.target
        cost = self._costs[target.id]
        known_ms = cost.other_ms + cost.load_ms
        floor_ms = self._spread_ms.get(target.id, known_ms) - known_ms
        layer_ms = self.chooser.layer_ms(self.pipeline, target)
        prefill_ms = self._prefill.layer_ms(target)
        first_ms = entry_ms(self.chooser.zone, target) if before is None else 0.0
        change_ms = 0.0 if before is None else zone_change_ms(before, target)
        return {
            "decode_step": len(stage.layers) * layer_ms,
            "hop": cost.hop_ms,
            "requests_in_flight": cost.requests_ms,
            "prefill_backlog": cost.prefill_ms,
            "own_prefill": len(stage.layers) * prefill_ms,
            "memory_use": cost.memory_ms,
            "load_floor": floor_ms,
            "slow_target": cost.slow_ms,
            "draining_target": cost.draining_ms,
            "full_target": cost.full_ms,
            "first_in_other_zone": first_ms,
            "zone_changes": change_ms,
        }


def find_paths(
    choose: ChoosePath,
    cost_ms: Callable[[Path], float],
    count: int,
    yield_control: Callable[[], object] = _no_yield,
) -> list[Path]:
    """Return the path that would be chosen, and the next best ones by their cost.

    No two paths use the same targets in the same order. Each next path is the cheapest
    one found by searches that leave out a target of each path before it. While routers
    report their load, the least load cost of a target depends on the other targets of
    the search, so a path of nearly equal cost may be missed. `yield_control` is called
    between searches.
    """
    paths: list[Path] = []
    chosen = choose(frozenset())
    if chosen is None:
        return paths
    queue = [(0.0, 0, chosen, frozenset[TargetId]())]
    found: set[tuple[TargetId, ...]] = set()
    searched: set[frozenset[TargetId]] = set()
    while queue and len(paths) < count:
        _, _, path, avoided = heapq.heappop(queue)
        ids = tuple(stage.target.id for stage in path.stages)
        if ids not in found:
            found.add(ids)
            paths.append(path)
        if len(paths) == count:
            break
        for target_id in ids:
            without = avoided | {target_id}
            if without in searched or len(searched) >= SEARCHES_MAX:
                continue
            searched.add(without)
            yield_control()
            other = choose(without)
            if other is not None:
                entry = (cost_ms(other), len(searched), other, without)
                heapq.heappush(queue, entry)
    return [chosen, *sorted(paths[1:], key=cost_ms)]
