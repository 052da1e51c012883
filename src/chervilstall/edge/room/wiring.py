"""Construction of the gate from the parts of a router."""

from collections.abc import Callable

from chervilstall.edge.reach.targets import TargetReach
from chervilstall.edge.room.gate import RoomGate
from chervilstall.edge.room.view import ReportedLoads, RoomView
from chervilstall.paths.choice import PathChooser
from chervilstall.settings.edge import AdmissionByRoomSettings
from chervilstall.telemetry.edge_metrics import EdgeMetrics


def build_room_gate(
    chooser: PathChooser,
    target_reach: TargetReach,
    settings: AdmissionByRoomSettings,
    is_in_force: Callable[[], bool],
    metrics: EdgeMetrics,
    peer_loads: ReportedLoads | None = None,
) -> RoomGate:
    """Return the gate of a router, whose series are part of its metrics.

    Without `peer_loads`, the load of other routers is unknown.
    """
    view = RoomView(chooser, peer_loads=peer_loads)
    gate = RoomGate(view, settings, is_in_force, target_reach.is_out_of_reach)
    metrics.sources.append(lambda: gate.metrics.exposition(gate.rooms))
    return gate
