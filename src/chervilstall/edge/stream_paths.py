"""Choice of the path for each attempt of one stream."""

from dataclasses import dataclass, field

from chervilstall.edge.attempts import AttemptLimit
from chervilstall.edge.rate_limits import TargetRateLimiter
from chervilstall.edge.request import EdgeRequest
from chervilstall.ids import TargetId
from chervilstall.paths.choice import PathChooser, PathRequest
from chervilstall.paths.records import Path


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
        )
        return self.chooser.choose(self.request.service, path_request)
