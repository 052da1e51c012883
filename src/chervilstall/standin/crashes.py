"""Crashes of stand-in targets by a part of a prompt, and their restart."""

import socket

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


def shared_parts(headers: dict[str, str]) -> frozenset[str]:
    """Return the ids of a prompt's parts that other requests may share.

    The last part belongs to one request alone. Header names are in lower case.
    """
    parts = headers.get("prefix-hash", "").split(",")[:-1]
    return frozenset(part.strip().partition(":")[0] for part in parts)
