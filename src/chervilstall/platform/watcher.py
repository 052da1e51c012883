"""The task that keeps beliefs in step with the platform's store."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult, Event

from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId
from chervilstall.platform import protocol
from chervilstall.platform.config import decode_configuration
from chervilstall.platform.kv import Entry, EntryBatch, HistoryGone, PlatformStore
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

BULKY_BYTES = 100_000
"""Size of a value from which its versions are not read one after the other."""

EVERYTHING = ""


@dataclass(frozen=True)
class EntryHandler:
    """Who takes in the entries below a prefix.

    `on_entry` gets every entry that is new, `on_full_read` the keys of a whole reading,
    so that what vanished unseen can be dropped.
    """

    prefix: str
    on_entry: Callable[[Entry], None]
    on_full_read: Callable[[list[str]], None]


class StoreWatcher:
    """Reads the store once and then follows its changes; one task runs this.

    One watch serves all readers, so that any change shows whether it is alive. It
    goes on from the revision that it had reached. All is read again where the store
    forgot that far back, and where a watch would return many versions of a large
    value: after an outage, and as long as such a value goes on changing.
    """

    def __init__(
        self,
        store: PlatformStore,
        fleet_view: FleetView,
        readers: tuple[EntryHandler, ...],
    ) -> None:
        self.store = store
        self.fleet_view = fleet_view
        self.handlers = readers
        self.revision = 0
        self.settle_s = SETTLE_S
        self.answered_at_s = time.monotonic()
        self._retry_s = RETRY_FIRST_S
        self._is_bulky = False
        self._woken = Event()
        self._answer: AsyncResult | None = None

    @property
    def is_disconnected(self) -> bool:
        """Return whether the last call failed, so that entries are not followed."""
        return self.fleet_view.outage_since_s is not None

    def set_router_count(self, routers: int) -> None:
        """Set the pause after a change by the number of routers that follow."""
        self.settle_s = min(SETTLE_S + SETTLE_PER_ROUTER_S * routers, SETTLE_MAX_S)

    def interrupt(self, reason: str) -> None:
        """Give up the call that waits, or the pause before the next, and ask anew."""
        self._woken.set()
        if self._answer is not None:
            self._answer.set_exception(StoreFailed(reason))

    def run(self) -> None:
        """Follow for the life of the process."""
        while True:
            try:
                self._step()
                self._note_answer()
            except HistoryGone:
                log.warning("history gone", at=self.revision)
                self.revision = 0
            except StoreFailed as error:
                self._note_failure(error)
                self._woken.wait(self._retry_s * random.uniform(0.7, 1.3))
                self._retry_s = min(self._retry_s * 2.0, RETRY_MAX_S)

    def _step(self) -> None:
        self._woken.clear()
        if self.revision == 0 or self.is_disconnected or self._is_bulky:
            self._read_all()
            return
        found = self._await(self._watch)
        for entry in found.entries:
            self._take(entry)
        self.revision = max(self.revision, found.revision)
        self._is_bulky = any(_is_bulky(entry) for entry in found.entries)
        if found.entries:
            gevent.sleep(self.settle_s)

    def _read_all(self) -> None:
        found = self._await(self._list)
        if self.is_disconnected:
            # Entries may have lapsed meanwhile, though their targets live.
            self.fleet_view.note_outage()
        before = self.fleet_view.configuration
        for entry in found.entries:
            self._take(entry)
        keys = [entry.key for entry in found.entries]
        for reader in self.handlers:
            reader.on_full_read([key for key in keys if key.startswith(reader.prefix)])
        self.revision = found.revision
        has_changed = before is not self.fleet_view.configuration
        self._is_bulky = has_changed and any(map(_is_bulky, found.entries))
        if self._is_bulky:
            gevent.sleep(self.settle_s)

    def _take(self, entry: Entry) -> None:
        for reader in self.handlers:
            if entry.key.startswith(reader.prefix):
                reader.on_entry(entry)

    def _await(self, call: Callable[[], EntryBatch]) -> EntryBatch:
        """Make a call in a task of its own, so that `interrupt` can end the wait."""
        answer = self._answer = AsyncResult()
        task = gevent.spawn(_answer, call, answer)
        try:
            return answer.get()
        finally:
            self._answer = None
            task.kill(block=False)

    def _watch(self) -> EntryBatch:
        return self.store.watch(EVERYTHING, self.revision, WATCH_S)

    def _list(self) -> EntryBatch:
        return self.store.list_entries(EVERYTHING)

    def _note_answer(self) -> None:
        self._retry_s = RETRY_FIRST_S
        self.answered_at_s = time.monotonic()
        if self.is_disconnected:
            self.fleet_view.end_outage()
            self.fleet_view.note_outage()
            log.info("store regained", at=self.revision)

    def _note_failure(self, error: StoreFailed) -> None:
        self.fleet_view.note_outage()
        if not self.is_disconnected:
            self.fleet_view.begin_outage(self.answered_at_s)
            log.warning("store lost", at=self.revision, why=error.message)


def _answer(call: Callable[[], EntryBatch], answer: AsyncResult) -> None:
    try:
        answer.set(call())
    except StoreFailed as error:
        answer.set_exception(error)


def _is_bulky(entry: Entry) -> bool:
    return entry.value is not None and len(entry.value) > BULKY_BYTES


def configuration_handler(fleet_view: FleetView) -> EntryHandler:
    """Return the reader of the operator's configuration."""

    def take(entry: Entry) -> None:
        if entry.value is None or entry.key != protocol.CONFIG_KEY:
            return
        try:
            configuration = decode_configuration(entry.value)
        except ValueError as error:
            log.error("configuration unreadable", at=entry.revision, why=str(error))
            return
        fleet_view.apply_configuration(configuration, entry.revision)

    return EntryHandler(protocol.CONFIG_KEY, take, lambda keys: None)


def target_handler(fleet_view: FleetView) -> EntryHandler:
    """Return the reader of the targets' own entries."""
    skip = len(protocol.TARGETS_PREFIX)

    def take(entry: Entry) -> None:
        name = TargetId(entry.key[skip:])
        if entry.value is None:
            fleet_view.remove_target(name)
            return
        target = decode_target(name, entry.value, entry.revision)
        if target is None:
            log.warning("entry names no target", key=entry.key, at=entry.revision)
            fleet_view.remove_target(name)
            return
        fleet_view.update_target(target)

    def take_all(keys: list[str]) -> None:
        fleet_view.retain_targets(TargetId(key[skip:]) for key in keys)

    return EntryHandler(protocol.TARGETS_PREFIX, take, take_all)
