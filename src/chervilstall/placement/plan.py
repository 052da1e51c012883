"""Planning of which layers each target of a model should hold.

Each availability zone with enough memory holds a complete copy of the model, so that a
zone that is cut off keeps serving. Targets left over hold additional copies of layers.
A gap, which is a range of layers that no target holds, is filled from targets that are
empty or hold only layers with another copy, then by growing the targets next to the
gap. No other target changes.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chervilstall.fleet.records import NO_LAYERS, LayerRange, Pipeline
from chervilstall.ids import TargetId, ZoneName
from chervilstall.placement.group import GroupPlan, LayerHolder
from chervilstall.placement.rebalance import rebalance

RESERVED_MIN_REQUESTS = 24.0
"""Concurrent requests that a copy of the model must hold to be worth loading.

This and the next two are counts of requests of typical size.
"""

RESERVED_AMPLE_REQUESTS = 48.0
"""Concurrent requests beyond which more copies are worth more than more memory."""

RESERVED_TWO_COPIES_REQUESTS = 96.0
"""Concurrent requests for which memory is reserved at most where two copies fit.

A target that is the first stage of paths hardly takes more requests at once.
"""

REPAIRS_PER_LOAD_AT_ONCE = 2
"""Repairs in progress for each load at full speed, so that the next one never waits."""

RESERVED_STEPS = 16
"""Number of evenly spaced sizes that are tried for the reserved memory."""


@dataclass(frozen=True)
class LayerAssignment:
    """The layers that a target should hold from now on."""

    target_id: TargetId
    layers: LayerRange


def plan(
    pipeline: Pipeline, holders: Iterable[LayerHolder], is_settled: bool = True
) -> list[LayerAssignment]:
    """Return the changes that fill gaps and restore additional copies of layers.

    Loads slow each other down. So a plan starts few of them at once: first those of the
    group that misses the fewest layers, and additional copies once every layer that can
    be held is. A new fleet, which serves nobody yet, loads everything at once.

    `is_settled` says that the targets have been the same for a while. Then groups whose
    targets were left with little memory for requests by repairs are also rebalanced.
    """
    holders = list(holders)
    groups = [
        plan_group(pipeline, members)
        for members in split_into_groups(pipeline, holders)
    ]
    is_new = not any(len(holder.layers) for holder in holders)
    for group in groups:
        _fill_gaps(group)
    if not is_new:
        _postpone_repairs(groups, REPAIRS_PER_LOAD_AT_ONCE * pipeline.loads_at_once)
    if is_new or not any(group.is_repairing for group in groups):
        loads_max = len(holders) if is_new else pipeline.loads_at_once
        _add_copies_in_turn(groups, loads_max)
    assignments: list[LayerAssignment] = []
    for group in groups:
        if is_settled and not group.changes:
            rebalance(group)
        for target_id, layers in group.changes.items():
            assignments.append(LayerAssignment(target_id, layers))
    return assignments


def split_into_groups(
    pipeline: Pipeline, holders: Iterable[LayerHolder]
) -> list[list[LayerHolder]]:
    """Split targets into groups that can each hold the whole model.

    A zone with enough memory is a group of its own; all others form one group, which
    may be too small.
    """
    zones: dict[ZoneName, list[LayerHolder]] = defaultdict(list)
    for holder in holders:
        zones[holder.zone].append(holder)
    groups: list[list[LayerHolder]] = []
    joined: list[LayerHolder] = []
    for zone in sorted(zones):
        members = sorted(zones[zone], key=lambda holder: holder.target_id)
        if _total_layers(pipeline, members, _min_reserve(pipeline)) >= pipeline.layers:
            groups.append(members)
        else:
            joined.extend(members)
    if joined:
        groups.append(joined)
    return groups


def _min_reserve(pipeline: Pipeline) -> float:
    return RESERVED_MIN_REQUESTS * pipeline.typical_tokens


def _total_layers(
    pipeline: Pipeline, holders: Iterable[LayerHolder], tokens: float
) -> int:
    return sum(pipeline.layers_max(holder.memory_mb, tokens) for holder in holders)


def plan_group(pipeline: Pipeline, holders: list[LayerHolder]) -> GroupPlan:
    """Return an empty plan for a group with the memory reserved for requests.

    A group that can hold two complete copies of the model with ample memory for
    requests gets two. Otherwise the reserve is the largest with which the group still
    holds the model after the loss of its largest target. Where that is too little, it
    is the largest with which the group holds the model at all.
    """
    two_copies = _largest_reserve(
        pipeline,
        holders,
        RESERVED_TWO_COPIES_REQUESTS,
        lambda sizes: 2 * pipeline.layers,
    )
    if two_copies >= RESERVED_AMPLE_REQUESTS * pipeline.typical_tokens:
        return GroupPlan(pipeline, holders, two_copies, has_two_copies=True)
    one_spare = _largest_reserve(
        pipeline,
        holders,
        RESERVED_AMPLE_REQUESTS,
        lambda sizes: pipeline.layers + max(sizes),
    )
    if one_spare >= _min_reserve(pipeline):
        return GroupPlan(pipeline, holders, one_spare)
    single = _largest_reserve(
        pipeline, holders, RESERVED_AMPLE_REQUESTS, lambda sizes: pipeline.layers
    )
    return GroupPlan(pipeline, holders, single)


def _largest_reserve(
    pipeline: Pipeline,
    holders: list[LayerHolder],
    requests_max: float,
    needed: Callable[[list[int]], int],
) -> float:
    """Return the largest reserve per target, in tokens, that leaves enough memory.

    `needed` gives, for the layers that fit on each target, how many layers the group
    has to hold in all. The result is 0 where no reserve tried leaves enough.
    """
    for step in range(RESERVED_STEPS, 0, -1):
        tokens = requests_max * pipeline.typical_tokens * step / RESERVED_STEPS
        sizes = [pipeline.layers_max(holder.memory_mb, tokens) for holder in holders]
        if sizes and sum(sizes) >= needed(sizes):
            return tokens
    return 0.0


def find_gaps(counts: list[int]) -> list[LayerRange]:
    """Return the ranges of layers that no target holds.

    `counts` is the number of targets that hold each layer.
    """
    gaps: list[LayerRange] = []
    first = None
    for layer, count in enumerate([*counts, 1]):
        if count == 0 and first is None:
            first = layer
        if count and first is not None:
            gaps.append(LayerRange(first, layer))
            first = None
    return gaps


def _fill_gaps(group: GroupPlan) -> None:
    missing = find_gaps(group.holder_counts())
    if not missing:
        return
    available = _available(group)
    for gap in missing:
        _fill_gap(group, gap, available)


def _available(group: GroupPlan) -> list[LayerHolder]:
    """Return the targets that can take other layers.

    These are the empty ones and those whose layers others hold as well. The latter come
    first; both are sorted by size, the largest last.
    """
    counts = group.holder_counts()
    empty: list[LayerHolder] = []
    spare: list[LayerHolder] = []
    for holder in group.holders:
        layers = group.layers_of(holder)
        if holder.is_busy or not group.capacity_of(holder):
            continue
        if not len(layers):
            empty.append(holder)
            continue
        if all(counts[layer] > 1 for layer in range(layers.first, layers.end)):
            spare.append(holder)
            for layer in range(layers.first, layers.end):
                counts[layer] -= 1
    return sorted(spare, key=group.capacity_of) + sorted(empty, key=group.capacity_of)


def _fill_gap(group: GroupPlan, gap: LayerRange, available: list[LayerHolder]) -> None:
    """Fill one gap from its first layer on.

    Targets that are used are removed from `available`. If they run out, the targets
    next to the gap grow.
    """
    first = gap.first
    while first < gap.end and available:
        holder = _best_fit(group, available, gap.end - first)
        available.remove(holder)
        end = min(gap.end, first + group.capacity_of(holder))
        group.changes[holder.target_id] = LayerRange(first, end)
        first = end
    if first < gap.end:
        _grow_neighbours(group, LayerRange(first, gap.end))


def _best_fit(
    group: GroupPlan, available: list[LayerHolder], needed: int
) -> LayerHolder:
    """Return the smallest target that fits `needed` layers, else the largest one."""
    large_enough = [
        holder for holder in available if group.capacity_of(holder) >= needed
    ]
    if large_enough:
        return min(large_enough, key=group.capacity_of)
    return max(available, key=group.capacity_of)


def _grow_neighbours(group: GroupPlan, gap: LayerRange) -> None:
    """Give targets next to a gap more layers, down to the least reserved memory."""
    first, end = gap.first, gap.end
    for holder in group.holders:
        layers = group.layers_of(holder)
        limit = group.pipeline.layers_max(
            holder.memory_mb, _min_reserve(group.pipeline)
        )
        extra = limit - len(layers)
        if holder.is_busy or extra <= 0 or not len(layers) or first >= end:
            continue
        if layers.end == first:
            taken = min(extra, end - first)
            group.changes[holder.target_id] = LayerRange(layers.first, first + taken)
            first += taken
        elif layers.first == end:
            taken = min(extra, end - first)
            group.changes[holder.target_id] = LayerRange(end - taken, layers.end)
            end -= taken


def _postpone_repairs(groups: list[GroupPlan], loads_max: int) -> None:
    """Keep as many changes as may load, of the groups that miss the fewest layers."""
    room = loads_max - sum(
        each.is_loading for group in groups for each in group.holders
    )
    for group in sorted(groups, key=_layers_to_load):
        changes = list(group.changes.items())
        group.changes = dict(changes[: max(0, room)])
        room -= len(group.changes)


def _layers_to_load(group: GroupPlan) -> int:
    return sum(map(len, group.changes.values()))


def _add_copies_in_turn(groups: list[GroupPlan], loads_max: int) -> None:
    """Add copies while fewer loads than `loads_max` are in progress."""
    loading = sum(
        holder.is_loading or holder.target_id in group.changes
        for group in groups
        for holder in group.holders
    )
    for group in groups:
        loading += _add_copies(group, loads_max - loading)


def _add_copies(group: GroupPlan, copies_max: int) -> int:
    """Give empty targets the layers that the fewest hold, unless there is a gap.

    Return the number of targets that were given some.
    """
    counts = group.holder_counts()
    if find_gaps(counts):
        return 0
    empty = [
        holder
        for holder in group.holders
        if not holder.is_busy
        and not len(group.layers_of(holder))
        and group.capacity_of(holder)
    ]
    largest = sorted(empty, key=group.capacity_of, reverse=True)[: max(0, copies_max)]
    starts = _copy_starts(group)
    for holder in largest:
        layers = _copy_range(counts, starts, group.capacity_of(holder))
        group.changes[holder.target_id] = layers
        for layer in range(layers.first, layers.end):
            counts[layer] += 1
        starts.add(layers.first)
        if group.has_two_copies:
            starts.add(layers.end)
    return len(largest)


def _copy_starts(group: GroupPlan) -> set[int]:
    """Return the layers at which a copy may start.

    The range of another target starts there, so that paths can use it. Where a second
    complete copy is built, another range may also end there.
    """
    starts = {0}
    for holder in group.holders:
        layers = group.layers_of(holder)
        starts.add(layers.first)
        if group.has_two_copies:
            starts.add(layers.end)
    return starts


def _copy_range(counts: list[int], starts: set[int], size: int) -> LayerRange:
    """Return the range of `size` layers that is held by the fewest targets.

    `counts` is the number of targets that hold each layer.
    """
    best = NO_LAYERS
    best_rank: tuple[float, int] | None = None
    for start in sorted(starts):
        end = min(start + size, len(counts))
        if end <= start:
            continue
        mean = sum(counts[start:end]) / (end - start)
        rank = (mean, start)
        if best_rank is None or rank < best_rank:
            best, best_rank = LayerRange(start, end), rank
    return best
