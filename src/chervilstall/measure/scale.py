"""Memory and processor time of single components at a given size, in one process."""

import random
import time
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

import gevent

from chervilstall.admission.leased_shares import ShareAllocator
from chervilstall.configuration.check import check_tree
from chervilstall.configuration.records import pack_texts
from chervilstall.configuration.tree import Tree
from chervilstall.gateway.auth import token_digest
from chervilstall.idempotency.home import SlotHome
from chervilstall.ids import (
    Epoch,
    InstanceId,
    LimitName,
    RequestId,
    Revision,
    SlotName,
    VmId,
    ZoneName,
)
from chervilstall.measure.statistics import median
from chervilstall.membership.table import MemberTable
from chervilstall.peer.claims import ClaimRequest
from chervilstall.peer.messages import MemberState, MemberUpdate
from chervilstall.peer.shares import ShareRequest
from chervilstall.routing.fleet import build_fleet, is_fleet_same
from chervilstall.routing.reservation import ChainRequest
from chervilstall.routing.selector import ChainSelector
from chervilstall.settings.agents import IdempotencySettings
from chervilstall.settings.processes import LimitSettings, RoutingSettings
from chervilstall.standin.store import MemoryStore
from chervilstall.target.contract import Priority

T = TypeVar("T")

ZONES = 7
MODELS = 8
LAYERS = 64
ACCELERATORS = (("large", 4_000), ("medium", 1_500), ("small", 500))
LAYER_RANGES = ((0, 24), (20, 44), (40, LAYERS), (0, LAYERS))
RESERVATIONS = 5_000
CLAIMS = 4_000
ROUTERS_PER_LIMIT = 300


def projected_fleet_texts(targets: int, workspaces: int) -> dict[str, str]:
    """Return the texts of a tree like that of the fleet projected for two years ahead.

    The targets are spread over ZONES zones and MODELS models; each workspace has a
    pipeline of one of the models.
    """
    rng = random.Random(1)
    texts = {}
    for model in range(MODELS):
        texts[f"models/m{model}"] = f"[model]\nlayers = {LAYERS}\nversions = v1\n"
    for number in range(targets):
        accelerator, rate = ACCELERATORS[number % 3]
        first, end = LAYER_RANGES[rng.randrange(4)]
        texts[f"targets/t{number}"] = (
            f"[target]\nkind = engine\nzone = zone-{number % ZONES}\n"
            f"address = 10.0.{number // 250}.{number % 250}:80\n"
            f"accelerator = {accelerator}\nmodel = m{number % MODELS}\nversion = v1\n"
            f"first_layer = {first}\nend_layer = {end}\n"
            f"layer_tokens_per_s = {rate}\n"
        )
    for number in range(workspaces):
        texts[f"workspaces/w{number}/grant"] = (
            f"[grant]\ntoken_sha256 = {token_digest(str(number))}\n"
            "requests_per_s = 300\n"
        )
        texts[f"workspaces/w{number}/pipelines/p"] = (
            f"[pipeline]\nmodel = m{number % MODELS}\nversion = v1\n"
        )
    return texts


def time_call(function: Callable[[], T]) -> tuple[T, float]:
    """Call a function; return its result and the seconds it took."""
    started_at_s = time.perf_counter()
    result = function()
    return result, time.perf_counter() - started_at_s


def measure_tree(targets: int, workspaces: int) -> tuple[Tree, dict[str, object]]:
    """Return a tree and the cost of building, checking and changing it."""
    texts = projected_fleet_texts(targets, workspaces)
    tracemalloc.start()
    tree, build_s = time_call(lambda: Tree.build(Revision(1), texts))
    tree_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    _, check_s = time_call(lambda: check_tree(tree))
    path = "workspaces/w0/grant"
    change_times_s = [
        time_call(lambda: tree.with_changes(Revision(2), {path: texts[path]}))[1]
        for _ in range(20)
    ]
    return tree, {
        "documents": len(texts),
        "tree_build_s": build_s,
        "tree_mb": tree_bytes / 1e6,
        "tree_check_s": check_s,
        "tree_change_ms": median(change_times_s) * 1e3,
        "snapshot_bytes": len(pack_texts(texts)),
    }


class StepTimer:
    """Records the longest step, the time that the caller runs without yielding."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._step_started_at_s = time.perf_counter()

    def end_step(self) -> None:
        """End the current step and start the next."""
        now_s = time.perf_counter()
        self.longest_s = max(self.longest_s, now_s - self._step_started_at_s)
        self._step_started_at_s = now_s


def measure_router(tree: Tree) -> dict[str, object]:
    """Return the cost of a router's fleet, flow plans and chain reservations."""
    step_timer = StepTimer()
    fleet, fleet_s = time_call(lambda: build_fleet(tree, step_timer.end_step))
    selector = ChainSelector(RoutingSettings(), ZoneName("zone-0"), "r", 1)
    _, solve_s = time_call(lambda: selector.update(fleet, step_timer.end_step))
    step_timer.end_step()
    _, unchanged_s = time_call(lambda: selector.update(fleet))
    capability = next(iter(fleet.capabilities))
    request = ChainRequest(capability, Priority.STANDARD, 64.0)
    path = "workspaces/w0/grant"
    changed = tree.with_changes(Revision(2), {path: tree.texts[path]})
    _, compare_s = time_call(lambda: is_fleet_same(tree, changed))
    reserve_times_s = []
    for _ in range(RESERVATIONS):
        reservation, reserve_s = time_call(lambda: selector.reserve(request))
        reserve_times_s.append(reserve_s)
        if reservation is not None:
            selector.release(reservation)
    return {
        "fleet_build_ms": fleet_s * 1e3,
        "solve_all_models_ms": solve_s * 1e3,
        "longest_step_ms": step_timer.longest_s * 1e3,
        "update_without_change_ms": unchanged_s * 1e3,
        "fleet_compare_ms": compare_s * 1e3,
        "choice_p50_us": median(reserve_times_s) * 1e6,
        "targets_in_subsets": len(selector.engines()),
    }


def measure_members(nodes: int) -> dict[str, object]:
    """Return the memory per member of a member table and the time of its operations.

    `updates_to_tell_us` is the time to collect the updates for one message.
    """
    own_update = MemberUpdate(
        VmId("own"),
        ZoneName("zone-0"),
        "10.0.0.1",
        1,
        InstanceId("own"),
        1,
        MemberState.ALIVE,
    )
    tracemalloc.start()
    table = MemberTable(own_update)
    for number in range(nodes):
        update = MemberUpdate(
            VmId(f"vm-{number}"),
            ZoneName(f"zone-{number % ZONES}"),
            f"10.1.{number // 250}.{number % 250}",
            8090,
            InstanceId(f"i{number}"),
            1,
            MemberState.ALIVE,
        )
        table.merge_updates([update])
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    update_times_s = [time_call(table.next_updates)[1] for _ in range(50)]
    live_member_times_s = [time_call(table.live_members)[1] for _ in range(50)]
    return {
        "member_bytes": size_bytes / nodes,
        "updates_to_tell_us": median(update_times_s) * 1e6,
        "live_members_us": median(live_member_times_s) * 1e6,
    }


def measure_home() -> dict[str, object]:
    """Return the memory per key and the processor time per claim of a slot's home."""
    settings = IdempotencySettings(commit_interval_s=0.05)
    home = SlotHome(MemoryStore(), SlotName("000"), Epoch(1), settings)
    home.open()
    serve_task = gevent.spawn(home.serve)

    def claim(number: int) -> None:
        key = token_digest(str(number))
        request = RequestId(f"{number:032d}")
        home.claim(ClaimRequest(key, key[:32], request, True, False, 5.0))

    tracemalloc.start()
    gevent.joinall([gevent.spawn(claim, number) for number in range(CLAIMS)])
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    cpu_before_s = time.process_time()
    tasks = [gevent.spawn(claim, CLAIMS + number) for number in range(CLAIMS)]
    gevent.joinall(tasks)
    cpu_s = time.process_time() - cpu_before_s
    serve_task.kill()
    return {
        "home_key_bytes": size_bytes / CLAIMS,
        "home_cpu_us_per_claim": cpu_s / CLAIMS * 1e6,
    }


def measure_shares() -> dict[str, object]:
    """Return the time per grant when ROUTERS_PER_LIMIT routers share one limit."""
    allocator = ShareAllocator(LimitSettings(), is_first=True)
    limit = LimitName("w/requests")
    grant_times_s = []
    for number in range(ROUTERS_PER_LIMIT * 2):
        request = ShareRequest(limit, f"r{number % ROUTERS_PER_LIMIT}", 1.0)
        grant_times_s.append(time_call(lambda: allocator.grant(request, 300.0))[1])
    return {
        "routers_per_limit": ROUTERS_PER_LIMIT,
        "grant_us": median(grant_times_s[ROUTERS_PER_LIMIT:]) * 1e6,
    }


def run_scale(
    seed: int, nodes: int, targets: int, workspaces: int
) -> dict[str, object]:
    """Return the figures of every component."""
    tree, figures = measure_tree(targets, workspaces)
    return {
        "experiment": "scale",
        "seed": seed,
        "nodes": nodes,
        "targets": targets,
        "workspaces": workspaces,
        **figures,
        **measure_router(tree),
        **measure_members(nodes),
        **measure_home(),
        **measure_shares(),
    }
