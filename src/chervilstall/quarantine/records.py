"""What routers tell each other about what crashes targets.

A part is what requests may have in common: a part of their prompts, or a request as a
whole, which its repeats share with it.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from enum import Enum

from chervilstall.ids import CrashId, PartId, RequestId, ServiceName
from chervilstall.quarantine.identity import is_request


class Stage(Enum):
    """What an answer with a part must have done to show that it is harmless."""

    BEGUN = "begun"
    ENDED = "ended"


@dataclass(frozen=True)
class PartKey:
    """A part, as the targets of one service see it at one stage of their answers.

    A part may crash the targets of one service and be harmless to another's, and it may
    let them begin an answer and crash them in the middle of it.
    """

    service: ServiceName
    part: PartId
    stage: Stage = Stage.BEGUN

    @property
    def is_request(self) -> bool:
        """Return whether the part is a request as a whole."""
        return is_request(self.part)


def part_keys(
    service: ServiceName, parts: Iterable[PartId], stage: Stage
) -> list[PartKey]:
    """Return the keys of a request's parts at a stage and all later ones."""
    stages = list(Stage) if stage is Stage.BEGUN else [stage]
    return [PartKey(service, part, each) for part in parts for each in stages]


@dataclass(frozen=True)
class LostRequest:
    """A request that a target had received, and not answered yet, as it crashed.

    `parts` are those of its prompt. `held_s` is the time from its sending to the crash,
    in seconds. `copy` tells it from its repeats, where the report is of requests in the
    middle of their answers.
    """

    digest: PartId
    parts: tuple[PartId, ...] = ()
    held_s: float = 0.0
    copy: RequestId = RequestId("")


@dataclass(frozen=True)
class CrashReport:
    """One crash of a target, as one router saw it.

    `requests` are those that the target had received and not begun to answer, and
    `parts` are those that stood in their prompts. With those in `begun_parts` the
    router has seen answers begin at some time. `age_s` is the time since the crash, in
    seconds.

    `later_requests` are those that lost this target and another one, wherever in their
    answers. Of the parts in their prompts, `ended_parts` are those with which the
    router has seen answers end.
    """

    crash: CrashId
    service: ServiceName
    parts: tuple[PartId, ...]
    begun_parts: tuple[PartId, ...] = ()
    age_s: float = 0.0
    requests: tuple[LostRequest, ...] = ()
    later_requests: tuple[LostRequest, ...] = ()
    ended_parts: tuple[PartId, ...] = ()

    def of_later_requests(self) -> "CrashReport":
        """Return a report of the requests that were in the middle of their answers."""
        parts = {part for request in self.later_requests for part in request.parts}
        return replace(
            self,
            parts=tuple(sorted(parts)),
            begun_parts=self.ended_parts,
            requests=self.later_requests,
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
    count. `trials` counts the requests that were let through since,
    to see whether the part is harmless after all.
    """

    key: PartKey
    evidence_age_s: float
    crashes: tuple[CrashId, ...] = ()
    is_new: bool = True
    trials: int = 0

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
