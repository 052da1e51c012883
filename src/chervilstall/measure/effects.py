"""Single effects of non-idempotent requests under random faults.

Callers place seat holds under keys and repeat each until they have an answer or are
told that the outcome is unknown. Faults at the services, the store and the key's home
are armed at random throughout. The ledger then tells what really ran.
"""

import random
import time
from collections import Counter
from dataclasses import dataclass, field

import gevent
import msgspec

from chervilstall.idempotency.home import HomeState, LocalClaimService, SlotHome
from chervilstall.ids import Epoch
from chervilstall.measure.market import (
    CallResult,
    call,
    market_settings,
    service_texts,
)
from chervilstall.settings.agents import IdempotencySettings
from chervilstall.settings.processes import RetrySettings
from chervilstall.standin.embedded import EmbeddedRouter, start_embedded
from chervilstall.standin.engine import EngineOptions
from chervilstall.standin.faults import FaultKind
from chervilstall.standin.target_server import operation_name

CALLERS = 48
INSTANCES = 3
REPEATS_MAX = 6
FAULT_INTERVAL_S = 0.1
TAKE_OVER_INTERVAL_S = 2.0
OPEN_RETRY_S = 0.02
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
PATH = "/services/holds/seats"


@dataclass
class EffectCounts:
    """What the callers saw."""

    answers: int = 0
    not_run: int = 0
    unknown: int = 0
    repeats: int = 0
    lost: int = 0
    crossed: int = 0
    false_not_run: int = 0
    given_up: list[str] = field(default_factory=list)
    kinds: Counter[str] = field(default_factory=Counter)


class EffectsRun:
    """One run with a seed."""

    def __init__(self, requests: int, seed: int) -> None:
        self.requests = requests
        self.rng = random.Random(seed)
        self.counts = EffectCounts()
        self.runs: Counter[str] = Counter()
        self.take_overs = 0
        self.faults = 0
        self._next = 0
        idempotency = IdempotencySettings(
            commit_interval_s=0.01, claim_timeout_s=1.0, retention_s=3_600.0
        )
        self.market: EmbeddedRouter = start_embedded(
            market_settings(RetrySettings(budget_floor=1_000), "zone-a"),
            service_texts(INSTANCES),
            EngineOptions(),
            idempotency,
        )

    def run(self) -> float:
        """Send every request and return the seconds it took."""
        started_at_s = time.monotonic()
        troubles = [gevent.spawn(self._arm_faults), gevent.spawn(self._move_home)]
        callers = [gevent.spawn(self._caller) for _ in range(CALLERS)]
        gevent.joinall(callers, raise_error=True)
        gevent.killall(troubles)
        elapsed_s = time.monotonic() - started_at_s
        for run in self.market.target_cluster.ledger.service_runs:
            self.runs[run.operation] += 1
        self.market.stop()
        return elapsed_s

    # Faults

    def _arm_faults(self) -> None:
        services = list(self.market.target_cluster.services.values())
        while True:
            gevent.sleep(self.rng.expovariate(1.0 / FAULT_INTERVAL_S))
            self.faults += 1
            if self.rng.random() < 0.8:
                service = self.rng.choice(services).service
                service.faults.arm(self.rng.choice(SERVICE_FAULTS))
                continue
            store = self.market.store
            kind = self.rng.choice(STORE_FAULTS)
            store.keep_stale_copy()
            store.faults.arm(kind, delay_s=0.05, times=self.rng.randint(1, 5))

    def _move_home(self) -> None:
        """Let a new home take the slot over, the old one being killed or paused."""
        claims = self.market.runtime.claims
        assert isinstance(claims, LocalClaimService)
        while True:
            gevent.sleep(self.rng.expovariate(1.0 / TAKE_OVER_INTERVAL_S))
            old = self.market.home
            epoch = Epoch(old.epoch + 1)
            home = SlotHome(self.market.store, old.slot, epoch, old.settings)
            if self.rng.random() < 0.5:
                old.abandon()
            while home.state is HomeState.OPENING:
                try:
                    home.open()
                except Exception:
                    gevent.sleep(OPEN_RETRY_S)
            gevent.spawn(home.serve)
            claims.homes[home.slot] = home
            self.market.home = home
            self.take_overs += 1

    # Callers

    def _caller(self) -> None:
        while self._next < self.requests:
            number = self._next
            self._next += 1
            self._place_hold(f"hold-{number}")

    def _place_hold(self, name: str) -> None:
        body = msgspec.json.encode({"hold": name})
        operation = operation_name("/seats", body)
        for attempt in range(1, REPEATS_MAX + 1):
            result = call(
                self.market.server.caller_address,
                "POST",
                PATH,
                body,
                Idempotency_Key=name,
                Idempotency_Attempt=str(attempt),
            )
            if self._is_settled(result, operation):
                return
            self.counts.repeats += 1
        self.counts.given_up.append(operation)

    def _is_settled(self, result: CallResult, operation: str) -> bool:
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
        return self.market.target_cluster.ledger.has_operation(operation)


def run_effects(requests: int, seed: int) -> dict[str, object]:
    """Return what went wrong over many non-idempotent requests; all should be 0."""
    experiment = EffectsRun(requests, seed)
    elapsed_s = experiment.run()
    counts = experiment.counts
    doubles = sum(count > 1 for count in experiment.runs.values())
    return {
        "experiment": "effects",
        "seed": seed,
        "requests": requests,
        "double_runs": doubles,
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
        "take_overs": experiment.take_overs,
        "store_writes_per_s": experiment.market.store.calls.writes / elapsed_s,
        "requests_per_s": requests / elapsed_s,
    }
