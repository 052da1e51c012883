"""Clocks that components get as an argument, so that tests can set the time."""

from collections.abc import Callable

Clock = Callable[[], float]
"""Returns the time in seconds, for example `time.monotonic`."""
