"""Requests for a chain of engines, and the capacity reserved on the chosen one."""

from dataclasses import dataclass

from chervilstall.ids import TargetId
from chervilstall.routing.fleet import Capability
from chervilstall.routing.load import TargetLoad
from chervilstall.target.contract import Hop, Priority


@dataclass(frozen=True)
class ChainRequest:
    """What a request requires of a chain.

    `tokens` is the number of tokens that it is expected to generate. `prefixes` are
    the hashes of its prompt's prefixes, shortest first. No target in `avoid` is used.
    """

    capability: Capability
    priority: Priority
    tokens: float
    prefixes: tuple[int, ...] = ()
    avoid: frozenset[TargetId] = frozenset()


@dataclass
class ChainReservation:
    """Capacity reserved on a chain of engines.

    `ChainSelector.release` frees it. `hops`, `loads` and `stage_work` have one entry
    per stage, in order; `stage_work` is in layer tokens. `started_at_s` is in
    monotonic seconds. `is_spilling` says whether requests of this priority could
    leave the zone at the time, and `reason` is text for the explanation.
    """

    capability: Capability
    priority: Priority
    hops: tuple[Hop, ...]
    loads: tuple[TargetLoad, ...]
    stage_work: tuple[float, ...]
    started_at_s: float
    is_spilling: bool
    reason: str
    is_released: bool = False

    @property
    def targets(self) -> tuple[TargetId, ...]:
        """Return the target of each stage, in order."""
        return tuple(hop.target for hop in self.hops)
