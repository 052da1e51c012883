"""Early detection of an unresponsive store and of a dead watch on it.

A watch waits for a long time, and a connection on which a response was lost stays open
without any sign. One cheap call a second tells both faults from a store that has no
changes.
"""

import random
import time
from dataclasses import dataclass

import gevent

from chervilstall.platform.kv import PlatformStore
from chervilstall.platform.watcher import StoreWatcher
from chervilstall.store.contract import StoreFailed

CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 1.0


@dataclass
class StoreProbe:
    """Polls the store's revision and interrupts a store watcher that receives nothing.

    The first failed call interrupts the watcher. A successful call while the watcher
    is still disconnected ends the watcher's retry delay. If the watcher has not reached
    a revision by the next call, its watch is dead and is interrupted.

    `key` names the one entry that each poll reads.
    """

    store: PlatformStore
    store_watcher: StoreWatcher
    key: str
    _has_failed: bool = False
    _store_revision: int = 0
    _watcher_revision: int = 0

    def run(self) -> None:
        """Poll until the process ends; one task runs this."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S * random.uniform(0.9, 1.1))
            self.step()

    def step(self) -> None:
        """Poll once."""
        try:
            revision = self.store.recent_revision(self.key, CHECK_TIMEOUT_S)
        except StoreFailed as error:
            if not self._has_failed:
                self._has_failed = True
                self.store_watcher.interrupt(error.message)
            return
        self._has_failed = False
        if self.store_watcher.is_disconnected:
            self.store_watcher.interrupt("the store responds again")
            return
        self.store_watcher.answered_at_s = time.monotonic()
        self._check_progress(revision)

    def _check_progress(self, revision: int) -> None:
        reached = self.store_watcher.revision
        is_stuck = reached == self._watcher_revision < self._store_revision
        self._watcher_revision = reached
        self._store_revision = revision
        if is_stuck and reached:
            self.store_watcher.interrupt("the watch delivers no changes")
