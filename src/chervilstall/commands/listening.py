"""Binding a listener before the server that will use it is loaded."""

from socket import SO_REUSEADDR, SOL_SOCKET, socket

from chervilstall.settings.option import Address

BACKLOG = 256
"""Connections that the system accepts on the program's behalf while it loads."""


def bind_listener(address: Address) -> socket:
    """Return a listening socket; connections wait in it until a server accepts."""
    listener = socket()
    listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    listener.bind((address.host, address.port))
    listener.listen(BACKLOG)
    return listener
