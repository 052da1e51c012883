"""The latest changes of the store, held for routers that don't watch it themselves."""

import time
from collections import deque
from dataclasses import dataclass

from gevent.event import Event

from chervilstall.platform import protocol
from chervilstall.platform.kv import Entry, EntryBatch

BATCHES_MAX = 64
VALUE_MAX_BYTES = 4_096
"""Size of a value up to which it is held.

A relay sends each change to many routers, over a link that its callers use, too.
"""


@dataclass(frozen=True)
class LoggedBatch:
    """The changes that one watch returned, up to a revision.

    Every change before them had been known up to the monotonic time `complete_at_s`.
    """

    entries: tuple[Entry, ...]
    revision: int
    complete_at_s: float


@dataclass(frozen=True)
class RelayedBatch:
    """Changes that another router told, in place of the store.

    The configuration is not among them; `configuration_revision` is that of its latest
    change, or 0. Every change before these is known up to the monotonic time
    `complete_at_s`. The store answered the other router at `answered_at_s`.
    """

    batch: EntryBatch
    configuration_revision: int
    complete_at_s: float
    answered_at_s: float


class ChangeLog:
    """Changes of all keys from one revision to another, without gaps.

    The log is open while its router watches the store itself. Changes after
    `first_revision` up to `revision` are held. Where another value is large, the log
    begins anew behind it. The configuration contains callers' keys and is not held.

    >>> log = ChangeLog()
    >>> log.restart(7)
    >>> log.after(7), log.after(6)
    ([], None)
    """

    def __init__(self) -> None:
        self.is_open = False
        self.first_revision = 0
        self.revision = 0
        self._batches: deque[LoggedBatch] = deque()
        self._changed = Event()

    def restart(self, revision: int) -> None:
        """Hold changes from a revision on."""
        self.is_open = True
        self.first_revision = self.revision = revision
        self._batches.clear()
        self._wake()

    def close(self) -> None:
        """Hold nothing, as changes may be missed from now on."""
        if not self.is_open:
            return
        self.is_open = False
        self._batches.clear()
        self._wake()

    def extend(self, batch: EntryBatch, complete_at_s: float) -> None:
        """Add the changes that a watch from the log's revision returned."""
        self.revision = max(self.revision, batch.revision)
        if not batch.entries:
            return
        held = tuple(each for each in batch.entries if not _is_configuration(each))
        if any(map(_is_large, held)):
            self.restart(self.revision)
            return
        self._batches.append(LoggedBatch(held, batch.revision, complete_at_s))
        while len(self._batches) > BATCHES_MAX:
            dropped = self._batches.popleft()
            self.first_revision = dropped.revision
        self._wake()

    def after(self, revision: int) -> list[LoggedBatch] | None:
        """Return the batches with changes after a revision, or None if not held.

        The first batch may begin with changes up to that revision.
        """
        if not self.is_open or revision < self.first_revision:
            return None
        return [batch for batch in self._batches if batch.revision > revision]

    def wait_beyond(self, revision: int, wait_s: float) -> None:
        """Wait until the log holds a change after a revision, or begins anew."""
        until_s = time.monotonic() + wait_s
        while self.after(revision) == []:
            remaining_s = until_s - time.monotonic()
            if remaining_s <= 0.0:
                return
            self._changed.wait(remaining_s)

    def _wake(self) -> None:
        self._changed.set()
        self._changed.clear()


def _is_configuration(entry: Entry) -> bool:
    return entry.key == protocol.CONFIG_KEY


def _is_large(entry: Entry) -> bool:
    return len(entry.value or b"") > VALUE_MAX_BYTES
