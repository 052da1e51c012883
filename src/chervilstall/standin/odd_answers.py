"""Answers of stand-ins that have no end, or a status that HTTP doesn't know.

They are written to the connection itself, past the server that would frame them.
"""

import socket
from typing import NoReturn

from chervilstall.standin.behaviours import Behaviour
from chervilstall.standin.unframed import Fields, end_answer

ENDLESS_CHUNK = b"X" * 16_384
TRAILERS = b"X-Field: value\r\n" * 1_000
OK_LINE = "HTTP/1.1 200 OK"
ODD_STATUS_LINE = "HTTP/1.1 600 Odd"
ODD_BODY = "odd"

ODD_BEHAVIOURS = frozenset(
    {
        Behaviour.ENDLESS_HEAD,
        Behaviour.ENDLESS_BODY,
        Behaviour.ENDLESS_TRAILERS,
        Behaviour.ODD_STATUS,
    }
)


def send_odd_answer(
    connection: socket.socket, behaviour: Behaviour, fields: Fields
) -> NoReturn:
    """Answer as one of ODD_BEHAVIOURS; raises OSError once the connection is over."""
    lines = [f"{name}: {value}" for name, value in fields]
    match behaviour:
        case Behaviour.ENDLESS_HEAD:
            _send_without_end(connection, f"{OK_LINE}\r\n", ENDLESS_CHUNK)
        case Behaviour.ENDLESS_BODY:
            head = "\r\n".join((OK_LINE, *lines, "", ""))
            _send_without_end(connection, head, ENDLESS_CHUNK)
        case Behaviour.ENDLESS_TRAILERS:
            head = "\r\n".join((OK_LINE, *lines, "Transfer-Encoding: chunked", "", ""))
            _send_without_end(connection, f"{head}0\r\n", TRAILERS)
        case _:
            length = f"Content-Length: {len(ODD_BODY)}"
            answer = "\r\n".join((ODD_STATUS_LINE, *lines, length, "", ODD_BODY))
            connection.sendall(answer.encode())
            raise end_answer(connection)


def _send_without_end(connection: socket.socket, head: str, rest: bytes) -> NoReturn:
    connection.sendall(head.encode())
    while True:
        # Raises once the caller has closed.
        connection.sendall(rest)
