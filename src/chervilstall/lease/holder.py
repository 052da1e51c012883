"""Acquires and renews a lease, and never treats it as held after it may have expired.

The time to live is counted from before the renewal request was sent, on a clock that
keeps running while the process or the machine is suspended. The holder stops acting a
margin before the lease expires. Callers check the lease before each side effect, so a
check after a pause notices that the lease has expired.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import gevent
from gevent.event import Event

from chervilstall.clock import Clock
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import Epoch
from chervilstall.settings.leases import LeaseSettings
from chervilstall.store.contract import LeaseRecord, LeaseStore, StoreFailed

RENEWALS_PER_TTL = 3


def boot_clock_s() -> float:
    """Return seconds since boot, counting time the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseState(Enum):
    """Who has the lease: this holder, another one, or nobody as far as is known."""

    FREE = "free"
    HELD = "held"
    HELD_BY_OTHER = "elsewhere"


@dataclass(frozen=True)
class LeaseTerm:
    """One continuous holding of a lease.

    `epoch` is the fencing token: it grows with each new holding of the lease.
    """

    name: str
    epoch: Epoch


class LeaseHolder:
    """Acquires, renews and checks one lease.

    `step` makes one store call; `run` repeats it until stopped. `holder` identifies
    this process in the store and `note` is stored with the lease. A holder may act
    only after a successful `check`, and only until the margin before the expiry begins.

    While another process holds the lease, the next attempt follows when that lease
    would expire, or after `standby_interval_s` if it is set. Set it if `wake` is called
    when the lease is free; the first attempt waits for that, too.

    >>> from chervilstall.standin.store import MemoryStore
    >>> holder = LeaseHolder(MemoryStore(), "planner", "vm-1", LeaseSettings())
    >>> holder.step()
    <LeaseState.HELD: 'held'>
    """

    def __init__(
        self,
        store: LeaseStore,
        name: str,
        holder: str,
        settings: LeaseSettings,
        clock: Clock = boot_clock_s,
        note: str = "",
        standby_interval_s: float | None = None,
    ) -> None:
        self.name = name
        self.holder = holder
        self.settings = settings
        self.note = note
        self.standby_interval_s = standby_interval_s
        self.record: LeaseRecord | None = None
        self.losses = 0
        self._store = store
        self._clock = clock
        self._valid_until_s = float("-inf")
        self._unanswered_since_s: float | None = None
        self._term: LeaseTerm | None = None
        self._is_suspended = False
        self._stopped = Event()
        self._wake_requested = Event()

    def step(self) -> LeaseState:
        """Acquire or renew the lease once.

        A failed store call leaves the current expiry unchanged.
        """
        sent_at_s = self._clock()
        if self._unanswered_since_s is None:
            self._unanswered_since_s = sent_at_s
        try:
            record = self._store.acquire_lease(
                self.name, self.holder, self.settings.ttl_s, self.note
            )
        except StoreFailed:
            return self.state()
        self._unanswered_since_s = None
        if self._is_suspended:
            # The call was under way as the lease was given up.
            self._mark_lost()
            return self.state()
        self.record = record
        if record.holder != self.holder:
            self._mark_lost()
            return LeaseState.HELD_BY_OTHER
        if self._term is not None and self._term.epoch != record.epoch:
            # The lease expired and was acquired again, which ends the earlier term.
            self._mark_lost()
        self._valid_until_s = sent_at_s + self.settings.ttl_s - self.settings.margin_s
        if self._term is None and self._clock() < self._valid_until_s:
            self._term = LeaseTerm(self.name, record.epoch)
        return self.state()

    def _mark_lost(self) -> None:
        if self._term is not None:
            self.losses += 1
        self._term = None
        self._valid_until_s = float("-inf")

    def state(self) -> LeaseState:
        """Return the current state without a store call."""
        if self._term is not None and self._clock() < self._valid_until_s:
            return LeaseState.HELD
        if self.record is not None and self.record.holder != self.holder:
            return LeaseState.HELD_BY_OTHER
        return LeaseState.FREE

    @property
    def is_unanswered(self) -> bool:
        """Return whether the last store call failed or is still pending."""
        return self._unanswered_since_s is not None

    def unanswered_s(self) -> float:
        """Return for how long the store has not answered this holder's calls."""
        if self._unanswered_since_s is None:
            return 0.0
        return self._clock() - self._unanswered_since_s

    def remaining_s(self) -> float:
        """Return for how long the holder may act without another renewal."""
        return max(0.0, self._valid_until_s - self._clock())

    def check(self) -> LeaseTerm:
        """Return the current term. Raises LEASE_LOST if the lease is not held."""
        if self._term is None or self._clock() >= self._valid_until_s:
            raise ChervilstallError(
                ErrorKind.LEASE_LOST, f"lease {self.name} is not held"
            )
        return self._term

    def run(self, jitter: Callable[[], float] = lambda: 0.0) -> None:
        """Acquire and renew until `stop` is called. Run it in one task.

        `jitter` returns the fraction by which each wait is lengthened or shortened.
        """
        if self.standby_interval_s is not None:
            self._wait(self.standby_interval_s)
        while not self._stopped.is_set():
            if not self._is_suspended:
                self.step()
            self._wait(self._wait_s() * (1.0 + jitter()))

    def _wait(self, time_s: float) -> None:
        self._wake_requested.wait(time_s)
        self._wake_requested.clear()

    def suspend(self) -> None:
        """Release the lease, and leave it to others until `resume` is called."""
        self._is_suspended = True
        self._give_up()

    def resume(self) -> None:
        """Acquire the lease again once it is free."""
        self._is_suspended = False
        self.wake()

    def forfeit(self) -> None:
        """Give up the current term without a store call, and try to acquire at once.

        Call this when the store has lost its leases. A process that stands by for
        another one's lease is not woken; `wake` tells it that the lease is free.
        """
        was_held = self._term is not None
        self._mark_lost()
        if was_held or self.standby_interval_s is None:
            self.wake()

    def wake(self) -> None:
        """Try to acquire at once, as another holder's lease may have ended."""
        self._wake_requested.set()

    def _wait_s(self) -> float:
        interval_s = self.settings.ttl_s / RENEWALS_PER_TTL
        if self.record is None or self.state() is not LeaseState.HELD_BY_OTHER:
            return interval_s
        if self.standby_interval_s is not None:
            return self.standby_interval_s
        # The lease can't be acquired before the other holder's time to live ends.
        return max(interval_s, min(self.record.remaining_s, self.settings.ttl_s))

    def stop(self, release: bool = True) -> None:
        """Stop renewing, and release the lease unless `release` is False.

        The release is given up after `margin_s` seconds; the lease then expires.
        """
        self._stopped.set()
        self._wake_requested.set()
        if release:
            self._give_up()
        else:
            self._mark_lost()

    def _give_up(self) -> None:
        was_held = self._term is not None
        self._mark_lost()
        if not was_held:
            return
        try:
            with gevent.Timeout(self.settings.margin_s, False):
                self._store.release_lease(self.name, self.holder)
        except StoreFailed:
            return
