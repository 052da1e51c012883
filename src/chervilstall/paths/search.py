"""Records of the search for the cheapest path."""

from dataclasses import dataclass

from chervilstall.paths.records import Path, PathStage


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
