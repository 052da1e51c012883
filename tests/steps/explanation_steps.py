"""Steps for the description of a choice of path."""

import random
import time
from itertools import combinations

from behave import then
from behave.runner import Context

from chervilstall.fleet.records import Target
from chervilstall.ids import TargetId, VmId
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.explanation import SEARCHES_MAX, PathCoster, find_paths
from chervilstall.paths.peer_loads import RouterReport, TargetLoad
from chervilstall.paths.records import Path, PathRequest
from tests.steps.path_steps import make_chooser
from tests.support.model_targets import (
    LAYERS,
    LOCAL,
    PIPELINE,
    REMOTE,
    SERVICE,
    make_target,
)

REQUEST = PathRequest(300.0)
NAMED = 4


def make_fleet(rng: random.Random, count: int, zones: list[str]) -> PathChooser:
    """Return a chooser without a random part for a fleet with load and faults."""
    targets: list[Target] = []
    for number in range(count):
        first = rng.choice([0, 0, 2, 4])
        end = rng.randint(first + 2, LAYERS)
        targets.append(make_target(f"t{number}", rng.choice(zones), first, end))
    chooser = make_chooser(*targets)
    chooser.rng = None
    for target in targets:
        incarnation = target.incarnation
        chooser.load.tokens[incarnation] = rng.random() * 9_000.0
        chooser.load.requests[incarnation] = rng.randrange(9)
    full, slow = rng.sample(targets, 2)
    chooser.load.note_full(full.incarnation, 60.0)
    chooser.fleet_view.slowness[slow.incarnation] = 2.5
    chooser.fleet_view.note_leaving(rng.choice(targets).incarnation, by="test")
    if rng.random() < 0.5:
        # Reported prompts would be worked off between the two calculations.
        loads = {
            target.incarnation: TargetLoad(rng.randrange(9_000), 3, 0, 0)
            for target in targets
        }
        report = RouterReport(time.monotonic(), loads)
        chooser.peer_loads.replace(VmId("peer"), report)
    return chooser


@then("in {count:d} random fleets the parts add up to the cost of the search")
def check_parts(context: Context, count: int) -> None:
    rng = random.Random(3)
    found = 0
    for _ in range(count):
        chooser = make_fleet(rng, rng.randint(3, 12), [LOCAL, LOCAL, REMOTE])
        targets = chooser.candidates(SERVICE, REQUEST)
        costed = chooser._find_valid(PIPELINE, targets, REQUEST)
        if costed is None:
            continue
        found += 1
        cost = PathCoster(chooser, SERVICE, REQUEST).cost(costed.path)
        assert abs(cost.total_ms - costed.cost_ms) < 1e-6, (cost, costed)
        assert abs(sum(cost.stages_ms) - costed.cost_ms) < 1e-6, (cost, costed)
    assert found > count / 2, found


def target_ids(path: Path) -> tuple[TargetId, ...]:
    return tuple(stage.target.id for stage in path.stages)


@then(
    "in {count:d} random fleets the named paths are the cheapest of all sets of targets"
)
def check_ranking(context: Context, count: int) -> None:
    rng = random.Random(5)
    compared = 0
    for _ in range(count):
        chooser = make_fleet(rng, rng.randint(4, 7), [LOCAL])
        coster = PathCoster(chooser, SERVICE, REQUEST)

        def cost_ms(path: Path) -> float:
            return coster.cost(path).total_ms

        def choose(avoid: frozenset[TargetId]) -> Path | None:
            return chooser.choose(SERVICE, PathRequest(REQUEST.tokens, avoid))

        named = find_paths(choose, cost_ms, NAMED)
        ids = [target.id for target in chooser.candidates(SERVICE, REQUEST)]
        all_costs: dict[tuple[TargetId, ...], float] = {}
        for size in range(len(ids) + 1):
            for avoid in combinations(ids, size):
                path = choose(frozenset(avoid))
                if path is not None:
                    all_costs[target_ids(path)] = cost_ms(path)
        assert len(named) == min(NAMED, len(all_costs)), (named, all_costs)
        cheapest = sorted(all_costs.values())[: len(named)]
        costs = [cost_ms(path) for path in named]
        for cost, expected in zip(costs, cheapest, strict=True):
            assert abs(cost - expected) < 1e-6, (costs, cheapest)
        compared += len(named) > 1
    assert compared > count / 3, compared


@then("8 targets for each of 8 layers take at most 25 searches")
def check_searches(context: Context) -> None:
    searches = 0
    chooser = make_chooser(
        *(
            make_target(f"{name}{n % 8}", LOCAL, n % 8, n % 8 + 1)
            for name in "abcdefgh"
            for n in range(8)
        )
    )
    coster = PathCoster(chooser, SERVICE, REQUEST)

    def choose(avoid: frozenset[TargetId]) -> Path | None:
        nonlocal searches
        searches += 1
        return chooser.choose(SERVICE, PathRequest(REQUEST.tokens, avoid))

    paths = find_paths(choose, lambda path: coster.cost(path).total_ms, 40)
    assert searches == SEARCHES_MAX + 1, searches
    assert len(paths) > NAMED, paths
