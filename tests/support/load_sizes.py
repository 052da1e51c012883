"""Sizes of the messages of a router under the load that it has in a fleet of a size."""

import random
from dataclasses import dataclass

from chervilstall.edge.loads.messages import encode_message
from chervilstall.edge.loads.neighbours import interval_s, neighbour_limit
from chervilstall.edge.loads.reporter import LoadReporter
from chervilstall.edge.loads.zones import BYTES_PER_S_MAX, sums_interval_s
from chervilstall.fleet.records import Target
from chervilstall.ids import VmId, WorkspaceName
from chervilstall.paths.load import LoadTracker
from chervilstall.paths.peer_loads import DemandClass
from chervilstall.paths.records import Path, PathStage
from tests.support.clock import Clock
from tests.support.load_zone import STREAM_S, TOKENS
from tests.support.model_targets import LOCAL, make_target

STAGES = 3
WORKSPACES = 20
PREFILL_S = 0.01
WARM_S, MEASURED_S = 40.0, 40.0


@dataclass(frozen=True)
class RouterCase:
    """A router of one of some zones: its routers and targets, and its own requests."""

    zones: int
    zone_routers: int
    zone_targets: int
    requests_per_s: float


@dataclass(frozen=True)
class RouterTraffic:
    """What one router sends; it receives as much where all have the same load.

    `zones` is the number of other zones.
    """

    zones: int
    neighbours: int
    interval_s: float
    mean_bytes: float
    largest_bytes: int

    @property
    def bytes_per_s(self) -> float:
        """Return the bytes that a router sends and receives a second for reports."""
        return 2 * self.neighbours * self.mean_bytes / self.interval_s

    @property
    def sums_bytes_per_s_max(self) -> float:
        """Return the most bytes that the sums of zones take, 0 if they are too large.

        A sum of a zone names at least the targets that this router has named at once.
        """
        if sums_interval_s(self.zones, self.largest_bytes) is None:
            return 0.0
        return BYTES_PER_S_MAX


def measure(case: RouterCase, seed: int = 1) -> RouterTraffic:
    """Play the requests of one router and measure the messages that it sends."""
    rng = random.Random(seed)
    clock = Clock()
    try:
        return _measure(case, rng, clock)
    finally:
        clock.stop()


def _measure(case: RouterCase, rng: random.Random, clock: Clock) -> RouterTraffic:
    targets = [
        make_target(f"target-{number:05d}", LOCAL, 0, 8)
        for number in range(case.zone_targets)
    ]
    neighbours = min(case.zone_routers - 1, neighbour_limit(case.zone_targets))
    load = LoadTracker()
    reporter = LoadReporter(VmId("vm-1234"), load, rng.getrandbits(48))
    running: list[tuple[float, Path]] = []
    began_s = clock.now_s
    next_request_s, mean_bytes, sizes = began_s, 200.0, []
    report_at_s = began_s
    while clock.now_s < began_s + WARM_S + MEASURED_S:
        while next_request_s <= report_at_s:
            clock.now_s = next_request_s
            running.append((clock.now_s + rng.uniform(*STREAM_S), _path(rng, targets)))
            _begin(load, rng, running[-1][1])
            next_request_s += rng.expovariate(case.requests_per_s)
        clock.now_s = report_at_s
        for ended in [each for each in running if each[0] <= clock.now_s]:
            running.remove(ended)
            load.remove(ended[1], TOKENS)
        size = len(encode_message(reporter.next_message())) + 2
        mean_bytes += 0.2 * (size - mean_bytes)
        if clock.now_s > began_s + WARM_S:
            sizes.append(size)
        report_at_s += interval_s(neighbours, mean_bytes)
    mean = sum(sizes) / len(sizes)
    interval = MEASURED_S / len(sizes)
    return RouterTraffic(case.zones - 1, neighbours, interval, mean, max(sizes))


def _path(rng: random.Random, targets: list[Target]) -> Path:
    chosen = rng.sample(targets, min(STAGES, len(targets)))
    return Path(tuple(PathStage(target, target.layers) for target in chosen))


def _begin(load: LoadTracker, rng: random.Random, path: Path) -> None:
    load.add(path, TOKENS)
    for stage in path.stages:
        load.add_prefill(stage.target.incarnation, PREFILL_S)
    workspace = WorkspaceName(f"workspace-{rng.randrange(WORKSPACES)}")
    load.demand.add(DemandClass(rng.randrange(3), workspace))
