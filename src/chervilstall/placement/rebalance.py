"""Giving a cover back the room for requests that repairs took from it.

Repairs grow the neighbours of a gap, which leaves them little memory for requests,
and a cover takes no more requests than its tightest target. The cover is then laid
out anew in the same order: targets first grow towards their new ranges and give the
rest back once others hold it, so that no layer is missing meanwhile.
"""

from chervilstall.fleet.records import LayerRange
from chervilstall.placement.group import GroupPlan, Holder


def relieve(work: GroupPlan) -> None:
    """Take the next steps from the present ranges to evenly filled ones."""
    tight = [each for each in work.holders if _is_tight(work, each)]
    if not tight:
        return
    counts = work.counts()
    wanted = _even_ranges(work)
    for holder in work.holders:
        goal = wanted.get(holder.target)
        layers = work.layers_of(holder)
        if goal is None or goal == layers:
            continue
        step = _shrunk(layers, goal, counts)
        if step == layers:
            step = _grown(work, holder, layers, goal)
        if step != layers:
            work.changes[holder.target] = step


def _is_tight(work: GroupPlan, holder: Holder) -> bool:
    return len(work.layers_of(holder)) > work.size_of(holder)


def _even_ranges(work: GroupPlan) -> dict[str, LayerRange]:
    """Return ranges of the planned sizes, in the order of the present ones.

    Targets that only repeat what others hold keep out of it.
    """
    chain: list[Holder] = []
    reached = 0
    ordered = sorted(work.holders, key=lambda each: _place(work, each))
    for holder in ordered:
        if work.layers_of(holder).end > reached:
            chain.append(holder)
            reached = work.layers_of(holder).end
    ranges: dict[str, LayerRange] = {}
    total = sum(work.size_of(holder) for holder in chain)
    first = 0.0
    for holder in chain:
        share = work.size_of(holder) / max(total, 1) * work.pipeline.layers
        end = first + min(share, work.size_of(holder))
        ranges[holder.target] = LayerRange(round(first), round(end))
        first = end
    return ranges if round(first) >= work.pipeline.layers else {}


def _place(work: GroupPlan, holder: Holder) -> tuple[int, int]:
    layers = work.layers_of(holder)
    return layers.first, -layers.end


def _shrunk(layers: LayerRange, goal: LayerRange, counts: list[int]) -> LayerRange:
    """Return `layers` without what is not wanted and others hold as well."""
    first, end = layers.first, layers.end
    while end - first > 1 and end > goal.end and counts[end - 1] > 1:
        end -= 1
        counts[end] -= 1
    while end - first > 1 and first < goal.first and counts[first] > 1:
        counts[first] -= 1
        first += 1
    return LayerRange(first, end)


def _grown(
    work: GroupPlan, holder: Holder, layers: LayerRange, goal: LayerRange
) -> LayerRange:
    """Return `layers` grown towards its goal as far as memory for requests allows."""
    most = max(work.size_of(holder), len(layers))
    spare = most - len(layers)
    first, end = layers.first, layers.end
    if goal.first < first and spare > 0:
        taken = min(spare, first - goal.first)
        first -= taken
        spare -= taken
    if goal.end > end and spare > 0:
        end += min(spare, goal.end - end)
    return LayerRange(first, end)
