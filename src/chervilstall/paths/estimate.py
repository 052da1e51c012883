"""Load of all routers at a target, estimated from the part that one router knows."""

from dataclasses import dataclass

from chervilstall.fleet.records import TargetIncarnation
from chervilstall.paths.load import LoadTracker
from chervilstall.paths.peer_loads import PeerLoads


@dataclass(frozen=True)
class LoadEstimate:
    """Estimates of the load at targets at one time.

    `own` is the load of this router's requests, and `peers` the load that others
    report. `unseen_factor` is the load of all routers of the zone as a multiple of the
    load that is known.
    """

    own: LoadTracker
    peers: PeerLoads
    unseen_factor: float

    def known_tokens(self, incarnation: TargetIncarnation) -> float:
        """Return the tokens in flight that routers of the zone are known to have."""
        own = self.own.tokens.get(incarnation, 0.0)
        return own + self.peers.zone_tokens(incarnation)

    def tokens(self, incarnation: TargetIncarnation, added: float = 0.0) -> float:
        """Return the tokens in flight at a target, with `added` ones of this router."""
        known = (self.known_tokens(incarnation) + added) * self.unseen_factor
        return known + self.peers.remote_tokens(incarnation)

    def requests(self, incarnation: TargetIncarnation) -> float:
        """Return the requests in flight at a target."""
        own = self.own.requests.get(incarnation, 0)
        known = own + self.peers.zone_requests(incarnation)
        return known * self.unseen_factor + self.peers.remote_requests(incarnation)

    def prefill_backlog_s(
        self, incarnation: TargetIncarnation, added_s: float = 0.0
    ) -> float:
        """Return the time for all prompts queued at a target.

        `added_s` is the time for a further prompt of this router.
        """
        known_s = self.own.prefill_backlog_s(incarnation) + added_s
        known_s += self.peers.zone_prefill_backlog_s(incarnation)
        remote_s = self.peers.remote_prefill_backlog_s(incarnation)
        return known_s * self.unseen_factor + remote_s
