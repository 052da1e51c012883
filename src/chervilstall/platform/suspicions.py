"""Suspicions that routers share through the store."""

from dataclasses import dataclass

import msgspec

from chervilstall.fleet.view import SuspicionKind
from chervilstall.ids import TargetId, VmId, ZoneName


@dataclass(frozen=True)
class SharedSuspicion:
    """A start of a target that a router of a zone found dead or silent."""

    target: TargetId
    started_at_ms: int
    reporter: VmId
    zone: ZoneName
    doubt: SuspicionKind


_decoder = msgspec.json.Decoder(SharedSuspicion)


def encode_suspicion(suspect: SharedSuspicion) -> bytes:
    """Return a suspicion as it lies in the store."""
    return msgspec.json.encode(suspect)


def decode_suspicion(content: bytes) -> SharedSuspicion | None:
    """Decode a suspicion; None where it cannot be read."""
    try:
        return _decoder.decode(content)
    except ValueError:
        return None
