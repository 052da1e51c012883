"""Builds the application of a router from the router's parts."""

from typing import TYPE_CHECKING

from chervilstall.edge.app import EdgeApplication
from chervilstall.edge.crashes.guard import CrashGuard
from chervilstall.edge.limits.notices import TargetNotices
from chervilstall.edge.peers.relay import PeerRelay
from chervilstall.edge.plain_relay import PlainRelay, PlainTargetChooser
from chervilstall.edge.room.wiring import build_room_gate
from chervilstall.edge.streams.context import StreamContext
from chervilstall.platform.targets import kept_calls
from chervilstall.process_limits.derived import ProcessLimits

if TYPE_CHECKING:
    from chervilstall.edge.server import EdgeServer


def build_application(server: "EdgeServer", limits: ProcessLimits) -> EdgeApplication:
    """Return the application that serves callers, with its optional decisions."""
    notices = TargetNotices(server.fleet_view, server.rate_limiter)
    crash_guard = CrashGuard(server.quarantine, server.crash_observer)
    peer_relay = PeerRelay(server.reach_search, server.fleet_view, notices)
    plain = PlainRelay(
        PlainTargetChooser(
            server.fleet_view, server.settings.zone, server.rate_limiter
        ),
        server.fleet_view,
        server.budget,
        server.rate_limiter,
        notices,
        crash_guard,
        server.target_reach,
        peer_relay,
    )
    streams = StreamContext(
        server.fleet_view,
        server.chooser,
        server.budget,
        server.stream_monitor,
        server.rate_limiter,
        notices,
        crash_guard,
        server.target_reach,
        peer_relay,
    )
    features = server.features
    room_gate = build_room_gate(
        server.chooser,
        server.target_reach,
        features.settings.admission,
        features.admits_by_room,
        server.metrics,
    )
    server.stream_monitor.on_stage_lost = crash_guard.record_stage_lost
    rerouter = server.stream_monitor.rerouter
    rerouter.is_refused = crash_guard.is_refused
    rerouter.record_pause = server.metrics.record_pause
    rerouter.spreads_moves = features.spreads_moves
    server.stream_monitor.stage_check.is_in_force = features.checks_stages
    server.chooser.guides_paths = features.guides_paths
    kept_calls.is_in_force = features.keeps_report_connections
    return EdgeApplication(
        server.fleet_view,
        plain,
        streams,
        server.budget,
        server.metrics,
        server.client_memory,
        limits.requests_max,
        room_gate,
        stream_durations=rerouter.durations,
    )
