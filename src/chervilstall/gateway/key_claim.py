"""Runs a request at most once under its idempotency key.

The key is claimed before anything is sent to a target. Afterwards the key's home, the
agent that records the key's claims, gets a report: either the outcome, which is
replayed to repeats, or that the request did not run.
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

OUTCOME_REPORT_INTERVALS_S = (0.0,) + (0.1,) * 19
NOT_RUN_REPORT_INTERVALS_S = (0.0, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
"""Intervals before the attempts; together twice the default time to live of a lease."""

REPEAT_HEADER = ("Chervilstall-Repeat", "yes")


@dataclass(frozen=True)
class IdempotentRequest:
    """A request with an idempotency key, and what the key's home needs for the claim.

    `run_without_store` allows a first attempt to run while the store is unavailable.
    `wait_s` bounds the wait for an earlier run under the same key.
    """

    workspace: WorkspaceName
    path: str
    options: CallerOptions
    body: bytes
    request_id: RequestId
    run_without_store: bool
    wait_s: float

    def key_digest(self) -> str:
        """Return the fleet-wide name of the key, a digest of its scope and text."""
        text = f"{self.workspace}\n{self.path}\n{self.options.idempotency_key}"
        return hashlib.sha256(text.encode()).hexdigest()

    def body_digest(self) -> str:
        """Return a digest of the body, by which a reuse of the key is detected."""
        return hashlib.sha256(self.body).hexdigest()[:32]


class KeyClaim:
    """The claim of one idempotency key and the report of its result.

    Call `claim` first and then exactly one of the report methods. An outcome larger
    than `outcome_max_bytes` is reported without its body.
    """

    def __init__(
        self,
        claim_service: ClaimService,
        request: IdempotentRequest,
        outcome_max_bytes: int,
    ) -> None:
        self._service = claim_service
        self._request = request
        self._key_digest = request.key_digest()
        self._outcome_max_bytes = outcome_max_bytes
        self.is_claimed = False

    def claim(self) -> Outcome | None:
        """Claim the key; return the outcome of an earlier run, or None to run now.

        Raises KEY_REUSED, OUTCOME_UNKNOWN, OUTCOME_TOO_LARGE or HOME_UNAVAILABLE;
        with the last, the request has not run.
        """
        request = self._request
        claim_request = ClaimRequest(
            self._key_digest,
            request.body_digest(),
            request.request_id,
            request.options.is_first_attempt,
            request.run_without_store,
            request.wait_s,
        )
        match self._service.claim(claim_request):
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
        """Report the outcome of a finished request."""
        if len(outcome.body) > self._outcome_max_bytes:
            outcome = Outcome(outcome.status, outcome.content_type, b"", True)
        self._report(outcome)

    def report_not_run(self) -> None:
        """Report that the request did not run, which releases the key."""
        self._report(None)

    def report_error(self, error: ChervilstallError) -> None:
        """Release the key if the error proves that the request did not run."""
        if error.response.execution is ExecutionState.NO:
            self.report_not_run()

    def _report(self, outcome: Outcome | None) -> None:
        report = OutcomeReport(self._key_digest, self._request.request_id, outcome)
        if outcome is not None and self._service.report(report):
            return
        # The retries run in the background, so that the caller does not wait while the
        # home moves to another agent. A "not run" report gets few attempts at growing
        # intervals, because the home may not know the key at all.
        intervals_s = (
            OUTCOME_REPORT_INTERVALS_S
            if outcome is not None
            else NOT_RUN_REPORT_INTERVALS_S
        )
        gevent.spawn(self._retry_report, report, intervals_s)

    def _retry_report(
        self, report: OutcomeReport, intervals_s: tuple[float, ...]
    ) -> None:
        for interval_s in intervals_s:
            gevent.sleep(interval_s)
            if self._service.report(report):
                return
