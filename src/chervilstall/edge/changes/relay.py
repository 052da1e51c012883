"""The side of a relay: answers routers that ask for changes of the store."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.peer.changes import (
    Changes,
    ChangesNotHeld,
    ChangesRequest,
    StoreChange,
)
from chervilstall.peer.messages import Message
from chervilstall.platform.change_log import LoggedBatch
from chervilstall.platform.watcher import StoreWatcher

WAIT_MAX_S = 2.0
ANSWERED_AGE_MAX_S = 2.5
"""Time without an answer of the store after which a relay sends routers to it."""

REPLY_MAX_BYTES = 65_536
"""Size of the changes from which on a router reads them from the store."""


@dataclass
class ChangeRelay:
    """Answers requests for changes from the log of a router that watches the store.

    `is_stopping` says whether this router is about to stop.
    """

    store_watcher: StoreWatcher
    is_stopping: Callable[[], bool]

    def answer(self, message: Message) -> Message:
        """Reply to a request, as soon as there is a change after its revision.

        Raises PEER_UNAVAILABLE if this router can't tell what has changed.
        """
        if not isinstance(message, ChangesRequest):
            raise _unable(f"no request for changes: {type(message).__name__}")
        arrived_at_s = time.monotonic()
        self._check_able(message)
        log = self.store_watcher.change_log
        log.wait_beyond(message.after, min(message.wait_ms / 1e3, WAIT_MAX_S))
        self._check_able(message)
        batches = log.after(message.after)
        if batches is None:
            return ChangesNotHeld()
        changes = tuple(_changes(batches, message.after))
        if sum(len(change.value or b"") for change in changes) > REPLY_MAX_BYTES:
            return ChangesNotHeld()
        complete_at_s = self.store_watcher.fleet_view.complete_at_s
        if batches:
            complete_at_s = min(complete_at_s, batches[0].complete_at_s)
        now_s = time.monotonic()
        return Changes(
            max(log.revision, message.after),
            self.store_watcher.configuration_updates.latest_revision,
            changes,
            int((now_s - arrived_at_s) * 1e3),
            _age_ms(now_s, complete_at_s),
            _age_ms(now_s, self.store_watcher.answered_at_s),
        )

    def _check_able(self, request: ChangesRequest) -> None:
        watcher = self.store_watcher
        if self.is_stopping():
            raise _unable("stopping")
        if request.era != watcher.store.era:
            raise _unable("another era of the store")
        if not watcher.change_log.is_open:
            raise _unable("not watching the store")
        if time.monotonic() - watcher.answered_at_s > ANSWERED_AGE_MAX_S:
            raise _unable("the store is silent")


def _changes(batches: Iterable[LoggedBatch], after: int) -> Iterable[StoreChange]:
    for batch in batches:
        for entry in batch.entries:
            if entry.revision > after:
                yield StoreChange(entry.key, entry.revision, entry.value)


def _age_ms(now_s: float, at_s: float) -> int:
    """Return how long ago a time was, rounded up."""
    return int((now_s - at_s) * 1e3) + 1


def _unable(reason: str) -> ChervilstallError:
    return ChervilstallError(ErrorKind.PEER_UNAVAILABLE, reason)
