"""Switchable faults of the stand-ins."""

from dataclasses import dataclass, field
from enum import Enum

FOREVER = -1


class FaultKind(Enum):
    """What a stand-in can be told to do wrong."""

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
    DOUBLED = "doubled"
    OUT_OF_ORDER = "out_of_order"
    OLD_ATTEMPT = "old_attempt"
    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    SLOW = "slow"
    OUTAGE = "outage"
    LOSE_ANSWER = "lose_answer"
    RATE_LIMIT = "rate_limit"
    STALE_READS = "stale_reads"


@dataclass
class Fault:
    """One armed fault. `times` counts down; FOREVER stays armed."""

    kind: FaultKind
    position: int = 0
    delay_s: float = 0.0
    times: int = 1


@dataclass
class FaultBoard:
    """The armed faults of one stand-in, and how often each fired."""

    armed: list[Fault] = field(default_factory=list)
    fired: dict[FaultKind, int] = field(default_factory=dict)

    def arm(
        self,
        kind: FaultKind,
        position: int = 0,
        delay_s: float = 0.0,
        times: int = 1,
    ) -> None:
        """Arm a fault."""
        self.armed.append(Fault(kind, position, delay_s, times))

    def clear(self) -> None:
        """Disarm every fault."""
        self.armed.clear()

    def take(self, kind: FaultKind, position: int = 0) -> Fault | None:
        """Return the armed fault of a kind that is due at `position`, using it up."""
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
