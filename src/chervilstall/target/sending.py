"""Whether bytes of a request were accepted for sending, and acknowledged."""

import struct
from fcntl import ioctl
from termios import TIOCOUTQ

import gevent.socket


class NothingSent(ConnectionError):
    """The connection had failed before any byte of the request was sent."""


def send_first(sock: gevent.socket.socket, data: bytes) -> None:
    """Send the first bytes of a request. Raises NothingSent if none were accepted."""
    try:
        sent_bytes = sock.send(data)
    except OSError as error:
        if isinstance(error, TimeoutError) and error.errno is None:
            # The deadline of the exchange, and not ETIMEDOUT of the connection.
            raise
        raise NothingSent(str(error)) from error
    if sent_bytes < len(data):
        sock.sendall(memoryview(data)[sent_bytes:])


def has_unacknowledged(sock: gevent.socket.socket) -> bool:
    """Return whether the peer's system has not acknowledged all that was sent."""
    if sock.fileno() < 0:
        # The socket is closed; ioctl would raise ValueError.
        return False
    try:
        return bool(struct.unpack("i", ioctl(sock.fileno(), TIOCOUTQ, b"\0" * 4))[0])
    except OSError:
        # The socket isn't connected.
        return False
