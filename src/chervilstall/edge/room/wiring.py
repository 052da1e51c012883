"""Construction of the gate from the parts of a router."""

from collections.abc import Callable

from chervilstall.edge.reach.targets import TargetReach
from chervilstall.edge.room.gate import RoomGate
from chervilstall.edge.room.shortage import RecentRefusals, ShortageDetector
from chervilstall.edge.room.view import RoomView
from chervilstall.paths.choice import PathChooser
from chervilstall.settings.edge import AdmissionByRoomSettings
from chervilstall.telemetry.edge_metrics import EdgeMetrics


def build_room_gate(
    chooser: PathChooser,
    target_reach: TargetReach,
    settings: AdmissionByRoomSettings,
    is_in_force: Callable[[], bool],
    metrics: EdgeMetrics,
) -> RoomGate:
    """Return the gate of a router, whose series are part of its metrics."""
    view = RoomView(chooser, peer_loads=chooser.peer_loads)
    gate = RoomGate(
        view,
        settings,
        is_in_force,
        target_reach.is_out_of_reach,
        ShortageDetector(lambda: _recent_refusals(chooser)),
    )
    metrics.sources.append(lambda: gate.metrics.exposition(gate.rooms))
    return gate


def _recent_refusals(chooser: PathChooser) -> RecentRefusals:
    """Return the requests and refusals that this router and others of its zone saw."""
    own, peers = chooser.load, chooser.peer_loads
    requests = sum(own.demand.counts().values()) + sum(peers.demand().values())
    refusals = sum(own.refusals.counts().values()) + peers.total_refusals()
    return RecentRefusals(requests, refusals)
