"""What all streams of one router share."""

from dataclasses import dataclass

from chervilstall.edge.crashes.guard import CrashGuard
from chervilstall.edge.limits.budget import FleetRetryBudget
from chervilstall.edge.limits.notices import TargetNotices
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.peers.relay import PeerRelay
from chervilstall.edge.reach.targets import TargetReach
from chervilstall.edge.streams.monitor import StreamMonitor
from chervilstall.fleet.view import FleetView
from chervilstall.paths.choice import PathChooser


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
