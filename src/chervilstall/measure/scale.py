"""State and processor time of single parts at a given size, in one process."""

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
KINDS = (("large", 4_000), ("medium", 1_500), ("small", 500))
RANGES = ((0, 24), (20, 44), (40, LAYERS), (0, LAYERS))
CHOICES = 5_000
CLAIMS = 4_000
ROUTERS_PER_LIMIT = 300


def two_year_texts(targets: int, workspaces: int) -> dict[str, str]:
    """Return a tree with this many targets and workspaces over eight models."""
    rng = random.Random(1)
    texts = {}
    for model in range(MODELS):
        texts[f"models/m{model}"] = f"[model]\nlayers = {LAYERS}\nversions = v1\n"
    for number in range(targets):
        kind, rate = KINDS[number % 3]
        first, end = RANGES[rng.randrange(4)]
        texts[f"targets/t{number}"] = (
            f"[target]\nkind = engine\nzone = zone-{number % ZONES}\n"
            f"address = 10.0.{number // 250}.{number % 250}:80\n"
            f"accelerator = {kind}\nmodel = m{number % MODELS}\nversion = v1\n"
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


def timed(act: Callable[[], T]) -> tuple[T, float]:
    """Return a result and the seconds it took."""
    started_at_s = time.perf_counter()
    result = act()
    return result, time.perf_counter() - started_at_s


def measure_tree(targets: int, workspaces: int) -> tuple[Tree, dict[str, object]]:
    """Return a tree, and the cost of building, checking and changing it."""
    texts = two_year_texts(targets, workspaces)
    tracemalloc.start()
    tree, build_s = timed(lambda: Tree.build(Revision(1), texts))
    tree_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    _, check_s = timed(lambda: check_tree(tree))
    path = "workspaces/w0/grant"
    changes = [
        timed(lambda: tree.with_changes(Revision(2), {path: texts[path]}))[1]
        for _ in range(20)
    ]
    return tree, {
        "documents": len(texts),
        "tree_build_s": build_s,
        "tree_mb": tree_bytes / 1e6,
        "tree_check_s": check_s,
        "tree_change_ms": median(changes) * 1e3,
        "snapshot_bytes": len(pack_texts(texts)),
    }


class StepWatch:
    """Notes the longest time between two pauses."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._at_s = time.perf_counter()

    def pause(self) -> None:
        """End one step and begin the next."""
        now_s = time.perf_counter()
        self.longest_s = max(self.longest_s, now_s - self._at_s)
        self._at_s = now_s


def measure_router(tree: Tree) -> dict[str, object]:
    """Return the cost of a router's fleet, plans and choices."""
    steps = StepWatch()
    fleet, fleet_s = timed(lambda: build_fleet(tree, steps.pause))
    selector = ChainSelector(RoutingSettings(), ZoneName("zone-0"), "r", 1)
    _, solve_s = timed(lambda: selector.update(fleet, steps.pause))
    steps.pause()
    _, again_s = timed(lambda: selector.update(fleet))
    capability = next(iter(fleet.capabilities))
    request = ChainRequest(capability, Priority.STANDARD, 64.0)
    path = "workspaces/w0/grant"
    changed = tree.with_changes(Revision(2), {path: tree.texts[path]})
    _, same_s = timed(lambda: is_fleet_same(tree, changed))
    times = []
    for _ in range(CHOICES):
        placement, choice_s = timed(lambda: selector.reserve(request))
        times.append(choice_s)
        if placement is not None:
            selector.release(placement)
    return {
        "fleet_build_ms": fleet_s * 1e3,
        "solve_all_models_ms": solve_s * 1e3,
        "longest_step_ms": steps.longest_s * 1e3,
        "update_without_change_ms": again_s * 1e3,
        "fleet_compare_ms": same_s * 1e3,
        "choice_p50_us": median(times) * 1e6,
        "targets_in_subsets": len(selector.engines()),
    }


def measure_members(nodes: int) -> dict[str, object]:
    """Return the memory of a member table, and the time of one message's updates."""
    own = MemberUpdate(
        VmId("own"),
        ZoneName("zone-0"),
        "10.0.0.1",
        1,
        InstanceId("own"),
        1,
        MemberState.ALIVE,
    )
    tracemalloc.start()
    table = MemberTable(own)
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
    tells = [timed(table.next_updates)[1] for _ in range(50)]
    lives = [timed(table.live_members)[1] for _ in range(50)]
    return {
        "member_bytes": size_bytes / nodes,
        "updates_to_tell_us": median(tells) * 1e6,
        "live_members_us": median(lives) * 1e6,
    }


def measure_home() -> dict[str, object]:
    """Return a home's memory per key and processor time per claim."""
    settings = IdempotencySettings(commit_interval_s=0.05)
    home = SlotHome(MemoryStore(), SlotName("000"), Epoch(1), settings)
    home.open()
    server = gevent.spawn(home.serve)

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
    server.kill()
    return {
        "home_key_bytes": size_bytes / CLAIMS,
        "home_cpu_us_per_claim": cpu_s / CLAIMS * 1e6,
    }


def measure_shares() -> dict[str, object]:
    """Return a limit holder's time per grant with many routers on one limit."""
    holder = ShareAllocator(LimitSettings(), is_first=True)
    limit = LimitName("w/requests")
    times = []
    for number in range(ROUTERS_PER_LIMIT * 2):
        request = ShareRequest(limit, f"r{number % ROUTERS_PER_LIMIT}", 1.0)
        times.append(timed(lambda: holder.grant(request, 300.0))[1])
    return {
        "routers_per_limit": ROUTERS_PER_LIMIT,
        "grant_us": median(times[ROUTERS_PER_LIMIT:]) * 1e6,
    }


def run_scale(
    seed: int, nodes: int, targets: int, workspaces: int
) -> dict[str, object]:
    """Return every part's figures at a size."""
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
