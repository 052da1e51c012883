"""Addresses at which routers take requests from other routers, as stored for them."""

from dataclasses import dataclass

import msgspec

from chervilstall.decoding import decode_untrusted
from chervilstall.ids import VmId, ZoneName
from chervilstall.platform import protocol
from chervilstall.settings.option import Address, parse_address

PEERS_PREFIX = protocol.ROUTER_KEYS_PREFIX + "peers/"


@dataclass(frozen=True)
class Peer:
    """A router that takes forwarded requests, and its availability zone."""

    vm: VmId
    zone: ZoneName
    address: Address


class _Entry(msgspec.Struct):
    zone: str
    address: str


_decoder = msgspec.json.Decoder(_Entry)


def peer_key(vm: VmId) -> str:
    """Return the store key of a router's entry."""
    return PEERS_PREFIX + vm


def encode_peer(peer: Peer) -> bytes:
    """Encode a router's entry."""
    return msgspec.json.encode(_Entry(peer.zone, str(peer.address)))


def decode_peer(key: str, content: bytes) -> Peer | None:
    """Decode a router's entry; None if it is malformed."""
    try:
        entry = decode_untrusted(_decoder, content)
        address = parse_address(entry.address)
    except ValueError:
        return None
    return Peer(VmId(key.removeprefix(PEERS_PREFIX)), ZoneName(entry.zone), address)
