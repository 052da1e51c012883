"""Load that this router's own requests put on targets, and recent refusals."""

import time
from collections import defaultdict
from collections.abc import Container
from dataclasses import dataclass, field

from chervilstall.fleet.pruning import keep_only
from chervilstall.fleet.records import Life
from chervilstall.paths.records import Path


@dataclass
class LoadBook:
    """Requests in flight and their tokens, by target incarnation.

    Only requests of this router are counted. Prefill and transfers between zones are
    modelled as queues: each is busy until a time of the monotonic clock, which a new
    prompt pushes back.
    """

    requests: dict[Life, int] = field(default_factory=lambda: defaultdict(int))
    tokens: dict[Life, float] = field(default_factory=lambda: defaultdict(float))
    _full_until_s: dict[Life, float] = field(default_factory=dict)
    _prefill_until_s: dict[Life, float] = field(default_factory=dict)
    _transfer_until_s: float = 0.0

    def add(self, path: Path, tokens: float) -> None:
        """Add a request of `tokens` tokens that begins on `path`."""
        for part in path.parts:
            self.requests[part.target.life] += 1
            self.tokens[part.target.life] += tokens

    def remove(self, path: Path, tokens: float) -> None:
        """Remove a request that was added for `path` with `tokens` tokens."""
        for part in path.parts:
            life = part.target.life
            self.requests[life] -= 1
            self.tokens[life] -= tokens
            if self.requests[life] <= 0:
                del self.requests[life]
                del self.tokens[life]

    def add_prefill(self, life: Life, time_s: float) -> None:
        """Queue a prompt at a target that needs `time_s` to prefill it."""
        now_s = time.monotonic()
        self._prefill_until_s[life] = (
            max(now_s, self._prefill_until_s.get(life, 0.0)) + time_s
        )

    def prefill_backlog_s(self, life: Life) -> float:
        """Return the time until a target has prefilled the prompts queued so far."""
        return max(0.0, self._prefill_until_s.get(life, 0.0) - time.monotonic())

    def add_transfer(self, time_s: float) -> None:
        """Queue a prompt whose activations occupy a link between zones for `time_s`."""
        self._transfer_until_s = max(time.monotonic(), self._transfer_until_s) + time_s

    def transfer_backlog_s(self) -> float:
        """Return the time until the links between zones have carried what is queued."""
        return max(0.0, self._transfer_until_s - time.monotonic())

    def note_full(self, life: Life, for_s: float) -> None:
        """Record that a target had no room; `is_full` holds for `for_s` seconds."""
        self._full_until_s[life] = time.monotonic() + for_s

    def forget(self, present: Container[Life]) -> None:
        """Drop the state of targets that are not in `present`.

        Requests in flight stay; `remove` drops them.
        """
        keep_only(self._full_until_s, present)
        keep_only(self._prefill_until_s, present)

    def is_full(self, life: Life) -> bool:
        """Return whether a target recently had no room for a request."""
        return self._full_until_s.get(life, 0.0) > time.monotonic()
