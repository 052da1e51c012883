"""Decision tables for attempts that end early, by progress and failure cause.

An answer that the request did not run requires proof: nothing was sent, or the target
refused before it started. From `SENT` on, a missing answer means that the outcome is
unknown, and a request that is not repeatable is not sent again. A stream that has
delivered tokens is a single run; resuming it at its next position is no repetition.
"""

from enum import Enum

from chervilstall.errors import ChervilstallError, ErrorKind, ExecutionState
from chervilstall.target.contract import AttemptFailed, AttemptProgress, FailureCause


class Decision(Enum):
    """What to do after a failed attempt.

    TRY_ANOTHER starts a new attempt, RESUME one that continues the stream at its next
    position. ANSWER_NOT_RUN and ANSWER_UNKNOWN end the request with an error.
    """

    TRY_ANOTHER = "try_another"
    RESUME = "resume"
    ANSWER_NOT_RUN = "answer_not_run"
    ANSWER_UNKNOWN = "answer_unknown"


# After these failures the target may have executed the request, in part or whole.
_AMBIGUOUS_CAUSES = (
    FailureCause.CLOSED,
    FailureCause.SILENT,
    FailureCause.STAGE_DIED,
    FailureCause.BAD_ANSWER,
)

REPEATABLE_DECISIONS: dict[tuple[AttemptProgress, FailureCause], Decision] = {
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
NON_REPEATABLE_DECISIONS: dict[tuple[AttemptProgress, FailureCause], Decision] = dict(
    REPEATABLE_DECISIONS
)

for _cause in _AMBIGUOUS_CAUSES:
    REPEATABLE_DECISIONS[(AttemptProgress.SENT, _cause)] = Decision.TRY_ANOTHER
    REPEATABLE_DECISIONS[(AttemptProgress.ACCEPTED, _cause)] = Decision.TRY_ANOTHER
    REPEATABLE_DECISIONS[(AttemptProgress.STREAMING, _cause)] = Decision.RESUME
    NON_REPEATABLE_DECISIONS[(AttemptProgress.SENT, _cause)] = Decision.ANSWER_UNKNOWN
    NON_REPEATABLE_DECISIONS[(AttemptProgress.ACCEPTED, _cause)] = (
        Decision.ANSWER_UNKNOWN
    )
    NON_REPEATABLE_DECISIONS[(AttemptProgress.STREAMING, _cause)] = Decision.RESUME


def decide(
    progress: AttemptProgress, cause: FailureCause, repeatable: bool
) -> Decision:
    """Return what to do next; pairs outside the tables give ANSWER_UNKNOWN.

    >>> decide(AttemptProgress.SENT, FailureCause.CLOSED, repeatable=False)
    <Decision.ANSWER_UNKNOWN: 'answer_unknown'>
    """
    decisions = REPEATABLE_DECISIONS if repeatable else NON_REPEATABLE_DECISIONS
    return decisions.get((progress, cause), Decision.ANSWER_UNKNOWN)


def final_error_kind(
    progress: AttemptProgress, cause: FailureCause, has_delivered: bool
) -> ErrorKind:
    """Return the kind of error to answer when no further attempt is made."""
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


def final_error(
    failure: AttemptFailed, has_delivered: bool, may_have_run: bool
) -> ChervilstallError:
    """Return the error to answer when no further attempt is made.

    Where an attempt `may_have_run`, the error does not say that the request did not.
    """
    kind = final_error_kind(failure.progress, failure.cause, has_delivered)
    error = ChervilstallError(kind, str(failure))
    if may_have_run and error.response.execution is ExecutionState.NO:
        return ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, str(failure))
    return error
