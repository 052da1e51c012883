"""Detection of callers that close their connection while their request runs."""

import socket
from typing import Any

import gevent

from chervilstall.edge.request import EdgeRequest
from chervilstall.waiting import is_readable


class DisconnectMonitor:
    """Cancels a request when its caller's connection is closed.

    Nothing else may read the connection meanwhile. Monitoring also ends when bytes
    arrive, which belong to the next request.
    """

    def __init__(self, connection: Any, request: EdgeRequest) -> None:
        self._connection = connection
        self._request = request
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start monitoring in a task of its own.

        A caller that left before, while the router started or was busy, is seen at
        once, so that nothing is sent on.
        """
        if is_readable(self._connection):
            self._wait()
        else:
            self._task = gevent.spawn(self._wait)

    def stop(self) -> None:
        """Stop monitoring, so that the connection can be read again."""
        if self._task is not None:
            # Without blocking, the task could still hold the socket's read event.
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
                self._request.cancel()
            return
