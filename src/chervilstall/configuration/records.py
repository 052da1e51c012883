"""Storage format of the accepted settings tree in the platform's store.

The key `configuration/head` holds the revision, a reference to the last snapshot, and
every later change with its text. One compare-and-swap therefore accepts a change, a
rejected change leaves nothing behind, and watching this one key delivers every new
change. Snapshots and older changes have keys of their own. Every value stays below the
store's size limit; a snapshot is split into parts for this.
"""

import zlib
from typing import TypeVar

import msgspec

from chervilstall.decoding import Decoder, decode_untrusted
from chervilstall.ids import ChangeId, Revision
from chervilstall.peer.messages import TreeChange
from chervilstall.store.contract import StoreFailed

T = TypeVar("T")

HEAD_KEY = "configuration/head"
SNAPSHOT_PREFIX = "configuration/snapshots/"
HISTORY_PREFIX = "configuration/history/"
IN_FORCE_PREFIX = "configuration/in-force/"
SNAPSHOT_PART_MAX_BYTES = 900_000  # below the store's VALUE_MAX_BYTES
REVISION_DIGITS = 12  # zero padding, so that keys sort by revision


class AcceptedChange(msgspec.Struct, frozen=True):
    """An accepted change, with its author and the wall-clock time of acceptance.

    `text` None removes the path.
    """

    revision: Revision
    change: ChangeId
    path: str
    text: str | None
    author: str
    at_s: float

    def to_tree_change(self) -> TreeChange:
        """Return the change in the form that peers exchange."""
        return TreeChange(self.revision, self.change, self.path, self.text)


class Head(msgspec.Struct, frozen=True):
    """The current revision, the last snapshot, and the changes since then.

    `snapshot` and `snapshot_change` identify the snapshot, which is stored in
    `snapshot_parts` parts.
    """

    revision: Revision = Revision(0)
    snapshot: Revision = Revision(0)
    snapshot_change: ChangeId = ChangeId("")
    snapshot_parts: int = 0
    changes: tuple[AcceptedChange, ...] = ()


class HistoryChunk(msgspec.Struct, frozen=True):
    """Changes that were moved into a snapshot, and a reference to the chunk before."""

    previous: Revision
    previous_change: ChangeId
    changes: tuple[AcceptedChange, ...]


class ZoneWatermark(msgspec.Struct, frozen=True):
    """Watermark of a zone as published by the zone's relay.

    Every counted node of the zone applies `revision` or a higher one. `nodes` is the
    number of nodes counted, `unconfirmed` lists those that have yet to catch up, and
    `at_s` is the wall-clock time of publication.
    """

    zone: str
    revision: Revision
    nodes: int
    unconfirmed: tuple[str, ...]
    at_s: float


def snapshot_key(revision: Revision, change: ChangeId, part: int) -> str:
    """Return the key of one part of a snapshot.

    The key contains the change identity, so that concurrent writers of one revision
    don't overwrite each other's snapshot.
    """
    name = f"{revision:0{REVISION_DIGITS}d}-{change}"
    return f"{SNAPSHOT_PREFIX}{name}/{part:03d}"


def history_key(revision: Revision, change: ChangeId) -> str:
    """Return the key of the history chunk that ends at a revision."""
    return f"{HISTORY_PREFIX}{revision:0{REVISION_DIGITS}d}-{change}"


def pack_texts(texts: dict[str, str]) -> bytes:
    """Return document texts by path as compressed JSON."""
    return zlib.compress(msgspec.json.encode(texts))


def unpack_texts(data: bytes) -> dict[str, str]:
    """Return the document texts by path that `pack_texts` encoded.

    Raises StoreFailed where it didn't encode them.
    """
    return _unpack(_texts_decoder, data)


def encode_head(head: Head) -> bytes:
    """Return a head as compressed JSON."""
    return zlib.compress(msgspec.json.encode(head))


def decode_head(data: bytes) -> Head:
    """Return the head that `encode_head` encoded.

    Raises StoreFailed where it didn't encode it.
    """
    return _unpack(_head_decoder, data)


def decode_chunk(data: bytes) -> HistoryChunk:
    """Return a history chunk. Raises StoreFailed if it is malformed."""
    return _decode(_chunk_decoder, data)


def decode_watermark(data: bytes) -> ZoneWatermark:
    """Return a zone's watermark. Raises StoreFailed if it is malformed."""
    return _decode(_watermark_decoder, data)


def _unpack(decoder: Decoder[T], data: bytes) -> T:
    try:
        content = zlib.decompress(data)
    except zlib.error as error:
        raise StoreFailed(f"a malformed record: {error}") from error
    return _decode(decoder, content)


def _decode(decoder: Decoder[T], content: bytes) -> T:
    try:
        return decode_untrusted(decoder, content)
    except ValueError as error:
        raise StoreFailed(f"a malformed record: {error}") from error


_texts_decoder = msgspec.json.Decoder(dict[str, str])
_head_decoder = msgspec.json.Decoder(Head)
_chunk_decoder = msgspec.json.Decoder(HistoryChunk)
_watermark_decoder = msgspec.json.Decoder(ZoneWatermark)
