"""Interface through which routers claim idempotency keys and report outcomes."""

from typing import Protocol

from chervilstall.peer.claims import ClaimAnswer, ClaimRequest, OutcomeReport


class ClaimService(Protocol):
    """Claims keys on behalf of a router, wherever the keys' homes run."""

    def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Claim a key.

        If another request holds the key, wait up to `request.wait_s` seconds for its
        outcome.
        """

    def report(self, report: OutcomeReport) -> bool:
        """Report the outcome of a claimed request; False if no home recorded it."""
