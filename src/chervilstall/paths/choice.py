"""The cheapest path of a request through targets that hold parts of a model.

Cost is counted in milliseconds per token step: the pass time of each part, a hop for
each target, and penalties for leaving an availability zone, for targets short of
memory and for targets that are leaving. The search goes from layer to layer and keeps
the cheapest way to finish a boundary on each target, so that its work grows with the
targets and not with the paths.
"""

import random
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from chervilstall.fleet.records import (
    BYTES_PER_MB,
    LayerRange,
    Pipeline,
    Service,
    Target,
    TargetReadiness,
)
from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId, ZoneName
from chervilstall.paths.load import LoadTracker
from chervilstall.paths.records import Path, PathStage

HOP_MS = 0.3
AWAY_MS = 10.0
"""Added for a path that begins outside the router's availability zone."""

ZONE_CHANGE_MS = 150.0
"""Added where a path changes zones: every token's activations cross shared links."""

LEAVING_MS = 60.0
REQUEST_MS = 0.02
"""Added per request of this router already at the target."""

SPREAD_MS = 2.0
"""Mean of the random part of a target's cost.

Routers know the same and would all choose the same targets; with it, targets that
can replace each other get requests in proportion to their room for them.
"""

SPREAD_MAX = 3.0
FULL_MS = 40.0
"""Added where a target had no room for a request a moment ago."""

USE_FREE = 0.5
USE_MS = 40.0
"""Added per square of the part of a target's memory in use beyond `USE_FREE`.

The use is estimated as if the other routers did the same as this one. Requests so
spread over zones well before targets run out of memory and preempt.
"""

ALIKE_MAX = 8
"""Routers that are taken to do the same, where a zone has no more than these."""

READ_WEIGHT = 0.1
"""Cost of a wait behind prompts that are read, against a lasting delay of each step."""

SLOW_MS = 15.0
PARTS_MAX = 32
UNKNOWN_STEP_FACTOR = 20.0
MEMORY_ROUNDING = 1e-9


@dataclass(frozen=True)
class PathRequest:
    """What a request needs: its tokens, targets to avoid, and its first target."""

    tokens: float
    avoid: frozenset[TargetId] = frozenset()
    first: TargetId | None = None


@dataclass
class _Step:
    """The cheapest way found to run all layers up to a boundary, ending on a target."""

    cost_ms: float
    part: PathStage
    before: "_Step | None"


@dataclass(frozen=True)
class _Found:
    """A path and its cost with every penalty."""

    path: Path
    cost_ms: float


@dataclass
class PathChooser:
    """Chooses paths for the requests of one router."""

    fleet_view: FleetView
    zone: ZoneName
    zone_count: int = 1
    router_count: int = 1
    rng: random.Random = field(default_factory=random.Random)
    load: LoadTracker = field(default_factory=LoadTracker)

    def choose(self, service: Service, request: PathRequest) -> Path | None:
        """Return the cheapest path, or None where the layers are not covered."""
        assert service.pipeline is not None
        targets = self._targets(service, request)
        near = [target for target in targets if target.zone == self.zone]
        found = self._sound(service.pipeline, near, request)
        if found is not None:
            # Most requests end here, without a look at the other zones.
            usual_ms = self.step_ms(service.pipeline, found.path)
            spread_ms = SPREAD_MS * len(found.path.stages)
            if found.cost_ms - usual_ms - spread_ms < AWAY_MS:
                return found.path
        found = self._sound(service.pipeline, targets, request)
        return None if found is None else found.path

    def _sound(
        self, pipeline: Pipeline, targets: list[Target], request: PathRequest
    ) -> "_Found | None":
        """Return the cheapest path that names no target twice and is not too long."""
        for may_leave_early in (True, False):
            found = self._search(pipeline, targets, request, may_leave_early)
            if found is None:
                return None
            if _is_sound(found.path):
                return found
        return None

    def _targets(self, service: Service, request: PathRequest) -> list[Target]:
        chosen: list[Target] = []
        for target in self.fleet_view.targets.values():
            if target.service != service.name or not len(target.layers):
                continue
            if target.id in request.avoid or self.fleet_view.is_suspected(target):
                continue
            if self.fleet_view.is_usable(target):
                chosen.append(target)
        return chosen

    def _search(
        self,
        pipeline: Pipeline,
        targets: list[Target],
        request: PathRequest,
        may_leave_early: bool,
    ) -> "_Found | None":
        boundaries = _boundaries(targets, pipeline.layers)
        starts = sorted({target.layers.first for target in targets})
        layer_ms = {target.id: self._layer_ms(pipeline, target) for target in targets}
        fixed_ms = self._fixed_costs(pipeline, targets, request.tokens)
        reached: dict[int, dict[TargetId, _Step]] = defaultdict(dict)
        for boundary in boundaries:
            if boundary >= pipeline.layers:
                break
            for target in targets:
                if not target.layers.first <= boundary < target.layers.end:
                    continue
                entry = self._entry(boundary, target, reached[boundary], request)
                if entry is None:
                    continue
                entry_ms, before = entry
                entry_ms += fixed_ms[target.id]
                for end in _exits(boundary, target, starts, may_leave_early):
                    layers = LayerRange(boundary, min(end, pipeline.layers))
                    cost_ms = entry_ms + len(layers) * layer_ms[target.id]
                    known = reached[layers.end].get(target.id)
                    if known is None or cost_ms < known.cost_ms:
                        step = _Step(cost_ms, PathStage(target, layers), before)
                        reached[layers.end][target.id] = step
        ends = reached[pipeline.layers].values()
        best = min(ends, key=lambda step: step.cost_ms, default=None)
        return None if best is None else _Found(Path(_parts(best)), best.cost_ms)

    def _entry(
        self,
        boundary: int,
        target: Target,
        finished: dict[TargetId, _Step],
        request: PathRequest,
    ) -> tuple[float, _Step | None] | None:
        """Return the cheapest cost of entering a target at a boundary.

        A target that is leaving still begins requests, but takes no other part.
        """
        if boundary == 0:
            if request.first is not None and target.id != request.first:
                return None
            is_away = target.zone != self.zone
            return (AWAY_MS if is_away else 0.0), None
        if target.state is TargetReadiness.DRAINING:
            return None
        best: tuple[float, _Step | None] | None = None
        for name, step in finished.items():
            if name == target.id:
                continue
            cost_ms = step.cost_ms
            if step.part.target.zone != target.zone:
                cost_ms += ZONE_CHANGE_MS
            if best is None or cost_ms < best[0]:
                best = cost_ms, step
        return best

    def _layer_ms(self, pipeline: Pipeline, target: Target) -> float:
        slowness = self.fleet_view.slowness.get(target.incarnation, 1.0)
        factor = _step_factor(pipeline, target)
        return pipeline.step_ms * factor * slowness / pipeline.layers

    def step_ms(self, pipeline: Pipeline, path: Path) -> float:
        """Return the expected time of one step over a path with no target slow."""
        total_ms = 0.0
        for part in path.stages:
            factor = _step_factor(pipeline, part.target)
            share = len(part.layers) / pipeline.layers
            total_ms += HOP_MS + pipeline.step_ms * factor * share
        return total_ms

    def prefill_wait_s(
        self, pipeline: Pipeline, path: Path, tokens: float, before: Path | None = None
    ) -> float:
        """Return how long a prompt takes until it is read at every part of a path.

        Parts that the path shares with the one `before` it have read it already. The
        other routers are taken to send as many, since they see what this one sees.
        """
        longest_s = 0.0
        for part in _new_parts(path, before):
            own_s = pipeline.prefill_s(part.target.accelerator, part.layers, tokens)
            wait_s = self.load.reading_s(part.target.incarnation) + own_s * self._alike
            longest_s = max(longest_s, wait_s)
        piped_s = self._piped_s(pipeline, path, tokens)
        if not piped_s:
            return longest_s
        return max(longest_s, self.load.piping_s() + piped_s)

    def note_prefill(
        self, pipeline: Pipeline, path: Path, tokens: float, before: Path | None = None
    ) -> None:
        """Count the prompt of a request that begins on a path, here and elsewhere."""
        for part in _new_parts(path, before):
            own_s = pipeline.prefill_s(part.target.accelerator, part.layers, tokens)
            self.load.add_reading(part.target.incarnation, own_s * self._alike)
        self.load.add_piping(self._piped_s(pipeline, path, tokens))

    def _piped_s(self, pipeline: Pipeline, path: Path, tokens: float) -> float:
        return path.zone_changes * pipeline.token_transfer_s * tokens * self._alike

    def _fixed_costs(
        self, pipeline: Pipeline, targets: list[Target], tokens: float
    ) -> dict[TargetId, float]:
        rooms = {
            target.id: max(1.0, token_capacity(pipeline, target)) for target in targets
        }
        mean = sum(rooms.values()) / max(1, len(rooms))
        costs: dict[TargetId, float] = {}
        for target in targets:
            room = rooms[target.id]
            spread = self.rng.expovariate(1.0) * mean / room
            cost_ms = self._fixed_ms(target, tokens, room)
            costs[target.id] = cost_ms + SPREAD_MS * min(spread, SPREAD_MAX)
        return costs

    def _fixed_ms(self, target: Target, tokens: float, room_tokens: float) -> float:
        cost_ms = HOP_MS + REQUEST_MS * self.load.requests.get(target.incarnation, 0)
        cost_ms += READ_WEIGHT * self.load.reading_s(target.incarnation) * 1e3
        if target.incarnation in self.fleet_view.slowness:
            cost_ms += SLOW_MS
        if target.state is TargetReadiness.DRAINING:
            cost_ms += LEAVING_MS
        if self.load.is_full(target.incarnation):
            cost_ms += FULL_MS
        own_tokens = self.load.tokens.get(target.incarnation, 0.0) + tokens
        use = own_tokens * self._alike / room_tokens
        return cost_ms + USE_MS * max(0.0, use - USE_FREE) ** 2

    @property
    def _alike(self) -> float:
        """Return how many routers are taken to use a target as this one does."""
        return min(
            self.router_count, max(ALIKE_MAX, self.router_count / self.zone_count)
        )


def _new_parts(path: Path, before: Path | None) -> list[PathStage]:
    if before is None:
        return list(path.stages)
    return [part for part in path.stages if part not in before.stages]


def _step_factor(pipeline: Pipeline, target: Target) -> float:
    """Return a target's time for a step against the fastest kind's."""
    kind = pipeline.accelerators.get(target.accelerator)
    return kind.step_factor if kind is not None else UNKNOWN_STEP_FACTOR


def token_capacity(pipeline: Pipeline, target: Target) -> float:
    """Return the tokens of requests that fit beside the layers a target holds."""
    kind = pipeline.accelerators.get(target.accelerator)
    held = len(target.layers)
    if kind is None or not held:
        return 0.0
    free_mb = kind.memory_mb - held * pipeline.layer_mb
    token_mb = pipeline.kv_bytes_per_token / pipeline.layers * held / BYTES_PER_MB
    return max(0.0, free_mb / max(token_mb, MEMORY_ROUNDING))


def _boundaries(targets: Iterable[Target], layers: int) -> list[int]:
    found = {0, layers}
    for target in targets:
        found.add(target.layers.first)
        found.add(target.layers.end)
    return sorted(found)


def _exits(
    boundary: int, target: Target, starts: list[int], may_leave_early: bool
) -> list[int]:
    """Return where a path may leave a target: at its end, or where another begins."""
    end = target.layers.end
    if not may_leave_early:
        return [end]
    return [start for start in starts if boundary < start < end] + [end]


def _parts(step: _Step) -> tuple[PathStage, ...]:
    parts: list[PathStage] = []
    current: _Step | None = step
    while current is not None:
        parts.append(current.part)
        current = current.before
    return tuple(reversed(parts))


def _is_sound(path: Path) -> bool:
    names = {part.target.id for part in path.stages}
    return len(names) == len(path.stages) <= PARTS_MAX
