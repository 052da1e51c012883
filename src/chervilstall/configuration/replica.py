"""One node's copy of the accepted tree. It only ever moves to higher revisions."""

import time
from collections import deque
from collections.abc import Callable

from gevent.event import Event

from chervilstall.configuration.records import pack_texts, unpack_texts
from chervilstall.configuration.tree import Tree
from chervilstall.ids import Revision
from chervilstall.peer.messages import TreeChange, TreeDelta, TreeWhole

CHANGES_KEPT = 512


class Replica:
    """The tree of one process, with the last changes for those who pull from it.

    `on_change` is called with each new tree, in order.
    """

    def __init__(self, on_change: Callable[[Tree], object] = lambda tree: None) -> None:
        self.tree = Tree()
        self.stale_reads = 0
        self._on_change = on_change
        self._changes: deque[TreeChange] = deque(maxlen=CHANGES_KEPT)
        self._changed = Event()
        self._packed: tuple[Revision, bytes] | None = None

    @property
    def revision(self) -> Revision:
        """Return the revision held."""
        return self.tree.revision

    @property
    def is_loaded(self) -> bool:
        """Return whether any accepted tree has arrived."""
        return self.tree.revision > 0

    def advance(self, tree: Tree, changes: tuple[TreeChange, ...] = ()) -> bool:
        """Move to a newer tree; an older or equal one is dropped.

        `changes` are those that lead to the tree, where they are known; without them
        whoever pulls from an older revision gets the whole tree.
        """
        if tree.revision <= self.revision:
            self.stale_reads += tree.revision < self.revision
            return False
        fitting = [change for change in changes if change.revision > self.revision]
        is_gapless = bool(fitting) and fitting[0].revision == self.revision + 1
        if not is_gapless:
            self._changes.clear()
        self._changes.extend(fitting if is_gapless else ())
        self.tree = tree
        self._on_change(tree)
        self._changed.set()
        self._changed.clear()
        return True

    def apply(self, answer: TreeDelta | TreeWhole) -> bool:
        """Take in what a peer answered; a gap in a delta changes nothing."""
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
        """Wait until the tree is above a revision, or `wait_s` has passed."""
        ends_at_s = time.monotonic() + wait_s
        while self.revision <= revision:
            remaining_s = ends_at_s - time.monotonic()
            if remaining_s <= 0:
                return
            self._changed.wait(remaining_s)

    def changes_since(self, revision: Revision) -> TreeDelta | TreeWhole:
        """Return what leads from a revision to the present one."""
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
