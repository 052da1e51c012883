"""Early detection of an unresponsive store and of a dead watch on it.

A watch waits for a long time, and a connection on which a response was lost stays open
without any sign. One cheap call a second tells both faults from a store that has no
changes.
"""

import random
import time
from dataclasses import dataclass

import gevent

from chervilstall.heard_clock import HEARD
from chervilstall.platform.kv import PlatformStore
from chervilstall.platform.watcher import StoreWatcher
from chervilstall.store.contract import StoreFailed

CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 1.0


@dataclass
class StoreProbe:
    """Polls the store's revision and interrupts a store watcher that receives nothing.

    The first failed call interrupts the watcher, unless a part of a response to it has
    arrived meanwhile: then the store responds, and the link is busy. A successful call
    while the watcher is still disconnected ends the watcher's retry delay, or a call
    of which nothing arrives. If a watch that was waiting at the last call has not
    reached that revision by this one, it is dead and is abandoned; the store is not.

    `key` names the one entry that each poll reads.
    """

    store: PlatformStore
    store_watcher: StoreWatcher
    key: str
    _has_failed: bool = False
    _store_revision: int = 0
    _watcher_revision: int = 0
    _polled_at_s: float = float("-inf")

    def run(self) -> None:
        """Poll until the process ends; one task runs this."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S * random.uniform(0.9, 1.1))
            self.step()

    def step(self) -> None:
        """Poll once, unless a relay tells what the store holds."""
        if self.store_watcher.is_relayed:
            self._has_failed = False
            return
        began_at_s = time.monotonic()
        try:
            revision = self.store.recent_revision(self.key, CHECK_TIMEOUT_S)
        except StoreFailed as error:
            if self.store.entries_received_at_s > began_at_s:
                return
            if HEARD.was_deaf_since(began_at_s):
                # The store may have answered while this process did not run.
                return
            if not self._has_failed:
                self._has_failed = True
                self.store_watcher.interrupt(error.message)
            return
        self._has_failed = False
        if self.store_watcher.is_disconnected:
            if self.store.entries_received_at_s < began_at_s - CHECK_INTERVAL_S:
                self.store_watcher.interrupt("the store responds again")
            return
        self.store_watcher.answered_at_s = time.monotonic()
        self._check_progress(revision)

    def _check_progress(self, revision: int) -> None:
        polled_at_s, self._polled_at_s = self._polled_at_s, time.monotonic()
        reached = self.store_watcher.revision
        is_behind = reached == self._watcher_revision < self._store_revision
        self._watcher_revision = reached
        self._store_revision = revision
        watching_since_s = self.store_watcher.watching_since_s
        was_waiting = watching_since_s is not None and watching_since_s < polled_at_s
        is_arriving = self.store.entries_received_at_s > polled_at_s
        if is_behind and was_waiting and not is_arriving:
            self.store_watcher.abandon_watch()
