"""The listeners of a router, their limits and their counters."""

from collections.abc import Iterator
from dataclasses import dataclass
from socket import socket

from chervilstall.edge.endpoints import bad_request_response
from chervilstall.fleet.records import CallerLimits, RouterConfiguration
from chervilstall.process_limits.derived import ProcessLimits
from chervilstall.process_limits.memory import ClientMemory, HoldingKind
from chervilstall.settings.node import NodeSettings
from chervilstall.settings.option import Address
from chervilstall.wsgi import Server
from chervilstall.wsgi_handler import Application

HEAD_EXTRA_BYTES = 2_048
"""What a head may have beyond the limit: spaces, and headers of another router."""


@dataclass(frozen=True)
class EdgeListeners:
    """The listeners for callers, other routers and operators."""

    callers: Server
    peers: Server
    readiness: Server
    metrics: Server

    def __iter__(self) -> Iterator[Server]:
        return iter((self.callers, self.peers, self.readiness, self.metrics))

    def start(self) -> None:
        """Start all listeners."""
        for listener in self:
            listener.start()

    def kill_connections(self) -> None:
        """Close all listeners and terminate every open connection."""
        for listener in self:
            listener.kill_connections()

    def apply_limits(self, configuration: RouterConfiguration | None) -> None:
        """Put the limits of a configuration in force, or the defaults without one."""
        limits = configuration.limits if configuration else CallerLimits()
        for listener in (self.callers, self.peers):
            listener.head_bytes_max = limits.header_bytes + HEAD_EXTRA_BYTES
        self.callers.header_timeout_s = limits.header_timeout_s
        self.callers.idle_timeout_s = limits.idle_timeout_s

    def gauges(self, memory: ClientMemory) -> dict[str, float]:
        """Return what the limits did, as values of metrics."""
        values: dict[str, float] = {
            "client_memory_bytes": memory.used_bytes,
            "client_memory_limit_bytes": memory.bytes_max,
        }
        for kind in HoldingKind:
            values[f"memory_evictions_{kind.value}_total"] = memory.evictions[kind]
            values[f"memory_refusals_{kind.value}_total"] = memory.refusals[kind]
        names = ("callers", "peers", "readiness", "metrics")
        for name, listener in zip(names, self):
            values[f"connections_{name}"] = len(listener.connections)
            values[f"connections_{name}_limit"] = listener.connections.size
            for counter, count in listener.counters.items():
                values[f"connections_{name}_{counter}_total"] = count
        return values


def build_listeners(
    node: NodeSettings,
    metrics_port: int,
    limits: ProcessLimits,
    memory: ClientMemory,
    callers: Address | socket,
    applications: tuple[Application, Application, Application],
) -> EdgeListeners:
    """Return the listeners of a router.

    `applications` serve callers, other routers and operators. `callers` is the address
    of the callers' listener, or its bound socket.
    """
    for_callers, for_peers, for_operators = applications
    peer_port = node.ports[0] if node.ports else 0
    metrics_address = Address(node.ready_address.host, metrics_port)
    listeners = EdgeListeners(
        Server(
            callers,
            for_callers,
            limits.caller_connections,
            bad_request_response=bad_request_response,
        ),
        Server(Address(node.host, peer_port), for_peers, limits.peer_connections),
        Server(node.ready_address, for_operators, limits.operator_connections),
        Server(metrics_address, for_operators, limits.operator_connections),
    )
    listeners.callers.evict_stalled = memory.evict_stalled
    listeners.peers.evict_stalled = memory.evict_stalled
    return listeners
