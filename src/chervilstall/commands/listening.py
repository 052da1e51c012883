"""Binding of a listener before its server is imported."""

from socket import SO_REUSEADDR, SOL_SOCKET, socket

from chervilstall.settings.option import Address

BACKLOG = 256
"""Connections that the kernel queues while the server's modules are imported."""


def bind_listener(address: Address) -> socket:
    """Return a listening socket; connections queue in it until a server accepts."""
    listener = socket()
    listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    listener.bind((address.host, address.port))
    listener.listen(BACKLOG)
    return listener
