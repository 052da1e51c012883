"""The ranked paths of a stream, or targets of a plain request, with their costs."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import cached_property

import gevent

from chervilstall.edge.app import EdgeApplication
from chervilstall.edge.limits.attempts import AttemptLimit
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.plain_relay import PlainTargetChooser
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.streams.paths import StreamPaths
from chervilstall.edge.where.targets import entries_age_s
from chervilstall.fleet.records import Target
from chervilstall.ids import TargetId
from chervilstall.paths.choice import JITTER_MAX, JITTER_MS, PathChooser
from chervilstall.paths.explanation import PathCost, PathCoster, find_paths
from chervilstall.paths.records import Path, PathRequest
from chervilstall.paths.spread import NOISE_MAX, NOISE_MIN, SPREAD_MS
from chervilstall.where_answer import (
    PATHS_MAX,
    RANDOM,
    CostPart,
    RankedPath,
    StageAnswer,
)

MS_PER_STEP = "ms per decode step"
REQUESTS = "requests"
CONFIGURATION = "configuration and accelerator type"
OWN_LOAD = "this router's requests"
ENTRIES = "entries of targets"
REFUSALS = "refusals seen by this router"
REPORTS = "reports of targets"
_FIXED_SOURCES = {
    "decode_step": CONFIGURATION,
    "hop": CONFIGURATION,
    "requests_in_flight": OWN_LOAD,
    "slow_target": REPORTS,
    "draining_target": ENTRIES,
    "full_target": REFUSALS,
    "first_in_other_zone": CONFIGURATION,
    "zone_changes": CONFIGURATION,
}


def _yield_to_other_tasks() -> None:
    gevent.sleep(0)


@dataclass
class StreamRanking:
    """Ranks the paths of one stream, by a copy of the router's chooser."""

    chooser: PathChooser
    rate_limiter: TargetRateLimiter
    request: EdgeRequest
    yield_control: Callable[[], object] = _yield_to_other_tasks
    _search_coster: PathCoster | None = None

    @classmethod
    def of(cls, app: EdgeApplication, request: EdgeRequest) -> "StreamRanking":
        """Return the ranking by snapshots of a router's state."""
        context = app.stream_context
        chooser = replace(
            context.chooser, rng=None, peer_loads=context.chooser.peer_loads.snapshot()
        )
        return cls(chooser, context.rate_limiter.snapshot(), request)

    @cached_property
    def found(self) -> list[Path]:
        """Return the chosen path and the next best ones."""
        return find_paths(self._choose, self._cost_ms, PATHS_MAX, self.yield_control)

    def _choose(self, avoid: frozenset[TargetId]) -> Path | None:
        attempts = AttemptLimit(self.chooser.fleet_view, self.request.attempts_max)
        paths = StreamPaths(
            self.chooser,
            self.rate_limiter,
            self.request,
            attempts,
            refusing=set(avoid),
        )
        return paths.choose()

    def _cost_ms(self, path: Path) -> float:
        """Return the cost by which the search orders a path.

        The costs of targets are calculated for the first path and only again if a path
        uses a target without one, so that a search takes no longer than one choice.
        """
        coster = self._search_coster
        if coster is None or not coster.is_known(path):
            coster = self._search_coster = self._coster()
        return coster.cost(path).total_ms

    def _coster(self) -> PathCoster:
        prompt = self.request.prompt if self.chooser.weighs_prompts() else None
        path_request = PathRequest(self.request.expected_tokens, prompt=prompt)
        return PathCoster(self.chooser, self.request.service, path_request)

    def usable(self) -> frozenset[TargetId]:
        """Return the targets that paths may use."""
        return frozenset(target.id for target in self._candidates())

    def _candidates(self) -> list[Target]:
        path_request = PathRequest(self.request.expected_tokens)
        return self.chooser.candidates(self.request.service, path_request)

    def ranked(self) -> tuple[RankedPath, ...]:
        """Return the paths with their costs, all of this moment."""
        found = self.found
        self.yield_control()
        coster = self._coster()
        return tuple(
            self._describe(path, coster.cost(path))
            for path in found
            if coster.is_known(path)
        )

    def _describe(self, path: Path, cost: PathCost) -> RankedPath:
        stages = tuple(
            StageAnswer(
                stage.target.id,
                stage.target.zone,
                stage.layers.first,
                stage.layers.end,
                round(stage_ms, 3),
            )
            for stage, stage_ms in zip(path.stages, cost.stages_ms, strict=True)
        )
        parts = [self._part(name, part) for name, part in cost.parts_ms.items()]
        parts.append(CostPart(RANDOM, 0.0, MS_PER_STEP, "set to 0 here, see the notes"))
        return RankedPath(stages, round(cost.total_ms, 3), MS_PER_STEP, tuple(parts))

    def _part(self, name: str, part_ms: float) -> CostPart:
        source = _FIXED_SOURCES.get(name)
        age_s = self._ages_s.get(source or "")
        if source is None:
            source, age_s = self._load_source
        rounded_s = None if age_s is None else round(age_s, 3)
        return CostPart(name, round(part_ms, 4), MS_PER_STEP, source, rounded_s)

    @cached_property
    def _ages_s(self) -> dict[str, float | None]:
        return {OWN_LOAD: 0.0, ENTRIES: entries_age_s(self.chooser.fleet_view)}

    @cached_property
    def _load_source(self) -> tuple[str, float]:
        """Return the source of the targets' load, and its age in seconds."""
        if not self.chooser.counts_reports:
            return f"{OWN_LOAD}, scaled to those of all routers", 0.0
        peers = self.chooser.peer_loads
        reporting = peers.reporting_routers
        return f"{OWN_LOAD} and reports of {reporting} others of the zone", peers.age_s

    def notes(self) -> list[str]:
        """Return what a reader needs to know about the costs."""
        low_ms, high_ms = 0.0, JITTER_MS * JITTER_MAX
        if self.chooser.counts_reports:
            low_ms, high_ms = SPREAD_MS * NOISE_MIN, SPREAD_MS * NOISE_MAX
        notes = [
            "The random part of the cost is 0 here. For a request it is drawn anew, "
            f"from {low_ms:g} to {high_ms:g} ms for each stage, so that a request may "
            "take another of the paths."
        ]
        missing = self._missing_layers()
        if missing:
            notes.append(f"No usable target holds these layers: {missing}.")
        return notes

    def _missing_layers(self) -> str:
        """Return the ranges of layers that no usable target holds, as text."""
        pipeline = self.request.service.pipeline
        assert pipeline is not None
        covered_end = 0
        missing: list[str] = []
        held = [
            (target.layers.first, target.layers.end) for target in self._candidates()
        ]
        for first, end in [*sorted(held), (pipeline.layers, pipeline.layers)]:
            if first > covered_end:
                missing.append(f"{covered_end}..{first}")
            covered_end = max(covered_end, end)
        return ", ".join(missing)


@dataclass
class PlainRanking:
    """Ranks the targets of one request of a plain service."""

    chooser: PlainTargetChooser
    request: EdgeRequest
    _ready: list[Target] = field(init=False)

    def __post_init__(self) -> None:
        ready = self.chooser.available(self.request.service, set())
        self._ready = sorted(ready, key=self.chooser.rank)

    @classmethod
    def of(cls, app: EdgeApplication, request: EdgeRequest) -> "PlainRanking":
        """Return the ranking by snapshots of a router's state."""
        chooser = app.plain_relay.chooser
        limiter = chooser.rate_limiter.snapshot()
        return cls(replace(chooser, rate_limiter=limiter), request)

    @property
    def found(self) -> list[Target]:
        """Return the chosen target and the next best ones."""
        return self._ready[:PATHS_MAX]

    def usable(self) -> frozenset[TargetId]:
        """Return the targets that requests may use."""
        return frozenset(target.id for target in self._ready)

    def ranked(self) -> tuple[RankedPath, ...]:
        """Return the targets with their costs."""
        return tuple(map(self._describe, self.found))

    def _describe(self, target: Target) -> RankedPath:
        in_flight = float(self.chooser.in_flight.get(target.incarnation, 0))
        zone_load = self.chooser.zone_load(target)
        cost = in_flight + zone_load
        parts = (
            CostPart("requests_in_flight", in_flight, REQUESTS, OWN_LOAD, 0.0),
            CostPart("other_zone", zone_load, REQUESTS, CONFIGURATION),
            CostPart(RANDOM, 0.0, REQUESTS, "set to 0 here, see the notes"),
        )
        stage = StageAnswer(target.id, target.zone, cost=cost)
        return RankedPath((stage,), cost, REQUESTS, parts)

    def notes(self) -> list[str]:
        """Return what a reader needs to know about the costs."""
        return [
            "Chance decides between targets of equal cost. Suspected targets come "
            "after all others, whatever their cost."
        ]
