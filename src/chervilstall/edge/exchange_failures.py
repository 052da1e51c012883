"""Why an exchange with a target or router failed."""

from enum import Enum


class ExchangeFailure(Enum):
    """Why an exchange brought no complete response."""

    NO_CONNECTION = "no connection"
    CLOSED = "connection closed"
    MALFORMED = "malformed answer"
    TIMEOUT = "no answer in time"
    STALLED = "stalled"
    CALLER_LEFT = "caller left"
    UNMARKED_REFUSAL = "refusal that does not say that nothing ran"


class ExchangeFailed(Exception):
    """An exchange ended without a complete response.

    The target may have run the request unless `was_sent` is false. `was_kept` is true
    if a kept connection brought no answer to the request.
    """

    def __init__(
        self, failure: ExchangeFailure, was_sent: bool, was_kept: bool = False
    ) -> None:
        super().__init__(failure.value)
        self.failure = failure
        self.was_sent = was_sent
        self.was_kept = was_kept
