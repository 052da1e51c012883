"""Runs the soak test once with a seed and reports the result."""

import os
import random
import shutil
import time
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from typing import Any

import gevent

from chervilstall.soak.faults import FaultInjector
from chervilstall.soak.fleet import SoakFleet
from chervilstall.soak.invariants import (
    Violation,
    check_responses,
    check_shutdown,
    count_by_kind,
)
from chervilstall.soak.load_generator import LoadGenerator, SentRequest, probe_route

ROUTERS_PER_ZONE = 2
CALLER_COUNT = 12
START_TIMEOUT_S = 30.0
RECOVERY_TIMEOUT_S = 12.0
CONFIGURATION_APPLY_S = 4.0
"""Time after the last fault until every router must apply the last configuration."""

SERVED_SHARE_MIN = 0.9
SUBNET_COUNT = 10_000


def run_soak(
    seed: int, duration_s: float, log_directory: Path | None = None
) -> dict[str, Any]:
    """Run the soak test with a seed; return its figures and every violation.

    `duration_s` is how long faults are injected. If an invariant was violated, the
    routers' logs are copied to a subdirectory of `log_directory`.
    """
    rng = random.Random(seed)
    fleet = SoakFleet((os.getpid() + seed) % SUBNET_COUNT, rng)
    try:
        fleet.start(ROUTERS_PER_ZONE)
        not_ready = fleet.wait_until_ready(START_TIMEOUT_S)
        load = LoadGenerator(fleet.routers, rng)
        load.start(CALLER_COUNT)
        injector = FaultInjector(fleet, rng)
        injector.run(duration_s)
        faults_ended_at_s = time.monotonic()
        violations = [Violation("every router starts", "", name) for name in not_ready]
        violations += _check_recovery(fleet, load, faults_ended_at_s)
        load.stop()
        executions = fleet.executions()
        violations += check_responses(load.requests, executions)
        violations += check_shutdown(load.requests, executions, injector.faults)
        if violations and log_directory is not None:
            _copy_logs(fleet, log_directory / f"seed-{seed}")
    finally:
        fleet.stop()
    return {
        "seed": seed,
        "seconds": duration_s,
        "requests": len(load.requests),
        "outcomes": _count_outcomes(load.requests),
        "faults": count_by_kind(injector.faults),
        "breaches": [asdict(violation) for violation in violations],
    }


def _check_recovery(
    fleet: SoakFleet, load: LoadGenerator, faults_ended_at_s: float
) -> list[Violation]:
    """Check that the fleet serves again and applies the newest configuration."""
    found: list[Violation] = []
    for router in fleet.routers:
        if not router.is_running:
            found.append(Violation("no router exits on its own", "", router.name))
    for name in fleet.wait_until_ready(RECOVERY_TIMEOUT_S):
        found.append(
            Violation("routers are ready again after the last fault", "", name)
        )
    gevent.sleep(max(0.0, faults_ended_at_s + CONFIGURATION_APPLY_S - time.monotonic()))
    if fleet.version > 1:
        for router in fleet.routers:
            status = probe_route(router, f"/v{fleet.version}/")
            if status == 404:
                detail = f"version {fleet.version} at {router.name}"
                found.append(
                    Violation("every router applies the last configuration", "", detail)
                )
    started_at_s = time.monotonic()
    gevent.sleep(RECOVERY_TIMEOUT_S / 4.0)
    recent = [
        sent
        for sent in load.requests
        if sent.sent_at_s > started_at_s and sent.ended_at_s
    ]
    served = [sent for sent in recent if sent.status == 200 and sent.is_complete]
    if len(served) < SERVED_SHARE_MIN * len(recent) or not recent:
        detail = f"{len(served)} of {len(recent)} served, {_count_outcomes(recent)}"
        found.append(
            Violation("requests are served again after the last fault", "", detail)
        )
    return found


def _count_outcomes(requests: list[SentRequest]) -> dict[str, int]:
    counts = Counter(
        f"{sent.kind.name.lower()} {sent.status}{'' if sent.is_complete else ' cut'}"
        for sent in requests
    )
    return dict(sorted(counts.items()))


def _copy_logs(fleet: SoakFleet, directory: Path) -> None:
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    for router in fleet.routers:
        (directory / f"{router.name}.log").write_text(fleet.log_text(router))
