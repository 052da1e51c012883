"""Urgent latency with and without drafts that saturate the same engines.

Requests pass through one router's admission queue and selector per zone onto stand-in
accelerators. Drafts come from ten workspaces of equal weight, one of them with more
than half of the clients. Latencies with and without drafts are taken in turns.
"""

import random
import time
from collections import Counter

import gevent

from chervilstall.admission.queue import AdmissionQueue
from chervilstall.errors import ChervilstallError
from chervilstall.ids import WorkspaceName
from chervilstall.measure.baselines import Choice, Selecting
from chervilstall.measure.shapes import SHAPES, Shape
from chervilstall.measure.statistics import jain_index, median, percentile
from chervilstall.measure.throughput import Accelerators
from chervilstall.settings.documents import RequestClass
from chervilstall.settings.processes import AdmissionSettings
from chervilstall.target.contract import Priority

WORKSPACES = 10
LARGE_CLIENTS = 300
SMALL_CLIENTS = 30
DRAFT_TOKENS = 12
URGENT_TOKENS = 3
URGENT_PER_S = 20.0
WARM_UP_S = 2.0
MEASURED_S = 10.0
TURNS = 2
ROUTER_CONCURRENCY = 60
DEADLINE_S = 120.0


class Routers:
    """One router per zone before one set of accelerators."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.accelerators = Accelerators(shape)
        self.rng = random.Random(seed)
        self.urgent_s: list[float] = []
        self.draft_tokens: Counter[int] = Counter()
        self.drafts_lost = 0
        settings = AdmissionSettings(concurrency=ROUTER_CONCURRENCY)
        self.routers = [
            (AdmissionQueue(settings), Selecting(shape, zone, f"{zone}-0", seed))
            for zone in shape.zones
        ]
        self.tasks: list[gevent.Greenlet] = []

    def request(
        self, workspace: int, request_class: RequestClass, tokens: int
    ) -> float:
        """Run one request and return its latency in seconds."""
        queue, chooser = self.rng.choice(self.routers)
        priority = Priority.URGENT
        if request_class is RequestClass.DRAFT:
            priority = Priority.DRAFT
        started_at_s = time.monotonic()
        choice: Choice = queue.acquire(
            WorkspaceName(f"w{workspace}"),
            request_class,
            1.0,
            float(tokens),
            lambda: chooser.choose(tokens, priority),
            started_at_s + DEADLINE_S,
        )
        for _ in range(tokens):
            self.accelerators.run_token(choice.hops, priority)
            if request_class is RequestClass.DRAFT:
                self.draft_tokens[workspace] += 1
        chooser.finish(choice)
        queue.finish(request_class)
        return time.monotonic() - started_at_s

    def draft_client(self, workspace: int) -> None:
        """Send drafts one after the other."""
        while True:
            try:
                self.request(workspace, RequestClass.DRAFT, DRAFT_TOKENS)
            except ChervilstallError:
                self.drafts_lost += 1

    def urgent_request(self) -> None:
        """Send one urgent request and note its latency."""
        latency_s = self.request(0, RequestClass.URGENT, URGENT_TOKENS)
        self.urgent_s.append(latency_s)

    def run(self, has_drafts: bool) -> None:
        """Run for the measured time after a warm-up."""
        if has_drafts:
            for workspace in range(WORKSPACES):
                clients = LARGE_CLIENTS if workspace == 0 else SMALL_CLIENTS
                for _ in range(clients):
                    self.tasks.append(gevent.spawn(self.draft_client, workspace))
        gevent.sleep(WARM_UP_S)
        self.draft_tokens.clear()
        ends_at_s = time.monotonic() + MEASURED_S
        urgent = []
        while time.monotonic() < ends_at_s:
            gevent.sleep(self.rng.expovariate(URGENT_PER_S))
            urgent.append(gevent.spawn(self.urgent_request))
        gevent.joinall(urgent, raise_error=True)
        gevent.killall(self.tasks)
        self.accelerators.stop()


def run_urgent(shape_name: str, seed: int, scale: float) -> dict[str, object]:
    """Return urgent p99 with drafts over that without, and drafts' fairness."""
    shape = SHAPES[shape_name](random.Random(seed), scale)
    with_s: list[float] = []
    without_s: list[float] = []
    jains = []
    lost = 0
    for turn in range(TURNS):
        quiet = Routers(shape, seed + turn)
        quiet.run(has_drafts=False)
        without_s += quiet.urgent_s
        busy = Routers(shape, seed + turn)
        busy.run(has_drafts=True)
        with_s += busy.urgent_s
        shares = [float(busy.draft_tokens[number]) for number in range(WORKSPACES)]
        jains.append(jain_index(shares))
        lost += busy.drafts_lost
    return {
        "experiment": "urgent",
        "shape": shape_name,
        "seed": seed,
        "urgent_requests": len(with_s),
        "urgent_p50_ratio": median(with_s) / median(without_s),
        "urgent_p99_ratio": percentile(with_s, 0.99) / percentile(without_s, 0.99),
        "urgent_p99_ms": percentile(with_s, 0.99) * 1e3,
        "drafts_lost": lost,
        "draft_jain": min(jains),
    }
