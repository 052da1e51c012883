"""Accepting changes, and reading the accepted tree from the platform's store."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import msgspec

from chervilstall.configuration.check import check_tree
from chervilstall.configuration.records import (
    HEAD_KEY,
    HISTORY_PREFIX,
    PART_BYTES,
    SNAPSHOT_PREFIX,
    AcceptedChange,
    Head,
    HistoryChunk,
    decode_head,
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

CHANGES_PER_SNAPSHOT = 64
HEAD_MAX_BYTES = 400_000
DOCUMENT_MAX_CHARS = 64_000
HISTORIES_KEPT = 100
ACCEPT_TRIES = 12
RETRY_S = 0.05


@dataclass(frozen=True)
class ProposedChange:
    """A change that someone wants accepted.

    `base` is the revision the author looked at; where the path has changed since, the
    change is refused. None accepts whatever the path holds.
    """

    change: ChangeId
    path: str
    text: str | None
    author: str
    base: Revision | None = None


@dataclass(frozen=True)
class StoredHead:
    """The head with the store's version of it."""

    head: Head
    version: int


class ConfigurationStore:
    """The accepted order in the platform's store.

    Every reader and writer only moves to higher revisions; an older read is taken
    for a failed one.
    """

    def __init__(
        self, store: Store, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self.store = store
        self._wall_clock = wall_clock
        self._tree = Tree()

    def read_head(self) -> StoredHead:
        """Return the head. Raises StoreFailed, also on a read that goes back."""
        entry = self.store.get(HEAD_KEY)
        if entry is None:
            if self._tree.revision:
                raise StoreFailed("the head is gone: a read went back")
            return StoredHead(Head(), ABSENT_VERSION)
        head = decode_head(entry.value)
        if head.revision < self._tree.revision:
            raise StoreFailed("the head is older than before: a read went back")
        return StoredHead(head, entry.version)

    def read_tree(self, head: Head) -> Tree:
        """Return the tree at a head, reading a snapshot only where needed."""
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
                raise StoreFailed("a part of the snapshot can't be read")
            parts.append(entry.value)
        return unpack_texts(b"".join(parts))

    # Accepting

    def accept(
        self,
        proposed: ProposedChange,
        authorize: Callable[[Tree], None] = lambda tree: None,
    ) -> Revision:
        """Accept a change and return its revision.

        `authorize` is called with the tree that the change would be made on. Raises
        InvalidSettings, CONFLICT naming the other change, or STORE_UNAVAILABLE. After
        the last the change may have been accepted; proposing it again under the same
        change identity finds it.
        """
        if proposed.text is not None and len(proposed.text) > DOCUMENT_MAX_CHARS:
            raise ChervilstallError(
                ErrorKind.INVALID_SETTINGS,
                f"a document has at most {DOCUMENT_MAX_CHARS} characters",
            )
        failure: StoreFailed | None = None
        for _ in range(ACCEPT_TRIES):
            try:
                revision = self._accept_once(proposed, authorize)
            except StoreFailed as error:
                failure = error
                gevent.sleep(RETRY_S)
                continue
            if revision is not None:
                return revision
        if failure is not None:
            raise failure
        raise ChervilstallError(
            ErrorKind.CONFLICT, "other changes kept being accepted; try again"
        )

    def _accept_once(
        self, proposed: ProposedChange, authorize: Callable[[Tree], None]
    ) -> Revision | None:
        stored = self.read_head()
        head = stored.head
        found = self._find(head, proposed.change)
        if found is not None:
            return found
        self._check_conflict(head, proposed)
        tree = self.read_tree(head)
        authorize(tree)
        if proposed.text is None and proposed.path not in tree.texts:
            raise ChervilstallError(ErrorKind.NOT_FOUND, "nothing is at this path")
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
        return self._swap(stored, accepted, changed)

    def _find(self, head: Head, change: ChangeId) -> Revision | None:
        for accepted in head.changes:
            if accepted.change == change:
                return accepted.revision
        if len(head.changes) > CHANGES_PER_SNAPSHOT // 2:
            return None
        # A change whose answer was lost may have moved into history since.
        chunk = self._history_chunk(head.snapshot, head.snapshot_change)
        for accepted in chunk.changes if chunk else ():
            if accepted.change == change:
                return accepted.revision
        return None

    def _history_chunk(
        self, revision: Revision, change: ChangeId
    ) -> HistoryChunk | None:
        if not revision:
            return None
        entry = self.store.get(history_key(revision, change))
        if entry is None:
            return None
        return msgspec.json.decode(entry.value, type=HistoryChunk)

    def _check_conflict(self, head: Head, proposed: ProposedChange) -> None:
        if proposed.base is None:
            return
        if proposed.base < head.snapshot:
            raise ChervilstallError(
                ErrorKind.CONFLICT,
                f"revision {proposed.base} is too old to build on; read again",
            )
        for accepted in head.changes:
            if accepted.revision <= proposed.base or accepted.path != proposed.path:
                continue
            raise ChervilstallError(
                ErrorKind.CONFLICT,
                f"{accepted.path} was changed by {accepted.author} in revision "
                f"{accepted.revision} (change {accepted.change})",
            )

    def _swap(
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
        is_long = len(head.changes) > CHANGES_PER_SNAPSHOT
        if is_long or len(value) > HEAD_MAX_BYTES:
            head = self._write_snapshot(head, accepted.change, changed)
            value = encode_head(head)
        result = self.store.compare_and_swap(HEAD_KEY, value, stored.version)
        if not result.is_swapped:
            return None
        self._tree = changed
        return accepted.revision

    # Snapshots and history

    def _write_snapshot(self, head: Head, change: ChangeId, tree: Tree) -> Head:
        """Write snapshot and history, and return the head that refers to them."""
        packed = pack_texts(dict(tree.texts))
        parts = range(0, len(packed), PART_BYTES)
        for part, start in enumerate(parts):
            key = snapshot_key(head.revision, change, part)
            self.store.put(key, packed[start : start + PART_BYTES])
        chunk = HistoryChunk(head.snapshot, head.snapshot_change, head.changes)
        key = history_key(head.revision, change)
        self.store.put(key, msgspec.json.encode(chunk))
        self._clean(head.snapshot)
        return Head(head.revision, head.revision, change, len(parts), ())

    def _clean(self, current: Revision) -> None:
        """Delete what is older than the snapshot in use and the kept history."""
        keep_from = snapshot_key(current, ChangeId(""), 0)
        for entry in self.store.list_entries(SNAPSHOT_PREFIX):
            if entry.key < keep_from:
                self.store.delete(entry.key)
        histories = self.store.list_entries(HISTORY_PREFIX)
        for entry in histories[:-HISTORIES_KEPT]:
            self.store.delete(entry.key)

    def history(self) -> list[AcceptedChange]:
        """Return every kept change, oldest first."""
        head = self.read_head().head
        groups = [head.changes]
        chunk = self._history_chunk(head.snapshot, head.snapshot_change)
        while chunk is not None:
            groups.append(chunk.changes)
            chunk = self._history_chunk(chunk.previous, chunk.previous_change)
        changes: list[AcceptedChange] = []
        for group in reversed(groups):
            changes += group
        return changes

    def text_at(self, path: str, revision: Revision) -> str | None:
        """Return a path's text at a kept revision. Raises NOT_FOUND."""
        changes = self.history()
        if not changes or changes[0].revision > revision:
            raise ChervilstallError(
                ErrorKind.NOT_FOUND, f"revision {revision} is no longer kept"
            )
        text = None
        for change in changes:
            if change.revision > revision:
                break
            if change.path == path:
                text = change.text
        return text
