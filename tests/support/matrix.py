"""The fault matrix: every fault at every step, from one table.

`python -m tests.support.matrix` writes the feature files of the matrix.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from itertools import product
from pathlib import Path

import gevent

from chervilstall.standin.faults import FOREVER, FaultKind
from tests.support.cluster import ROUTER_ZONE, Step, TestCluster

FOLDER = Path(__file__).parent.parent / "matrix"
GROUPS = 4
PAIRS = 24
PAIR_SEED = 20261203


def head_engine(cluster: TestCluster):
    """Return the first stage of the route in use, or one that may become it."""
    if cluster.route:
        return cluster.market.engines[cluster.route[0].target]
    return next(iter(cluster.market.engines.values()))


def last_engine(cluster: TestCluster):
    """Return the last stage of the route in use, or one that may become it."""
    if cluster.route:
        return cluster.market.engines[cluster.route[-1].target]
    return list(cluster.market.engines.values())[-1]


def kill_stage(cluster: TestCluster) -> None:
    last_engine(cluster).kill()


def slow_link(cluster: TestCluster) -> None:
    zones = ("za-hall", "ke-hall", "ba-hall")
    for pair in product(zones, zones):
        cluster.market.fabric.link_delays_s[pair] = 0.02


def lossy_link(cluster: TestCluster) -> None:
    head_engine(cluster).engine.faults.arm(FaultKind.CLOSE_AT_POSITION)


def silent_connection(cluster: TestCluster) -> None:
    head_engine(cluster).engine.faults.arm(FaultKind.SILENT_AT_POSITION)
    head_engine(cluster).engine.faults.arm(FaultKind.SILENT_BEFORE_ACCEPT)


def store_fault(kind: FaultKind, delay_s: float = 0.0, times: int = FOREVER):
    """Return an action that arms a fault of the store."""

    def action(cluster: TestCluster) -> None:
        cluster.fleet.store.keep_stale_copy()
        cluster.fleet.store.faults.arm(kind, delay_s=delay_s, times=times)

    return action


def pause_leases(cluster: TestCluster) -> None:
    """Stop renewing every slot lease, as a paused holder would."""
    for vm in cluster.homes():
        cluster.fleet.agents[vm].roles.abandon()


def kill_router(cluster: TestCluster) -> None:
    gevent.spawn(cluster.kill_router)
    gevent.sleep(0.01)


def kill_agent(cluster: TestCluster) -> None:
    cluster.fleet.kill("vm-0")


def kill_homes(cluster: TestCluster) -> None:
    for vm in cluster.homes():
        if vm != "vm-0":
            cluster.fleet.kill(vm)
            return


def cut_platform(cluster: TestCluster) -> None:
    cluster.network.cut_from_platform.add(ROUTER_ZONE)


def cut_zones(cluster: TestCluster) -> None:
    cluster.network.partitioned_from_zones.add(ROUTER_ZONE)


def cut_both(cluster: TestCluster) -> None:
    cut_platform(cluster)
    cut_zones(cluster)


def stale_vm_list(cluster: TestCluster) -> None:
    cluster.fleet.store.vm_list_lag_s = 1_000.0
    for vm in list(cluster.fleet.agents):
        if vm not in ("vm-0", *cluster.homes()):
            cluster.fleet.kill(vm)
            return


def leave(cluster: TestCluster) -> None:
    head_engine(cluster).engine.set_leaving(True)


def caller_gone(cluster: TestCluster) -> None:
    cluster.caller.sock.close()  # type: ignore[attr-defined]
    gevent.sleep(0.01)


@dataclass(frozen=True)
class FaultCase:
    """A fault of the table."""

    name: str
    action: Callable[[TestCluster], None]


FAULTS = (
    FaultCase("a stage dies", kill_stage),
    FaultCase("links turn slow", slow_link),
    FaultCase("a link loses the connection", lossy_link),
    FaultCase("the store is down", store_fault(FaultKind.OUTAGE)),
    FaultCase("the store is slow", store_fault(FaultKind.SLOW, 0.3)),
    FaultCase("the store limits calls", store_fault(FaultKind.RATE_LIMIT, times=30)),
    FaultCase("a store answer is lost", store_fault(FaultKind.LOSE_ANSWER, times=3)),
    FaultCase("store reads go back", store_fault(FaultKind.STALE_READS, times=20)),
    FaultCase("leases lapse in a pause", pause_leases),
    FaultCase("the router is killed", kill_router),
    FaultCase("the agent is killed", kill_agent),
    FaultCase("a home is killed", kill_homes),
    FaultCase("a connection goes silent", silent_connection),
    FaultCase("the zone is cut from the platform", cut_platform),
    FaultCase("the zone is cut from other zones", cut_zones),
    FaultCase("the zone is cut from both", cut_both),
    FaultCase("the VM list is stale", stale_vm_list),
    FaultCase("a target leaves", leave),
    FaultCase("the caller is gone", caller_gone),
)
BY_NAME = {case.name: case for case in FAULTS}


def single_cells() -> list[tuple[str, str]]:
    """Return every fault at every step."""
    return [(case.name, step.value) for case in FAULTS for step in Step]


def pair_cells() -> list[tuple[str, str]]:
    """Return a seeded sample of two faults at one step."""
    rng = random.Random(PAIR_SEED)
    names = [case.name for case in FAULTS]
    steps = [step.value for step in Step]
    cells = []
    for _ in range(PAIRS):
        first, second = rng.sample(names, 2)
        cells.append((f"{first} and {second}", rng.choice(steps)))
    return cells


def feature_text(title: str, cells: list[tuple[str, str]]) -> str:
    """Return a feature with one scenario per cell."""
    lines = [
        f"Feature: {title}",
        "",
        "  Scenario Outline: <fault> at <step>",
        "    Given agents in three zones, targets and a router",
        "    When <fault> at step <step>",
        "    Then the promises hold for the request and its repeat",
        "    And a later request succeeds",
        "",
        "    Examples:",
        "      | fault | step |",
    ]
    lines += [f"      | {fault} | {step} |" for fault, step in cells]
    return "\n".join(lines) + "\n"


def features() -> dict[str, str]:
    """Return every feature file of the matrix by name."""
    cells = single_cells()
    files = {}
    for group in range(GROUPS):
        part = cells[group::GROUPS]
        title = f"Fault matrix, part {group + 1}"
        files[f"single_{group + 1}.feature"] = feature_text(title, part)
    files["pairs.feature"] = feature_text("Fault matrix, pairs", pair_cells())
    return files


def result_table(verdicts: dict[str, bool]) -> str:
    """Return the verdict of each cell that ran, as a Markdown table."""
    words = {True: "holds", False: "FAILS", None: "not run"}
    steps = [step.value for step in Step]
    rows = ["| fault | " + " | ".join(steps) + " |", "|---" * (len(steps) + 1) + "|"]
    for case in FAULTS:
        cells = [words[verdicts.get(f"{case.name} at {step}")] for step in steps]
        rows.append(f"| {case.name} | " + " | ".join(cells) + " |")
    rows += ["", "| pair of faults | step | verdict |", "|---|---|---|"]
    for pair, step in pair_cells():
        rows.append(f"| {pair} | {step} | {words[verdicts.get(f'{pair} at {step}')]} |")
    return "\n".join(rows) + "\n"


if __name__ == "__main__":
    FOLDER.mkdir(exist_ok=True)
    for name, text in features().items():
        (FOLDER / name).write_text(text)
