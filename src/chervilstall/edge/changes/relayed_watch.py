"""The side of a router that hears of changes through a relay."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from chervilstall.edge.changes.relays import RelayChoice
from chervilstall.errors import ChervilstallError
from chervilstall.peer.changes import Changes, ChangesNotHeld, ChangesRequest
from chervilstall.peer.messages import Message, Refused
from chervilstall.platform.change_log import RelayedBatch
from chervilstall.platform.kv import Entry, EntryBatch, PlatformStore
from chervilstall.platform.peers import Peer
from chervilstall.telemetry.events import EventLog

log = EventLog("store")

WAIT_S = 0.8
REPLY_TIMEOUT_S = 1.2
"""Time without a reply after which a router asks the store itself."""

LOST_S = 10.0
REFUSED_S = 3.0

OWN_WATCH_FIRST_S = 0.5
"""Time after which the first watch of the store after a relay is given up.

Each next one may take twice as long. Relays refuse when the store drops its history and
cuts their watches, and a watch that begins at that very moment may be deaf.
"""

OWN_WATCH_MAX_S = 8.0

AskRelay = Callable[[Peer, Message, float], Message]
"""Sends a message to a relay and returns the reply that comes within some seconds.

Raises PEER_UNAVAILABLE if there is none.
"""


@dataclass
class RelayedWatch:
    """Asks a relay of the zone for the changes after a revision.

    After a relay that doesn't reply the store is asked, so that its fault delays a
    change by one time-out at the most. After one that refuses, the next relay is.
    """

    store: PlatformStore
    choice: RelayChoice
    ask: AskRelay
    _own_watch_s: float = OWN_WATCH_FIRST_S

    def own_watch_limit_s(self) -> float | None:
        """Return after how long the next watch of the store itself is given up."""
        if not self.choice.has_relays:
            return None
        limit_s = self._own_watch_s
        self._own_watch_s = min(2.0 * limit_s, OWN_WATCH_MAX_S)
        return limit_s

    def next_changes(self, after: int) -> RelayedBatch | None:
        """Return the next changes, or none after some time.

        None instead of a batch says that the store itself has to be watched.
        """
        relay = self.choice.choose()
        while relay is not None:
            request = ChangesRequest(self.store.era, after, int(WAIT_S * 1e3))
            sent_at_s = time.monotonic()
            try:
                reply = self.ask(relay, request, REPLY_TIMEOUT_S)
            except ChervilstallError as error:
                self._avoid(relay, error.message, LOST_S)
                return None
            match reply:
                case Changes():
                    self._own_watch_s = OWN_WATCH_FIRST_S
                    return self._decode(reply, after, sent_at_s)
                case ChangesNotHeld():
                    return None
                case Refused(reason=reason):
                    self._avoid(relay, reason, REFUSED_S)
                case _:
                    self._avoid(relay, f"replied {type(reply).__name__}", LOST_S)
            relay = self.choice.choose()
        return None

    def _avoid(self, relay: Peer, why: str, for_s: float) -> None:
        self.choice.avoid(relay, for_s)
        log.info("relay left", relay=relay.vm, why=why)

    def _decode(self, reply: Changes, after: int, sent_at_s: float) -> RelayedBatch:
        """Convert the times of a reply to this router's clock.

        The relay replied `waited_ms` after this router's request at the earliest.
        """
        received_at_s = time.monotonic()
        replied_at_s = min(sent_at_s + reply.waited_ms / 1e3, received_at_s)
        entries = tuple(
            Entry(change.key, change.value, change.revision)
            for change in reply.changes
            if change.revision > after
        )
        batch = EntryBatch(
            entries, max(reply.revision, after), sent_at_s, received_at_s, 0
        )
        return RelayedBatch(
            batch,
            reply.configuration_revision,
            complete_at_s=replied_at_s - reply.complete_age_ms / 1e3,
            answered_at_s=replied_at_s - reply.answered_age_ms / 1e3,
        )
