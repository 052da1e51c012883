"""Runs the soak test once with a seed and reports the result."""

import os
import random
import shutil
import time
from collections import Counter
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import gevent

from chervilstall.soak.faults import (
    CUT_KINDS,
    ENDLESS_KINDS,
    RANDOM_KINDS,
    FaultInjector,
)
from chervilstall.soak.fleet import GRACE_S, SoakFleet
from chervilstall.soak.invariants import (
    Violation,
    check_responses,
    check_shutdown,
    count_by_kind,
)
from chervilstall.soak.load_generator import (
    SHORT_KINDS,
    LoadGenerator,
    RequestKind,
    SentRequest,
    probe_route,
)
from chervilstall.soak.process_sampler import ProcessSampler, read_stolen_s
from chervilstall.soak.shutdown_invariants import check_shutdowns
from chervilstall.soak.shutdowns import ShutdownInjector
from chervilstall.soak.subnets import claim_subnet
from chervilstall.soak.visitors import ShutdownVisitors

RECOVERY_CALLER_COUNT = 8
SHUTDOWN_KINDS = (
    RequestKind.IDEMPOTENT,
    RequestKind.NON_IDEMPOTENT,
    RequestKind.LONG_STREAM,
)
LONG_STREAM_SHARE = 1.25
"""Length of the longest long stream, as a share of the grace period."""

LATENCY_OBJECTIVES_MS = (300, 1500)
"""Objectives that targets just reach, or reach easily."""

EVENT_INTERVAL_S = 0.1
ANSWER_MAX_S = 0.3
"""Longest time for a lookup or hold, less than the end of a grace period leaves it."""

START_TIMEOUT_S = 30.0
RECOVERY_TIMEOUT_S = 12.0
CONFIGURATION_APPLY_S = 4.0
"""Time after the last fault until every router must apply the last configuration."""

LAG_CHECK_S = 0.02
SERVED_SHARE_MIN = 0.9
OWN_PROCESS = "soak"
"""Name of this process among those that are sampled; it is also targets and store."""


@dataclass
class LagMonitor:
    """Measures how late this process gets to run, which all times it sees include.

    `lag_max_at_s` is the monotonic time at which the greatest lag ended.
    """

    lag_max_s: float = 0.0
    lag_max_at_s: float = 0.0

    def run(self) -> None:
        """Measure until killed."""
        while True:
            due_s = time.monotonic() + LAG_CHECK_S
            gevent.sleep(LAG_CHECK_S)
            now_s = time.monotonic()
            if now_s - due_s > self.lag_max_s:
                self.lag_max_s, self.lag_max_at_s = now_s - due_s, now_s


class FaultMix(Enum):
    """Which faults a run injects; the values are those of the command line."""

    RANDOM = "random"
    CUTS = "cuts"
    ENDLESS = "endless"
    SHUTDOWNS = "shutdowns"
    BOTH = "both"


KINDS = {FaultMix.CUTS: CUT_KINDS, FaultMix.ENDLESS: ENDLESS_KINDS}
"""Kinds of faults of the mixes that have others than the random ones."""


@dataclass(frozen=True)
class SoakOptions:
    """What one run of the soak test injects, and on how many routers.

    `duration_s` is how long faults are injected. Shutdowns in series come with long
    streams, slow answers, and callers that stay with their router. With
    `earlier_sources`, a directory with the package of an earlier version, the routers
    run that version until they start again.
    """

    duration_s: float
    mix: FaultMix = FaultMix.RANDOM
    routers: int = 4
    callers_per_router: int = 3
    grace_s: float = GRACE_S
    earlier_sources: Path | None = None

    @property
    def has_series(self) -> bool:
        """Return whether routers are shut down in series."""
        return self.mix in (FaultMix.SHUTDOWNS, FaultMix.BOTH)


def run_soak(
    seed: int, options: SoakOptions, log_directory: Path | None = None
) -> dict[str, Any]:
    """Run the soak test with a seed; return its figures and every violation.

    If an invariant was violated, the routers' logs are copied to a subdirectory of
    `log_directory`.
    """
    rng = random.Random(seed)
    subnet, claim = claim_subnet(os.getpid() + seed)
    objective_ms = rng.choice(LATENCY_OBJECTIVES_MS) if options.has_series else None
    fleet = SoakFleet(
        subnet, rng, options.grace_s, objective_ms, options.earlier_sources
    )
    lag = LagMonitor()
    sampler = ProcessSampler(lambda: _list_processes(fleet))
    monitors = [gevent.Greenlet(lag.run), gevent.Greenlet(sampler.run)]
    try:
        fleet.start(options.routers)
        not_ready = fleet.wait_until_ready(START_TIMEOUT_S)
        started_at_s = time.monotonic()
        stolen_before_s = read_stolen_s()
        for monitor in monitors:
            monitor.start()
        load = _build_load(fleet, options)
        load.start(options.callers_per_router * options.routers)
        shutdowns = ShutdownInjector(rng)
        kinds = KINDS.get(options.mix, RANDOM_KINDS)
        injector = FaultInjector(fleet, rng, shutdowns, kinds)
        _inject(injector, load, options)
        faults_ended_at_s = time.monotonic()
        violations = [Violation("every router starts", "", name) for name in not_ready]
        violations += _check_recovery(fleet, load, faults_ended_at_s)
        load.stop()
        executions = fleet.executions()
        violations += check_responses(load.requests, executions)
        violations += check_shutdown(load.requests, executions, injector.faults)
        violations += check_shutdowns(
            load.requests, executions, shutdowns.shutdowns, injector.faults
        )
        if violations and log_directory is not None:
            directory = log_directory / f"seed-{seed}"
            _copy_logs(fleet, directory)
            _write_record(load, injector, sampler, directory)
        stolen_s = read_stolen_s() - stolen_before_s
    finally:
        gevent.killall(monitors)
        fleet.stop()
        claim.close()
    return {
        "seed": seed,
        "seconds": options.duration_s,
        "mix": options.mix.value,
        "routers": options.routers,
        "grace_s": options.grace_s,
        "latency_objective_ms": objective_ms,
        "requests": len(load.requests),
        "outcomes": _count_outcomes(load.requests),
        "faults": count_by_kind(injector.faults),
        "shutdowns": len(shutdowns.shutdowns),
        "lag_max_s": round(lag.lag_max_s, 3),
        "lag_max_at_s": round(lag.lag_max_at_s - started_at_s, 2),
        "stolen_s": round(stolen_s, 2),
        "processes": sampler.worst_windows(started_at_s),
        "killed": sum(stop.exit_code is None for stop in shutdowns.shutdowns),
        "breaches": [asdict(violation) for violation in violations],
        "at_breaches": _sample_breaches(violations, load.requests, sampler),
    }


def _list_processes(fleet: SoakFleet) -> list[tuple[str, int]]:
    """Return names and ids of the running routers and of this process."""
    processes = [(OWN_PROCESS, os.getpid())]
    for router in fleet.routers:
        if router.process is not None and router.is_running:
            processes.append((router.name, router.process.pid))
    return processes


def _sample_breaches(
    violations: list[Violation], requests: list[SentRequest], sampler: ProcessSampler
) -> list[dict[str, Any]]:
    """Return what router and soak did while the request of each violation ran."""
    requests_by_id = {sent.request_id: sent for sent in requests}
    samples: list[dict[str, Any]] = []
    for violation in violations:
        sent = requests_by_id.get(violation.request)
        if sent is None:
            continue
        sample: dict[str, Any] = {"request": sent.request_id}
        for process in (sent.router, OWN_PROCESS):
            sample[process] = sampler.during(process, sent.sent_at_s, sent.ended_at_s)
        samples.append(sample)
    return samples


def _build_load(fleet: SoakFleet, options: SoakOptions) -> LoadGenerator:
    load = LoadGenerator(fleet.routers, fleet.rng)
    if options.has_series:
        load.kinds = SHUTDOWN_KINDS
        load.stays_with_router = True
        load.event_interval_s = EVENT_INTERVAL_S
        length_s = options.grace_s * LONG_STREAM_SHARE
        load.long_events_max = int(length_s / EVENT_INTERVAL_S)
        for target in fleet.targets:
            target.server.event_interval_s = EVENT_INTERVAL_S
            target.server.answer_max_s = ANSWER_MAX_S
    return load


def _inject(injector: FaultInjector, load: LoadGenerator, options: SoakOptions) -> None:
    """Inject the faults of a run and wait until all have ended."""
    fleet, shutdowns = injector.fleet, injector.shutdowns
    tasks = []
    if options.mix is not FaultMix.SHUTDOWNS:
        tasks.append(gevent.spawn(injector.run, options.duration_s))
    visitors = ShutdownVisitors(load, fleet.rng)
    if options.has_series:
        shutdowns.on_shutdown = visitors.visit
        tasks.append(
            gevent.spawn(shutdowns.run_series, fleet.routers, options.duration_s)
        )
    for task in gevent.joinall(tasks):
        task.get()
    visitors.join(options.grace_s * LONG_STREAM_SHARE)


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
    # Callers may all wait for long streams, so others join them.
    load.kinds = SHORT_KINDS
    load.start(RECOVERY_CALLER_COUNT)
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


def _write_record(
    load: LoadGenerator,
    injector: FaultInjector,
    sampler: ProcessSampler,
    directory: Path,
) -> None:
    """Write what callers and targets saw, shutdowns, faults and samples, one a line."""
    records = [*load.requests, *injector.shutdowns.shutdowns, *injector.faults]
    records += sampler.windows
    for target in injector.fleet.targets:
        records += target.server.answers
    (directory / "record.txt").write_text("\n".join(map(repr, records)))


def _copy_logs(fleet: SoakFleet, directory: Path) -> None:
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    for router in fleet.routers:
        (directory / f"{router.name}.log").write_text(fleet.log_text(router))
