"""The task that keeps the fleet view up to date with the platform's store."""

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

WATCH_TIMEOUT_S = 20.0
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 1.0
CHANGE_PAUSE_S = 0.1
CHANGE_PAUSE_PER_ROUTER_S = 0.008
CHANGE_PAUSE_MAX_S = 0.8
"""Upper bound of the pause after a change, which reduces calls in a burst of changes.

The pause grows with the number of routers that watch the store, because all of them
share its rate limits. The longest pause still leaves most of the time within which a
change has to be in force.
"""

SLOW_TRANSFER_S = 0.2
"""Time for receiving a response from which it is logged."""

LARGE_VALUE_BYTES = 100_000
"""Size of a value above which its versions aren't read one by one."""

ALL_KEYS_PREFIX = ""


@dataclass(frozen=True)
class EntryHandler:
    """Callbacks for the entries below a prefix.

    `on_entry` is called with each new entry, `on_full_read` with all keys that a full
    read returned, so that keys whose deletion was missed can be dropped.
    """

    prefix: str
    on_entry: Callable[[Entry], None]
    on_full_read: Callable[[list[str]], None]


class StoreWatcher:
    """Reads the whole store once and then watches it for changes.

    One watch serves all handlers, so that any change in the store shows whether the
    watch is alive. It continues from the last revision seen. The whole store is read
    again if it no longer keeps the changes since then, and if a watch would return
    many versions of a large value: after an outage, and while such a value keeps
    changing.
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
        self.change_pause_s = CHANGE_PAUSE_S
        self.answered_at_s = time.monotonic()
        self._retry_s = RETRY_FIRST_S
        self._has_large_change = False
        self._must_read_all = False
        self._interrupted = Event()
        self._pending_call: AsyncResult | None = None

    @property
    def is_disconnected(self) -> bool:
        """Return whether the last call failed, so that changes aren't received."""
        return self.fleet_view.outage_since_s is not None

    def set_router_count(self, router_count: int) -> None:
        """Set the pause after a change from the number of routers that watch."""
        self.change_pause_s = min(
            CHANGE_PAUSE_S + CHANGE_PAUSE_PER_ROUTER_S * router_count,
            CHANGE_PAUSE_MAX_S,
        )

    def interrupt(self, reason: str) -> None:
        """Abort the waiting call, or the pause before the next one, and call again."""
        self._interrupted.set()
        if self._pending_call is not None:
            self._pending_call.set_exception(StoreFailed(reason))

    def restart(self) -> None:
        """Read the whole store again, since revisions of before mean nothing."""
        self._must_read_all = True
        self.interrupt("revisions went back")

    def run(self) -> None:
        """Watch until the process ends; one task runs this."""
        while True:
            try:
                self._step()
                self._record_success()
            except HistoryGone:
                log.warning("history gone", at=self.revision)
                self.revision = 0
            except StoreFailed as error:
                self._record_failure(error)
                self._interrupted.wait(self._retry_s * random.uniform(0.7, 1.3))
                self._retry_s = min(self._retry_s * 2.0, RETRY_MAX_S)

    def _step(self) -> None:
        self._interrupted.clear()
        if self.revision == 0 or self.is_disconnected or self._has_large_change:
            self._must_read_all = True
        if self._must_read_all:
            self._read_all()
            return
        batch = self._call_interruptibly(self._watch)
        _log_batch("watch", batch)
        for entry in batch.entries:
            self._dispatch(entry)
        self.revision = max(self.revision, batch.revision)
        self._has_large_change = any(_is_large(entry) for entry in batch.entries)
        if batch.entries:
            gevent.sleep(self.change_pause_s)

    def _read_all(self) -> None:
        self._must_read_all = False
        batch = self._call_interruptibly(self._list)
        _log_batch("full read", batch)
        if self.is_disconnected:
            # Entries may have expired during the outage although their targets run.
            self.fleet_view.note_outage()
        before = self.fleet_view.configuration
        for entry in batch.entries:
            self._dispatch(entry)
        keys = [entry.key for entry in batch.entries]
        for handler in self.handlers:
            handler.on_full_read(
                [key for key in keys if key.startswith(handler.prefix)]
            )
        self.revision = batch.revision
        has_changed = before is not self.fleet_view.configuration
        self._has_large_change = has_changed and any(map(_is_large, batch.entries))
        if self._has_large_change:
            gevent.sleep(self.change_pause_s)

    def _dispatch(self, entry: Entry) -> None:
        for handler in self.handlers:
            if entry.key.startswith(handler.prefix):
                handler.on_entry(entry)

    def _call_interruptibly(self, call: Callable[[], EntryBatch]) -> EntryBatch:
        """Make a call in a separate task, so that `interrupt` can end the wait."""
        result = self._pending_call = AsyncResult()
        task = gevent.spawn(_run_call, call, result)
        try:
            return result.get()
        finally:
            self._pending_call = None
            task.kill(block=False)

    def _watch(self) -> EntryBatch:
        return self.store.watch(ALL_KEYS_PREFIX, self.revision, WATCH_TIMEOUT_S)

    def _list(self) -> EntryBatch:
        return self.store.list_entries(ALL_KEYS_PREFIX)

    def _record_success(self) -> None:
        self._retry_s = RETRY_FIRST_S
        self.answered_at_s = time.monotonic()
        if self.is_disconnected:
            self.fleet_view.end_outage()
            self.fleet_view.note_outage()
            log.info("store regained", at=self.revision)

    def _record_failure(self, error: StoreFailed) -> None:
        self.fleet_view.note_outage()
        if not self.is_disconnected:
            self.fleet_view.begin_outage(self.answered_at_s)
            log.warning("store lost", at=self.revision, why=error.message)


def _run_call(call: Callable[[], EntryBatch], result: AsyncResult) -> None:
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


def _is_large(entry: Entry) -> bool:
    return entry.value is not None and len(entry.value) > LARGE_VALUE_BYTES


def configuration_handler(fleet_view: FleetView) -> EntryHandler:
    """Return the handler that puts the operator's configuration in force."""

    def on_entry(entry: Entry) -> None:
        if entry.value is None or entry.key != protocol.CONFIG_KEY:
            return
        try:
            configuration = decode_configuration(entry.value)
        except ValueError as error:
            log.error("configuration unreadable", at=entry.revision, why=str(error))
            return
        fleet_view.apply_configuration(configuration, entry.revision)

    return EntryHandler(protocol.CONFIG_KEY, on_entry, lambda keys: None)


def target_handler(fleet_view: FleetView) -> EntryHandler:
    """Return the handler that adds, updates and removes targets."""
    prefix_length = len(protocol.TARGETS_PREFIX)

    def on_entry(entry: Entry) -> None:
        target_id = TargetId(entry.key[prefix_length:])
        if entry.value is None:
            fleet_view.remove_target(target_id)
            return
        target = decode_target(target_id, entry.value, entry.revision)
        if target is None:
            log.warning("target entry invalid", key=entry.key, at=entry.revision)
            fleet_view.remove_target(target_id)
            return
        fleet_view.update_target(target)

    def on_full_read(keys: list[str]) -> None:
        fleet_view.retain_targets(TargetId(key[prefix_length:]) for key in keys)

    return EntryHandler(protocol.TARGETS_PREFIX, on_entry, on_full_read)
