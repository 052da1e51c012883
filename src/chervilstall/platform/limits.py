"""Limits of targets that routers share through the store."""

from dataclasses import dataclass

import msgspec

from chervilstall.decoding import decode_untrusted
from chervilstall.ids import TargetId, VmId


@dataclass(frozen=True)
class SharedLimit:
    """What a router learned of a target's rate limit, as stored for the others.

    `started_at_ms` is the start of the target in Unix milliseconds. The limit applies
    to that incarnation only. `per_s` is in requests a second; None says that the target
    names no limit any more.
    """

    target: TargetId
    started_at_ms: int
    reporter: VmId
    per_s: float | None


_decoder = msgspec.json.Decoder(SharedLimit)


def encode_limit(limit: SharedLimit) -> bytes:
    """Encode a limit for the store."""
    return msgspec.json.encode(limit)


def decode_limit(content: bytes) -> SharedLimit | None:
    """Decode a limit; None if it is malformed."""
    try:
        return decode_untrusted(_decoder, content)
    except ValueError:
        return None
