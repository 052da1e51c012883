"""Log records that a slot's home writes to the platform's store.

A slot's log is a sequence of numbered segments under the keys `claims/SLOT/NUMBER`.
Each segment holds the records of one group commit. It is written once, by
create-if-absent, so two homes can't both write the same number: the one that fails
learns that another home has taken over the slot.
"""

from typing import Union

import msgspec

from chervilstall.ids import ChangeId, Epoch, RequestId, SlotName
from chervilstall.peer.claims import Outcome

NUMBER_DIGITS = 12  # zero padding, so that keys sort by number


class ClaimRecord(msgspec.Struct, frozen=True, tag="c"):
    """A request claimed a key; `body` is the digest of the request."""

    key: str
    body: str
    request: RequestId
    at_s: float


class OutcomeRecord(msgspec.Struct, frozen=True, tag="o"):
    """The request that claimed a key finished with an outcome."""

    key: str
    request: RequestId
    outcome: Outcome


class WithdrawRecord(msgspec.Struct, frozen=True, tag="w"):
    """A claim is withdrawn because its request did not run."""

    key: str
    request: RequestId


class UnrecordedPeriodRecord(msgspec.Struct, frozen=True, tag="h"):
    """A period in which first attempts may have run without a durable claim.

    Both ends are wall-clock times. Settings and messages call such a period a hole
    (`hole_max_s`, `allows_hole`, `in_hole`).
    """

    from_s: float
    until_s: float


class OpenRecord(msgspec.Struct, frozen=True, tag="a"):
    """A home took over the slot under a lease epoch."""

    epoch: Epoch


class CloseRecord(msgspec.Struct, frozen=True, tag="z"):
    """The home gave up the slot after recording everything."""

    epoch: Epoch


Record = Union[
    ClaimRecord,
    OutcomeRecord,
    WithdrawRecord,
    UnrecordedPeriodRecord,
    OpenRecord,
    CloseRecord,
]


class Segment(msgspec.Struct, frozen=True):
    """The records of one group commit.

    `change` identifies the write, `written_at_s` is its wall-clock time.
    """

    change: ChangeId
    written_at_s: float
    records: tuple[Record, ...]


def segment_prefix(slot: SlotName) -> str:
    """Return the key prefix of a slot's segments."""
    return f"claims/{slot}/"


def segment_key(slot: SlotName, number: int) -> str:
    """Return the key of one segment of a slot."""
    return f"{segment_prefix(slot)}{number:0{NUMBER_DIGITS}d}"


def segment_number(key: str) -> int | None:
    """Return the segment number that a key ends with, or None if it is no segment's."""
    digits = key.rsplit("/", 1)[1]
    is_number = len(digits) == NUMBER_DIGITS and digits.isascii() and digits.isdecimal()
    return int(digits) if is_number else None
