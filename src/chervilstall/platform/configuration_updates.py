"""Reading of configurations of which a router hears through a relay only.

Relays tell that the configuration has changed, but not what it holds. A router reads it
by itself, while other changes go on arriving from the relay.
"""

import random
from collections.abc import Callable

import gevent

from chervilstall.platform import protocol
from chervilstall.platform.kv import EntryBatch, PlatformStore
from chervilstall.store.contract import StoreFailed
from chervilstall.telemetry.events import EventLog

log = EventLog("store")

RETRY_FIRST_S = 0.1
RETRY_MAX_S = 1.0


class ConfigurationUpdates:
    """Reads the configuration whenever a later one was told of than was applied.

    `apply` is called with what was read, and calls `note_applied`.
    """

    def __init__(
        self, store: PlatformStore, apply: Callable[[EntryBatch], object]
    ) -> None:
        self.store = store
        self.apply = apply
        self._applied_revision = 0
        self._told_revision = 0
        self._task: gevent.Greenlet | None = None

    @property
    def latest_revision(self) -> int:
        """Return the revision of the latest configuration that is known to exist."""
        return max(self._applied_revision, self._told_revision)

    @property
    def is_due(self) -> bool:
        """Return whether a later configuration exists than was applied."""
        return self._applied_revision < self._told_revision

    def note_applied(self, revision: int) -> None:
        """Record that the configuration of a revision was applied."""
        self._applied_revision = max(self._applied_revision, revision)

    def note_told(self, revision: int) -> None:
        """Record that a configuration of a revision exists; read it if it is new."""
        self._told_revision = max(self._told_revision, revision)
        if self.is_due and not self._task:
            self._task = gevent.spawn(self._run)

    def forget(self) -> None:
        """Forget all revisions, as those of an earlier era mean nothing."""
        self._applied_revision = self._told_revision = 0

    def _run(self) -> None:
        """Read until nothing is due."""
        retry_s = RETRY_FIRST_S
        while True:
            self._read()
            if not self.is_due:
                return
            gevent.sleep(retry_s * random.uniform(0.7, 1.3))
            retry_s = min(retry_s * 2.0, RETRY_MAX_S)

    def _read(self) -> None:
        try:
            batch = self.store.read_entry(protocol.CONFIG_KEY)
        except StoreFailed as error:
            log.warning("configuration not read", why=error.message)
            return
        if not batch.entries:
            # It was deleted.
            self.note_applied(self._told_revision)
            return
        self.apply(batch)
