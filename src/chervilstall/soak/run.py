"""One run of the soak from its seed, and its report."""

import os
import random
import shutil
import time
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from typing import Any

import gevent

from chervilstall.soak.callers import Callers, Sent, ask
from chervilstall.soak.faults import Faults
from chervilstall.soak.fleet import SoakFleet
from chervilstall.soak.promises import (
    Breach,
    check_answers,
    check_shutdown,
    describe,
)

ROUTERS_PER_ZONE = 2
CALLERS = 12
START_TIMEOUT_S = 30.0
RECOVERY_S = 12.0
APPLY_S = 4.0
"""Time after the last fault within which the last change is in force everywhere."""

SERVED_SHARE_MIN = 0.9
NETS = 10_000


def run_soak(seed: int, seconds: float, keep: Path | None = None) -> dict[str, Any]:
    """Run one seed and return its figures and every breach.

    Where a promise broke, the routers' logs are copied to the folder `keep`.
    """
    rng = random.Random(seed)
    fleet = SoakFleet((os.getpid() + seed) % NETS, rng)
    try:
        fleet.start(ROUTERS_PER_ZONE)
        missing = fleet.wait_ready(START_TIMEOUT_S)
        callers = Callers(fleet.routers, rng)
        callers.start(CALLERS)
        faults = Faults(fleet, rng)
        faults.run(seconds)
        calm_s = time.monotonic()
        breaches = [Breach("every router starts", "", name) for name in missing]
        breaches += _check_recovery(fleet, callers, calm_s)
        callers.stop()
        runs = fleet.runs()
        breaches += check_answers(callers.sent, runs)
        breaches += check_shutdown(callers.sent, runs, faults.strikes)
        if breaches and keep is not None:
            _keep_logs(fleet, keep / f"seed-{seed}")
    finally:
        fleet.stop()
    return {
        "seed": seed,
        "seconds": seconds,
        "requests": len(callers.sent),
        "outcomes": _outcomes(callers.sent),
        "faults": describe(faults.strikes),
        "breaches": [asdict(breach) for breach in breaches],
    }


def _check_recovery(fleet: SoakFleet, callers: Callers, calm_s: float) -> list[Breach]:
    """Check that the fleet serves again, by the newest configuration."""
    found: list[Breach] = []
    for router in fleet.routers:
        if not router.is_running:
            found.append(Breach("no router ends by itself", "", router.name))
    for name in fleet.wait_ready(RECOVERY_S):
        found.append(Breach("routers are ready again after the last fault", "", name))
    gevent.sleep(max(0.0, calm_s + APPLY_S - time.monotonic()))
    if fleet.version > 1:
        for router in fleet.routers:
            status = ask(router, f"/v{fleet.version}/")
            if status == 404:
                detail = f"version {fleet.version} at {router.name}"
                found.append(Breach("a change is in force everywhere", "", detail))
    begun_s = time.monotonic()
    gevent.sleep(RECOVERY_S / 4.0)
    calm = [each for each in callers.sent if each.sent_s > begun_s and each.answered_s]
    served = [each for each in calm if each.status == 200 and each.is_whole]
    if len(served) < SERVED_SHARE_MIN * len(calm) or not calm:
        detail = f"{len(served)} of {len(calm)} served, {_outcomes(calm)}"
        found.append(
            Breach("requests are served again after the last fault", "", detail)
        )
    return found


def _outcomes(sent: list[Sent]) -> dict[str, int]:
    counts = Counter(
        f"{each.kind.name.lower()} {each.status}{'' if each.is_whole else ' cut'}"
        for each in sent
    )
    return dict(sorted(counts.items()))


def _keep_logs(fleet: SoakFleet, folder: Path) -> None:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    for router in fleet.routers:
        (folder / f"{router.name}.log").write_text(fleet.log_text(router))
