"""Recovery time after a fault: seconds until 95% of what the remaining hardware allows.

Two routers serve one set of stand-in targets in one process. Callers in a closed loop
switch to the other router when a request fails. After a fault, the max-flow bound is
computed again without the lost targets. The rate required for recovery is 95% of the
rate before the fault, scaled by the new bound over the old one; the recovery time ends
when the smoothed rate reaches it and stays there.
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from chervilstall.gateway.runtime import RouterRuntime
from chervilstall.gateway.server import RouterServer
from chervilstall.ids import TargetId
from chervilstall.measure.shapes import CAPABILITY, Shape
from chervilstall.measure.testbed import (
    completion_body,
    router_settings,
    shape_texts,
    stream_token_counts,
)
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
BASELINE_S = 3.0
RECOVERY_WINDOW_S = 9.0
BUCKET_S = 0.1
SMOOTHING_BUCKETS = 10
RECOVERED_SHARE = 0.95


@dataclass
class FaultScenario:
    """A fault; `inject` returns the targets that are lost by it."""

    name: str
    inject: Callable[["RecoveryExperiment"], frozenset[TargetId]]


class RecoveryExperiment:
    """Two routers and their targets under load, with one fault injected."""

    def __init__(self, shape_name: str, seed: int, retry: RetrySettings) -> None:
        self.shape, texts = shape_texts(shape_name, seed, SCALE)
        self.rng = random.Random(seed)
        zones = self.shape.zones
        first_settings = router_settings(retry, zones[0])
        self.embedded: EmbeddedRouter = start_embedded(
            first_settings, texts, EngineOptions(load_lag_s=0.2)
        )
        self.embedded.target_cluster.fabric.records_layer_runs = False
        second_settings = router_settings(retry, zones[1 % len(zones)])
        runtime = self.embedded.runtime
        self.second_router = RouterServer(
            RouterRuntime(second_settings, runtime.claims, runtime.limits.service)
        )
        self.second_router.runtime.apply_tree(runtime.tree)
        self.second_router.start()
        self.routers: list[Address] = [
            self.embedded.server.caller_address,
            self.second_router.caller_address,
        ]
        self.tokens = 0
        self.errors = 0

    def run_caller(self, number: int) -> None:
        """Send streamed requests one after the other; switch routers after an error."""
        router_index = number
        while True:
            address = self.routers[router_index % len(self.routers)]
            body = completion_body(f"caller {number} {router_index}", TOKENS)
            try:
                for count in stream_token_counts(address, body):
                    self.tokens += count
            except OSError:
                self.errors += 1
                router_index += 1
                gevent.sleep(0.02)

    def run(
        self, scenario: FaultScenario
    ) -> tuple[list[float], float, frozenset[TargetId]]:
        """Inject a fault under load.

        Returns the rate in each bucket of BUCKET_S after the fault, the mean rate
        before it (both in tokens per second), and the lost targets.
        """
        callers = [gevent.spawn(self.run_caller, number) for number in range(CALLERS)]
        gevent.sleep(WARM_UP_S)
        tokens_before = self.tokens
        gevent.sleep(BASELINE_S)
        rate_before = (self.tokens - tokens_before) / BASELINE_S
        lost = scenario.inject(self)
        rates = []
        last_tokens = self.tokens
        last_at_s = time.monotonic()
        for _ in range(int(RECOVERY_WINDOW_S / BUCKET_S)):
            gevent.sleep(BUCKET_S)
            now_s = time.monotonic()
            rates.append((self.tokens - last_tokens) / (now_s - last_at_s))
            last_tokens, last_at_s = self.tokens, now_s
        gevent.killall(callers, block=False)
        self.second_router.stop()
        self.embedded.stop()
        return rates, rate_before, lost

    def shuffled_engines(self) -> list[TargetId]:
        """Return the names of the engines in random order, repeatable by the seed."""
        names = list(self.embedded.target_cluster.engines)
        self.rng.shuffle(names)
        return names


def kill_engine(experiment: RecoveryExperiment) -> frozenset[TargetId]:
    """Kill one engine."""
    target = experiment.shuffled_engines()[0]
    experiment.embedded.target_cluster.engines[target].kill()
    return frozenset({target})


def silence_connections(experiment: RecoveryExperiment) -> frozenset[TargetId]:
    """Make the next 40 streams of one engine, open or new, go silent."""
    target = experiment.shuffled_engines()[0]
    faults = experiment.embedded.target_cluster.engines[target].engine.faults
    faults.arm(FaultKind.SILENT_AT_POSITION, times=40)
    return frozenset()


def kill_router(experiment: RecoveryExperiment) -> frozenset[TargetId]:
    """Kill one of the two routers."""
    experiment.second_router.caller_listener.kill_connections()
    experiment.second_router.runtime.stop()
    experiment.routers = experiment.routers[:1]
    return frozenset()


def isolate_zone(experiment: RecoveryExperiment) -> frozenset[TargetId]:
    """Isolate one zone: its engines go silent and its links to other zones are cut."""
    zone = experiment.shape.zones[-1]
    lost = set()
    fabric = experiment.embedded.target_cluster.fabric
    for other in experiment.shape.zones:
        if other != zone:
            fabric.cut_links |= {(zone, other), (other, zone)}
    for name, server in experiment.embedded.target_cluster.engines.items():
        if server.engine.options.zone != zone:
            continue
        lost.add(name)
        server.engine.faults.arm(FaultKind.SILENT_AT_POSITION, times=FOREVER)
        server.engine.faults.arm(FaultKind.SILENT_BEFORE_ACCEPT, times=FOREVER)
    return frozenset(lost)


SCENARIOS = (
    FaultScenario("dead_stage", kill_engine),
    FaultScenario("silent_connections", silence_connections),
    FaultScenario("killed_router", kill_router),
    FaultScenario("cut_zone", isolate_zone),
)


def recovery_s(rates: list[float], required_rate: float) -> float:
    """Return the seconds until the smoothed rate stays at `required_rate` or above.

    `rates` holds one rate per bucket. The smoothed rate is the mean of the last
    SMOOTHING_BUCKETS buckets; it has to hold for as many buckets. Returns infinity if
    it never does.

    >>> recovery_s([0.0, 0.0] + [10.0] * 30, 9.5)
    1.2
    """
    smoothed = []
    for index in range(len(rates)):
        window = rates[max(0, index - SMOOTHING_BUCKETS + 1) : index + 1]
        smoothed.append(sum(window) / len(window))
    for index in range(len(smoothed)):
        tail = smoothed[index:]
        if min(tail[:SMOOTHING_BUCKETS]) >= required_rate:
            return round((index + 1) * BUCKET_S, 3) if index else 0.0
    return float("inf")


def remaining_bound_share(shape: Shape, lost: frozenset[TargetId]) -> float:
    """Return the bound without the lost targets as a share of the full bound."""
    links = shape.links_tokens_per_s
    full_plan = solve_flow(shape.fleet().capabilities[CAPABILITY], links)
    remaining_plan = solve_flow(shape.fleet(lost).capabilities[CAPABILITY], links)
    return remaining_plan.bound_tokens_per_s / full_plan.bound_tokens_per_s


RETRY_VARIANTS = {
    "with": RetrySettings(budget_floor=200),
    "without_resume": RetrySettings(budget_floor=200, attempts_max=1),
}


def run_recovery(shape_name: str, seed: int) -> dict[str, object]:
    """Return the seconds to recover per fault, with and without resuming streams."""
    figures: dict[str, object] = {
        "experiment": "recovery",
        "shape": shape_name,
        "seed": seed,
    }
    for variant, retry in RETRY_VARIANTS.items():
        faults: dict[str, object] = {}
        errors: dict[str, object] = {}
        for scenario in SCENARIOS:
            experiment = RecoveryExperiment(shape_name, seed, retry)
            rates, rate_before, lost = experiment.run(scenario)
            share = remaining_bound_share(experiment.shape, lost)
            faults[scenario.name] = recovery_s(
                rates, RECOVERED_SHARE * share * rate_before
            )
            errors[scenario.name] = experiment.errors
        name = "faults" if variant == "with" else f"faults_{variant}"
        figures[name] = faults
        figures[f"errors_{variant}"] = errors
    figures["worst_s"] = max(figures["faults"].values())  # type: ignore[attr-defined]
    return figures
