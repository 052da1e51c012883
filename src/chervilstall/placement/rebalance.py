"""Rebalancing of a group whose targets have lost memory for requests to repairs.

A repair gives the targets next to a gap more layers, which leaves them little memory
for requests, and a copy of the model takes no more requests than its fullest target.
Rebalancing spreads the layers evenly over the same targets in the same order. Targets
first grow towards their new ranges and drop the other layers once they are held
elsewhere, so no layer is missing meanwhile.
"""

from chervilstall.fleet.records import LayerRange
from chervilstall.placement.group import GroupPlan, LayerHolder


def rebalance(group: GroupPlan) -> None:
    """Plan the next step from the present ranges to evenly filled ones.

    Nothing changes unless some target holds more layers than fit beside its reserved
    memory.
    """
    overfull = [each for each in group.holders if _is_overfull(group, each)]
    if not overfull:
        return
    counts = group.holder_counts()
    goals = _balanced_ranges(group)
    for holder in group.holders:
        goal = goals.get(holder.target_id)
        layers = group.layers_of(holder)
        if goal is None or goal == layers:
            continue
        step = _shrink(layers, goal, counts)
        if step == layers:
            step = _grow(group, holder, layers, goal)
        if step != layers:
            group.changes[holder.target_id] = step


def _is_overfull(group: GroupPlan, holder: LayerHolder) -> bool:
    return len(group.layers_of(holder)) > group.capacity_of(holder)


def _balanced_ranges(group: GroupPlan) -> dict[str, LayerRange]:
    """Return the balanced range of each target, in the order of the present ranges.

    Targets whose layers the targets before them hold already are left out. The result
    is empty where the others cannot hold the whole model beside their reserved memory.
    """
    chain: list[LayerHolder] = []
    held_up_to = 0
    ordered = sorted(group.holders, key=lambda holder: _layer_order(group, holder))
    for holder in ordered:
        if group.layers_of(holder).end > held_up_to:
            chain.append(holder)
            held_up_to = group.layers_of(holder).end
    ranges: dict[str, LayerRange] = {}
    total = sum(group.capacity_of(holder) for holder in chain)
    first = 0.0
    for holder in chain:
        share = group.capacity_of(holder) / max(total, 1) * group.pipeline.layers
        end = first + min(share, group.capacity_of(holder))
        ranges[holder.target_id] = LayerRange(round(first), round(end))
        first = end
    return ranges if round(first) >= group.pipeline.layers else {}


def _layer_order(group: GroupPlan, holder: LayerHolder) -> tuple[int, int]:
    layers = group.layers_of(holder)
    return layers.first, -layers.end


def _shrink(layers: LayerRange, goal: LayerRange, counts: list[int]) -> LayerRange:
    """Return `layers` without those outside the goal that others hold as well.

    The layers given up are subtracted from `counts`. One layer always stays.
    """
    first, end = layers.first, layers.end
    while end - first > 1 and end > goal.end and counts[end - 1] > 1:
        end -= 1
        counts[end] -= 1
    while end - first > 1 and first < goal.first and counts[first] > 1:
        counts[first] -= 1
        first += 1
    return LayerRange(first, end)


def _grow(
    group: GroupPlan, holder: LayerHolder, layers: LayerRange, goal: LayerRange
) -> LayerRange:
    """Return `layers` extended towards the goal as far as reserved memory allows."""
    limit = max(group.capacity_of(holder), len(layers))
    spare = limit - len(layers)
    first, end = layers.first, layers.end
    if goal.first < first and spare > 0:
        taken = min(spare, first - goal.first)
        first -= taken
        spare -= taken
    if goal.end > end and spare > 0:
        end += min(spare, goal.end - end)
    return LayerRange(first, end)
