"""Choice of the path for each attempt of one stream."""

from dataclasses import dataclass, field

from chervilstall.edge.limits.attempts import AttemptLimit
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.records import Target
from chervilstall.ids import TargetId
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.records import Path, PathRequest

FULL_S = 0.3
"""Time for which a target that refused a request counts as full."""


@dataclass
class StreamPaths:
    """Chooses paths that avoid the targets which failed the request before.

    `avoided` are first targets whose exchange failed, `refusing` targets that refused
    the request.
    """

    chooser: PathChooser
    rate_limiter: TargetRateLimiter
    request: EdgeRequest
    attempts: AttemptLimit
    avoided: set[TargetId] = field(default_factory=set)
    refusing: set[TargetId] = field(default_factory=set)

    def record_refusal(self, path: Path, faulty_address: str) -> Target:
        """Record that a request was refused; return the target that is to blame.

        It is the first one of the path unless the response names another.
        """
        named = [
            stage.target
            for stage in path.stages
            if str(stage.address) == faulty_address
        ]
        faulty = named[0] if named else path.first
        self.refusing.add(faulty.id)
        self.chooser.load.note_full(faulty.incarnation, FULL_S)
        self.chooser.load.refusals.add(faulty.incarnation)
        return faulty

    def choose(self) -> Path | None:
        """Return a path without refusing targets, and without failed ones if possible.

        At the attempt limit only targets that were tried may come first.
        """
        for avoid in (self.avoided | self.refusing, self.refusing):
            if not self.attempts.is_reached:
                path = self._choose_without(avoid)
            else:
                path = self._choose_from_tried(avoid)
            if path is not None:
                return path
        return None

    def _choose_from_tried(self, avoid: set[TargetId]) -> Path | None:
        for first in sorted(self.attempts.counted):
            if first in avoid:
                continue
            path = self._choose_without(avoid, first)
            if path is not None:
                return path
        return None

    def _choose_without(
        self, avoid: set[TargetId], first: TargetId | None = None
    ) -> Path | None:
        path_request = PathRequest(
            self.request.expected_tokens,
            frozenset(avoid),
            first,
            self.rate_limiter.exhausted_targets(),
            self.request.prompt if self.chooser.weighs_prompts() else None,
        )
        return self.chooser.choose(self.request.service, path_request)
