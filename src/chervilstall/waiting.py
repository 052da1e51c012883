"""Waits for events that several tasks wait for, and looks without a wait."""

import time
from collections.abc import Iterable
from select import POLLIN
from typing import Protocol

import gevent
from gevent.event import Event
from gevent.monkey import get_original

_poll = get_original("select", "poll")


class HasFileDescriptor(Protocol):
    """A socket, or anything else with a file descriptor."""

    def fileno(self) -> int:
        """Return the file descriptor."""


def wait_until_set(event: Event, timeout_s: float) -> bool:
    """Wait up to `timeout_s` seconds for an event, and return whether it was set.

    Use this for an event that stays set and that more than one task waits for. Where
    the event is already set but its waiters have not been resumed yet, gevent queues
    the caller of `Event.wait` behind them without a timeout, and drops that queue if
    the last of them times out first; the caller then waits for ever.
    """
    return event.is_set() or bool(event.wait(timeout_s))


def is_readable(connection: HasFileDescriptor) -> bool:
    """Return whether a socket can be read or accepted from now, without waiting.

    Unlike `select`, this takes file descriptors of 1,024 and more.
    """
    poll = _poll()
    poll.register(connection, POLLIN)
    return bool(poll.poll(0))


def find_readable(connections: Iterable[HasFileDescriptor]) -> set[int]:
    """Return the file descriptors of the sockets that `is_readable` is true for."""
    poll = _poll()
    for connection in connections:
        poll.register(connection, POLLIN)
    return {descriptor for descriptor, _ in poll.poll(0)}


def sleep_until(moment_s: float) -> None:
    """Sleep until a monotonic time, which may be past."""
    gevent.sleep(max(0.0, moment_s - time.monotonic()))
