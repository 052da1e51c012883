"""One part under quarantine: when it is tried again, kept and forgotten."""

from dataclasses import dataclass

from chervilstall.quarantine.records import QuarantineEntry

CARRIED_TRIAL_AFTER_S = 3.0
CARRIED_TRIALS_MAX = 1
TRIAL_AFTER_S = 30.0
TRIAL_FACTOR = 4.0
"""Each further trial waits this many times as long as the one before."""

TRIALS_MAX = 2
"""Trials after which there are rarely any; the router of a trial may have ended."""

REQUEST_TRIALS_MAX = 3
"""Trials after which a whole request is not sent again while callers ask for it."""

LATER_TRIAL_AFTER_S = 1_800.0
KEEP_INTERVAL_S = 240.0
"""Time after which the entry of a part that is still asked for is written again."""

KEPT_S = 600.0
"""Time after the last request with a part for which it stays under quarantine."""


@dataclass
class QuarantinedPart:
    """A part under quarantine as one router knows it; times are monotonic.

    `tried_at_s` is when the entry or its latest trial began, `kept_at_s` when the entry
    was last written, `asked_at_s` when a request with the part was last asked for. With
    `has_trial` the next request with it is let through, if no other part refuses it.
    """

    entry: QuarantineEntry
    in_force_at_s: float
    tried_at_s: float
    kept_at_s: float
    asked_at_s: float
    has_trial: bool = False
    is_claiming: bool = False

    def is_trial_due(self, now_s: float) -> bool:
        """Return whether a trial may be claimed now."""
        return not self.is_claiming and now_s >= self.tried_at_s + self._trial_after_s

    @property
    def _trial_after_s(self) -> float:
        """Return the time from the entry or its latest trial to the next one."""
        trials = self.entry.trials
        if self.entry.key.is_request and trials >= REQUEST_TRIALS_MAX:
            return float("inf")
        if self.entry.is_carried_over:
            is_early = trials < CARRIED_TRIALS_MAX
            return CARRIED_TRIAL_AFTER_S if is_early else LATER_TRIAL_AFTER_S
        if trials < TRIALS_MAX:
            return TRIAL_AFTER_S * TRIAL_FACTOR**trials
        return LATER_TRIAL_AFTER_S

    def is_past(self, now_s: float) -> bool:
        """Return whether nobody has asked for the part for so long that it is freed."""
        return now_s - max(self.asked_at_s, self.kept_at_s) > KEPT_S

    def must_be_kept(self, now_s: float) -> bool:
        """Return whether the entry must be written again, as the part is asked for."""
        is_asked_for = self.asked_at_s > self.kept_at_s
        return is_asked_for and now_s - self.kept_at_s > KEEP_INTERVAL_S
