"""At-most-once execution of non-idempotent requests under random faults.

Callers send seat holds with idempotency keys and repeat each until it is answered or
its outcome is reported as unknown. Meanwhile faults are injected at random into the
services, the store and the home of the keys. The ledger of the services shows which
requests were executed, and how often.
"""

import random
import time
from collections import Counter
from dataclasses import dataclass, field

import gevent
import msgspec

from chervilstall.idempotency.home import HomeState, SlotHome
from chervilstall.idempotency.local_claims import LocalClaimService
from chervilstall.ids import Epoch
from chervilstall.measure.testbed import (
    CallResult,
    call,
    router_settings,
    service_texts,
)
from chervilstall.settings.agents import IdempotencySettings
from chervilstall.settings.processes import RetrySettings
from chervilstall.standin.embedded import EmbeddedRouter, start_embedded
from chervilstall.standin.engine import EngineOptions
from chervilstall.standin.faults import FaultKind
from chervilstall.standin.target_server import operation_name

CALLERS = 48
SERVICE_INSTANCES = 3
ATTEMPTS_MAX = 6
FAULT_INTERVAL_S = 0.1
FAILOVER_INTERVAL_S = 2.0
OPEN_RETRY_DELAY_S = 0.02
SERVICE_FAULTS = (
    FaultKind.REFUSE,
    FaultKind.CLOSE_BEFORE_RUN,
    FaultKind.CLOSE_AFTER_RUN,
    FaultKind.SILENT_BEFORE_ACCEPT,
    FaultKind.SILENT_AFTER_RUN,
    FaultKind.WRONG_REQUEST,
    FaultKind.OLD_ATTEMPT,
)
STORE_FAULTS = (
    FaultKind.OUTAGE,
    FaultKind.LOSE_ANSWER,
    FaultKind.SLOW,
    FaultKind.STALE_READS,
)
HOLD_PATH = "/services/holds/seats"


@dataclass
class CallerCounts:
    """Results that the callers received.

    `lost` counts answered requests that were not executed, `crossed` answers that
    belong to another request, and `false_not_run` requests that were executed although
    the router reported that they were not. `given_up` lists the operations that had
    no answer after ATTEMPTS_MAX attempts; `kinds` counts the error codes.
    """

    answers: int = 0
    not_run: int = 0
    unknown: int = 0
    repeats: int = 0
    lost: int = 0
    crossed: int = 0
    false_not_run: int = 0
    given_up: list[str] = field(default_factory=list)
    kinds: Counter[str] = field(default_factory=Counter)


class EffectsExperiment:
    """One run of the callers against an embedded router, repeatable by its seed."""

    def __init__(self, requests: int, seed: int) -> None:
        self.requests = requests
        self.rng = random.Random(seed)
        self.counts = CallerCounts()
        self.runs: Counter[str] = Counter()
        self.failovers = 0
        self.faults = 0
        self._next_number = 0
        idempotency = IdempotencySettings(
            commit_interval_s=0.01, claim_timeout_s=1.0, retention_s=3_600.0
        )
        self.embedded: EmbeddedRouter = start_embedded(
            router_settings(RetrySettings(budget_floor=1_000), "zone-a"),
            service_texts(SERVICE_INSTANCES),
            EngineOptions(),
            idempotency,
        )

    def run(self) -> float:
        """Send every request and return the seconds it took."""
        started_at_s = time.monotonic()
        fault_tasks = [gevent.spawn(self._arm_faults), gevent.spawn(self._replace_home)]
        callers = [gevent.spawn(self._run_caller) for _ in range(CALLERS)]
        gevent.joinall(callers, raise_error=True)
        gevent.killall(fault_tasks)
        elapsed_s = time.monotonic() - started_at_s
        for run in self.embedded.target_cluster.ledger.service_runs:
            self.runs[run.operation] += 1
        self.embedded.stop()
        return elapsed_s

    # Faults

    def _arm_faults(self) -> None:
        services = list(self.embedded.target_cluster.services.values())
        while True:
            gevent.sleep(self.rng.expovariate(1.0 / FAULT_INTERVAL_S))
            self.faults += 1
            if self.rng.random() < 0.8:
                service = self.rng.choice(services).service
                service.faults.arm(self.rng.choice(SERVICE_FAULTS))
                continue
            store = self.embedded.store
            kind = self.rng.choice(STORE_FAULTS)
            store.keep_stale_copy()
            store.faults.arm(kind, delay_s=0.05, times=self.rng.randint(1, 5))

    def _replace_home(self) -> None:
        """Replace the home of the slot at random intervals.

        Half of the old homes are killed. The others are left running, as after a pause
        of the process, and are fenced by the epoch of their successor.
        """
        claims = self.embedded.runtime.claims
        assert isinstance(claims, LocalClaimService)
        while True:
            gevent.sleep(self.rng.expovariate(1.0 / FAILOVER_INTERVAL_S))
            old_home = self.embedded.home
            epoch = Epoch(old_home.epoch + 1)
            home = SlotHome(
                self.embedded.store, old_home.slot, epoch, old_home.settings
            )
            if self.rng.random() < 0.5:
                old_home.abandon()
            while home.state is HomeState.OPENING:
                try:
                    home.open()
                except Exception:
                    gevent.sleep(OPEN_RETRY_DELAY_S)
            gevent.spawn(home.serve)
            claims.homes[home.slot] = home
            self.embedded.home = home
            self.failovers += 1

    # Callers

    def _run_caller(self) -> None:
        while self._next_number < self.requests:
            number = self._next_number
            self._next_number += 1
            self._send_hold(f"hold-{number}")

    def _send_hold(self, name: str) -> None:
        body = msgspec.json.encode({"hold": name})
        operation = operation_name("/seats", body)
        for attempt in range(1, ATTEMPTS_MAX + 1):
            result = call(
                self.embedded.server.caller_address,
                "POST",
                HOLD_PATH,
                body,
                Idempotency_Key=name,
                Idempotency_Attempt=str(attempt),
            )
            if self._count_result(result, operation):
                return
            self.counts.repeats += 1
        self.counts.given_up.append(operation)

    def _count_result(self, result: CallResult, operation: str) -> bool:
        """Count a result and return False if the request has to be repeated."""
        if result.status == 200:
            self.counts.answers += 1
            if msgspec.json.decode(result.body).get("operation") != operation:
                self.counts.crossed += 1
            if not self._has_run(operation):
                self.counts.lost += 1
            return True
        if result.status:
            error = msgspec.json.decode(result.body)["error"]
            self.counts.kinds[error["code"]] += 1
        if result.ran == "no":
            self.counts.not_run += 1
            if self._has_run(operation):
                self.counts.false_not_run += 1
            return False
        self.counts.unknown += 1
        return True

    def _has_run(self, operation: str) -> bool:
        return self.embedded.target_cluster.ledger.has_operation(operation)


def run_effects(requests: int, seed: int) -> dict[str, object]:
    """Return the counts of one run with many non-idempotent requests.

    `double_runs`, `lost`, `false_not_run` and `crossed` must be 0.
    """
    experiment = EffectsExperiment(requests, seed)
    elapsed_s = experiment.run()
    counts = experiment.counts
    double_runs = sum(count > 1 for count in experiment.runs.values())
    return {
        "experiment": "effects",
        "seed": seed,
        "requests": requests,
        "double_runs": double_runs,
        "lost": counts.lost,
        "false_not_run": counts.false_not_run,
        "crossed": counts.crossed,
        "answers": counts.answers,
        "not_run_answers": counts.not_run,
        "unknown_answers": counts.unknown,
        "repeats": counts.repeats,
        "given_up": len(counts.given_up),
        "error_kinds": dict(counts.kinds),
        "faults": experiment.faults,
        "take_overs": experiment.failovers,
        "store_writes_per_s": experiment.embedded.store.calls.writes / elapsed_s,
        "requests_per_s": requests / elapsed_s,
    }
