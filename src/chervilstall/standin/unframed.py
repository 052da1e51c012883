"""Answers of stand-ins that have neither a length nor chunks.

Such an answer ends with its connection.
"""

import errno
import socket
from collections.abc import Iterable

import gevent

from chervilstall.wsgi import RESET_ON_CLOSE

Fields = Iterable[tuple[str, str]]


def send_head(connection: socket.socket, fields: Fields) -> None:
    """Send the status line of a success and header fields."""
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields)]
    connection.sendall("\r\n".join((*lines, "", "")).encode())


def end_answer(connection: socket.socket, is_reset: bool = False) -> OSError:
    """Return the error with which the server closes or resets a connection."""
    if is_reset:
        # What was sent is acknowledged first, since a reset may overtake it.
        gevent.sleep(0.02)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return BrokenPipeError(errno.EPIPE, "an answer without a length has ended")
