"""Targets that cover a model together, and the changes planned for them."""

from dataclasses import dataclass, field

from chervilstall.fleet.records import LayerRange, Pipeline
from chervilstall.ids import TargetId, ZoneName


@dataclass(frozen=True)
class Holder:
    """A target that can hold layers, with what it holds or was just told to hold."""

    target: TargetId
    zone: ZoneName
    memory_mb: float
    layers: LayerRange


@dataclass
class GroupPlan:
    """Work on one group of targets that covers the model by itself.

    `room_tokens` is the room for requests beside the layers of each target. With
    `is_double` the group is to cover the model twice.
    """

    pipeline: Pipeline
    holders: list[Holder]
    room_tokens: float
    is_double: bool = False
    changes: dict[TargetId, LayerRange] = field(default_factory=dict)

    def layers_of(self, holder: Holder) -> LayerRange:
        """Return what a target holds after the changes so far."""
        return self.changes.get(holder.target, holder.layers)

    def counts(self) -> list[int]:
        """Return how many targets hold each layer after the changes so far."""
        counts = [0] * self.pipeline.layers
        for holder in self.holders:
            layers = self.layers_of(holder)
            for layer in range(layers.first, min(layers.end, len(counts))):
                counts[layer] += 1
        return counts

    def size_of(self, holder: Holder) -> int:
        """Return how many layers a target should hold beside its requests."""
        return self.pipeline.layers_max(holder.memory_mb, self.room_tokens)
