"""Which layers each target of a model should hold.

Each availability zone that has the memory covers the whole model by itself, so that a
zone that is cut off goes on. What is left over holds second copies. A missing range
is filled from targets that are empty or hold what others hold too, then by growing
the neighbours of the gap. Nothing else moves.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chervilstall.fleet.records import NO_LAYERS, LayerRange, Pipeline
from chervilstall.ids import TargetId, ZoneName
from chervilstall.placement.group import GroupPlan, Holder
from chervilstall.placement.relief import relieve

ROOM_MIN_REQUESTS = 24.0
"""Requests of usual size that a cover must hold at once to be worth its loads."""

ROOM_AMPLE_REQUESTS = 48.0
"""Requests at once beyond which more copies are worth more than more room."""

ROOM_DOUBLE_REQUESTS = 96.0
"""The same where two whole covers fit; targets take hardly more at once as firsts."""

ROOM_STEPS = 16


@dataclass(frozen=True)
class Placement:
    """A target and the layers that it should hold from now on."""

    target: TargetId
    layers: LayerRange


def plan(
    pipeline: Pipeline, holders: Iterable[Holder], is_settled: bool = True
) -> list[Placement]:
    """Return the changes that restore the covers and their second copies.

    Where the targets have been the same for a while, `is_settled`, covers that repairs
    left with little room are also laid out anew.
    """
    changes: list[Placement] = []
    for group in groups(pipeline, holders):
        work = group_plan(pipeline, group)
        _fill_gaps(work)
        _copy_with_the_rest(work)
        if is_settled and not work.changes:
            relieve(work)
        for name, layers in work.changes.items():
            changes.append(Placement(name, layers))
    return changes


def groups(pipeline: Pipeline, holders: Iterable[Holder]) -> list[list[Holder]]:
    """Split targets into groups that can each cover the model.

    A zone is a group of its own where its memory allows; the others join.
    """
    zones: dict[ZoneName, list[Holder]] = defaultdict(list)
    for holder in holders:
        zones[holder.zone].append(holder)
    found: list[list[Holder]] = []
    joined: list[Holder] = []
    for zone in sorted(zones):
        members = sorted(zones[zone], key=lambda each: each.target)
        if _total_layers(pipeline, members, _room_min(pipeline)) >= pipeline.layers:
            found.append(members)
        else:
            joined.extend(members)
    if joined:
        found.append(joined)
    return found


def _room_min(pipeline: Pipeline) -> float:
    return ROOM_MIN_REQUESTS * pipeline.typical_tokens


def _total_layers(pipeline: Pipeline, holders: Iterable[Holder], tokens: float) -> int:
    return sum(pipeline.layers_max(each.memory_mb, tokens) for each in holders)


def group_plan(pipeline: Pipeline, holders: list[Holder]) -> GroupPlan:
    """Return the work on a group, with the memory that its targets keep for requests.

    Where the group can hold two whole covers with ample room, it gets them. Otherwise
    the room is the most with which it still covers the model after the loss of its
    largest target, or, where that leaves too little, with which it covers it at all.
    """
    double = _largest_room(
        pipeline, holders, ROOM_DOUBLE_REQUESTS, lambda sizes: 2 * pipeline.layers
    )
    if double >= ROOM_AMPLE_REQUESTS * pipeline.typical_tokens:
        return GroupPlan(pipeline, holders, double, is_double=True)
    spared = _largest_room(
        pipeline,
        holders,
        ROOM_AMPLE_REQUESTS,
        lambda sizes: pipeline.layers + max(sizes),
    )
    if spared >= _room_min(pipeline):
        return GroupPlan(pipeline, holders, spared)
    single = _largest_room(
        pipeline, holders, ROOM_AMPLE_REQUESTS, lambda sizes: pipeline.layers
    )
    return GroupPlan(pipeline, holders, single)


def _largest_room(
    pipeline: Pipeline,
    holders: list[Holder],
    requests_max: float,
    needed: Callable[[list[int]], int],
) -> float:
    """Return the most tokens a target with which the group holds the layers needed."""
    for step in range(ROOM_STEPS, 0, -1):
        tokens = requests_max * pipeline.typical_tokens * step / ROOM_STEPS
        sizes = [pipeline.layers_max(each.memory_mb, tokens) for each in holders]
        if sizes and sum(sizes) >= needed(sizes):
            return tokens
    return 0.0


def gaps(counts: list[int]) -> list[LayerRange]:
    """Return the ranges of layers that nobody holds."""
    found: list[LayerRange] = []
    first = None
    for layer, count in enumerate([*counts, 1]):
        if count == 0 and first is None:
            first = layer
        if count and first is not None:
            found.append(LayerRange(first, layer))
            first = None
    return found


def _fill_gaps(work: GroupPlan) -> None:
    missing = gaps(work.counts())
    if not missing:
        return
    free = _free(work)
    for gap in missing:
        _fill(work, gap, free)


def _free(work: GroupPlan) -> list[Holder]:
    """Return targets that can take other layers, the largest last.

    Empty targets come first in use, then those whose layers others hold as well.
    """
    counts = work.counts()
    empty: list[Holder] = []
    spare: list[Holder] = []
    for holder in work.holders:
        layers = work.layers_of(holder)
        if not work.size_of(holder):
            continue
        if not len(layers):
            empty.append(holder)
            continue
        if all(counts[layer] > 1 for layer in range(layers.first, layers.end)):
            spare.append(holder)
            for layer in range(layers.first, layers.end):
                counts[layer] -= 1
    return sorted(spare, key=work.size_of) + sorted(empty, key=work.size_of)


def _fill(work: GroupPlan, gap: LayerRange, free: list[Holder]) -> None:
    """Fill one gap, from its first layer on."""
    first = gap.first
    while first < gap.end and free:
        holder = _best_fit(work, free, gap.end - first)
        free.remove(holder)
        end = min(gap.end, first + work.size_of(holder))
        work.changes[holder.target] = LayerRange(first, end)
        first = end
    if first < gap.end:
        _grow_neighbours(work, LayerRange(first, gap.end))


def _best_fit(work: GroupPlan, free: list[Holder], needed: int) -> Holder:
    """Return the smallest target that closes the gap, else the largest one."""
    closing = [holder for holder in free if work.size_of(holder) >= needed]
    if closing:
        return min(closing, key=work.size_of)
    return max(free, key=work.size_of)


def _grow_neighbours(work: GroupPlan, gap: LayerRange) -> None:
    """Let targets beside a gap hold more, down to the least memory for requests."""
    first, end = gap.first, gap.end
    for holder in work.holders:
        layers = work.layers_of(holder)
        most = work.pipeline.layers_max(holder.memory_mb, _room_min(work.pipeline))
        extra = most - len(layers)
        if extra <= 0 or not len(layers) or first >= end:
            continue
        if layers.end == first:
            taken = min(extra, end - first)
            work.changes[holder.target] = LayerRange(layers.first, first + taken)
            first += taken
        elif layers.first == end:
            taken = min(extra, end - first)
            work.changes[holder.target] = LayerRange(end - taken, layers.end)
            end -= taken


def _copy_with_the_rest(work: GroupPlan) -> None:
    """Give empty targets second copies of what only one target holds."""
    if gaps(work.counts()):
        return
    empty = [each for each in work.holders if not len(work.layers_of(each))]
    for holder in sorted(empty, key=work.size_of, reverse=True):
        size = work.size_of(holder)
        if size:
            work.changes[holder.target] = _copy_range(work, size)


def _copy_range(work: GroupPlan, size: int) -> LayerRange:
    """Return the range of `size` layers that is held by the fewest targets.

    It begins where another target's range begins, so that paths can use it. Where a
    second cover is built it may also begin where another range ends.
    """
    counts = work.counts()
    starts = {work.layers_of(each).first for each in work.holders}
    if work.is_double:
        starts |= {work.layers_of(each).end for each in work.holders}
    starts.add(0)
    best = NO_LAYERS
    best_rank: tuple[float, int] | None = None
    for start in sorted(starts):
        end = min(start + size, work.pipeline.layers)
        if end <= start:
            continue
        mean = sum(counts[start:end]) / (end - start)
        rank = (mean, start)
        if best_rank is None or rank < best_rank:
            best, best_rank = LayerRange(start, end), rank
    return best
