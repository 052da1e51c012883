"""What routers tell each other about what crashes targets.

A part is what requests may have in common: a part of their prompts, or a request as a
whole, which its repeats share with it.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import Enum

from chervilstall.ids import CrashId, PartId, ServiceName
from chervilstall.quarantine.identity import is_request


class AnswerStage(Enum):
    """How far an answer came before it says that its targets survive its parts.

    BEGUN is passed with the first events of a target, SETTLED only with some more, or
    with a whole answer.
    """

    BEGUN = "begun"
    SETTLED = "settled"


@dataclass(frozen=True)
class PartKey:
    """A part, as the targets of one service see it.

    A part may crash the targets of one service and be harmless to another's.
    """

    service: ServiceName
    part: PartId

    @property
    def is_request(self) -> bool:
        """Return whether the part is a request as a whole."""
        return is_request(self.part)


@dataclass(frozen=True)
class LostRequest:
    """A request whose answer had not passed a stage as one of its targets crashed.

    `parts` are those of its prompt. `held_s` is the time from its sending over the
    present path to the crash, in seconds.
    """

    digest: PartId
    parts: tuple[PartId, ...] = ()
    held_s: float = 0.0


@dataclass(frozen=True)
class CrashReport:
    """One crash of a target, as one router saw it.

    `requests` are those that the target had received and not begun to answer, and
    `parts` are those that stood in their prompts. With those in `begun_parts` the
    router has seen answers begin at some time, with those in `settled_parts` settle.
    `unsettled` are the requests whose answers had begun and not settled, and those that
    a later target of a path had received. `age_s` is the time since the crash, in
    seconds.
    """

    crash: CrashId
    service: ServiceName
    parts: tuple[PartId, ...]
    begun_parts: tuple[PartId, ...] = ()
    age_s: float = 0.0
    requests: tuple[LostRequest, ...] = ()
    unsettled: tuple[LostRequest, ...] = ()
    settled_parts: tuple[PartId, ...] = ()

    @property
    def content(self) -> int:
        """Return a number that reports share if they differ in their age alone."""
        return hash(
            (
                self.crash,
                self.service,
                self.parts,
                self.begun_parts,
                self.requests,
                self.unsettled,
                self.settled_parts,
            )
        )

    def at_stage(self, stage: AnswerStage) -> "CrashReport":
        """Return what the report says of the answers that had not passed a stage."""
        if stage is AnswerStage.BEGUN:
            return self
        parts = {part for request in self.unsettled for part in request.parts}
        return replace(
            self,
            parts=tuple(sorted(parts.union(self.parts))),
            begun_parts=self.settled_parts,
            requests=(*self.requests, *self.unsettled),
        )

    def holders(self, part: PartId) -> Collection[PartId]:
        """Return the digests of the requests whose prompts hold a part."""
        return {each.digest for each in self.requests if part in each.parts}


@dataclass(frozen=True)
class QuarantineEntry:
    """A part whose requests no router may send.

    `crashes` are those that speak against it; none do where a quarantine at another
    service was carried over. `evidence_age_s` is the time since the first of them, at
    the time of the proposal. `is_new` says that the proposer knows of no answer that
    ever began with the part; of a request as a whole only answers since the first crash
    count. Answers that pass `stage` show that the part is harmless. `trials` counts the
    requests that were let through since, to see whether it is after all.
    """

    key: PartKey
    evidence_age_s: float
    crashes: tuple[CrashId, ...] = ()
    is_new: bool = True
    trials: int = 0
    stage: AnswerStage = AnswerStage.BEGUN

    @property
    def is_carried_over(self) -> bool:
        """Return whether the part crashed only targets of other services."""
        return not self.crashes


@dataclass(frozen=True)
class Propose:
    """Ask for a part to be put under quarantine, or for its entry to be kept."""

    entry: QuarantineEntry


@dataclass(frozen=True)
class Clear:
    """Ask for a part to be released, as an answer with it has begun."""

    key: PartKey


@dataclass(frozen=True)
class ClaimTrial:
    """Ask to be the one router that lets one request with a part through."""

    entry: QuarantineEntry


QuarantineAction = Propose | Clear | ClaimTrial
