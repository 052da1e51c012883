"""Steps for the choice of paths through the layers of a model."""

import dataclasses
import random
import time

from behave import given, then, when
from behave.runner import Context

from chervilstall.fleet.records import AcceleratorType, Target, TargetReadiness
from chervilstall.fleet.view import FleetView
from chervilstall.paths import search
from chervilstall.paths.capacity import token_capacity
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.records import Path, PathRequest, PathStage
from tests.support.model_targets import (
    LAYERS,
    LOCAL,
    PIPELINE,
    REMOTE,
    SERVICE,
    make_target,
)


def make_chooser(*targets: Target) -> PathChooser:
    """Return a path chooser in the zone `LOCAL` that knows `targets`."""
    fleet_view = FleetView(drain_s=2.0)
    for target in targets:
        fleet_view.update_target(target)
    return PathChooser(fleet_view, LOCAL)


def is_exact(path: Path, layers: int) -> bool:
    """Return whether a path runs every layer once, in order, where it is held."""
    reached = 0
    for stage in path.stages:
        if stage.layers.first != reached or not stage.target.layers.covers(
            stage.layers
        ):
            return False
        reached = stage.layers.end
    ids = {stage.target.id for stage in path.stages}
    return reached == layers and len(ids) == len(path.stages)


@then("in 200 random fleets a path runs every layer once or none exists")
def check_random_paths(context: Context) -> None:
    rng = random.Random(11)
    found = 0
    for _ in range(200):
        targets = []
        for number in range(rng.randint(2, 14)):
            first = rng.randrange(LAYERS)
            end = rng.randint(first + 1, LAYERS)
            zone = rng.choice([LOCAL, REMOTE])
            targets.append(make_target(f"t{number}", zone, first, end))
        chooser = make_chooser(*targets)
        path = chooser.choose(SERVICE, PathRequest(100.0))
        held = [False] * LAYERS
        for target in targets:
            for layer in range(target.layers.first, target.layers.end):
                held[layer] = True
        if path is None:
            assert not all(held), "every layer is held, but no path was found"
            continue
        found += 1
        assert is_exact(path, LAYERS), path
    assert found > 50, found


@given("a copy of the model in each of two zones")
def add_two_copies(context: Context) -> None:
    context.chooser = make_chooser(
        make_target("a", LOCAL, 0, 4),
        make_target("b", LOCAL, 4, 8),
        make_target("x", REMOTE, 0, 4),
        make_target("y", REMOTE, 4, 8),
    )
    context.avoid = frozenset()


@given("a copy of the model in each of two zones and a spare target")
def add_copies_and_spare(context: Context) -> None:
    add_two_copies(context)
    context.chooser.fleet_view.update_target(make_target("c", LOCAL, 4, 8))


@given("a copy of the model in the router's zone only")
def add_one_copy(context: Context) -> None:
    context.chooser = make_chooser(
        make_target("a", LOCAL, 0, 4), make_target("b", LOCAL, 4, 8)
    )
    context.avoid = frozenset()


@when('the target "{name}" {state}')
def change_target(context: Context, name: str, state: str) -> None:
    fleet_view = context.chooser.fleet_view
    target = fleet_view.targets[name]
    match state:
        case "is suspected":
            fleet_view.suspect(target, "test", shared=False)
        case "had no room":
            context.chooser.load.note_full(target.incarnation, 5.0)
        case "prefills 100 prompts":
            path = Path((PathStage(target, target.layers),))
            for _ in range(100):
                context.chooser.note_prefill(PIPELINE, path, 800.0)
        case "is slow":
            fleet_view.note_slowness(target, 12.0)
        case "is draining":
            draining = dataclasses.replace(
                target, state=TargetReadiness.DRAINING, revision=2
            )
            fleet_view.note_complete(time.monotonic())
            fleet_view.update_target(draining)
        case "is excluded":
            context.avoid = frozenset({target.id})


def choose_ids(context: Context) -> list[str]:
    """Choose a path and return the ids of its targets."""
    path = context.chooser.choose(SERVICE, PathRequest(100.0, context.avoid))
    assert path is not None
    assert is_exact(path, LAYERS)
    return [stage.target.id for stage in path.stages]


@then("the path stays in the router's zone")
def check_local_path(context: Context) -> None:
    assert choose_ids(context) == ["a", "b"]


@then("the path stays in the other zone")
def check_remote_path(context: Context) -> None:
    assert choose_ids(context) == ["x", "y"]


@then('the path uses "c" instead')
def check_spare_used(context: Context) -> None:
    assert choose_ids(context) == ["a", "c"]


@then("a path exists now and none after the bound")
def check_draining_first(context: Context) -> None:
    assert choose_ids(context) == ["a", "b"]
    context.chooser.fleet_view.drain_s = 0.0
    assert context.chooser.choose(SERVICE, PathRequest(100.0)) is None


@then("no path exists")
def check_no_path(context: Context) -> None:
    assert context.chooser.choose(SERVICE, PathRequest(100.0)) is None


@then("a path over 98 targets takes fewer than 30,000 search nodes")
def check_search_work(context: Context) -> None:
    nodes = 0
    original = search.SearchNode

    def count_node(*arguments: object) -> object:
        nonlocal nodes
        nodes += 1
        return original(*arguments)

    pipeline = dataclasses.replace(PIPELINE, layers=80)
    service = dataclasses.replace(SERVICE, pipeline=pipeline)
    targets = [
        make_target(f"t{number}", LOCAL, number * 9 % 72, number * 9 % 72 + 8)
        for number in range(98)
    ]
    chooser = make_chooser(*targets)
    search.SearchNode = count_node
    try:
        path = chooser.choose(service, PathRequest(100.0))
    finally:
        search.SearchNode = original
    assert path is None or is_exact(path, 80)
    assert nodes < 30_000, nodes


@given("a fast target and a slow copy of the model, and 60 routers in 4 zones")
def add_fast_and_slow(context: Context) -> None:
    accelerators = {
        "fast": AcceleratorType("fast", 20_000.0, 1.4, 1.0),
        "slow": AcceleratorType("slow", 20_000.0, 15.0, 15.0),
    }
    pipeline = dataclasses.replace(PIPELINE, accelerators=accelerators)
    context.service = dataclasses.replace(SERVICE, pipeline=pipeline)
    fast = dataclasses.replace(make_target("f", LOCAL, 0, 8), accelerator="fast")
    slow = [
        dataclasses.replace(
            make_target(name, LOCAL, first, first + 4), accelerator="slow"
        )
        for name, first in (("s", 0), ("t", 4))
    ]
    context.chooser = make_chooser(fast, *slow)
    context.chooser.router_count = 60
    context.chooser.zone_count = 4
    context.fast = fast


@when("this router begins its share of twice the requests that the fast target holds")
def begin_share(context: Context) -> None:
    tokens = 300.0
    fitting = token_capacity(context.service.pipeline, context.fast) / tokens
    context.share = fitting / (60 / 4)
    for _ in range(round(2 * context.share)):
        path = context.chooser.choose(context.service, PathRequest(tokens))
        context.chooser.load.add(path, tokens)


@then("no more than its share of what the fast target holds goes there")
def check_share(context: Context) -> None:
    on_fast = context.chooser.load.requests[context.fast.incarnation]
    assert 0 < on_fast <= context.share, (on_fast, context.share)
