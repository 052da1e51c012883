"""Which part of a router handles which keys of the store."""

from chervilstall.edge.crashes.sharing import QuarantineSharing
from chervilstall.edge.limits.sharing import LIMITS_PREFIX, LimitSharing
from chervilstall.edge.peers.directory import PeerDirectory
from chervilstall.edge.registry import RouterRegistry
from chervilstall.fleet.view import FleetView
from chervilstall.platform import protocol
from chervilstall.platform.handlers import (
    EntryHandler,
    configuration_handler,
    target_handler,
)
from chervilstall.platform.peers import PEERS_PREFIX
from chervilstall.platform.quarantine import CRASHES_PREFIX, QUARANTINE_PREFIX


def build_handlers(
    fleet_view: FleetView,
    registry: RouterRegistry,
    limit_sharing: LimitSharing,
    quarantine_sharing: QuarantineSharing,
    peer_directory: PeerDirectory,
) -> tuple[EntryHandler, ...]:
    """Return the handlers of one router."""
    return (
        configuration_handler(fleet_view),
        target_handler(fleet_view),
        EntryHandler(
            protocol.ROUTER_KEYS_PREFIX,
            registry.handle_entry,
            registry.handle_full_read,
        ),
        EntryHandler(
            LIMITS_PREFIX, limit_sharing.handle_entry, limit_sharing.handle_full_read
        ),
        EntryHandler(
            CRASHES_PREFIX, quarantine_sharing.handle_crashes, lambda full_read: None
        ),
        EntryHandler(
            QUARANTINE_PREFIX,
            quarantine_sharing.handle_entry,
            quarantine_sharing.handle_full_read,
        ),
        EntryHandler(
            PEERS_PREFIX, peer_directory.handle_entry, peer_directory.handle_full_read
        ),
    )
