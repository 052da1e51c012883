"""Search for the cheapest path over given targets, at given costs.

The search is a dynamic program over the layer boundaries. For each boundary and target
it keeps the cheapest way to get there, so its work grows with the number of targets and
boundaries and not with the number of paths.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from chervilstall.fleet.records import LayerRange, Pipeline, Target, TargetReadiness
from chervilstall.ids import TargetId, ZoneName
from chervilstall.paths.boundaries import layer_boundaries, layer_exits
from chervilstall.paths.records import Path, PathRequest, PathStage
from chervilstall.paths.zone_costs import ZONE_CHANGE_MS, entry_ms


@dataclass
class SearchNode:
    """Cheapest path found so far that runs all layers up to a boundary.

    `stage` is its last stage, and `before` the node that it continues.
    """

    cost_ms: float
    stage: PathStage
    before: "SearchNode | None"

    def path(self) -> Path:
        """Return the path that ends here."""
        stages: list[PathStage] = []
        current: SearchNode | None = self
        while current is not None:
            stages.append(current.stage)
            current = current.before
        return Path(tuple(reversed(stages)))


@dataclass(frozen=True)
class CostedPath:
    """A path and its cost, all penalties included."""

    path: Path
    cost_ms: float


@dataclass(frozen=True)
class SearchCosts:
    """Costs of targets in one search, by target ID.

    `layer_ms` is the cost of each layer that a path runs at a target, `target_ms` that
    of using the target at all, with its random part.
    """

    layer_ms: dict[TargetId, float]
    target_ms: dict[TargetId, float]


@dataclass
class PathSearch:
    """Finds the cheapest path of a request from a router in `zone`."""

    pipeline: Pipeline
    targets: list[Target]
    request: PathRequest
    zone: ZoneName
    costs: SearchCosts

    def find(self, may_exit_early: bool) -> CostedPath | None:
        """Return the cheapest path, or None if there is none.

        With `may_exit_early`, a path may leave a target before the end of its layers.
        """
        last = self.pipeline.layers
        starts = sorted({target.layers.first for target in self.targets})
        reached: dict[int, dict[TargetId, SearchNode]] = defaultdict(dict)
        for boundary in layer_boundaries(self.targets, last):
            if boundary >= last:
                break
            self._extend(boundary, reached, starts, may_exit_early)
        ends = reached[last].values()
        best = min(ends, key=lambda node: node.cost_ms, default=None)
        return None if best is None else CostedPath(best.path(), best.cost_ms)

    def _extend(
        self,
        boundary: int,
        reached: dict[int, dict[TargetId, SearchNode]],
        starts: list[int],
        may_exit_early: bool,
    ) -> None:
        """Extend the paths that reach a boundary by a stage at each possible target.

        `reached` holds the cheapest node for each boundary and last target. `starts`
        are the first layers of all targets, in ascending order.
        """
        cheapest = _cheapest_by_zone(reached[boundary].values())
        for target in self.targets:
            if not target.layers.first <= boundary < target.layers.end:
                continue
            entry = self._cheapest_entry(boundary, target, cheapest)
            if entry is None:
                continue
            entered_ms, before = entry
            entered_ms += self.costs.target_ms[target.id]
            layer_ms = self.costs.layer_ms[target.id]
            for exit_layer in layer_exits(boundary, target, starts, may_exit_early):
                end = min(exit_layer, self.pipeline.layers)
                cost_ms = entered_ms + (end - boundary) * layer_ms
                known = reached[end].get(target.id)
                if known is None or cost_ms < known.cost_ms:
                    stage = PathStage(target, LayerRange(boundary, end))
                    reached[end][target.id] = SearchNode(cost_ms, stage, before)

    def _cheapest_entry(
        self,
        boundary: int,
        target: Target,
        cheapest: dict[ZoneName, list[SearchNode]],
    ) -> tuple[float, SearchNode | None] | None:
        """Return the cheapest way to enter a target at a boundary, or None.

        The result is the cost and the node to continue from, which is None at the first
        layer. `cheapest` are the cheapest paths that reach the boundary, by the zone of
        their last target. A draining target may begin a path, but refuses to be a later
        stage.
        """
        if boundary == 0:
            if self.request.first is not None and target.id != self.request.first:
                return None
            if target.id in self.request.avoid_first:
                return None
            return entry_ms(self.zone, target), None
        if target.state is TargetReadiness.DRAINING:
            return None
        best: tuple[float, SearchNode | None] | None = None
        for zone, nodes in cheapest.items():
            change_ms = 0.0 if zone == target.zone else ZONE_CHANGE_MS
            for node in nodes:
                if node.stage.target.id == target.id:
                    continue
                if best is None or node.cost_ms + change_ms < best[0]:
                    best = node.cost_ms + change_ms, node
                break
        return best


def _cheapest_by_zone(nodes: Iterable[SearchNode]) -> dict[ZoneName, list[SearchNode]]:
    """Return the two cheapest nodes of each zone, the cheapest first.

    The two end at different targets, so that at least one may continue at any target.
    """
    cheapest: dict[ZoneName, list[SearchNode]] = {}
    for node in nodes:
        best = cheapest.setdefault(node.stage.target.zone, [])
        if not best or node.cost_ms < best[0].cost_ms:
            best.insert(0, node)
        elif len(best) < 2 or node.cost_ms < best[1].cost_ms:
            best.insert(1, node)
        del best[2:]
    return cheapest
