"""Fault injection for the stand-ins."""

from dataclasses import dataclass, field
from enum import Enum

FOREVER = -1
"""Value of `Fault.times` for a fault that stays armed after it fired."""


class FaultKind(Enum):
    """Faults that a stand-in can inject."""

    REFUSE = "refuse"
    DIE_BEFORE_ACCEPT = "die_before_accept"
    DIE_AFTER_ACCEPT = "die_after_accept"
    DIE_AT_POSITION = "die_at_position"
    CLOSE_AT_POSITION = "close_at_position"
    SILENT_BEFORE_ACCEPT = "silent_before_accept"
    SILENT_AT_POSITION = "silent_at_position"
    SILENT_AFTER_RUN = "silent_after_run"
    CLOSE_BEFORE_RUN = "close_before_run"
    CLOSE_AFTER_RUN = "close_after_run"
    WRONG_REQUEST = "crossed"
    DUPLICATE_TOKEN = "doubled"
    REPEATED_ACCEPT = "repeated_accept"
    REPEATED_TOKEN = "repeated_token"
    REPEATED_OLD_ATTEMPT = "repeated_old_attempt"
    OUT_OF_ORDER = "out_of_order"
    OLD_ATTEMPT = "old_attempt"
    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    ERROR_TEXT = "error_text"
    ERROR_HEAD = "error_head"
    ERROR_EVENT = "error_event"
    REFUSE_AGAIN = "refuse_again"
    SLOW = "slow"
    OUTAGE = "outage"
    LOSE_ANSWER = "lose_answer"
    RATE_LIMIT = "rate_limit"
    STALE_READS = "stale_reads"


@dataclass
class Fault:
    """One armed fault.

    It fires from `position` on (a token position, for the faults of a stream). `times`
    is the number of firings that are left; FOREVER isn't counted down. `delay_s` is the
    delay in seconds that SLOW adds.
    """

    kind: FaultKind
    position: int = 0
    delay_s: float = 0.0
    times: int = 1


@dataclass
class FaultInjector:
    """The armed faults of one stand-in, and how often each kind fired."""

    armed: list[Fault] = field(default_factory=list)
    fired: dict[FaultKind, int] = field(default_factory=dict)

    def arm(
        self,
        kind: FaultKind,
        position: int = 0,
        delay_s: float = 0.0,
        times: int = 1,
    ) -> None:
        """Add a fault to the armed ones. See `Fault` for the parameters."""
        self.armed.append(Fault(kind, position, delay_s, times))

    def clear(self) -> None:
        """Disarm every fault."""
        self.armed.clear()

    def trigger(self, kind: FaultKind, position: int = 0) -> Fault | None:
        """Return the first armed fault of a kind that is due at `position`, or None.

        Counts the firing, and disarms the fault after its last one.
        """
        for fault in self.armed:
            if fault.kind is not kind or fault.position > position:
                continue
            self.fired[kind] = self.fired.get(kind, 0) + 1
            if fault.times != FOREVER:
                fault.times -= 1
            if fault.times == 0:
                self.armed.remove(fault)
            return fault
        return None
