"""Crashes and parts under quarantine, as routers share them through the store."""

import hashlib

import msgspec

from chervilstall.decoding import decode_untrusted
from chervilstall.platform import protocol
from chervilstall.quarantine.records import (
    CrashReport,
    PartKey,
    QuarantineEntry,
    Stage,
)

CRASHES_PREFIX = protocol.ROUTER_KEYS_PREFIX + "crashes/"
QUARANTINE_PREFIX = protocol.ROUTER_KEYS_PREFIX + "quarantine/"
KEY_DIGEST_CHARS = 32

_crashes_decoder = msgspec.json.Decoder(tuple[CrashReport, ...])
_entry_decoder = msgspec.json.Decoder(QuarantineEntry)


def quarantine_key(key: PartKey) -> str:
    """Return the store key of a part's entry; a caller's part may be of any length."""
    names = [key.service, key.part]
    if key.stage is not Stage.BEGUN:
        # Routers of before know no stages, and would take two events for harmless.
        names.append(key.stage.value)
    text = "\0".join(names).encode()
    return QUARANTINE_PREFIX + hashlib.sha256(text).hexdigest()[:KEY_DIGEST_CHARS]


def encode_crashes(reports: tuple[CrashReport, ...]) -> bytes:
    """Encode the crashes that one router saw lately."""
    return msgspec.json.encode(reports)


def decode_crashes(content: bytes) -> tuple[CrashReport, ...] | None:
    """Decode crashes; None if they are malformed."""
    try:
        return decode_untrusted(_crashes_decoder, content)
    except ValueError:
        return None


def encode_entry(entry: QuarantineEntry) -> bytes:
    """Encode a part under quarantine."""
    return msgspec.json.encode(entry)


def decode_entry(content: bytes) -> QuarantineEntry | None:
    """Decode a part under quarantine; None if it is malformed."""
    try:
        return decode_untrusted(_entry_decoder, content)
    except ValueError:
        return None
