"""What all streams of one router share."""

from dataclasses import dataclass, field

from chervilstall.edge.connections import TargetConnections
from chervilstall.edge.crashes.guard import CrashGuard
from chervilstall.edge.limits.budget import FleetRetryBudget
from chervilstall.edge.limits.notices import TargetNotices
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.peers.relay import PeerRelay
from chervilstall.edge.reach.targets import TargetReach
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.retry_after import retry_after_s
from chervilstall.edge.streams.monitor import StreamMonitor
from chervilstall.edge.streams.prompt_wait import PromptWait
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.view import FleetView
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.peer_loads import DemandClass


class StreamBroken(ConnectionAbortedError):
    """A stream that has begun cannot be completed; its connection must be closed."""


@dataclass
class StreamContext:
    """Parts that all streams of one router share."""

    fleet_view: FleetView
    chooser: PathChooser
    budget: FleetRetryBudget
    stream_monitor: StreamMonitor
    rate_limiter: TargetRateLimiter
    notices: TargetNotices
    crash_guard: CrashGuard
    target_reach: TargetReach
    peer_relay: PeerRelay
    connections: TargetConnections
    prompt_wait: PromptWait = field(init=False)

    def __post_init__(self) -> None:
        self.prompt_wait = PromptWait(self.chooser)

    def record_demand(self, request: EdgeRequest) -> None:
        """Count a caller's request; the router that forwarded one has counted it."""
        if request.forwarding is None:
            demand_class = DemandClass(request.priority, request.workspace)
            self.chooser.load.demand.add(demand_class)


def stream_error(
    request: EdgeRequest, may_have_run: bool, reason: str
) -> ChervilstallError:
    """Return the error of a request without an answer, from whether it may have run."""
    if not may_have_run:
        return ChervilstallError(ErrorKind.NO_TARGET, reason, retry_after_s(request))
    if request.remaining_s <= 0.0:
        return ChervilstallError(ErrorKind.DEADLINE_UNKNOWN, reason)
    return ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, reason)
