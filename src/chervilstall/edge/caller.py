"""Noticing that a caller closes its connection while its request runs."""

import socket
from typing import Any

import gevent

from chervilstall.edge.request import EdgeRequest


class CallerWatch:
    """Watches a caller's connection for its end.

    Nothing else may read the connection meanwhile. Bytes that arrive belong to the
    next request and end the watch.
    """

    def __init__(self, connection: Any, request: EdgeRequest) -> None:
        self._connection = connection
        self._request = request
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start watching."""
        self._task = gevent.spawn(self._wait)

    def stop(self) -> None:
        """Stop, so that the connection can be read again."""
        if self._task is not None:
            # Without blocking, the task could still hold the read event.
            self._task.kill(block=True)

    def _wait(self) -> None:
        while True:
            try:
                data = self._connection.recv(1, socket.MSG_PEEK)
            except TimeoutError:
                continue
            except OSError:
                data = b""
            if not data:
                self._request.leave()
            return
