"""Claims on keys whose homes are in the same process."""

from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.idempotency.home import SlotHome
from chervilstall.ids import SlotName
from chervilstall.peer.claims import ClaimAnswer, ClaimRequest, OutcomeReport
from chervilstall.rendezvous import rendezvous_choice


class LocalClaimService:
    """Claim service over homes in the same process, for embedding and tests."""

    def __init__(self, homes: dict[SlotName, SlotHome]) -> None:
        self.homes = homes

    def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Claim a key at the home of its slot."""
        return self.homes[slot_for_key(request.key, list(self.homes))].claim(request)

    def report(self, report: OutcomeReport) -> bool:
        """Report an outcome at the home of the key's slot."""
        return self.homes[slot_for_key(report.key, list(self.homes))].report(report)


def slot_for_key(key: str, slots: list[SlotName]) -> SlotName:
    """Return the slot that a key belongs to, by rendezvous hashing.

    Raises HOME_UNAVAILABLE if `slots` is empty.
    """
    chosen = rendezvous_choice(key, slots)
    if chosen is None:
        raise ChervilstallError(
            ErrorKind.HOME_UNAVAILABLE, "no idempotency slots are configured"
        )
    return SlotName(chosen)
