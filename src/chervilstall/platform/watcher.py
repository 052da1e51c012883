"""The task that keeps the fleet view up to date with the platform's store."""

import random
import time
from collections.abc import Callable
from typing import TypeVar

import gevent
from gevent.event import AsyncResult, Event

from chervilstall.fleet.view import FleetView
from chervilstall.platform import protocol
from chervilstall.platform.change_log import ChangeLog, RelayedBatch
from chervilstall.platform.configuration_reading import (
    WATCH_WAIT_S,
    ConfigurationReading,
)
from chervilstall.platform.configuration_updates import ConfigurationUpdates
from chervilstall.platform.handlers import EntryHandler, FullRead
from chervilstall.platform.kv import Entry, EntryBatch, HistoryGone, PlatformStore
from chervilstall.store.contract import ResponseTooLarge, StoreFailed
from chervilstall.telemetry.events import EventLog

log = EventLog("store")

T = TypeVar("T")
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 1.0
CHANGE_PAUSE_S = 0.1
CHANGE_PAUSE_PER_ROUTER_S = 0.008
CHANGE_PAUSE_MAX_S = 0.65
"""Upper bound of the pause after a change, which reduces calls in a burst of changes.

The pause grows with the number of routers that watch the store, because all of them
share its rate limits. The longest pause still leaves most of the time within which a
change has to be in force, also where a watch heard nothing for a second before.
"""

ANSWER_MAX_S = 0.5
"""Time after a change in which the store has answered a watch that was waiting."""

SLOW_TRANSFER_S = 0.2
"""Time for receiving a response from which it is logged."""

FIRST_WATCH_S = 0.5
"""Time after which the first watch after a whole reading is given up.

The store may have just dropped its history, and a watch that begins then may be deaf.
"""

LARGE_RESPONSE_BYTES = 131_072
"""Size of a watch's response from which the configuration is read by itself."""

ALL_KEYS_PREFIX = ""
SMALL_PREFIXES = (protocol.TARGETS_PREFIX, protocol.ROUTER_KEYS_PREFIX)
"""Prefixes of small values, the most urgent first."""


class WatchAbandoned(StoreFailed):
    """The watch brought nothing, and is made anew from the same revision."""


class StoreWatcher:
    """Reads the whole store once and then watches it for changes.

    One watch serves all handlers, so that any change in the store shows whether the
    watch is alive. It continues from the last revision seen. The whole store is read
    again if it no longer keeps the changes since then, and after an outage. Where a
    watch would return much, the configuration is read by itself, in its latest version
    only, and what else has changed comes apart from it. Each change is applied once:
    `_applied` holds the revision up to which those of a prefix have been.

    `relayed` is asked for changes after a revision before each watch. It returns None
    where the store itself has to be watched; `count_watchers` returns how many routers
    do so, and `watch_limit_s` after how long the next watch is given up, or None. While
    this router watches, `change_log` holds the changes for others, and `is_relayed` is
    false.

    `watching_since_s` is the monotonic time since which a watch waits, or None.
    `answered_at_s` is that of the store's last answer, to this router or to its relay.
    """

    def __init__(
        self,
        store: PlatformStore,
        fleet_view: FleetView,
        handlers: tuple[EntryHandler, ...],
    ) -> None:
        self.store = store
        self.fleet_view = fleet_view
        self.handlers = handlers
        self.revision = 0
        self.answered_at_s = time.monotonic()
        self.watching_since_s: float | None = None
        self.relayed: Callable[[int], RelayedBatch | None] = lambda after: None
        self.count_watchers: Callable[[], int] = lambda: 1
        self.watch_limit_s: Callable[[], float | None] = lambda: None
        self.change_log = ChangeLog()
        self.is_relayed = False
        self._is_first_watch = False
        self._paused_until_s = float("-inf")
        self.configuration_updates = ConfigurationUpdates(
            store, lambda batch: self._apply_entries(protocol.CONFIG_KEY, batch)
        )
        self._retry_s = RETRY_FIRST_S
        self._must_read_all = False
        self._applied = dict.fromkeys(SMALL_PREFIXES, 0)
        self._interrupted = Event()
        self._pending_call: AsyncResult | None = None

    @property
    def is_disconnected(self) -> bool:
        """Return whether the last call failed, so that changes aren't received."""
        return self.fleet_view.outage_since_s is not None

    @property
    def change_pause_s(self) -> float:
        """Return the pause after a change before the store is called again."""
        pause_s = CHANGE_PAUSE_S + CHANGE_PAUSE_PER_ROUTER_S * self.count_watchers()
        return min(pause_s, CHANGE_PAUSE_MAX_S)

    def interrupt(self, reason: str) -> None:
        """Abort the waiting call, or the pause before the next one, and call again."""
        self._end_call(StoreFailed(reason))

    def abandon_watch(self) -> None:
        """Watch again from the same revision, as the present watch brings nothing."""
        self._end_call(WatchAbandoned("the watch delivers no changes"))

    def restart(self) -> None:
        """Read the whole store again, since revisions of before mean nothing."""
        self._must_read_all = True
        self.configuration_updates.forget()
        self.interrupt("revisions went back")

    def _end_call(self, error: StoreFailed) -> None:
        self._interrupted.set()
        if self._pending_call is not None:
            self._pending_call.set_exception(error)

    def run(self) -> None:
        """Watch until the process ends; one task runs this."""
        while True:
            try:
                self._record_success(self._step())
            except HistoryGone:
                log.warning("history gone", at=self.revision)
                self.revision = 0
                self.change_log.close()
            except WatchAbandoned as error:
                log.warning("watch abandoned", at=self.revision, why=error.message)
            except StoreFailed as error:
                self._record_failure(error)
                self._interrupted.wait(self._retry_s * random.uniform(0.7, 1.3))
                self._retry_s = min(self._retry_s * 2.0, RETRY_MAX_S)

    def _step(self) -> float:
        """Get the next changes; return the monotonic time of the store's answer."""
        self._interrupted.clear()
        if self.revision == 0:
            self._must_read_all = True
        if not self._must_read_all:
            # Not interrupted, so that a relay that doesn't reply is left in the end.
            relayed = self.relayed(self.revision)
            if relayed is not None and not self._must_read_all:
                self._apply_relayed(relayed)
                return relayed.answered_at_s
        self.is_relayed = False
        if self._must_read_all or self.is_disconnected:
            self._must_read_all = False
            self.change_log.close()
            self.revision = self._call_interruptibly(self._read_all)
            self.change_log.restart(self.revision)
            self._is_first_watch = True
        else:
            self._watch_step()
        return time.monotonic()

    def _apply_relayed(self, relayed: RelayedBatch) -> None:
        """Apply what a relay told; it has missed nothing, also during an outage."""
        self.is_relayed = True
        self.change_log.close()
        self.fleet_view.note_complete(relayed.complete_at_s)
        self._apply_entries(ALL_KEYS_PREFIX, relayed.batch)
        self.revision = max(self.revision, relayed.batch.revision)
        self.configuration_updates.note_told(relayed.configuration_revision)

    def _watch_step(self) -> None:
        """Watch the store, after the pause that the last change asks for."""
        gevent.sleep(max(0.0, self._paused_until_s - time.monotonic()))
        if not self.change_log.is_open:
            self.change_log.restart(self.revision)
        try:
            batch = self._watch_all()
        except ResponseTooLarge:
            self.change_log.close()
            self._read_separately()
            self.change_log.restart(self.revision)
            return
        _log_batch("watch", batch)
        complete_at_s = self._apply_changes(ALL_KEYS_PREFIX, batch)
        self.revision = max(self.revision, batch.revision)
        self.change_log.extend(batch, complete_at_s)
        if batch.entries:
            self._paused_until_s = time.monotonic() + self.change_pause_s

    def _watch_all(self) -> EntryBatch:
        self.watching_since_s = time.monotonic()
        given_up = WatchAbandoned("given up early, as it may be deaf")
        try:
            with gevent.Timeout(self._next_limit_s(), given_up):
                return self._call_interruptibly(
                    lambda: self.store.watch(
                        ALL_KEYS_PREFIX,
                        self.revision,
                        WATCH_WAIT_S,
                        LARGE_RESPONSE_BYTES,
                    )
                )
        finally:
            self.watching_since_s = None

    def _next_limit_s(self) -> float | None:
        """Return after how long the next watch is given up, or None."""
        limit_s = self.watch_limit_s()
        if not self._is_first_watch:
            return limit_s
        self._is_first_watch = False
        return FIRST_WATCH_S if limit_s is None else min(limit_s, FIRST_WATCH_S)

    def _read_separately(self) -> None:
        """Read the configuration by itself, as much has changed."""
        began_at_s = time.monotonic()
        revisions = dict.fromkeys(SMALL_PREFIXES, self.revision)
        self.revision = self._call_interruptibly(
            lambda: self._read_configuration(revisions, self.revision)
        )
        self._paused_until_s = began_at_s + self.change_pause_s

    def _read_all(self) -> int:
        """Read the whole store, targets first; return the revision to watch from."""
        revisions = {prefix: self._read_prefix(prefix) for prefix in SMALL_PREFIXES}
        return self._read_configuration(revisions, 0)

    def _read_configuration(self, revisions: dict[str, int], reached: int) -> int:
        reading = ConfigurationReading(
            self.store,
            revisions,
            self.change_pause_s,
            self._apply_changes,
            self._read_prefix,
        )
        return reading.run(reached)

    def _read_prefix(self, prefix: str) -> int:
        """Read all entries below a prefix, and return the revision they are of."""
        batch = self.store.list_entries(prefix)
        _log_batch("full read", batch)
        if self.is_disconnected:
            # Entries may have expired during the outage although their targets run.
            self.fleet_view.note_outage()
        for entry in batch.entries:
            self._dispatch(entry)
        self._applied[prefix] = batch.revision
        all_keys = [entry.key for entry in batch.entries]
        for handler in self.handlers:
            if handler.prefix.startswith(prefix):
                keys = tuple(key for key in all_keys if key.startswith(handler.prefix))
                handler.on_full_read(FullRead(keys, batch.revision))
        if prefix == protocol.TARGETS_PREFIX:
            self.fleet_view.note_complete(batch.sent_at_s)
        return batch.revision

    def _apply_changes(self, prefix: str, batch: EntryBatch) -> float:
        """Apply the changes that a watch of a prefix returned, or a single entry.

        Return the monotonic time up to which all changes before them were known.
        """
        has_all_targets = protocol.TARGETS_PREFIX.startswith(prefix)
        has_waited = batch.responded_at_s - batch.sent_at_s > ANSWER_MAX_S
        if has_all_targets and has_waited:
            # The store would have answered earlier if there had been a change before.
            self.fleet_view.note_complete(batch.responded_at_s - ANSWER_MAX_S)
        complete_at_s = self.fleet_view.complete_at_s
        self._apply_entries(prefix, batch)
        if has_all_targets:
            self.fleet_view.note_complete(batch.sent_at_s)
        return complete_at_s

    def _apply_entries(self, prefix: str, batch: EntryBatch) -> None:
        for entry in batch.entries:
            if entry.key == protocol.CONFIG_KEY:
                self.configuration_updates.note_applied(entry.revision)
            if not self._is_applied(entry):
                self._dispatch(entry)
        for small_prefix in SMALL_PREFIXES:
            if small_prefix.startswith(prefix):
                reached = max(self._applied[small_prefix], batch.revision)
                self._applied[small_prefix] = reached

    def _is_applied(self, entry: Entry) -> bool:
        """Return whether a watch beside a reading has brought a change already."""
        return any(
            entry.key.startswith(prefix) and entry.revision <= reached
            for prefix, reached in self._applied.items()
        )

    def _dispatch(self, entry: Entry) -> None:
        for handler in self.handlers:
            if not entry.key.startswith(handler.prefix):
                continue
            try:
                handler.on_entry(entry)
            except Exception as error:
                # Whatever one entry holds, the others are to be applied.
                log.error(
                    "entry left out", key=entry.key, at=entry.revision, why=repr(error)
                )

    def _call_interruptibly(self, call: Callable[[], T]) -> T:
        """Make a call in a separate task, so that `interrupt` can end the wait."""
        result = self._pending_call = AsyncResult()
        task = gevent.spawn(_run_call, call, result)
        try:
            value: T = result.get()
            return value
        finally:
            self._pending_call = None
            task.kill(block=False)

    def _record_success(self, answered_at_s: float) -> None:
        self._retry_s = RETRY_FIRST_S
        self.answered_at_s = max(self.answered_at_s, answered_at_s)
        if self.is_disconnected:
            self.fleet_view.end_outage()
            self.fleet_view.note_outage()
            log.info("store regained", at=self.revision)

    def _record_failure(self, error: StoreFailed) -> None:
        self.change_log.close()
        self.fleet_view.note_outage()
        if not self.is_disconnected:
            self.fleet_view.begin_outage(self.answered_at_s)
            log.warning("store lost", at=self.revision, why=error.message)


def _run_call(call: Callable[[], object], result: AsyncResult) -> None:
    try:
        result.set(call())
    except StoreFailed as error:
        result.set_exception(error)


def _log_batch(call: str, batch: EntryBatch) -> None:
    """Log how long a batch took, unless a watch brought it in little time."""
    transfer_s = time.monotonic() - batch.responded_at_s
    if call == "watch" and transfer_s < SLOW_TRANSFER_S:
        return
    log.info(
        "entries read",
        by=call,
        entries=len(batch.entries),
        kilobytes=batch.size_bytes // 1000,
        waited_s=round(batch.responded_at_s - batch.sent_at_s, 3),
        transfer_s=round(transfer_s, 3),
        revision=batch.revision,
    )
