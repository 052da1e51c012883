"""Paths of requests through the parts of a model pipeline."""

from dataclasses import dataclass
from itertools import pairwise

from chervilstall.fleet.records import LayerRange, Target
from chervilstall.settings.option import Address


@dataclass(frozen=True)
class PathStage:
    """One target of a path and the layers that it runs for the request."""

    target: Target
    layers: LayerRange

    @property
    def address(self) -> Address:
        """Return the target's address."""
        return self.target.address


@dataclass(frozen=True)
class Path:
    """Targets that together run every layer once and in order."""

    stages: tuple[PathStage, ...]

    @property
    def first(self) -> Target:
        """Return the target that receives the request."""
        return self.stages[0].target

    @property
    def zone_changes(self) -> int:
        """Return how often the path goes from one zone to another."""
        zones = [part.target.zone for part in self.stages]
        return sum(one != other for one, other in pairwise(zones))
