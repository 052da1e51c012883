"""Accepts changes of the settings tree and reads the tree from the platform's store."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import msgspec

from chervilstall.clock import Clock
from chervilstall.configuration.check import check_tree
from chervilstall.configuration.records import (
    HEAD_KEY,
    HISTORY_PREFIX,
    IN_FORCE_PREFIX,
    SNAPSHOT_PART_MAX_BYTES,
    SNAPSHOT_PREFIX,
    AcceptedChange,
    Head,
    HistoryChunk,
    ZoneWatermark,
    decode_chunk,
    decode_head,
    decode_watermark,
    encode_head,
    history_key,
    pack_texts,
    snapshot_key,
    unpack_texts,
)
from chervilstall.configuration.tree import Tree
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import ChangeId, Revision
from chervilstall.store.contract import ABSENT_VERSION, Store, StoreFailed
from chervilstall.telemetry.logs import ComponentLog

log = ComponentLog("settings")

CHANGES_PER_SNAPSHOT = 64
HEAD_MAX_BYTES = 400_000
DOCUMENT_MAX_CHARS = 64_000
HISTORY_CHUNKS_KEPT = 100
ACCEPT_ATTEMPTS = 12
RETRY_INTERVAL_S = 0.05


@dataclass(frozen=True)
class ProposedChange:
    """A change proposed by an author. `text` None removes the path.

    `base` is the revision on which the author based the change. If the path has changed
    since, the change is rejected. None skips this check.
    """

    change: ChangeId
    path: str
    text: str | None
    author: str
    base: Revision | None = None


@dataclass(frozen=True)
class StoredHead:
    """A head and the store's version of its key, as needed for compare-and-swap."""

    head: Head
    version: int


class ConfigurationStore:
    """The accepted changes in the platform's store, in one total order.

    An instance never goes back to an older revision: a read that returns one is treated
    as a failed read.
    """

    def __init__(self, store: Store, wall_clock: Clock = time.time) -> None:
        self.store = store
        self._wall_clock = wall_clock
        self._tree = Tree()

    def read_head(self) -> StoredHead:
        """Return the head. Raises StoreFailed, also if the read was stale."""
        entry = self.store.get(HEAD_KEY)
        if entry is None:
            if self._tree.revision:
                raise StoreFailed("stale read: the configuration head is missing")
            return StoredHead(Head(), ABSENT_VERSION)
        head = decode_head(entry.value)
        if head.revision < self._tree.revision:
            raise StoreFailed("stale read: the configuration head is older than before")
        return StoredHead(head, entry.version)

    def read_tree(self, head: Head) -> Tree:
        """Return the tree at a head, reading its snapshot only if needed."""
        if head.revision <= self._tree.revision:
            return self._tree
        tree = self._tree
        if tree.revision < head.snapshot:
            texts = self._read_snapshot(head)
            tree = Tree.build(head.snapshot, texts)
        for change in head.changes:
            if change.revision > tree.revision:
                changed = {change.path: change.text}
                tree = tree.with_changes(change.revision, changed)
        self._tree = tree
        return tree

    def _read_snapshot(self, head: Head) -> dict[str, str]:
        parts = []
        for part in range(head.snapshot_parts):
            key = snapshot_key(head.snapshot, head.snapshot_change, part)
            entry = self.store.get(key)
            if entry is None:
                raise StoreFailed("a part of the configuration snapshot is missing")
            parts.append(entry.value)
        return unpack_texts(b"".join(parts))

    def read_watermarks(self) -> list[ZoneWatermark]:
        """Return the watermark of every zone that has published one."""
        entries = self.store.list_entries(IN_FORCE_PREFIX)
        watermarks: list[ZoneWatermark] = []
        for entry in entries:
            try:
                watermarks.append(decode_watermark(entry.value))
            except StoreFailed as error:
                log.warning("Left out %s: %s.", entry.key, error)
        return watermarks

    # Accepting changes

    def accept(
        self,
        proposed: ProposedChange,
        authorize: Callable[[Tree], None] = lambda tree: None,
    ) -> Revision:
        """Accept a change and return its revision.

        `authorize` is called with the tree to which the change would be applied, and
        raises an error to reject it. Raises InvalidSettings if the resulting tree is
        invalid, CONFLICT with the name of the other change, NOT_FOUND if there is
        nothing to remove, and STORE_UNAVAILABLE. After STORE_UNAVAILABLE the change may
        have been accepted; to find out, propose it again with the same change identity.
        """
        if proposed.text is not None and len(proposed.text) > DOCUMENT_MAX_CHARS:
            raise ChervilstallError(
                ErrorKind.INVALID_SETTINGS,
                f"document is longer than {DOCUMENT_MAX_CHARS} characters",
            )
        failure: StoreFailed | None = None
        for _ in range(ACCEPT_ATTEMPTS):
            try:
                revision = self._accept_once(proposed, authorize)
            except StoreFailed as error:
                failure = error
                gevent.sleep(RETRY_INTERVAL_S)
                continue
            if revision is not None:
                return revision
        if failure is not None:
            raise failure
        raise ChervilstallError(
            ErrorKind.CONFLICT, "too many concurrent changes; retry"
        )

    def _accept_once(
        self, proposed: ProposedChange, authorize: Callable[[Tree], None]
    ) -> Revision | None:
        stored = self.read_head()
        head = stored.head
        found = self._find_accepted(head, proposed.change)
        if found is not None:
            return found
        self._check_conflict(head, proposed)
        tree = self.read_tree(head)
        authorize(tree)
        if proposed.text is None and proposed.path not in tree.texts:
            raise ChervilstallError(ErrorKind.NOT_FOUND, "no document at this path")
        revision = Revision(head.revision + 1)
        changed = tree.with_changes(revision, {proposed.path: proposed.text})
        check_tree(changed)
        accepted = AcceptedChange(
            revision,
            proposed.change,
            proposed.path,
            proposed.text,
            proposed.author,
            self._wall_clock(),
        )
        return self._swap_head(stored, accepted, changed)

    def _find_accepted(self, head: Head, change: ChangeId) -> Revision | None:
        for accepted in head.changes:
            if accepted.change == change:
                return accepted.revision
        if len(head.changes) > CHANGES_PER_SNAPSHOT // 2:
            return None
        # The store's answer may have been lost after the change was accepted, and a
        # snapshot may since have moved the change from the head to the history.
        chunk = self._read_history_chunk(head.snapshot, head.snapshot_change)
        for accepted in chunk.changes if chunk else ():
            if accepted.change == change:
                return accepted.revision
        return None

    def _read_history_chunk(
        self, revision: Revision, change: ChangeId
    ) -> HistoryChunk | None:
        if not revision:
            return None
        entry = self.store.get(history_key(revision, change))
        if entry is None:
            return None
        return decode_chunk(entry.value)

    def _check_conflict(self, head: Head, proposed: ProposedChange) -> None:
        if proposed.base is None:
            return
        if proposed.base < head.snapshot:
            raise ChervilstallError(
                ErrorKind.CONFLICT,
                f"base revision {proposed.base} is too old; read the tree again",
            )
        for accepted in head.changes:
            if accepted.revision <= proposed.base or accepted.path != proposed.path:
                continue
            raise ChervilstallError(
                ErrorKind.CONFLICT,
                f"{accepted.path} was changed by {accepted.author} in revision "
                f"{accepted.revision} (change {accepted.change})",
            )

    def _swap_head(
        self, stored: StoredHead, accepted: AcceptedChange, changed: Tree
    ) -> Revision | None:
        head = Head(
            accepted.revision,
            stored.head.snapshot,
            stored.head.snapshot_change,
            stored.head.snapshot_parts,
            (*stored.head.changes, accepted),
        )
        value = encode_head(head)
        has_too_many_changes = len(head.changes) > CHANGES_PER_SNAPSHOT
        if has_too_many_changes or len(value) > HEAD_MAX_BYTES:
            head = self._write_snapshot(head, accepted.change, changed)
            value = encode_head(head)
        result = self.store.compare_and_swap(HEAD_KEY, value, stored.version)
        if not result.is_swapped:
            return None
        self._tree = changed
        return accepted.revision

    # Snapshots and history

    def _write_snapshot(self, head: Head, change: ChangeId, tree: Tree) -> Head:
        """Write a snapshot and a history chunk; return the head that refers to them."""
        data = pack_texts(dict(tree.texts))
        parts = range(0, len(data), SNAPSHOT_PART_MAX_BYTES)
        for part, start in enumerate(parts):
            key = snapshot_key(head.revision, change, part)
            self.store.put(key, data[start : start + SNAPSHOT_PART_MAX_BYTES])
        chunk = HistoryChunk(head.snapshot, head.snapshot_change, head.changes)
        key = history_key(head.revision, change)
        self.store.put(key, msgspec.json.encode(chunk))
        self._delete_old(head.snapshot)
        return Head(head.revision, head.revision, change, len(parts), ())

    def _delete_old(self, current: Revision) -> None:
        """Delete snapshots older than the one in use, and the oldest history chunks."""
        oldest_kept_key = snapshot_key(current, ChangeId(""), 0)
        for entry in self.store.list_entries(SNAPSHOT_PREFIX):
            if entry.key < oldest_kept_key:
                self.store.delete(entry.key)
        chunks = self.store.list_entries(HISTORY_PREFIX)
        for entry in chunks[:-HISTORY_CHUNKS_KEPT]:
            self.store.delete(entry.key)

    def history(self) -> list[AcceptedChange]:
        """Return every change that is still stored, oldest first."""
        head = self.read_head().head
        chunks = [head.changes]
        chunk = self._read_history_chunk(head.snapshot, head.snapshot_change)
        while chunk is not None:
            chunks.append(chunk.changes)
            chunk = self._read_history_chunk(chunk.previous, chunk.previous_change)
        changes: list[AcceptedChange] = []
        for chunk_changes in reversed(chunks):
            changes += chunk_changes
        return changes

    def text_at(self, path: str, revision: Revision) -> str | None:
        """Return the text of a path at a revision, or None if the path was absent.

        Raises NOT_FOUND if the history does not reach back to the revision.
        """
        changes = self.history()
        if not changes or changes[0].revision > revision:
            raise ChervilstallError(
                ErrorKind.NOT_FOUND, f"revision {revision} is no longer in the history"
            )
        text = None
        for change in changes:
            if change.revision > revision:
                break
            if change.path == path:
                text = change.text
        return text
