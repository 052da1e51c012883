"""The closed list of error kinds and the answer that each one produces.

Every failure that can reach a caller has a kind. `ANSWERS` maps the kind to the HTTP
status, to what is known about execution, and to whether a later repeat can help.
"""

from dataclasses import dataclass
from enum import Enum


class Ran(Enum):
    """What is known about the execution of a failed request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Every kind of failure the system reports."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    REQUEST_TIMEOUT = "request_timeout"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    KEY_REUSED = "key_reused"
    KEY_IN_PROGRESS = "key_in_progress"
    LIMIT_EXCEEDED = "limit_exceeded"
    OVERLOADED = "overloaded"
    DEADLINE_NOT_RUN = "deadline_not_run"
    DEADLINE_UNKNOWN = "deadline_unknown"
    NO_TARGET = "no_target"
    TARGET_REFUSED = "target_refused"
    HOME_UNAVAILABLE = "home_unavailable"
    SHUTTING_DOWN = "shutting_down"
    NOT_READY = "not_ready"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STREAM_BROKEN = "stream_broken"
    OUTCOME_TOO_LARGE = "outcome_too_large"
    CONFLICT = "conflict"
    INVALID_SETTINGS = "invalid_settings"
    STORE_UNAVAILABLE = "store_unavailable"
    LEASE_LOST = "lease_lost"
    PEER_UNAVAILABLE = "peer_unavailable"
    INTERNAL = "internal"


@dataclass(frozen=True)
class Answer:
    """The caller-visible side of an error kind.

    `is_retry_useful` is true where a repeat of the same request may succeed; those
    answers carry Retry-After.
    """

    status: int
    ran: Ran
    is_retry_useful: bool


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, Ran.NO, False),
    ErrorKind.UNAUTHENTICATED: Answer(401, Ran.NO, False),
    ErrorKind.FORBIDDEN: Answer(403, Ran.NO, False),
    ErrorKind.NOT_FOUND: Answer(404, Ran.NO, False),
    ErrorKind.REQUEST_TIMEOUT: Answer(408, Ran.NO, True),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Ran.NO, False),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, Ran.NO, False),
    ErrorKind.KEY_REUSED: Answer(422, Ran.NO, False),
    ErrorKind.KEY_IN_PROGRESS: Answer(409, Ran.UNKNOWN, True),
    ErrorKind.LIMIT_EXCEEDED: Answer(429, Ran.NO, True),
    ErrorKind.OVERLOADED: Answer(503, Ran.NO, True),
    ErrorKind.DEADLINE_NOT_RUN: Answer(504, Ran.NO, False),
    ErrorKind.DEADLINE_UNKNOWN: Answer(504, Ran.UNKNOWN, False),
    ErrorKind.NO_TARGET: Answer(503, Ran.NO, True),
    ErrorKind.TARGET_REFUSED: Answer(503, Ran.NO, True),
    ErrorKind.HOME_UNAVAILABLE: Answer(503, Ran.NO, True),
    ErrorKind.SHUTTING_DOWN: Answer(503, Ran.NO, True),
    ErrorKind.NOT_READY: Answer(503, Ran.NO, True),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, Ran.UNKNOWN, False),
    ErrorKind.STREAM_BROKEN: Answer(502, Ran.UNKNOWN, False),
    ErrorKind.OUTCOME_TOO_LARGE: Answer(409, Ran.YES, False),
    ErrorKind.CONFLICT: Answer(409, Ran.NO, True),
    ErrorKind.INVALID_SETTINGS: Answer(422, Ran.NO, False),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, Ran.UNKNOWN, True),
    ErrorKind.LEASE_LOST: Answer(503, Ran.UNKNOWN, True),
    ErrorKind.PEER_UNAVAILABLE: Answer(503, Ran.UNKNOWN, True),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN, False),
}


class ChervilstallError(Exception):
    """A failure of a known kind.

    `retry_after_s` is the wait in seconds that the caller is advised to keep before
    a repeat; it is ignored for kinds whose answer does not allow one.

    >>> error = ChervilstallError(ErrorKind.LIMIT_EXCEEDED, "40 requests/s in use", 0.5)
    >>> error.answer.status
    429
    """

    def __init__(
        self, kind: ErrorKind, message: str, retry_after_s: float = 1.0
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.retry_after_s = retry_after_s

    @property
    def answer(self) -> Answer:
        """Return the table entry for this error's kind."""
        return ANSWERS[self.kind]

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.message}"
