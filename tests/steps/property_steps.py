"""Steps for properties of routing and admission, checked on generated cases."""

import random

from behave import then
from behave.runner import Context
from hypothesis import given, settings
from hypothesis import strategies as st

from chervilstall.admission.leased_shares import RateShare, ShareAllocator, fair_level
from chervilstall.admission.retry import RetryBudget
from chervilstall.ids import LimitName, ModelName, TargetId, ZoneName
from chervilstall.measure.shapes import PLACEHOLDER_ADDRESS
from chervilstall.peer.shares import ShareRequest
from chervilstall.routing.affinity import AffinityIndex
from chervilstall.routing.fleet import (
    Capability,
    CapabilityFleet,
    EngineTarget,
    Fleet,
    StageClass,
)
from chervilstall.routing.flow import solve_flow
from chervilstall.routing.load import Health, LoadTable
from chervilstall.routing.reservation import ChainRequest
from chervilstall.routing.selector import ChainSelector
from chervilstall.routing.spill import SpillOver
from chervilstall.routing.subset import choose_subset
from chervilstall.settings.processes import (
    LimitSettings,
    RetrySettings,
    RoutingSettings,
)
from chervilstall.target.contract import CacheEvent, CacheEvents, CacheIndex, Priority

LAYERS = 16
CAPABILITY = Capability(ModelName("m"), "v1", "")
PROPERTY_TEST = settings(max_examples=60, deadline=None, derandomize=True)
LAYER_RANGES = st.tuples(st.integers(0, LAYERS - 1), st.integers(1, LAYERS)).filter(
    lambda pair: pair[0] < pair[1]
)
ENGINES = st.lists(
    st.tuples(st.sampled_from("abc"), LAYER_RANGES, st.integers(1, 50)),
    min_size=1,
    max_size=12,
)
LINKS = st.dictionaries(
    st.tuples(st.sampled_from("abc"), st.sampled_from("abc")),
    st.floats(0.0, 50.0),
    max_size=9,
)


def capability_fleet(engines: list) -> CapabilityFleet:
    """Return a fleet with one engine per entry of (zone, layer range, capacity)."""
    classes: dict = {}
    for number, (zone, (first, end), capacity) in enumerate(engines):
        stage_class = StageClass(ZoneName(zone), "kind", first, end)
        engine = EngineTarget(
            TargetId(f"t{number}"), PLACEHOLDER_ADDRESS, stage_class, float(capacity), 8
        )
        classes.setdefault(stage_class, []).append(engine)
    return CapabilityFleet(
        LAYERS, {key: tuple(value) for key, value in classes.items()}
    )


def is_tiling(ranges: list[tuple[int, int]]) -> bool:
    """Return whether the ranges, in order, tile [0, LAYERS) exactly."""
    reached = 0
    for first, end in ranges:
        if first != reached or end <= first:
            return False
        reached = end
    return reached == LAYERS


@PROPERTY_TEST
@given(ENGINES, LINKS)
def check_planned_chains_tile(engines, links) -> None:
    for template in solve_flow(capability_fleet(engines), links).templates:
        assert is_tiling([(s.first_layer, s.end_layer) for s in template.slices])
        for item in template.slices:
            assert item.stage_class.first_layer <= item.first_layer
            assert item.end_layer <= item.stage_class.end_layer


@PROPERTY_TEST
@given(ENGINES, LINKS)
def check_planned_capacities(engines, links) -> None:
    fleet = capability_fleet(engines)
    plan = solve_flow(fleet, links)
    used: dict = {}
    crossed: dict = {}
    for template in plan.templates:
        zone = None
        for item in template.slices:
            layers = item.end_layer - item.first_layer
            work = layers * template.tokens_per_s
            used[item.stage_class] = used.get(item.stage_class, 0.0) + work
            here = item.stage_class.zone
            if zone not in (None, here):
                pair = (zone, here)
                crossed[pair] = crossed.get(pair, 0.0) + template.tokens_per_s
            zone = here
    for stage_class, capacity in fleet.capacities().items():
        assert used.get(stage_class, 0.0) <= capacity * 1.0001 + 1e-6
    for pair, rate in crossed.items():
        assert rate <= links.get(pair, float("inf")) + 1e-3 or len(set(pair)) < 2
    planned = sum(template.tokens_per_s for template in plan.templates)
    assert planned <= plan.bound_tokens_per_s * 1.0001 + 1e-6


@PROPERTY_TEST
@given(ENGINES, LINKS, st.integers(0, 999))
def check_selected_chains_tile(engines, links, seed) -> None:
    fleet = capability_fleet(engines)
    selector = ChainSelector(RoutingSettings(), ZoneName("a"), "r", seed)
    selector.update(Fleet({CAPABILITY: fleet}, {}, links))
    reservations = []
    for _ in range(30):
        request = ChainRequest(CAPABILITY, Priority.DRAFT, 4.0)
        reservation = selector.reserve(request)
        if reservation is None:
            break
        assert is_tiling([(hop.first_layer, hop.end_layer) for hop in reservation.hops])
        reservations.append(reservation)
    for reservation in reservations:
        selector.release(reservation)
        selector.release(reservation)
    assert all(load.in_flight == 0 for load in selector.load_table.loads.values())


@PROPERTY_TEST
@given(st.integers(2, 60), st.integers(1, 20), st.integers(0, 59))
def check_subset_stability(count, size, removed) -> None:
    names = [f"t{number}" for number in range(count)]
    before = set(choose_subset("r", names, names, size))
    remaining = [name for name in names if name != f"t{removed}"]
    after = set(choose_subset("r", remaining, remaining, size))
    assert len(before - after) <= 1 and len(after - before) <= 1


@PROPERTY_TEST
@given(st.integers(1, 20), st.lists(st.integers(0, 19), max_size=120))
def check_ejection_share(count, failures) -> None:
    table = LoadTable(RoutingSettings(ejection_share_max=0.3))
    group = [table.get_or_add(TargetId(f"t{n}"), 1.0, 8) for n in range(count)]
    for index in failures:
        load = group[index % count]
        table.record_failure(load)
        table.eject_if_due(load, group)
        ejected = sum(item.health is Health.EJECTED for item in group)
        assert ejected <= max(1, int(count * 0.3))


@PROPERTY_TEST
@given(st.lists(st.tuples(st.integers(1, 60), st.integers(0, 30), st.booleans())))
def check_affinity_index(events) -> None:
    index = AffinityIndex(entries_max=10)
    target = TargetId("t")
    assert index.is_stale(target)
    index.replace(target, CacheIndex(0, ()))
    expected = 0
    has_gap = False
    for sequence, prefix, is_cached in events:
        index.apply(target, CacheEvents((CacheEvent(sequence, prefix, is_cached),)))
        if sequence > expected:
            has_gap = has_gap or sequence != expected + 1
            expected = sequence
        assert index.size <= 10
        assert index.is_stale(target) == has_gap
    index.replace(target, CacheIndex(99, tuple(range(50))))
    assert index.size == 10 and not index.is_stale(target)
    assert index.longest_prefix_holders((45, 49)) == {target}
    index.forget(target)
    assert index.size == 0 and not index.longest_prefix_holders((45, 49))


@PROPERTY_TEST
@given(st.lists(st.floats(0.96, 1.09), min_size=200, max_size=400))
def check_spill_hysteresis(ratios) -> None:
    spill = SpillOver(RoutingSettings(spill_enter_ratio=1.25, spill_leave_ratio=1.05))
    for _ in range(200):
        spill.observe(2.0, 1.0)
    assert spill.is_spilling
    for ratio in ratios:
        spill.observe(ratio * 1.15, 1.0)
    assert spill.switches <= 2


@PROPERTY_TEST
@given(
    st.lists(
        st.tuples(
            st.integers(0, 4), st.floats(0.0, 50.0), st.floats(0.0, 2.0), st.booleans()
        ),
        max_size=60,
    )
)
def check_share_sum(requests) -> None:
    now = [0.0]
    limit_settings = LimitSettings(share_ttl_s=3.0, safe_share=0.1, nodes_max=5)
    holder = ShareAllocator(limit_settings, is_first=True, clock=lambda: now[0])
    shares = {n: RateShare(limit_settings, lambda: now[0], 20.0) for n in range(5)}
    for router, demand, wait_s, is_lost in requests:
        requested_at_s = now[0]
        request = ShareRequest(LimitName("w"), f"r{router}", demand)
        grant = holder.grant(request, 20.0)
        now[0] += wait_s
        if not is_lost:
            shares[router].apply_grant(grant, requested_at_s)
        total = sum(share.amount() for share in shares.values())
        assert total <= 20.0 + 1e-6, total


@PROPERTY_TEST
@given(st.lists(st.booleans(), max_size=500), st.floats(0.0, 0.5), st.integers(0, 9))
def check_retry_budget(actions, share, floor) -> None:
    budget = RetryBudget(RetrySettings(budget_share=share, budget_floor=floor))
    for is_success in actions:
        if is_success:
            budget.record_success()
        else:
            budget.try_spend()
        assert budget.spent <= floor + share * budget.successes + 1e-6


@PROPERTY_TEST
@given(st.lists(st.tuples(st.floats(0.0, 1.0), st.floats(0.1, 5.0)), max_size=100))
def check_rate_share(requests) -> None:
    now = [0.0]
    limit_settings = LimitSettings(safe_share=0.5, nodes_max=1)
    rate_share = RateShare(limit_settings, lambda: now[0], 20.0)
    largest = 0.0
    for wait_s, cost in requests:
        now[0] += wait_s
        rate_share.try_acquire(cost)
        largest = max(largest, cost)
        assert rate_share.admitted <= 10.0 * now[0] + 10.0 + largest


@PROPERTY_TEST
@given(
    st.dictionaries(st.text("abc", min_size=1), st.floats(0.0, 100.0), min_size=1),
    st.floats(0.0, 200.0),
)
def check_fair_level(demands, capacity) -> None:
    level = fair_level(list(demands.values()), capacity)
    shares = {name: min(demand, level) for name, demand in demands.items()}
    total = sum(shares.values())
    assert total <= capacity + 1e-6
    if level < float("inf"):
        assert total >= capacity - 1e-6, "the fair level leaves capacity unused"
    else:
        assert shares == demands


PROPERTIES = {
    "every planned chain tiles the layers exactly": check_planned_chains_tile,
    "no class or link is planned above its capacity": check_planned_capacities,
    "every selected chain tiles the layers exactly": check_selected_chains_tile,
    "subsets are stable when a target is removed": check_subset_stability,
    "ejection never exceeds its share": check_ejection_share,
    "the affinity index stays bounded and detects gaps": check_affinity_index,
    "spill-over does not switch on small fluctuations": check_spill_hysteresis,
    "shares never exceed the limit, even if grants are lost": check_share_sum,
    "retries never exceed the budget": check_retry_budget,
    "a rate share never admits more than its amount": check_rate_share,
    "max-min shares are fair and within capacity": check_fair_level,
}


@then('the {part:w} property "{name}" holds')
def check_property(context: Context, part: str, name: str) -> None:
    PROPERTIES[name]()


@then("300 routers with subsets of 20 of 87 targets load none above 1.3 of the mean")
def check_subset_balance(context: Context) -> None:
    names = [f"t{number}" for number in range(87)]
    counts = dict.fromkeys(names, 0)
    for router in range(300):
        for name in choose_subset(f"r{router}", names, names, 20):
            counts[name] += 1
    mean = 300 * 20 / 87
    assert max(counts.values()) <= 1.3 * mean, max(counts.values()) / mean


@then("a plan over 7,300 targets is solved from a bounded number of classes")
def check_large_fleet(context: Context) -> None:
    rng = random.Random(1)
    ranges = ((0, 6), (4, 11), (9, LAYERS), (0, LAYERS))
    engines = [
        (rng.choice("abc"), rng.choice(ranges), rng.randint(1, 50))
        for _ in range(7_300)
    ]
    fleet = capability_fleet(engines)
    assert len(fleet.classes) == 12
    selector = ChainSelector(RoutingSettings(), ZoneName("a"), "r", 1)
    selector.update(Fleet({CAPABILITY: fleet}, {}, {}))
    assert len(selector.engines()) <= 12 * RoutingSettings().subset_size
    solve_count = selector.solve_count
    selector.update(Fleet({CAPABILITY: fleet}, {}, {}))
    assert selector.solve_count == solve_count, "an unchanged fleet was planned again"
