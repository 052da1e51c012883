"""Groups of targets that hold a model together, and the changes planned for them."""

from dataclasses import dataclass, field

from chervilstall.fleet.records import LayerRange, Pipeline
from chervilstall.ids import TargetId, ZoneName


@dataclass(frozen=True)
class LayerHolder:
    """A target that can hold layers.

    `layers` are the layers that it holds, or will hold once it has carried out an
    order; until then it `is_loading`. Nothing is planned for a target that `is_busy`.
    """

    target_id: TargetId
    zone: ZoneName
    memory_mb: float
    layers: LayerRange
    is_loading: bool = False
    is_busy: bool = False


@dataclass
class GroupPlan:
    """The plan for a group of targets that holds the whole model by itself.

    `reserved_tokens` is the memory, in tokens of requests, that each target keeps free
    beside its layers. With `has_two_copies` the group is to hold every layer twice.
    `changes` maps targets to the layers that they are to hold from now on.
    """

    pipeline: Pipeline
    holders: list[LayerHolder]
    reserved_tokens: float
    has_two_copies: bool = False
    changes: dict[TargetId, LayerRange] = field(default_factory=dict)

    def layers_of(self, holder: LayerHolder) -> LayerRange:
        """Return the layers that a target holds after the changes planned so far."""
        return self.changes.get(holder.target_id, holder.layers)

    def holder_counts(self) -> list[int]:
        """Return how many targets hold each layer after the changes planned so far."""
        counts = [0] * self.pipeline.layers
        for holder in self.holders:
            layers = self.layers_of(holder)
            for layer in range(layers.first, min(layers.end, len(counts))):
                counts[layer] += 1
        return counts

    @property
    def is_repairing(self) -> bool:
        """Return whether a layer that nobody holds is being loaded, or will be."""
        counts = [0] * self.pipeline.layers
        loading: list[LayerRange] = []
        for holder in self.holders:
            layers = self.layers_of(holder)
            if holder.is_loading or holder.target_id in self.changes:
                loading.append(layers)
                continue
            for layer in range(layers.first, min(layers.end, len(counts))):
                counts[layer] += 1
        return any(0 in counts[layers.first : layers.end] for layers in loading)

    def capacity_of(self, holder: LayerHolder) -> int:
        """Return how many layers fit on a target beside its reserved memory."""
        return self.pipeline.layers_max(holder.memory_mb, self.reserved_tokens)
