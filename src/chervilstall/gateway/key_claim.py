"""Running a request at most once under its key.

The claim is made before anything is sent, and whatever becomes of the request is
reported to the key's home: an outcome to repeat, or that it did not run.
"""

import hashlib
from dataclasses import dataclass

import gevent

from chervilstall.errors import ChervilstallError, ErrorKind, ExecutionState
from chervilstall.gateway.parsing import CallerOptions
from chervilstall.idempotency.contract import ClaimService
from chervilstall.ids import RequestId, WorkspaceName
from chervilstall.peer.claims import (
    Claimed,
    ClaimRequest,
    InDoubt,
    Mismatched,
    Outcome,
    OutcomeReport,
    Repeated,
    Unavailable,
)

OUTCOME_REPORT_ATTEMPTS = 20
NOT_RUN_REPORT_ATTEMPTS = 3
REPORT_RETRY_INTERVAL_S = 0.1
REPEAT_HEADER = ("Chervilstall-Repeat", "yes")


@dataclass(frozen=True)
class IdempotentRequest:
    """A request under a key, with what its home needs to judge it."""

    workspace: WorkspaceName
    path: str
    options: CallerOptions
    body: bytes
    request_id: RequestId
    run_without_store: bool
    wait_s: float

    def key_digest(self) -> str:
        """Return the fleet-wide name of the key, as a digest."""
        text = f"{self.workspace}\n{self.path}\n{self.options.idempotency_key}"
        return hashlib.sha256(text.encode()).hexdigest()

    def body_digest(self) -> str:
        """Return a digest of the body."""
        return hashlib.sha256(self.body).hexdigest()[:32]


class KeyClaim:
    """One claim and its report. `claim` first; then exactly one of the reports."""

    def __init__(
        self, service: ClaimService, keyed: IdempotentRequest, outcome_max_bytes: int
    ) -> None:
        self._service = service
        self._request = keyed
        self._key_digest = keyed.key_digest()
        self._outcome_max_bytes = outcome_max_bytes
        self.is_claimed = False

    def claim(self) -> Outcome | None:
        """Claim the key; return the outcome of an earlier run where there is one.

        Raises KEY_REUSED, OUTCOME_UNKNOWN or HOME_UNAVAILABLE; after the last, the
        request has not run.
        """
        keyed = self._request
        request = ClaimRequest(
            self._key_digest,
            keyed.body_digest(),
            keyed.request_id,
            keyed.options.is_first_attempt,
            keyed.run_without_store,
            keyed.wait_s,
        )
        match self._service.claim(request):
            case Claimed():
                self.is_claimed = True
                return None
            case Repeated(outcome):
                if outcome.is_too_large:
                    raise ChervilstallError(
                        ErrorKind.OUTCOME_TOO_LARGE,
                        "the request ran; its answer was too large to keep",
                    )
                return outcome
            case Mismatched():
                raise ChervilstallError(
                    ErrorKind.KEY_REUSED, "the key was used with another body"
                )
            case InDoubt(reason):
                raise ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, reason)
            case Unavailable(reason):
                self.report_not_run()
                raise ChervilstallError(ErrorKind.HOME_UNAVAILABLE, reason)

    def report_outcome(self, outcome: Outcome) -> None:
        """Report a finished request."""
        if len(outcome.body) > self._outcome_max_bytes:
            outcome = Outcome(outcome.status, outcome.content_type, b"", True)
        self._report(outcome)

    def report_not_run(self) -> None:
        """Report that the request did not run, which frees the key."""
        self._report(None)

    def report_error(self, error: ChervilstallError) -> None:
        """Report a failure: one that proves "not run" frees the key."""
        if error.response.execution is ExecutionState.NO:
            self.report_not_run()

    def _report(self, outcome: Outcome | None) -> None:
        report = OutcomeReport(self._key_digest, self._request.request_id, outcome)
        if outcome is not None and self._service.report(report):
            return
        # The caller doesn't wait for a home that is moving. A home may not know a key
        # that did not run, so that report is not worth many tries.
        tries = (
            OUTCOME_REPORT_ATTEMPTS if outcome is not None else NOT_RUN_REPORT_ATTEMPTS
        )
        gevent.spawn(self._retry_report, report, tries)

    def _retry_report(self, report: OutcomeReport, tries: int) -> None:
        for _ in range(tries):
            if self._service.report(report):
                return
            gevent.sleep(REPORT_RETRY_INTERVAL_S)
