"""Load that this router's own requests put on targets, and recent refusals."""

import time
from collections import defaultdict
from collections.abc import Container
from dataclasses import dataclass, field

from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import TargetIncarnation
from chervilstall.paths.records import Path


@dataclass
class LoadTracker:
    """Requests in flight and their tokens, by target incarnation.

    Only requests of this router are counted. Prefill and transfers between zones are
    modelled as queues: each is busy until a time of the monotonic clock, which a new
    prompt pushes back.
    """

    requests: dict[TargetIncarnation, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    tokens: dict[TargetIncarnation, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _full_until_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _prefill_until_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _transfer_until_s: float = 0.0

    def add(self, path: Path, tokens: float) -> None:
        """Add a request of `tokens` tokens that begins on `path`."""
        for stage in path.stages:
            self.requests[stage.target.incarnation] += 1
            self.tokens[stage.target.incarnation] += tokens

    def remove(self, path: Path, tokens: float) -> None:
        """Remove a request that was added for `path` with `tokens` tokens."""
        for stage in path.stages:
            incarnation = stage.target.incarnation
            self.requests[incarnation] -= 1
            self.tokens[incarnation] -= tokens
            if self.requests[incarnation] <= 0:
                del self.requests[incarnation]
                del self.tokens[incarnation]

    def add_prefill(self, incarnation: TargetIncarnation, time_s: float) -> None:
        """Queue a prompt at a target that needs `time_s` to prefill it."""
        now_s = time.monotonic()
        self._prefill_until_s[incarnation] = (
            max(now_s, self._prefill_until_s.get(incarnation, 0.0)) + time_s
        )

    def prefill_backlog_s(self, incarnation: TargetIncarnation) -> float:
        """Return the time until a target has prefilled the prompts queued so far."""
        return max(0.0, self._prefill_until_s.get(incarnation, 0.0) - time.monotonic())

    def add_transfer(self, time_s: float) -> None:
        """Queue a prompt whose activations occupy a link between zones for `time_s`."""
        self._transfer_until_s = max(time.monotonic(), self._transfer_until_s) + time_s

    def transfer_backlog_s(self) -> float:
        """Return the time until the links between zones have carried what is queued."""
        return max(0.0, self._transfer_until_s - time.monotonic())

    def note_full(self, incarnation: TargetIncarnation, for_s: float) -> None:
        """Record that a target had no room; `is_full` holds for `for_s` seconds."""
        self._full_until_s[incarnation] = time.monotonic() + for_s

    def prune(self, present: Container[TargetIncarnation]) -> None:
        """Drop the state of targets that are not in `present`.

        Requests in flight stay; `remove` drops them.
        """
        retain_keys(self._full_until_s, present)
        retain_keys(self._prefill_until_s, present)

    def is_full(self, incarnation: TargetIncarnation) -> bool:
        """Return whether a target recently had no room for a request."""
        return self._full_until_s.get(incarnation, 0.0) > time.monotonic()
