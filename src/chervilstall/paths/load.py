"""Work of this router's own requests at each target, and what targets refused."""

import time
from collections import defaultdict
from collections.abc import Container
from dataclasses import dataclass, field

from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import TargetIncarnation
from chervilstall.paths.records import Path


@dataclass
class LoadTracker:
    """Counts of own requests in flight and of their tokens, by start of a target."""

    requests: dict[TargetIncarnation, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    tokens: dict[TargetIncarnation, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _full_until_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _read_until_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _piped_until_s: float = 0.0

    def add(self, path: Path, tokens: float) -> None:
        """Count a request that begins on `path`."""
        for part in path.stages:
            self.requests[part.target.incarnation] += 1
            self.tokens[part.target.incarnation] += tokens

    def remove(self, path: Path, tokens: float) -> None:
        """Count a request off that had begun on `path`."""
        for part in path.stages:
            incarnation = part.target.incarnation
            self.requests[incarnation] -= 1
            self.tokens[incarnation] -= tokens
            if self.requests[incarnation] <= 0:
                del self.requests[incarnation]
                del self.tokens[incarnation]

    def add_reading(self, incarnation: TargetIncarnation, time_s: float) -> None:
        """Count a prompt that a target is about to read behind those before it."""
        now_s = time.monotonic()
        self._read_until_s[incarnation] = (
            max(now_s, self._read_until_s.get(incarnation, 0.0)) + time_s
        )

    def reading_s(self, incarnation: TargetIncarnation) -> float:
        """Return how long a target still reads the prompts that were counted."""
        return max(0.0, self._read_until_s.get(incarnation, 0.0) - time.monotonic())

    def add_piping(self, time_s: float) -> None:
        """Count a prompt whose activations go from zone to zone."""
        self._piped_until_s = max(time.monotonic(), self._piped_until_s) + time_s

    def piping_s(self) -> float:
        """Return how long the pipes between zones carry the prompts counted."""
        return max(0.0, self._piped_until_s - time.monotonic())

    def note_full(self, incarnation: TargetIncarnation, for_s: float) -> None:
        """Remember that a target had no room just now."""
        self._full_until_s[incarnation] = time.monotonic() + for_s

    def prune(self, present: Container[TargetIncarnation]) -> None:
        """Drop what is kept of targets that are gone."""
        retain_keys(self._full_until_s, present)
        retain_keys(self._read_until_s, present)

    def is_full(self, incarnation: TargetIncarnation) -> bool:
        """Return whether a target had no room a moment ago."""
        return self._full_until_s.get(incarnation, 0.0) > time.monotonic()
