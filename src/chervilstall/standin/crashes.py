"""Crashes of stand-in targets by a part of a prompt, and their restart."""

import errno
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from chervilstall.wsgi import RESET_ON_CLOSE, Handler, Server


class ResettableHandler(Handler):
    """A connection handler whose socket its server knows."""

    def handle(self) -> None:
        connection = self.socket
        self.server.open_sockets.add(connection)
        try:
            super().handle()
        finally:
            self.server.open_sockets.discard(connection)


class ResettableServer(Server):
    """A server that can reset every open connection, busy or idle."""

    handler_class = ResettableHandler
    open_sockets: set[socket.socket]

    def start(self) -> None:
        """Start listening."""
        self.open_sockets = set()
        super().start()

    def reset_connections(self) -> None:
        """Close the listener and reset every open connection."""
        for connection in self.open_sockets:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.kill_connections()


STALL_MAX_S = 2.5
"""Time after which a first target resets a stream whose path is not complete."""

POLL_INTERVAL_S = 0.01


@dataclass
class StreamPaths:
    """The addresses that the streams of one first target pass through, in order.

    A stream waits while `is_down` names one of them, and `stalled` holds that one.
    """

    is_down: Callable[[str], bool] = lambda address: False
    stalled: dict[str, str] = field(default_factory=dict)
    _addresses: dict[str, list[str]] = field(default_factory=dict)

    def set(self, request: str, path: str) -> None:
        """Set the path of a stream, as a header or an order names it."""
        stages = path.split(",")
        self._addresses[request] = [each.partition("=")[0] for each in stages]

    def address(self, request: str, stage: int) -> str:
        """Return the address of one stage of a stream's path."""
        return self._addresses[request][stage]

    def wait(self, request: str) -> None:
        """Wait until all targets of a stream's path are up, or reset the stream."""
        until_s = time.monotonic() + STALL_MAX_S
        while down := next(filter(self.is_down, self._addresses[request]), None):
            self.stalled[request] = down
            if time.monotonic() > until_s:
                raise ConnectionResetError(errno.ECONNRESET, "the path is broken")
            gevent.sleep(POLL_INTERVAL_S)
        self.stalled.pop(request, None)

    def forget(self, request: str) -> None:
        """Drop a stream that has ended."""
        self.stalled.pop(request, None)
        self._addresses.pop(request, None)


def shared_parts(headers: dict[str, str]) -> frozenset[str]:
    """Return the ids of a prompt's parts that other requests may share.

    The last part belongs to one request alone. Header names are in lower case.
    """
    parts = headers.get("prefix-hash", "").split(",")[:-1]
    return frozenset(part.strip().partition(":")[0] for part in parts)
