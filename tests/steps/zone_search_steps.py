"""Steps for the search for paths in each zone by itself."""

import random
from dataclasses import dataclass

from behave import given, then, when
from behave.runner import Context

from chervilstall.fleet.records import Target
from chervilstall.fleet.view import FleetView
from chervilstall.ids import ZoneName
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.records import PathRequest
from chervilstall.paths.search import CostedPath, PathSearch
from chervilstall.paths.zone_costs import ZONE_CHANGE_MS
from tests.support.model_targets import LAYERS, PIPELINE, SERVICE, make_target

ZONES = ("z0", "z1", "z2")
TARGETS = 18
TOKENS = 100.0


@dataclass
class _Choice:
    """The path found in one fleet, the cheapest one, and the sizes of the searches."""

    found: CostedPath | None
    cheapest: CostedPath | None
    searched: list[int]
    targets: int


def _draw_targets(rng: random.Random) -> list[Target]:
    targets: list[Target] = []
    for number in range(TARGETS):
        first = rng.randrange(LAYERS - 1)
        end = rng.randint(first + 1, LAYERS)
        targets.append(make_target(f"t{number}", rng.choice(ZONES), first, end))
    return targets


@given("60 fleets over three zones, drawn at random")
def draw_fleets(context: Context) -> None:
    rng = random.Random(5)
    context.fleets = [_draw_targets(rng) for _ in range(60)]


@when("half of the targets of the router's zone are avoided")
def choose_paths(context: Context) -> None:
    context.choices = [_choose(targets) for targets in context.fleets]


def _choose(targets: list[Target]) -> _Choice:
    view = FleetView(drain_s=2.0)
    for target in targets:
        view.update_target(target)
    # Without a random part, both searches see the same costs.
    chooser = PathChooser(view, ZoneName(ZONES[0]), len(ZONES), rng=None)
    local = [target for target in targets if target.zone == ZONES[0]]
    avoid = frozenset(target.id for target in local[: len(local) // 2])
    request = PathRequest(TOKENS, avoid)
    usable = chooser.candidates(SERVICE, request)
    searched: list[int] = []
    find_valid = chooser._find_valid

    def record(pipeline, members, asked, costs=None):
        searched.append(len(members))
        return find_valid(pipeline, members, asked, costs)

    chooser._find_valid = record
    found = chooser._find_in_zones(PIPELINE, usable, request)
    costs = chooser._search_costs(PIPELINE, usable, request)
    search = PathSearch(PIPELINE, usable, request, chooser.zone, costs)
    return _Choice(found, search.find(may_exit_early=True), searched, len(usable))


@then("each path costs as much as the cheapest one over all targets")
def check_costs(context: Context) -> None:
    compared = 0
    for choice in context.choices:
        if choice.cheapest is None:
            assert choice.found is None
            continue
        if not choice.cheapest.path.is_valid:
            continue
        compared += 1
        assert choice.found is not None
        difference_ms = choice.found.cost_ms - choice.cheapest.cost_ms
        assert abs(difference_ms) < 1e-6, difference_ms
    assert compared > 30, compared


@then(
    "only paths that cost more than a change of zones needed a search over all targets"
)
def check_searches(context: Context) -> None:
    cheap = 0
    for choice in context.choices:
        if choice.found is None or choice.found.cost_ms >= ZONE_CHANGE_MS:
            continue
        cheap += 1
        assert max(choice.searched) < choice.targets, choice.searched
    assert cheap > 10, cheap
