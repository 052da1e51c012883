"""Messages between routers and the homes of idempotency keys."""

from typing import Union, get_args

import msgspec

from chervilstall.ids import RequestId, SlotName


class Outcome(msgspec.Struct, frozen=True):
    """Response of a finished request, replayed to later requests with the same key.

    A body longer than `outcome_max_bytes` is left out and `is_too_large` is set.
    """

    status: int
    content_type: str
    body: bytes
    is_too_large: bool = False


class ClaimRequest(msgspec.Struct, frozen=True, tag=True):
    """Claim of an idempotency key by a request.

    `key` identifies the workspace, the path and the caller's key; `body` is a digest of
    the request. `is_first` is the caller's statement that it has not sent this key
    before. `allows_hole` is the path's setting that lets first attempts run without a
    durable claim while the store is unreachable. `wait_s` is the longest wait for an
    answer.
    """

    key: str
    body: str
    request: RequestId
    is_first: bool
    allows_hole: bool
    wait_s: float


class Claimed(msgspec.Struct, frozen=True, tag=True):
    """The request may run, and no other request with this key.

    `in_hole` is set if the claim is not durable because the store is unreachable.
    """

    slot: SlotName
    in_hole: bool = False


class Repeated(msgspec.Struct, frozen=True, tag=True):
    """An earlier request with this key finished with this outcome."""

    outcome: Outcome


class Mismatched(msgspec.Struct, frozen=True, tag=True):
    """The key was claimed by a request with a different digest."""


class InDoubt(msgspec.Struct, frozen=True, tag=True):
    """A request with this key may have run or be running, so this one must not run."""

    reason: str


class Unavailable(msgspec.Struct, frozen=True, tag=True):
    """The claim could not be answered and grants nothing; the request has not run."""

    reason: str


ClaimAnswer = Union[Claimed, Repeated, Mismatched, InDoubt, Unavailable]
CLAIM_ANSWER_TYPES = get_args(ClaimAnswer)


class OutcomeReport(msgspec.Struct, frozen=True, tag=True):
    """Result of a claimed request.

    `outcome` None means that the request did not run, which frees the key.
    """

    key: str
    request: RequestId
    outcome: Outcome | None
