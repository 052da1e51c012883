"""Steps for signals that come while the event loop is busy."""

import os
import signal
import time

from behave import given, then, when
from behave.runner import Context

from chervilstall.commands.signals import STOP_SIGNALS, on_timed_stop_signals
from tests.support.agent_fleet import eventually

DELIVERY_S = 0.05
"""Time in which a signal reaches a process that runs Python code."""


@given("a handler of timed stop signals")
def install_handler(context: Context) -> None:
    for number in STOP_SIGNALS:
        context.add_cleanup(signal.signal, number, signal.getsignal(number))
    context.told = []

    def handle(told_at_s: float) -> None:
        context.told.append((told_at_s, time.monotonic()))

    on_timed_stop_signals(handle)


@when("SIGTERM and SIGINT come and the event loop is busy for {busy_s:g} s")
def send_signals(context: Context, busy_s: float) -> None:
    context.told.clear()
    context.sent_at_s = time.monotonic()
    for number in STOP_SIGNALS:
        os.kill(os.getpid(), number)
    while time.monotonic() < context.sent_at_s + busy_s:
        pass


@then(
    "the handler is told of {count:d} signals that came at least {before_s:g} s before"
)
def check_told(context: Context, count: int, before_s: float) -> None:
    eventually(lambda: len(context.told) == count)
    for told_at_s, handled_at_s in context.told:
        assert 0.0 <= told_at_s - context.sent_at_s < DELIVERY_S, context.told
        assert handled_at_s - told_at_s >= before_s - DELIVERY_S, context.told
