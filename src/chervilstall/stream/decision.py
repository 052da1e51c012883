"""What to do when an attempt ends early: one table, state × event.

"Not run" is only answered where the table says so: nothing was sent, or the target
itself refused before it started. From `SENT` on without an answer the outcome is
unknown, and a request that may not be repeated is not sent again. A stream that has
delivered tokens is one run; going on from its next position does not repeat it.
"""

from enum import Enum

from chervilstall.errors import ErrorKind
from chervilstall.target.contract import AttemptProgress, FailureCause


class Decision(Enum):
    """What follows a failed attempt."""

    TRY_ANOTHER = "try_another"
    RESUME = "resume"
    ANSWER_NOT_RUN = "answer_not_run"
    ANSWER_UNKNOWN = "answer_unknown"


# Events by which a target may have received the request and done any part of it.
_IN_DOUBT = (
    FailureCause.CLOSED,
    FailureCause.SILENT,
    FailureCause.STAGE_DIED,
    FailureCause.BAD_ANSWER,
)

REPEATABLE: dict[tuple[AttemptProgress, FailureCause], Decision] = {
    (AttemptProgress.NOT_SENT, FailureCause.CONNECT_FAILED): Decision.TRY_ANOTHER,
    (AttemptProgress.NOT_SENT, FailureCause.REFUSED): Decision.TRY_ANOTHER,
    (AttemptProgress.NOT_SENT, FailureCause.DEADLINE): Decision.ANSWER_NOT_RUN,
    (AttemptProgress.SENT, FailureCause.REFUSED): Decision.TRY_ANOTHER,
    (AttemptProgress.SENT, FailureCause.DEADLINE): Decision.ANSWER_UNKNOWN,
    (AttemptProgress.ACCEPTED, FailureCause.DEADLINE): Decision.ANSWER_UNKNOWN,
    (AttemptProgress.STREAMING, FailureCause.DEADLINE): Decision.ANSWER_UNKNOWN,
    (AttemptProgress.STREAMING, FailureCause.REFUSED): Decision.RESUME,
    (AttemptProgress.STREAMING, FailureCause.CONNECT_FAILED): Decision.RESUME,
}
ONCE: dict[tuple[AttemptProgress, FailureCause], Decision] = dict(REPEATABLE)

for _event in _IN_DOUBT:
    REPEATABLE[(AttemptProgress.SENT, _event)] = Decision.TRY_ANOTHER
    REPEATABLE[(AttemptProgress.ACCEPTED, _event)] = Decision.TRY_ANOTHER
    REPEATABLE[(AttemptProgress.STREAMING, _event)] = Decision.RESUME
    ONCE[(AttemptProgress.SENT, _event)] = Decision.ANSWER_UNKNOWN
    ONCE[(AttemptProgress.ACCEPTED, _event)] = Decision.ANSWER_UNKNOWN
    ONCE[(AttemptProgress.STREAMING, _event)] = Decision.RESUME


def decide(
    progress: AttemptProgress, cause: FailureCause, repeatable: bool
) -> Decision:
    """Return what follows; a pair outside the table is answered "unknown".

    >>> decide(AttemptProgress.SENT, FailureCause.CLOSED, repeatable=False)
    <Decision.ANSWER_UNKNOWN: 'answer_unknown'>
    """
    table = REPEATABLE if repeatable else ONCE
    return table.get((progress, cause), Decision.ANSWER_UNKNOWN)


def final_error_kind(
    progress: AttemptProgress, cause: FailureCause, has_delivered: bool
) -> ErrorKind:
    """Return the kind of error to answer when nothing further is tried."""
    if has_delivered:
        return ErrorKind.STREAM_BROKEN
    if cause is FailureCause.DEADLINE:
        if progress is AttemptProgress.NOT_SENT:
            return ErrorKind.DEADLINE_NOT_RUN
        return ErrorKind.DEADLINE_UNKNOWN
    if cause is FailureCause.REFUSED:
        return ErrorKind.TARGET_REFUSED
    if progress is AttemptProgress.NOT_SENT:
        return ErrorKind.NO_TARGET
    return ErrorKind.OUTCOME_UNKNOWN
