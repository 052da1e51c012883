"""What a request needs of a chain, and the chain that it was given."""

from dataclasses import dataclass

from chervilstall.ids import TargetId
from chervilstall.routing.fleet import Capability
from chervilstall.routing.load import TargetLoad
from chervilstall.target.contract import Hop, Priority


@dataclass(frozen=True)
class ChainRequest:
    """What a request needs: `tokens` is its expected size, in tokens."""

    capability: Capability
    priority: Priority
    tokens: float
    prefixes: tuple[int, ...] = ()
    avoid: frozenset[TargetId] = frozenset()


@dataclass
class ChainReservation:
    """A chosen chain with its room taken; give it back by `ChainSelector.release`."""

    capability: Capability
    priority: Priority
    hops: tuple[Hop, ...]
    loads: tuple[TargetLoad, ...]
    works: tuple[float, ...]
    started_at_s: float
    is_spilling: bool
    reason: str
    is_released: bool = False

    @property
    def targets(self) -> tuple[TargetId, ...]:
        """Return the stages' targets, in order."""
        return tuple(hop.target for hop in self.hops)
