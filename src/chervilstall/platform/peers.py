"""Addresses at which routers take requests from other routers, as stored for them."""

from dataclasses import dataclass

import msgspec

from chervilstall.decoding import Count, decode_untrusted
from chervilstall.ids import VmId, ZoneName
from chervilstall.platform import protocol
from chervilstall.settings.option import Address, parse_address

PEERS_PREFIX = protocol.ROUTER_KEYS_PREFIX + "peers/"


@dataclass(frozen=True)
class Peer:
    """A router that takes forwarded requests, and its availability zone.

    It relays changes of the store at `relay_address`, and reports its load on targets
    at `loads_address`, if it has them. `link_mbps` is the rate of its link in Mbit/s,
    or 0 if that is not known.
    """

    vm: VmId
    zone: ZoneName
    address: Address
    relay_address: Address | None = None
    link_mbps: int = 0
    loads_address: Address | None = None


class _Entry(msgspec.Struct, omit_defaults=True):
    zone: str
    address: str
    relay: str = ""
    link_mbps: Count = 0
    loads: str = ""


_decoder = msgspec.json.Decoder(_Entry)


def peer_key(vm: VmId) -> str:
    """Return the store key of a router's entry."""
    return PEERS_PREFIX + vm


def encode_peer(peer: Peer) -> bytes:
    """Encode a router's entry."""
    relay = str(peer.relay_address) if peer.relay_address is not None else ""
    loads = str(peer.loads_address) if peer.loads_address is not None else ""
    entry = _Entry(peer.zone, str(peer.address), relay, peer.link_mbps, loads)
    return msgspec.json.encode(entry)


def decode_peer(key: str, content: bytes) -> Peer | None:
    """Decode a router's entry; None if it is malformed."""
    try:
        entry = decode_untrusted(_decoder, content)
        address = parse_address(entry.address)
        relay_address = parse_address(entry.relay) if entry.relay else None
    except ValueError:
        return None
    vm = VmId(key.removeprefix(PEERS_PREFIX))
    return Peer(
        vm,
        ZoneName(entry.zone),
        address,
        relay_address,
        entry.link_mbps,
        _optional_address(entry.loads),
    )


def _optional_address(text: str) -> Address | None:
    """Return an address, or None for a malformed one, which nothing depends on."""
    try:
        return parse_address(text)
    except ValueError:
        return None
