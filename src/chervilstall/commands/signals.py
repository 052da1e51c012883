"""Signal handlers, each call of which runs in a greenlet of its own."""

import signal
import time
from collections import deque
from collections.abc import Callable
from types import FrameType

import gevent

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def on_stop_signals(handler: Callable[[], object]) -> None:
    """Call `handler` on each SIGTERM and SIGINT."""
    for signal_number in STOP_SIGNALS:
        gevent.signal_handler(signal_number, gevent.spawn, handler)


def on_timed_stop_signals(handler: Callable[[float], object]) -> None:
    """Call `handler` on each SIGTERM and SIGINT with the monotonic time of the signal.

    The time is right also where the event loop is busy and calls the handler only
    later, which the loop's own signal watchers don't tell.
    """
    arrived_at_s: deque[float] = deque()
    wake = gevent.get_hub().loop.async_(ref=False)

    def handle_arrived() -> None:
        while arrived_at_s:
            gevent.spawn(handler, arrived_at_s.popleft())

    wake.start(handle_arrived)

    def record(_number: int, _frame: FrameType | None) -> None:
        arrived_at_s.append(time.monotonic())
        wake.send()

    for signal_number in STOP_SIGNALS:
        signal.signal(signal_number, record)


def on_reload_signal(handler: Callable[[], object]) -> None:
    """Call `handler` on each SIGHUP."""
    gevent.signal_handler(signal.SIGHUP, gevent.spawn, handler)


def ignore_reload_signal() -> None:
    """Keep SIGHUP from ending a program that reads its settings once."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
