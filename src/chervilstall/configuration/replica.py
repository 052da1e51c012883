"""A process's copy of the accepted settings tree. Its revision never decreases."""

import time
from collections import deque
from collections.abc import Callable

from gevent.event import Event

from chervilstall.configuration.records import pack_texts, unpack_texts
from chervilstall.configuration.tree import Tree
from chervilstall.ids import Revision
from chervilstall.peer.messages import TreeChange, TreeDelta, TreeWhole

CHANGES_KEPT_MAX = 512


class Replica:
    """Settings tree of one process, and the latest changes for nodes that pull from it.

    `on_change` is called with each new tree, in order of revision.
    """

    def __init__(self, on_change: Callable[[Tree], object] = lambda tree: None) -> None:
        self.tree = Tree()
        self.stale_reads = 0
        self._on_change = on_change
        self._changes: deque[TreeChange] = deque(maxlen=CHANGES_KEPT_MAX)
        self._changed = Event()
        self._packed: tuple[Revision, bytes] | None = None

    @property
    def revision(self) -> Revision:
        """Return the revision of the current tree."""
        return self.tree.revision

    @property
    def is_loaded(self) -> bool:
        """Return whether an accepted tree has been received."""
        return self.tree.revision > 0

    def advance(self, tree: Tree, changes: tuple[TreeChange, ...] = ()) -> bool:
        """Switch to a newer tree; return False for an older or equal one.

        `changes` are the changes that lead to the tree, if known. Without them, nodes
        that pull from an older revision receive the whole tree.
        """
        if tree.revision <= self.revision:
            self.stale_reads += tree.revision < self.revision
            return False
        newer_changes = [
            change for change in changes if change.revision > self.revision
        ]
        is_contiguous = (
            bool(newer_changes) and newer_changes[0].revision == self.revision + 1
        )
        if not is_contiguous:
            self._changes.clear()
        self._changes.extend(newer_changes if is_contiguous else ())
        self.tree = tree
        self._on_change(tree)
        self._changed.set()
        self._changed.clear()
        return True

    def apply(self, answer: TreeDelta | TreeWhole) -> bool:
        """Apply a peer's answer and return whether the tree changed.

        A delta that doesn't follow on the current revision is ignored.
        """
        if isinstance(answer, TreeWhole):
            if answer.revision <= self.revision:
                return False
            texts = unpack_texts(answer.texts)
            return self.advance(Tree.build(answer.revision, texts))
        tree = self.tree
        for change in answer.changes:
            if change.revision <= tree.revision:
                continue
            if change.revision != tree.revision + 1:
                return False
            tree = tree.with_changes(change.revision, {change.path: change.text})
        return self.advance(tree, answer.changes)

    def wait_above(self, revision: Revision, wait_s: float) -> None:
        """Wait up to `wait_s` seconds for a tree with a higher revision."""
        deadline_s = time.monotonic() + wait_s
        while self.revision <= revision:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                return
            self._changed.wait(remaining_s)

    def changes_since(self, revision: Revision) -> TreeDelta | TreeWhole:
        """Return the changes from a revision to the current one.

        If those are no longer in memory, the whole tree is returned.
        """
        if revision >= self.revision:
            return TreeDelta(())
        if self._changes and self._changes[0].revision <= revision + 1:
            newer = [change for change in self._changes if change.revision > revision]
            return TreeDelta(tuple(newer))
        return TreeWhole(self.revision, self._packed_texts())

    def _packed_texts(self) -> bytes:
        if self._packed is None or self._packed[0] != self.revision:
            self._packed = (self.revision, pack_texts(dict(self.tree.texts)))
        return self._packed[1]
