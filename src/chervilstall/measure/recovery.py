"""Recovery time: seconds until 95% of what the remaining hardware allows.

Two routers stand before one marketplace of stand-in accelerators, in one process,
with callers in a closed loop who turn to the other router when theirs is gone. After
a fault the bound is computed anew without what was lost; recovery is the first moment
from which the smoothed rate stays there, as a share of what was reached before.
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from chervilstall.gateway.runtime import RouterRuntime
from chervilstall.gateway.server import RouterServer
from chervilstall.ids import TargetId
from chervilstall.measure.market import (
    completion_body,
    count_stream,
    market_settings,
    shape_texts,
)
from chervilstall.measure.shapes import CAPABILITY, Shape
from chervilstall.routing.flow import solve_flow
from chervilstall.settings.option import Address
from chervilstall.settings.processes import RetrySettings
from chervilstall.standin.embedded import EmbeddedRouter, start_embedded
from chervilstall.standin.engine import EngineOptions
from chervilstall.standin.faults import FOREVER, FaultKind

CALLERS = 160
TOKENS = 16
SCALE = 1.0
WARM_UP_S = 5.0
BEFORE_S = 3.0
AFTER_S = 9.0
BUCKET_S = 0.1
WINDOW_BUCKETS = 10
TARGET_SHARE = 0.95


@dataclass
class Fault:
    """A fault and the targets that are lost by it."""

    name: str
    strike: Callable[["RecoveryRun"], frozenset[TargetId]]


class RecoveryRun:
    """One marketplace under load, struck by one fault."""

    def __init__(self, shape_name: str, seed: int, retry: RetrySettings) -> None:
        self.shape, texts = shape_texts(shape_name, seed, SCALE)
        self.rng = random.Random(seed)
        zones = self.shape.zones
        first = market_settings(retry, zones[0])
        self.market: EmbeddedRouter = start_embedded(
            first, texts, EngineOptions(load_lag_s=0.2)
        )
        self.market.target_cluster.fabric.records_layer_runs = False
        second = market_settings(retry, zones[1 % len(zones)])
        runtime = self.market.runtime
        self.second = RouterServer(
            RouterRuntime(second, runtime.claims, runtime.limits.service)
        )
        self.second.runtime.apply_tree(runtime.tree)
        self.second.start()
        self.routers: list[Address] = [
            self.market.server.caller_address,
            self.second.caller_address,
        ]
        self.tokens = 0
        self.errors = 0

    def caller(self, number: int) -> None:
        """Send streamed requests one after the other, to the other router on error."""
        turn = number
        while True:
            address = self.routers[turn % len(self.routers)]
            body = completion_body(f"caller {number} {turn}", TOKENS)
            try:
                for count in count_stream(address, body):
                    self.tokens += count
            except OSError:
                self.errors += 1
                turn += 1
                gevent.sleep(0.02)

    def run(self, fault: Fault) -> tuple[list[float], float, frozenset[TargetId]]:
        """Return the rate per bucket after the fault, and the mean rate before it."""
        callers = [gevent.spawn(self.caller, number) for number in range(CALLERS)]
        gevent.sleep(WARM_UP_S)
        before = self.tokens
        gevent.sleep(BEFORE_S)
        rate_before = (self.tokens - before) / BEFORE_S
        lost = fault.strike(self)
        rates = []
        last = self.tokens
        at_s = time.monotonic()
        for _ in range(int(AFTER_S / BUCKET_S)):
            gevent.sleep(BUCKET_S)
            now_s = time.monotonic()
            rates.append((self.tokens - last) / (now_s - at_s))
            last, at_s = self.tokens, now_s
        gevent.killall(callers, block=False)
        self.second.stop()
        self.market.stop()
        return rates, rate_before, lost

    def engines(self) -> list[TargetId]:
        """Return the engines' names in a seeded order."""
        names = list(self.market.target_cluster.engines)
        self.rng.shuffle(names)
        return names


def strike_stage(run: RecoveryRun) -> frozenset[TargetId]:
    """Kill one engine."""
    victim = run.engines()[0]
    run.market.target_cluster.engines[victim].kill()
    return frozenset({victim})


def strike_silent(run: RecoveryRun) -> frozenset[TargetId]:
    """Let one engine's open and new connections go silent for a while."""
    victim = run.engines()[0]
    faults = run.market.target_cluster.engines[victim].engine.faults
    faults.arm(FaultKind.SILENT_AT_POSITION, times=40)
    return frozenset()


def strike_router(run: RecoveryRun) -> frozenset[TargetId]:
    """Kill one of the two routers."""
    run.second.caller_listener.kill_connections()
    run.second.runtime.stop()
    run.routers = run.routers[:1]
    return frozenset()


def strike_zone(run: RecoveryRun) -> frozenset[TargetId]:
    """Cut one zone: its engines are silent and its links are gone."""
    zone = run.shape.zones[-1]
    lost = set()
    fabric = run.market.target_cluster.fabric
    for other in run.shape.zones:
        if other != zone:
            fabric.cut_links |= {(zone, other), (other, zone)}
    for name, server in run.market.target_cluster.engines.items():
        if server.engine.options.zone != zone:
            continue
        lost.add(name)
        server.engine.faults.arm(FaultKind.SILENT_AT_POSITION, times=FOREVER)
        server.engine.faults.arm(FaultKind.SILENT_BEFORE_ACCEPT, times=FOREVER)
    return frozenset(lost)


FAULTS = (
    Fault("dead_stage", strike_stage),
    Fault("silent_connections", strike_silent),
    Fault("killed_router", strike_router),
    Fault("cut_zone", strike_zone),
)


def recovery_s(rates: list[float], wanted: float) -> float:
    """Return when the smoothed rate first stays at `wanted`; inf for never.

    >>> recovery_s([0.0, 0.0] + [10.0] * 30, 9.5)
    1.2
    """
    smoothed = []
    for index in range(len(rates)):
        window = rates[max(0, index - WINDOW_BUCKETS + 1) : index + 1]
        smoothed.append(sum(window) / len(window))
    for index in range(len(smoothed)):
        tail = smoothed[index:]
        if min(tail[:WINDOW_BUCKETS]) >= wanted:
            return round((index + 1) * BUCKET_S, 3) if index else 0.0
    return float("inf")


def new_bound_share(shape: Shape, lost: frozenset[TargetId]) -> float:
    """Return the bound without some targets, over the bound with all."""
    links = shape.links_tokens_per_s
    whole = solve_flow(shape.fleet().capabilities[CAPABILITY], links)
    left = solve_flow(shape.fleet(lost).capabilities[CAPABILITY], links)
    return left.bound_tokens_per_s / whole.bound_tokens_per_s


MECHANISMS = {
    "with": RetrySettings(budget_floor=200),
    "without_resume": RetrySettings(budget_floor=200, attempts_max=1),
}


def run_recovery(shape_name: str, seed: int) -> dict[str, object]:
    """Return seconds to recover per fault, with and without resuming."""
    figures: dict[str, object] = {
        "experiment": "recovery",
        "shape": shape_name,
        "seed": seed,
    }
    for mechanism, retry in MECHANISMS.items():
        faults: dict[str, object] = {}
        errors: dict[str, object] = {}
        for fault in FAULTS:
            run = RecoveryRun(shape_name, seed, retry)
            rates, rate_before, lost = run.run(fault)
            share = new_bound_share(run.shape, lost)
            faults[fault.name] = recovery_s(rates, TARGET_SHARE * share * rate_before)
            errors[fault.name] = run.errors
        name = "faults" if mechanism == "with" else f"faults_{mechanism}"
        figures[name] = faults
        figures[f"errors_{mechanism}"] = errors
    figures["worst_s"] = max(figures["faults"].values())  # type: ignore[attr-defined]
    return figures
