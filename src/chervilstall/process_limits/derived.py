"""The limits of one process, worked out from its VM and its settings."""

import resource
from dataclasses import dataclass

from chervilstall.process_limits.memory import ClientMemory
from chervilstall.settings.edge import ProcessLimitSettings
from chervilstall.settings.node import NodeSettings

BYTES_PER_MB = 1_000_000
CONNECTION_BYTES = 25_000
"""A silent connection takes 17 KB, and one inside a head of 14 KB takes 21 KB."""

OPERATOR_CONNECTIONS_MAX = 256
"""Connections to a listener for operators, where no setting gives a number."""

DESCRIPTORS_ASSUMED = 4_100
MIN_DESCRIPTORS = 50
"""Smallest number of descriptors with which the listeners have any to share."""


@dataclass(frozen=True)
class ProcessLimits:
    """What clients may make one process hold.

    `client_bytes` are for bodies and answers. The numbers of connections are those of
    callers, of other routers, and of each listener for operators. `requests_max` is the
    number of requests that may be at targets, each over one connection at a time.
    """

    client_bytes: int
    reserve_bytes: int
    small_body_bytes: int
    caller_connections: int
    peer_connections: int
    operator_connections: int
    requests_max: int

    def new_memory(self) -> ClientMemory:
        """Return the budget of the process, with nothing in use."""
        return ClientMemory(
            self.client_bytes, self.reserve_bytes, self.small_body_bytes
        )


def derive_limits(node: NodeSettings, settings: ProcessLimitSettings) -> ProcessLimits:
    """Return the limits for a VM.

    The process keeps `files_reserved` descriptors for files and its own use.
    """
    memory_bytes = (node.memory_mb or settings.memory_assumed_mb) * BYTES_PER_MB
    client_bytes = int(memory_bytes * settings.client_memory_share)
    descriptors = max(MIN_DESCRIPTORS, _descriptors_max(node) - settings.files_reserved)
    connections = min(
        int(descriptors * settings.connection_descriptor_share),
        int(memory_bytes * settings.connection_memory_share) // CONNECTION_BYTES,
    )
    peer_connections = max(1, int(connections * settings.peer_connection_share))
    operators = settings.operator_connections
    return ProcessLimits(
        client_bytes=client_bytes,
        reserve_bytes=int(client_bytes * settings.reserve_share),
        small_body_bytes=settings.small_body_bytes,
        caller_connections=connections - peer_connections,
        peer_connections=peer_connections,
        operator_connections=operators,
        requests_max=max(1, descriptors - connections - 2 * operators),
    )


def _descriptors_max(node: NodeSettings) -> int:
    """Return how many descriptors the process may open, at most."""
    known = [_soft_limit(), node.descriptors_max]
    return min((limit for limit in known if limit > 0), default=DESCRIPTORS_ASSUMED)


def _soft_limit() -> int:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft_limit


def bound_connections(connections: int) -> int:
    """Return a limit on connections that leaves descriptors for all else."""
    limit = _soft_limit()
    return min(connections, max(1, limit // 2)) if limit > 0 else connections
