"""Handlers of signals, each run in a task of its own."""

import signal
from collections.abc import Callable

import gevent


def on_stop_signals(handler: Callable[[], object]) -> None:
    """Call `handler` at each SIGTERM and SIGINT."""
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, gevent.spawn, handler)


def on_reload_signal(handler: Callable[[], object]) -> None:
    """Call `handler` at each SIGHUP."""
    gevent.signal_handler(signal.SIGHUP, gevent.spawn, handler)
