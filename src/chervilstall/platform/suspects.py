"""Suspicions that routers share through the store."""

from dataclasses import dataclass

import msgspec

from chervilstall.fleet.beliefs import Doubt
from chervilstall.ids import TargetId, VmId, ZoneName


@dataclass(frozen=True)
class Suspect:
    """A start of a target that a router of a zone found dead or silent."""

    target: TargetId
    started_at_ms: int
    reporter: VmId
    zone: ZoneName
    doubt: Doubt


_decoder = msgspec.json.Decoder(Suspect)


def encode_suspect(suspect: Suspect) -> bytes:
    """Return a suspicion as it lies in the store."""
    return msgspec.json.encode(suspect)


def decode_suspect(content: bytes) -> Suspect | None:
    """Decode a suspicion; None where it cannot be read."""
    try:
        return _decoder.decode(content)
    except ValueError:
        return None
