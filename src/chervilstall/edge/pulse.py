"""Finding out soon that the store fell silent, or that a watch did.

A watch waits for long, and a connection on which an answer was lost stays open
without a sign. A cheap call a second tells both apart from a store in which nothing
happens.
"""

import random
import time
from dataclasses import dataclass

import gevent

from chervilstall.platform.kv import PlatformStore
from chervilstall.platform.watcher import StoreWatcher
from chervilstall.store.contract import StoreFailed

PULSE_S = 1.0
PULSE_TIMEOUT_S = 1.0


@dataclass
class StorePulse:
    """Asks the store for its revision and interrupts a follower that hears nothing.

    A store that fails a call interrupts the follower once; one that answers while the
    follower still counts it as lost ends the follower's pause. A revision that the
    follower has not reached one call later means that its watch is dead.
    """

    store: PlatformStore
    store_watcher: StoreWatcher
    key: str
    _has_failed: bool = False
    _seen_revision: int = 0
    _reached_revision: int = 0

    def run(self) -> None:
        """Ask for the life of the process; one task runs this."""
        while True:
            gevent.sleep(PULSE_S * random.uniform(0.9, 1.1))
            self.step()

    def step(self) -> None:
        """Ask once."""
        try:
            revision = self.store.recent_revision(self.key, PULSE_TIMEOUT_S)
        except StoreFailed as error:
            if not self._has_failed:
                self._has_failed = True
                self.store_watcher.interrupt(error.message)
            return
        self._has_failed = False
        if self.store_watcher.is_disconnected:
            self.store_watcher.interrupt("the store answers again")
            return
        self.store_watcher.answered_at_s = time.monotonic()
        self._compare(revision)

    def _compare(self, revision: int) -> None:
        reached = self.store_watcher.revision
        has_stood = reached == self._reached_revision < self._seen_revision
        self._reached_revision = reached
        self._seen_revision = revision
        if has_stood and reached:
            self.store_watcher.interrupt("the watch stands still")
