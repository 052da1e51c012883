"""Load that this router's own requests put on targets, and recent refusals."""

import time
from collections import defaultdict
from collections.abc import Container
from dataclasses import dataclass, field

from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import TargetIncarnation
from chervilstall.paths.peer_loads import DemandClass
from chervilstall.paths.recent_counts import RecentCounts
from chervilstall.paths.records import Path


@dataclass
class _PrefillQueue:
    """Prompts of this router at one target, as of a monotonic time.

    `own_s` is the time that the target needs for them, `total_s` the time for all
    prompts there. Those of this router are finished in proportion.
    """

    own_s: float
    total_s: float
    at_s: float

    def remaining_s(self) -> float:
        passed_s = time.monotonic() - self.at_s
        return self.own_s * max(0.0, 1.0 - passed_s / self.total_s)

    def remaining_alone_s(self) -> float:
        """Return the time for the prompts of this router if there are no others."""
        return max(0.0, self.own_s - (time.monotonic() - self.at_s))


@dataclass
class LoadTracker:
    """Requests in flight and their tokens, by target incarnation.

    Only requests of this router are counted. Prefill is modelled as a queue that the
    target works off together with the prompts of other routers, transfers between
    zones as one that is busy until a time of the monotonic clock. `refusals` counts
    refusals for lack of capacity, `demand` the requests that callers sent.
    """

    requests: dict[TargetIncarnation, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    tokens: dict[TargetIncarnation, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    refusals: RecentCounts[TargetIncarnation] = field(default_factory=RecentCounts)
    demand: RecentCounts[DemandClass] = field(default_factory=RecentCounts)
    _full_until_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _prefill: dict[TargetIncarnation, _PrefillQueue] = field(default_factory=dict)
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

    def add_prefill(
        self,
        incarnation: TargetIncarnation,
        time_s: float,
        peers_s: float = 0.0,
        factor: float = 1.0,
    ) -> None:
        """Queue a prompt at a target that needs `time_s` to prefill it.

        `peers_s` is the time for the prompts that others are known to have queued
        there, and `factor` the load of all routers as a multiple of the known load.
        """
        own_s = self.prefill_backlog_s(incarnation) + time_s
        total_s = (own_s + peers_s) * factor
        if total_s > 0.0:
            queue = _PrefillQueue(own_s, total_s, time.monotonic())
            self._prefill[incarnation] = queue

    def prefill_backlog_s(self, incarnation: TargetIncarnation) -> float:
        """Return the time that a target needs for this router's prompts there."""
        queue = self._prefill.get(incarnation)
        return 0.0 if queue is None else queue.remaining_s()

    def prefill_alone_s(self, incarnation: TargetIncarnation) -> float:
        """Return the time for this router's prompts at a target if there are no others.

        Unlike the backlog, it ends as early as these prompts can have been prefilled.
        """
        queue = self._prefill.get(incarnation)
        return 0.0 if queue is None else queue.remaining_alone_s()

    def prefill_backlogs_s(self) -> dict[TargetIncarnation, float]:
        """Return the time that each target needs for this router's prompts there.

        Queues that have ended are dropped.
        """
        backlogs_s = {
            each: queue.remaining_s() for each, queue in self._prefill.items()
        }
        retain_keys(self._prefill, {each for each in backlogs_s if backlogs_s[each]})
        return {each: backlogs_s[each] for each in self._prefill}

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
        retain_keys(self._prefill, present)

    def is_full(self, incarnation: TargetIncarnation) -> bool:
        """Return whether a target recently had no room for a request."""
        return self._full_until_s.get(incarnation, 0.0) > time.monotonic()
