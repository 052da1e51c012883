"""Turns of the event loop, for tasks that may never have to wait.

A task that finds bytes at each read never gives the event loop back by itself: no
timeout expires, and no other task runs, for as long as its peer sends. What reads bytes
of a peer therefore owns a `Turn` and calls its `give_way` between two reads.
"""

import io
import time

import gevent

TURN_MAX_S = 0.001
"""Time that a task runs without a wait before others get a turn."""


def await_turn() -> None:
    """Wait until the event loop has looked at all sockets and timers once.

    `gevent.sleep(0)` doesn't do that: tasks that call it again and again take turns
    with each other for many milliseconds before the loop looks at any socket.
    """
    hub = gevent.get_hub()
    hub.wait(hub.loop.timer(0.0))


class Turn:
    """The time for which one task has run since the event loop last had a turn."""

    def __init__(self) -> None:
        self._loop = gevent.get_hub().loop
        self._iteration = self._loop.iteration
        self._began_at_s = time.monotonic()

    def give_way(self) -> None:
        """Wait for a turn of the event loop if the last one is long ago.

        The timeouts of the task may expire meanwhile, so that this may raise what they
        raise.
        """
        if self._loop.iteration == self._iteration:
            if time.monotonic() - self._began_at_s < TURN_MAX_S:
                return
            await_turn()
        self._iteration = self._loop.iteration
        self._began_at_s = time.monotonic()


class YieldingReader(io.RawIOBase):
    """A raw stream whose reads give way to other tasks."""

    def __init__(self, stream: io.RawIOBase, turn: Turn) -> None:
        super().__init__()
        self._stream = stream
        self._turn = turn

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: memoryview) -> int | None:  # type: ignore[override]
        """Read into a buffer; nothing that was read is lost to a timeout."""
        self._turn.give_way()
        return self._stream.readinto(buffer)

    def close(self) -> None:
        """Close the stream that is read."""
        if not self.closed:
            self._stream.close()
        super().close()
