"""Error kinds and the HTTP response that each of them produces.

Every failure that can reach a caller has an `ErrorKind`. `ERROR_RESPONSES` maps the
kind to the HTTP status, to what is known about the execution of the request, and to
whether a retry can succeed.
"""

from dataclasses import dataclass
from enum import Enum


class ExecutionState(Enum):
    """What is known about the execution of a failed request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Every kind of failure that is reported to callers."""

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
    TARGETS_OUT_OF_REACH = "targets_out_of_reach"
    TARGET_REFUSED = "target_refused"
    HOME_UNAVAILABLE = "home_unavailable"
    SHUTTING_DOWN = "shutting_down"
    NOT_READY = "not_ready"
    PROMPT_QUARANTINED = "prompt_quarantined"
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
class ErrorResponse:
    """What a caller sees of an error kind.

    `is_retryable` is true where a retry of the same request may succeed; such
    responses carry Retry-After.
    """

    status: int
    execution: ExecutionState
    is_retryable: bool


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, ExecutionState.NO, False),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, ExecutionState.NO, False),
    ErrorKind.FORBIDDEN: ErrorResponse(403, ExecutionState.NO, False),
    ErrorKind.NOT_FOUND: ErrorResponse(404, ExecutionState.NO, False),
    ErrorKind.REQUEST_TIMEOUT: ErrorResponse(408, ExecutionState.NO, True),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, ExecutionState.NO, False),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(431, ExecutionState.NO, False),
    ErrorKind.KEY_REUSED: ErrorResponse(422, ExecutionState.NO, False),
    ErrorKind.KEY_IN_PROGRESS: ErrorResponse(409, ExecutionState.UNKNOWN, True),
    ErrorKind.LIMIT_EXCEEDED: ErrorResponse(429, ExecutionState.NO, True),
    ErrorKind.OVERLOADED: ErrorResponse(503, ExecutionState.NO, True),
    ErrorKind.DEADLINE_NOT_RUN: ErrorResponse(504, ExecutionState.NO, False),
    ErrorKind.DEADLINE_UNKNOWN: ErrorResponse(504, ExecutionState.UNKNOWN, False),
    ErrorKind.NO_TARGET: ErrorResponse(503, ExecutionState.NO, True),
    ErrorKind.TARGETS_OUT_OF_REACH: ErrorResponse(503, ExecutionState.NO, True),
    ErrorKind.TARGET_REFUSED: ErrorResponse(503, ExecutionState.NO, True),
    ErrorKind.HOME_UNAVAILABLE: ErrorResponse(503, ExecutionState.NO, True),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(503, ExecutionState.NO, True),
    ErrorKind.NOT_READY: ErrorResponse(503, ExecutionState.NO, True),
    ErrorKind.PROMPT_QUARANTINED: ErrorResponse(503, ExecutionState.NO, True),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, ExecutionState.UNKNOWN, False),
    ErrorKind.STREAM_BROKEN: ErrorResponse(502, ExecutionState.UNKNOWN, False),
    ErrorKind.OUTCOME_TOO_LARGE: ErrorResponse(409, ExecutionState.YES, False),
    ErrorKind.CONFLICT: ErrorResponse(409, ExecutionState.NO, True),
    ErrorKind.INVALID_SETTINGS: ErrorResponse(422, ExecutionState.NO, False),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, ExecutionState.UNKNOWN, True),
    ErrorKind.LEASE_LOST: ErrorResponse(503, ExecutionState.UNKNOWN, True),
    ErrorKind.PEER_UNAVAILABLE: ErrorResponse(503, ExecutionState.UNKNOWN, True),
    ErrorKind.INTERNAL: ErrorResponse(500, ExecutionState.UNKNOWN, False),
}


class ChervilstallError(Exception):
    """An error of a known kind.

    `retry_after_s` is the value of Retry-After in seconds. It is ignored for kinds
    whose response is not retryable.

    >>> error = ChervilstallError(ErrorKind.LIMIT_EXCEEDED, "40 requests/s in use", 0.5)
    >>> error.response.status
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
    def response(self) -> ErrorResponse:
        """Return the entry of `ERROR_RESPONSES` for this error's kind."""
        return ERROR_RESPONSES[self.kind]

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.message}"
