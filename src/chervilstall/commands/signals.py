"""Signal handlers, each call of which runs in a greenlet of its own."""

import signal
from collections.abc import Callable

import gevent


def on_stop_signals(handler: Callable[[], object]) -> None:
    """Call `handler` on each SIGTERM and SIGINT."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, gevent.spawn, handler)


def on_reload_signal(handler: Callable[[], object]) -> None:
    """Call `handler` on each SIGHUP."""
    gevent.signal_handler(signal.SIGHUP, gevent.spawn, handler)


def ignore_reload_signal() -> None:
    """Keep SIGHUP from ending a program that reads its settings once."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
