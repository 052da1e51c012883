"""Paths of requests through the stages of a model pipeline."""

from dataclasses import dataclass
from itertools import pairwise

from chervilstall.fleet.records import LayerRange, Target
from chervilstall.ids import TargetId
from chervilstall.settings.option import Address

STAGES_MAX = 32


@dataclass(frozen=True)
class PathStage:
    """One stage of a path: a target and the layers that it runs for the request."""

    target: Target
    layers: LayerRange

    @property
    def address(self) -> Address:
        """Return the target's address."""
        return self.target.address


@dataclass(frozen=True)
class Path:
    """Stages that together run every layer of a model once and in order."""

    stages: tuple[PathStage, ...]

    @property
    def first(self) -> Target:
        """Return the target that receives the request."""
        return self.stages[0].target

    @property
    def zone_changes(self) -> int:
        """Return how often the path crosses from one zone to another."""
        zones = [stage.target.zone for stage in self.stages]
        return sum(earlier != later for earlier, later in pairwise(zones))

    @property
    def is_valid(self) -> bool:
        """Return whether the path uses no target twice and is not too long."""
        ids = {stage.target.id for stage in self.stages}
        return len(ids) == len(self.stages) <= STAGES_MAX

    def stages_added(self, before: "Path | None") -> list[PathStage]:
        """Return the stages that the path `before`, if there is one, doesn't have."""
        if before is None:
            return list(self.stages)
        return [stage for stage in self.stages if stage not in before.stages]


@dataclass(frozen=True)
class Prompt:
    """Prompt of a request that waits for its first event.

    `answer_tokens` is the expected length of the answer, and `objective_s` the time
    left until the first event is late, which is above 0.
    """

    tokens: float
    answer_tokens: float
    objective_s: float


@dataclass(frozen=True)
class PathRequest:
    """What a path is needed for.

    `tokens` is the expected size of the request. The path uses no target in `avoid`,
    and where `first` is given it begins there. It does not begin at a target in
    `avoid_first`. Where `prompt` is given, its prefill is part of the path's cost.
    """

    tokens: float
    avoid: frozenset[TargetId] = frozenset()
    first: TargetId | None = None
    avoid_first: frozenset[TargetId] = frozenset()
    prompt: Prompt | None = None
