"""A clock that tests set."""

import time


class Clock:
    """Replaces the monotonic clock until it is stopped."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.original = time.monotonic
        time.monotonic = lambda: self.now_s

    def stop(self) -> None:
        """Restore the real clock."""
        time.monotonic = self.original
