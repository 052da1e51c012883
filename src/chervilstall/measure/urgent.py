"""Latency of urgent requests with and without drafts that saturate the same engines.

Each zone has one router with an admission queue and a selector in front of simulated
accelerators. Drafts come from ten workspaces of equal weight, one of which has more
than half of the clients. Latencies with and without drafts are measured alternately.
"""

import random
import time
from collections import Counter

import gevent

from chervilstall.admission.queue import AdmissionQueue
from chervilstall.errors import ChervilstallError
from chervilstall.ids import WorkspaceName
from chervilstall.measure.policies import ChosenChain, SelectorPolicy
from chervilstall.measure.shapes import SHAPES, Shape
from chervilstall.measure.statistics import jain_index, median, percentile
from chervilstall.measure.throughput import SimulatedFleet
from chervilstall.settings.documents import RequestClass
from chervilstall.settings.processes import AdmissionSettings
from chervilstall.target.contract import Priority

WORKSPACES = 10
LARGE_WORKSPACE_CLIENTS = 300
SMALL_WORKSPACE_CLIENTS = 30
DRAFT_TOKENS = 12
URGENT_TOKENS = 3
URGENT_PER_S = 20.0
WARM_UP_S = 2.0
MEASURED_S = 10.0
ROUNDS = 2
ROUTER_CONCURRENCY = 60
DEADLINE_S = 120.0


class SimulatedRouters:
    """One router per zone in front of one simulated fleet."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.simulated_fleet = SimulatedFleet(shape)
        self.rng = random.Random(seed)
        self.urgent_latencies_s: list[float] = []
        self.draft_tokens: Counter[int] = Counter()
        self.drafts_lost = 0
        settings = AdmissionSettings(concurrency=ROUTER_CONCURRENCY)
        self.routers = [
            (AdmissionQueue(settings), SelectorPolicy(shape, zone, f"{zone}-0", seed))
            for zone in shape.zones
        ]
        self.tasks: list[gevent.Greenlet] = []

    def run_request(
        self, workspace: int, request_class: RequestClass, tokens: int
    ) -> float:
        """Run one request and return its latency in seconds."""
        queue, policy = self.rng.choice(self.routers)
        priority = Priority.URGENT
        if request_class is RequestClass.DRAFT:
            priority = Priority.DRAFT
        started_at_s = time.monotonic()
        chain: ChosenChain = queue.acquire(
            WorkspaceName(f"w{workspace}"),
            request_class,
            1.0,
            float(tokens),
            lambda: policy.choose(tokens, priority),
            started_at_s + DEADLINE_S,
        )
        for _ in range(tokens):
            self.simulated_fleet.run_token(chain.hops, priority)
            if request_class is RequestClass.DRAFT:
                self.draft_tokens[workspace] += 1
        policy.finish(chain)
        queue.finish(request_class)
        return time.monotonic() - started_at_s

    def run_draft_client(self, workspace: int) -> None:
        """Send drafts one after the other; count those that fail."""
        while True:
            try:
                self.run_request(workspace, RequestClass.DRAFT, DRAFT_TOKENS)
            except ChervilstallError:
                self.drafts_lost += 1

    def run_urgent_request(self) -> None:
        """Send one urgent request and record its latency."""
        latency_s = self.run_request(0, RequestClass.URGENT, URGENT_TOKENS)
        self.urgent_latencies_s.append(latency_s)

    def run(self, has_drafts: bool) -> None:
        """Send urgent requests for MEASURED_S after a warm-up.

        With `has_drafts`, clients send drafts all the time.
        """
        if has_drafts:
            for workspace in range(WORKSPACES):
                clients = (
                    LARGE_WORKSPACE_CLIENTS
                    if workspace == 0
                    else SMALL_WORKSPACE_CLIENTS
                )
                for _ in range(clients):
                    self.tasks.append(gevent.spawn(self.run_draft_client, workspace))
        gevent.sleep(WARM_UP_S)
        self.draft_tokens.clear()
        ends_at_s = time.monotonic() + MEASURED_S
        urgent_tasks = []
        while time.monotonic() < ends_at_s:
            gevent.sleep(self.rng.expovariate(URGENT_PER_S))
            urgent_tasks.append(gevent.spawn(self.run_urgent_request))
        gevent.joinall(urgent_tasks, raise_error=True)
        gevent.killall(self.tasks)
        self.simulated_fleet.stop()


def run_urgent(shape_name: str, seed: int, scale: float) -> dict[str, object]:
    """Return the latency ratios of urgent requests and the fairness among drafts.

    Ratios divide the latency with drafts by that without; fairness is the lowest Jain
    index of the draft tokens per workspace.
    """
    shape = SHAPES[shape_name](random.Random(seed), scale)
    with_drafts_s: list[float] = []
    without_drafts_s: list[float] = []
    fairness_indexes = []
    lost_drafts = 0
    for round_number in range(ROUNDS):
        without_drafts = SimulatedRouters(shape, seed + round_number)
        without_drafts.run(has_drafts=False)
        without_drafts_s += without_drafts.urgent_latencies_s
        with_drafts = SimulatedRouters(shape, seed + round_number)
        with_drafts.run(has_drafts=True)
        with_drafts_s += with_drafts.urgent_latencies_s
        tokens_by_workspace = [
            float(with_drafts.draft_tokens[number]) for number in range(WORKSPACES)
        ]
        fairness_indexes.append(jain_index(tokens_by_workspace))
        lost_drafts += with_drafts.drafts_lost
    return {
        "experiment": "urgent",
        "shape": shape_name,
        "seed": seed,
        "urgent_requests": len(with_drafts_s),
        "urgent_p50_ratio": median(with_drafts_s) / median(without_drafts_s),
        "urgent_p99_ratio": percentile(with_drafts_s, 0.99)
        / percentile(without_drafts_s, 0.99),
        "urgent_p99_ms": percentile(with_drafts_s, 0.99) * 1e3,
        "drafts_lost": lost_drafts,
        "draft_jain": min(fairness_indexes),
    }
