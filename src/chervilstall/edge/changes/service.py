"""Connections between the relays of a zone and the routers that ask them."""

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from chervilstall.edge.changes.relay import ChangeRelay
from chervilstall.edge.changes.relayed_watch import RelayedWatch
from chervilstall.edge.changes.relays import RelayChoice
from chervilstall.peer.messages import Message
from chervilstall.platform.change_log import RelayedBatch
from chervilstall.platform.peers import Peer
from chervilstall.platform.watcher import StoreWatcher
from chervilstall.telemetry.events import EventLog

if TYPE_CHECKING:
    from chervilstall.peer.transport import PeerClientPool, PeerServer

log = EventLog("store")

CONNECTIONS_MAX = 4
BIND_RETRY_S = 10.0


class ChangeService:
    """Relays changes while this router is a relay, and asks one while it is not.

    The transport is imported when it is first needed: in zones of few routers it never
    is, and their routers start sooner.
    """

    def __init__(
        self,
        store_watcher: StoreWatcher,
        choice: RelayChoice,
        is_stopping: Callable[[], bool],
    ) -> None:
        self.choice = choice
        self._relay = ChangeRelay(store_watcher, is_stopping)
        self._watch = RelayedWatch(store_watcher.store, choice, self._ask)
        self._clients: PeerClientPool | None = None
        self._server: PeerServer | None = None
        self._bind_at_s = float("-inf")
        store_watcher.relayed = self.next_changes
        store_watcher.watch_limit_s = self._watch.own_watch_limit_s
        store_watcher.count_watchers = lambda: choice.watcher_count

    def next_changes(self, after: int) -> RelayedBatch | None:
        """Return the next changes from a relay, or None to watch the store itself."""
        if self.choice.is_relay:
            self._start_server()
            return None
        return self._watch.next_changes(after)

    def _start_server(self) -> None:
        own = self.choice.own
        if self._server is not None or time.monotonic() < self._bind_at_s:
            return
        if own is None or own.relay_address is None:
            return
        self._bind_at_s = time.monotonic() + BIND_RETRY_S
        import zmq

        from chervilstall.peer.transport import PeerServer

        server = PeerServer(own.relay_address, self._relay.answer)
        try:
            server.start()
        except zmq.ZMQError as error:
            # Other routers then watch the store themselves.
            server.stop()
            log.error("changes not relayed", at=str(own.relay_address), why=str(error))
            return
        self._server = server
        log.info("changes relayed", at=str(own.relay_address))

    def _ask(self, relay: Peer, message: Message, timeout_s: float) -> Message:
        assert relay.relay_address is not None
        if self._clients is None:
            from chervilstall.peer.transport import PeerClientPool

            self._clients = PeerClientPool(connections_max=CONNECTIONS_MAX)
        return self._clients.client(relay.relay_address).call(message, timeout_s)

    def stop(self) -> None:
        """Close all connections."""
        if self._clients is not None:
            self._clients.stop()
        if self._server is not None:
            self._server.stop()
