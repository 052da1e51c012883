"""Suspicions of targets that routers share through the store."""

from dataclasses import dataclass

import msgspec

from chervilstall.decoding import decode_untrusted
from chervilstall.fleet.suspicion import SuspicionKind
from chervilstall.ids import TargetId, VmId, ZoneName


@dataclass(frozen=True)
class SharedSuspicion:
    """A target that a router suspects, as stored for the other routers.

    `started_at_ms` is the start of the target in Unix milliseconds. The suspicion
    applies to that incarnation only. `zone` is the zone of the router `reporter`.
    """

    target: TargetId
    started_at_ms: int
    reporter: VmId
    zone: ZoneName
    doubt: SuspicionKind


_decoder = msgspec.json.Decoder(SharedSuspicion)


def encode_suspicion(suspicion: SharedSuspicion) -> bytes:
    """Encode a suspicion for the store."""
    return msgspec.json.encode(suspicion)


def decode_suspicion(content: bytes) -> SharedSuspicion | None:
    """Decode a suspicion; None if it is malformed."""
    try:
        return decode_untrusted(_decoder, content)
    except ValueError:
        return None
