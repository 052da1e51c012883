"""Reading of a large configuration while other changes go on arriving.

A configuration of 1 MB takes seconds on a slow link, and a response is only of use when
it is complete. Whatever else changes meanwhile therefore comes over watches of its own.
"""

from collections.abc import Callable

import gevent

from chervilstall.platform import protocol
from chervilstall.platform.kv import EntryBatch, EraChanged, HistoryGone, PlatformStore
from chervilstall.store.contract import StoreFailed
from chervilstall.telemetry.events import EventLog

log = EventLog("store")

FOLLOW_AFTER_S = 0.1
"""Time for which a reading may take without other watches."""

WATCH_WAIT_S = 20.0
"""Longest wait of a watch, after which it is made anew."""

LAST_WAIT_S = 0.001
"""Wait of a watch that only asks what has changed up to now."""

RETRY_S = 0.5


class ConfigurationReading:
    """Reads the configuration once, and watches other prefixes in the meantime.

    `revisions` holds, for each of these prefixes, the revision up to which its changes
    have been applied. `apply` is called with a prefix and its changes. `read_prefix`
    reads a prefix as a whole where the changes since its revision are gone, and returns
    the revision. `pause_s` is the pause between two readings of a prefix.
    """

    def __init__(
        self,
        store: PlatformStore,
        revisions: dict[str, int],
        pause_s: float,
        apply: Callable[[str, EntryBatch], object],
        read_prefix: Callable[[str], int],
    ) -> None:
        self.store = store
        self.revisions = revisions
        self.pause_s = pause_s
        self.apply = apply
        self.read_prefix = read_prefix

    def run(self, reached: int) -> int:
        """Read the configuration; return the revision to go on watching from.

        That is at least the revision of the configuration and more than `reached`, so
        that a watch from there returns nothing large again, and not behind the moment
        of the reading, so that it returns each later configuration. Raises StoreFailed.
        """
        followers = [
            gevent.spawn_later(FOLLOW_AFTER_S, self._follow, prefix)
            for prefix in self.revisions
        ]
        try:
            batch = self.store.read_entry(protocol.CONFIG_KEY)
        finally:
            gevent.killall(followers, block=False)
        self.apply(protocol.CONFIG_KEY, batch)
        revision_min = max([reached + 1, *(entry.revision for entry in batch.entries)])
        for prefix, revision in self.revisions.items():
            if revision < revision_min:
                self._watch(prefix, LAST_WAIT_S)
        return min(batch.revision, *self.revisions.values())

    def _follow(self, prefix: str) -> None:
        """Watch a prefix until the configuration has been read."""
        while True:
            try:
                has_changed = self._watch(prefix, WATCH_WAIT_S)
            except EraChanged:
                # The reading of the configuration is about to be interrupted.
                return
            except StoreFailed as error:
                log.warning("watch beside a reading failed", why=error.message)
                gevent.sleep(RETRY_S)
                continue
            if has_changed:
                gevent.sleep(self.pause_s)

    def _watch(self, prefix: str, wait_s: float) -> bool:
        """Apply the next changes of a prefix; return whether there were any."""
        try:
            batch = self.store.watch(prefix, self.revisions[prefix], wait_s)
        except EraChanged:
            raise
        except HistoryGone:
            self.revisions[prefix] = self.read_prefix(prefix)
            return True
        self.apply(prefix, batch)
        self.revisions[prefix] = max(self.revisions[prefix], batch.revision)
        return bool(batch.entries)
