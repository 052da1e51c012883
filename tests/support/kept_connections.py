"""What steps on kept connections to targets share."""

from types import SimpleNamespace
from typing import Any, cast

from chervilstall.edge.connections import ConnectionSource, TargetConnections
from chervilstall.fleet.records import Target
from chervilstall.ids import RequestId


def open_source(
    connections: TargetConnections, target: Target, request_id: str = "later"
) -> ConnectionSource:
    """Return the source of an exchange with a target that may be repeated once."""
    request = SimpleNamespace(
        route=SimpleNamespace(is_retryable=True),
        request_id=RequestId(request_id),
        avoids_kept_connections=False,
    )
    return connections.source(cast(Any, request), target, attempts_left=2)
