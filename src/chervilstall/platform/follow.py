"""Tasks that keep beliefs in step with the platform's store."""

import random
from collections.abc import Callable

import gevent

from chervilstall.fleet.beliefs import FleetBeliefs
from chervilstall.ids import TargetId
from chervilstall.platform import names
from chervilstall.platform.config import decode_configuration
from chervilstall.platform.kv import Entry, HistoryGone, PlatformStore
from chervilstall.platform.targets import decode_target
from chervilstall.store.contract import StoreFailed
from chervilstall.telemetry.events import EventLog

log = EventLog("store")

WATCH_S = 20.0
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 1.0
SETTLE_S = 0.1
SETTLE_PER_ROUTER_S = 0.008
SETTLE_MAX_S = 0.8
"""Pause after a change, so that a burst of changes costs few calls.

It grows with the routers that follow, since the store's rates are shared by all; even
the longest leaves most of the time in which a change has to be in force.
"""


class Follower:
    """Reads a prefix once and then follows its changes; one task runs this.

    `take` gets every entry that is new, `take_all` the keys of a whole reading, so
    that what vanished unseen can be dropped. A watch goes on from the revision that
    it had reached; only where the store forgot that far back is all read again.
    """

    def __init__(
        self,
        store: PlatformStore,
        prefix: str,
        beliefs: FleetBeliefs,
        take: Callable[[Entry], None],
        take_all: Callable[[list[str]], None],
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.beliefs = beliefs
        self.revision = 0
        self.settle_s = SETTLE_S
        self._take = take
        self._take_all = take_all
        self._retry_s = RETRY_FIRST_S
        self._is_lost = False

    def pace(self, routers: int) -> None:
        """Set the pause after a change by the number of routers that follow."""
        self.settle_s = min(SETTLE_S + SETTLE_PER_ROUTER_S * routers, SETTLE_MAX_S)

    def run(self) -> None:
        """Follow for the life of the process."""
        while True:
            try:
                self._step()
                self._note_answer()
            except HistoryGone:
                log.warning("history gone", prefix=self.prefix, at=self.revision)
                self.revision = 0
            except StoreFailed as error:
                self._note_failure(error)
                gevent.sleep(self._retry_s * random.uniform(0.7, 1.3))
                self._retry_s = min(self._retry_s * 2.0, RETRY_MAX_S)

    def _step(self) -> None:
        if self.revision == 0:
            found = self.store.list_entries(self.prefix)
            for entry in found.entries:
                self._take(entry)
            self._take_all([entry.key for entry in found.entries])
        else:
            found = self.store.watch(self.prefix, self.revision, WATCH_S)
            for entry in found.entries:
                self._take(entry)
            if found.entries:
                gevent.sleep(self.settle_s)
        self.revision = max(self.revision, found.revision)

    def _note_answer(self) -> None:
        self._retry_s = RETRY_FIRST_S
        if self._is_lost:
            self._is_lost = False
            if self.prefix == names.TARGETS_PREFIX:
                self.beliefs.end_outage()
            self.beliefs.note_outage()
            log.info("store regained", prefix=self.prefix, at=self.revision)

    def _note_failure(self, error: StoreFailed) -> None:
        self.beliefs.note_outage()
        if not self._is_lost:
            self._is_lost = True
            if self.prefix == names.TARGETS_PREFIX:
                self.beliefs.begin_outage()
            log.warning("store lost", prefix=self.prefix, why=error.message)


def configuration_follower(store: PlatformStore, beliefs: FleetBeliefs) -> Follower:
    """Return the follower of the operator's configuration."""

    def take(entry: Entry) -> None:
        if entry.value is None or entry.key != names.CONFIG_KEY:
            return
        try:
            configuration = decode_configuration(entry.value)
        except ValueError as error:
            log.error("configuration unreadable", at=entry.revision, why=str(error))
            return
        beliefs.take_configuration(configuration, entry.revision)

    return Follower(store, names.CONFIG_KEY, beliefs, take, lambda keys: None)


def target_follower(store: PlatformStore, beliefs: FleetBeliefs) -> Follower:
    """Return the follower of the targets' own entries."""
    skip = len(names.TARGETS_PREFIX)

    def take(entry: Entry) -> None:
        name = TargetId(entry.key[skip:])
        if entry.value is None:
            beliefs.drop_target(name)
            return
        target = decode_target(name, entry.value, entry.revision)
        if target is None:
            log.warning("entry names no target", key=entry.key, at=entry.revision)
            beliefs.drop_target(name)
            return
        beliefs.take_target(target)

    def take_all(keys: list[str]) -> None:
        beliefs.keep_only(TargetId(key[skip:]) for key in keys)

    return Follower(store, names.TARGETS_PREFIX, beliefs, take, take_all)
