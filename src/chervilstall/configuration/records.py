"""How the accepted tree is kept in the platform's store.

`configuration/head` holds the revision, the place of the last snapshot, and every
change after it with its text, so one compare-and-swap accepts a change, a refused one
leaves nothing behind, and one watch carries everything that is new. Snapshots and
older history stand beside it, each value below the store's bound.
"""

import zlib

import msgspec

from chervilstall.ids import ChangeId, Revision
from chervilstall.peer.messages import TreeChange

HEAD_KEY = "configuration/head"
SNAPSHOT_PREFIX = "configuration/snapshots/"
HISTORY_PREFIX = "configuration/history/"
IN_FORCE_PREFIX = "configuration/in-force/"
PART_BYTES = 900_000
REVISION_DIGITS = 12


class AcceptedChange(msgspec.Struct, frozen=True):
    """A change in the order of acceptance, with who made it and when."""

    revision: Revision
    change: ChangeId
    path: str
    text: str | None
    author: str
    at_s: float

    def to_tree_change(self) -> TreeChange:
        """Return the change as peers exchange it."""
        return TreeChange(self.revision, self.change, self.path, self.text)


class Head(msgspec.Struct, frozen=True):
    """The head of the accepted order."""

    revision: Revision = Revision(0)
    snapshot: Revision = Revision(0)
    snapshot_change: ChangeId = ChangeId("")
    snapshot_parts: int = 0
    changes: tuple[AcceptedChange, ...] = ()


class HistoryChunk(msgspec.Struct, frozen=True):
    """Changes that a snapshot absorbed, and where the chunk before them is."""

    previous: Revision
    previous_change: ChangeId
    changes: tuple[AcceptedChange, ...]


class ZoneWatermark(msgspec.Struct, frozen=True):
    """What a zone's relay has confirmed: every listed node is at the revision."""

    zone: str
    revision: Revision
    nodes: int
    unconfirmed: tuple[str, ...]
    at_s: float


def snapshot_key(revision: Revision, change: ChangeId, part: int) -> str:
    """Return the key of one part of a snapshot.

    The change is part of the key: writers that race for one revision must not
    overwrite each other's snapshot.
    """
    name = f"{revision:0{REVISION_DIGITS}d}-{change}"
    return f"{SNAPSHOT_PREFIX}{name}/{part:03d}"


def history_key(revision: Revision, change: ChangeId) -> str:
    """Return the key of the history that ends at a revision."""
    return f"{HISTORY_PREFIX}{revision:0{REVISION_DIGITS}d}-{change}"


def pack_texts(texts: dict[str, str]) -> bytes:
    """Return texts by path as compressed JSON."""
    return zlib.compress(msgspec.json.encode(texts))


def unpack_texts(data: bytes) -> dict[str, str]:
    """Return the texts of `pack_texts`."""
    return msgspec.json.decode(zlib.decompress(data), type=dict[str, str])


def encode_head(head: Head) -> bytes:
    """Return a head as it is stored."""
    return zlib.compress(msgspec.json.encode(head))


def decode_head(data: bytes) -> Head:
    """Return a stored head."""
    return msgspec.json.decode(zlib.decompress(data), type=Head)
