"""Waits for events that several tasks wait for."""

from gevent.event import Event


def wait_until_set(event: Event, timeout_s: float) -> bool:
    """Wait up to `timeout_s` seconds for an event, and return whether it was set.

    Use this for an event that stays set and that more than one task waits for. Where
    the event is already set but its waiters have not been resumed yet, gevent queues
    the caller of `Event.wait` behind them without a timeout, and drops that queue if
    the last of them times out first; the caller then waits for ever.
    """
    return event.is_set() or bool(event.wait(timeout_s))
