"""Steps for peers that send messages without end."""

import time
from dataclasses import dataclass

import gevent
from behave import given, when
from behave.runner import Context

from chervilstall.peer import transport
from chervilstall.peer.messages import Envelope, Refused
from chervilstall.peer.transport import PeerClient, PeerServer
from tests.support.endless import TurnWatch
from tests.support.router_harness import ANY_PORT

MALFORMED = b"\xc1"


@dataclass
class EndlessMessages:
    """A socket with a message at each read, until a time is reached."""

    data: bytes
    ends_at_s: float = 0.0

    def recv(self) -> bytes:
        """Return a message without a wait."""
        if time.monotonic() >= self.ends_at_s:
            raise transport.zmq.ZMQError
        return self.data

    def recv_multipart(self) -> list[bytes]:
        """Return a message and the identity of its sender."""
        return [b"peer", self.recv()]

    def send_multipart(self, frames: list[bytes], flags: int) -> None:
        """Drop a reply."""


@given("a peer that sends {messages} without end")
def make_peer(context: Context, messages: str) -> None:
    data = transport._encoder.encode(Envelope(1, Refused("no")))
    context.socket = EndlessMessages(MALFORMED if "malformed" in messages else data)
    if messages.endswith("replies"):
        client = PeerClient(ANY_PORT)
        context.read = lambda: client._read_replies(context.socket)
        return
    server = PeerServer(ANY_PORT, lambda message: message)
    context.add_cleanup(server.stop)
    server._socket.close()
    server._socket = context.socket
    context.read = server._serve


@when("they are read for {duration:f} seconds")
def read_messages(context: Context, duration: float) -> None:
    context.watch = TurnWatch()
    context.has_expired = context.watch.measure(lambda: _read_for(context, duration))


def _read_for(context: Context, duration_s: float) -> bool:
    context.socket.ends_at_s = time.monotonic() + 3 * duration_s
    with gevent.Timeout(duration_s, False):
        context.read()
        return False
    return True
