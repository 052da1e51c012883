"""Holding a lease without ever acting after it may have ended.

The life of a lease is counted from before the request that renewed it left, on a
clock that goes on during a pause, and the holder stops early by a margin. Callers
check before each effect; a check after a pause sees the pause.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import gevent
from gevent.event import Event

from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import Epoch
from chervilstall.settings.leases import LeaseSettings
from chervilstall.store.contract import LeaseRecord, LeaseStore, StoreFailed

RENEWALS_PER_TTL = 3
Clock = Callable[[], float]


def boot_clock_s() -> float:
    """Return seconds since boot, counting time the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseState(Enum):
    """Whether the holder may act."""

    FREE = "free"
    HELD = "held"
    ELSEWHERE = "elsewhere"


@dataclass(frozen=True)
class LeaseTerm:
    """One uninterrupted holding of a lease; `epoch` fences its effects."""

    name: str
    epoch: Epoch


class LeaseHolder:
    """Acquires, renews and checks one lease.

    While another holds it, the holder asks again after the lease's life, or after
    `standby_interval_s` where `wake` tells it of the end.

    `step` makes one store call; `run` repeats it until stopped. A holder acts only
    between a successful `check` and the end of the margin.

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
        self._acts_until_s = float("-inf")
        self._unanswered_since_s: float | None = None
        self._tenure: LeaseTerm | None = None
        self._stopped = Event()
        self._woken = Event()

    def step(self) -> LeaseState:
        """Acquire or renew once; a store failure leaves the present life as it is."""
        asked_at_s = self._clock()
        if self._unanswered_since_s is None:
            self._unanswered_since_s = asked_at_s
        try:
            record = self._store.acquire_lease(
                self.name, self.holder, self.settings.ttl_s, self.note
            )
        except StoreFailed:
            return self.state()
        self._unanswered_since_s = None
        self.record = record
        if record.holder != self.holder:
            self._lose()
            return LeaseState.ELSEWHERE
        if self._tenure is not None and self._tenure.epoch != record.epoch:
            # The lease lapsed and was taken anew: the earlier tenure is over.
            self._lose()
        self._acts_until_s = asked_at_s + self.settings.ttl_s - self.settings.margin_s
        if self._tenure is None and self._clock() < self._acts_until_s:
            self._tenure = LeaseTerm(self.name, record.epoch)
        return self.state()

    def _lose(self) -> None:
        if self._tenure is not None:
            self.losses += 1
        self._tenure = None
        self._acts_until_s = float("-inf")

    def state(self) -> LeaseState:
        """Return whether the holder may act now."""
        if self._tenure is not None and self._clock() < self._acts_until_s:
            return LeaseState.HELD
        if self.record is not None and self.record.holder != self.holder:
            return LeaseState.ELSEWHERE
        return LeaseState.FREE

    @property
    def is_unanswered(self) -> bool:
        """Return whether the last call to the store failed or still waits."""
        return self._unanswered_since_s is not None

    def unanswered_s(self) -> float:
        """Return for how long the store has answered no call of this holder."""
        if self._unanswered_since_s is None:
            return 0.0
        return self._clock() - self._unanswered_since_s

    def remaining_s(self) -> float:
        """Return how long the holder may still act without renewing."""
        return max(0.0, self._acts_until_s - self._clock())

    def check(self) -> LeaseTerm:
        """Return the present tenure. Raises LEASE_LOST where it is over."""
        if self._tenure is None or self._clock() >= self._acts_until_s:
            raise ChervilstallError(
                ErrorKind.LEASE_LOST, f"the lease {self.name} is not held"
            )
        return self._tenure

    def run(self, jitter: Callable[[], float] = lambda: 0.0) -> None:
        """Acquire and renew until `stop`; one task runs this."""
        while not self._stopped.is_set():
            self.step()
            self._woken.wait(self._wait_s() * (1.0 + jitter()))
            self._woken.clear()

    def wake(self) -> None:
        """Ask at once, because the lease of another may have ended."""
        self._woken.set()

    def _wait_s(self) -> float:
        interval_s = self.settings.ttl_s / RENEWALS_PER_TTL
        if self.record is None or self.state() is not LeaseState.ELSEWHERE:
            return interval_s
        if self.standby_interval_s is not None:
            return self.standby_interval_s
        # Another holder has just renewed; asking before its end is of no use.
        return max(interval_s, min(self.record.remaining_s, self.settings.ttl_s))

    def stop(self, release: bool = True) -> None:
        """Stop renewing and give the lease up."""
        self._stopped.set()
        self._woken.set()
        was_held = self._tenure is not None
        self._lose()
        if not release or not was_held:
            return
        try:
            with gevent.Timeout(self.settings.margin_s, False):
                self._store.release_lease(self.name, self.holder)
        except StoreFailed:
            return
