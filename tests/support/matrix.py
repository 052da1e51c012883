"""Fault matrix: injects every fault at every step of a request.

`python -m tests.support.matrix` generates the feature files in `tests/matrix`.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from itertools import product
from pathlib import Path

import gevent

from chervilstall.standin.faults import FOREVER, FaultKind
from tests.support.cluster import ROUTER_ZONE, RequestStep, TestCluster

DIRECTORY = Path(__file__).parent.parent / "matrix"
FILE_COUNT = 4
PAIR_COUNT = 24
PAIR_SEED = 20261203


def first_engine(cluster: TestCluster):
    """Return the first engine of the route, or of the target cluster before routing."""
    if cluster.route:
        return cluster.target_cluster.engines[cluster.route[0].target]
    return next(iter(cluster.target_cluster.engines.values()))


def last_engine(cluster: TestCluster):
    """Return the last engine of the route, or of the target cluster before routing."""
    if cluster.route:
        return cluster.target_cluster.engines[cluster.route[-1].target]
    return list(cluster.target_cluster.engines.values())[-1]


def kill_last_engine(cluster: TestCluster) -> None:
    last_engine(cluster).kill()


def slow_links(cluster: TestCluster) -> None:
    zones = ("za-hall", "ke-hall", "ba-hall")
    for pair in product(zones, zones):
        cluster.target_cluster.fabric.link_delays_s[pair] = 0.02


def close_connection(cluster: TestCluster) -> None:
    first_engine(cluster).engine.faults.arm(FaultKind.CLOSE_AT_POSITION)


def silence_connection(cluster: TestCluster) -> None:
    first_engine(cluster).engine.faults.arm(FaultKind.SILENT_AT_POSITION)
    first_engine(cluster).engine.faults.arm(FaultKind.SILENT_BEFORE_ACCEPT)


def store_fault(kind: FaultKind, delay_s: float = 0.0, times: int = FOREVER):
    """Return an action that arms a fault of the store.

    A copy of the current content is kept first, for faults that read stale data.
    """

    def action(cluster: TestCluster) -> None:
        cluster.fleet.store.keep_stale_copy()
        cluster.fleet.store.faults.arm(kind, delay_s=delay_s, times=times)

    return action


def stop_lease_renewal(cluster: TestCluster) -> None:
    """Stop renewing every slot lease, as a paused process would."""
    for vm in cluster.slot_home_vms():
        cluster.fleet.agents[vm].roles.abandon()


def kill_router(cluster: TestCluster) -> None:
    gevent.spawn(cluster.kill_router)
    gevent.sleep(0.01)


def kill_agent(cluster: TestCluster) -> None:
    cluster.fleet.kill("vm-0")


def kill_slot_home(cluster: TestCluster) -> None:
    for vm in cluster.slot_home_vms():
        if vm != "vm-0":
            cluster.fleet.kill(vm)
            return


def partition_from_platform(cluster: TestCluster) -> None:
    cluster.network.partitioned_from_platform.add(ROUTER_ZONE)


def partition_from_zones(cluster: TestCluster) -> None:
    cluster.network.partitioned_from_zones.add(ROUTER_ZONE)


def partition_from_both(cluster: TestCluster) -> None:
    partition_from_platform(cluster)
    partition_from_zones(cluster)


def freeze_vm_list(cluster: TestCluster) -> None:
    cluster.fleet.store.vm_list_lag_s = 1_000.0
    for vm in list(cluster.fleet.agents):
        if vm not in ("vm-0", *cluster.slot_home_vms()):
            cluster.fleet.kill(vm)
            return


def drain_target(cluster: TestCluster) -> None:
    first_engine(cluster).engine.set_leaving(True)


def disconnect_caller(cluster: TestCluster) -> None:
    cluster.caller.sock.close()  # type: ignore[attr-defined]
    gevent.sleep(0.01)


@dataclass(frozen=True)
class FaultCase:
    """A row of the fault matrix; `action` injects the fault."""

    name: str
    action: Callable[[TestCluster], None]


FAULTS = (
    FaultCase("a stage is killed", kill_last_engine),
    FaultCase("links are slow", slow_links),
    FaultCase("a connection is closed", close_connection),
    FaultCase("the store is down", store_fault(FaultKind.OUTAGE)),
    FaultCase("the store is slow", store_fault(FaultKind.SLOW, 0.3)),
    FaultCase(
        "the store limits the call rate", store_fault(FaultKind.RATE_LIMIT, times=30)
    ),
    FaultCase("store responses are lost", store_fault(FaultKind.LOSE_ANSWER, times=3)),
    FaultCase("store reads are stale", store_fault(FaultKind.STALE_READS, times=20)),
    FaultCase("leases expire", stop_lease_renewal),
    FaultCase("the router is killed", kill_router),
    FaultCase("the agent is killed", kill_agent),
    FaultCase("a slot home is killed", kill_slot_home),
    FaultCase("a connection is silent", silence_connection),
    FaultCase("the zone is partitioned from the platform", partition_from_platform),
    FaultCase("the zone is partitioned from other zones", partition_from_zones),
    FaultCase("the zone is partitioned from both", partition_from_both),
    FaultCase("the VM list is stale", freeze_vm_list),
    FaultCase("a target drains", drain_target),
    FaultCase("the caller disconnects", disconnect_caller),
)
FAULTS_BY_NAME = {case.name: case for case in FAULTS}


def single_cells() -> list[tuple[str, str]]:
    """Return fault and step of every cell, fault by fault."""
    return [(case.name, step.value) for case in FAULTS for step in RequestStep]


def pair_cells() -> list[tuple[str, str]]:
    """Return a seeded random sample of two faults at one step."""
    rng = random.Random(PAIR_SEED)
    names = [case.name for case in FAULTS]
    steps = [step.value for step in RequestStep]
    cells = []
    for _ in range(PAIR_COUNT):
        first, second = rng.sample(names, 2)
        cells.append((f"{first} and {second}", rng.choice(steps)))
    return cells


def feature_text(title: str, cells: list[tuple[str, str]]) -> str:
    """Return the text of a feature with one scenario per cell."""
    lines = [
        f"Feature: {title}",
        "",
        "  Scenario Outline: <fault> at <step>",
        "    Given agents in three zones, targets and a router",
        "    When <fault> at step <step>",
        "    Then the guarantees hold for the request and its retry",
        "    And a later request succeeds",
        "",
        "    Examples:",
        "      | fault | step |",
    ]
    lines += [f"      | {fault} | {step} |" for fault, step in cells]
    return "\n".join(lines) + "\n"


def features() -> dict[str, str]:
    """Return the text of every generated feature by file name.

    The cells are distributed over the files in turn.
    """
    cells = single_cells()
    files = {}
    for group in range(FILE_COUNT):
        group_cells = cells[group::FILE_COUNT]
        title = f"Fault matrix, part {group + 1}"
        files[f"single_{group + 1}.feature"] = feature_text(title, group_cells)
    files["pairs.feature"] = feature_text("Fault matrix, pairs", pair_cells())
    return files


def result_table(verdicts: dict[str, bool]) -> str:
    """Return the verdict of every cell as a Markdown table.

    `verdicts` holds whether a scenario passed, by scenario name.
    """
    labels = {True: "holds", False: "FAILS", None: "not run"}
    steps = [step.value for step in RequestStep]
    rows = ["| fault | " + " | ".join(steps) + " |", "|---" * (len(steps) + 1) + "|"]
    for case in FAULTS:
        row = [labels[verdicts.get(f"{case.name} at {step}")] for step in steps]
        rows.append(f"| {case.name} | " + " | ".join(row) + " |")
    rows += ["", "| pair of faults | step | verdict |", "|---|---|---|"]
    for pair, step in pair_cells():
        rows.append(
            f"| {pair} | {step} | {labels[verdicts.get(f'{pair} at {step}')]} |"
        )
    return "\n".join(rows) + "\n"


if __name__ == "__main__":
    DIRECTORY.mkdir(exist_ok=True)
    for name, text in features().items():
        (DIRECTORY / name).write_text(text)
