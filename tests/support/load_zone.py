"""A zone of routers that exchange load, without a network and on a clock of its own.

The choice of paths, the messages and what is done with them are the product's.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from chervilstall.edge.loads.keys import TargetKeys
from chervilstall.edge.loads.messages import decode_message, encode_message
from chervilstall.edge.loads.neighbours import (
    choose_neighbours,
    interval_s,
    neighbour_limit,
)
from chervilstall.edge.loads.receiver import LoadReceiver
from chervilstall.edge.loads.reporter import LoadReporter
from chervilstall.fleet.records import Target, TargetIncarnation
from chervilstall.fleet.view import FleetView
from chervilstall.ids import VmId
from chervilstall.paths.capacity import token_capacity
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.records import Path, PathRequest
from chervilstall.platform.peers import Peer
from chervilstall.settings.option import Address
from tests.support.clock import Clock
from tests.support.model_targets import LOCAL, PIPELINE, SERVICE, make_target

READ_S = 0.1
TOKENS = 800.0
STREAM_S = (5.4, 9.3)
"""Shortest and longest stream: 34 to 58 events of 5 tokens, 32 ms a token."""

USE = 0.75
SLOW_FACTOR = 15.0


@dataclass(frozen=True)
class ZoneCase:
    """One zone of a fleet: its routers, and targets for each half of the layers.

    `zone_targets` is the number of targets that a zone of this size has, where the
    model plays fewer. With `is_mixed`, the targets of every second copy of the model
    take `SLOW_FACTOR` times as long for a step.
    """

    routers: int
    targets: int
    zone_targets: int
    requests_per_s: float
    reporting: bool = True
    is_mixed: bool = False


@dataclass
class ModelRouter:
    """One router: its choice of paths and its side of the exchange."""

    case: ZoneCase
    vm: VmId
    targets: list[Target]
    rng: random.Random
    is_reporting: bool = True
    sent_bytes: int = 0

    def __post_init__(self) -> None:
        self.fleet_view = FleetView(drain_s=2.0)
        for target in self.targets:
            self.fleet_view.update_target(target)
        self.chooser = PathChooser(
            self.fleet_view, LOCAL, 1, self.case.routers, self.rng
        )
        self.chooser.zone_routers = self.case.routers
        run = self.rng.getrandbits(48)
        self.reporter = LoadReporter(self.vm, self.chooser.load, run)
        keys = TargetKeys(self.fleet_view)
        self.receiver = LoadReceiver(self.vm, self.chooser.peer_loads, keys)
        self.neighbours: dict[VmId, Peer] = {}


@dataclass
class LoadZone:
    """Plays one case; times are seconds of the model's clock."""

    case: ZoneCase
    seed: int
    clock: Clock = field(default_factory=Clock)
    routers: dict[VmId, ModelRouter] = field(default_factory=dict)
    arrivals: Counter[tuple[TargetIncarnation, int]] = field(default_factory=Counter)
    refused: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.began_s = self.clock.now_s
        halves = [(0, 4), (4, 8)] * self.case.targets
        self.targets = [
            make_target(f"t{number}", LOCAL, first, end)
            for number, (first, end) in enumerate(halves)
        ]
        if self.case.is_mixed:
            self.targets = [
                replace(target, accelerator="slow") if number // 2 % 2 else target
                for number, target in enumerate(self.targets)
            ]
        # Targets hold as much as the requests take up at the use `USE`.
        streams = self.case.requests_per_s * sum(STREAM_S) / 2.0
        tokens = streams * TOKENS / self.case.targets / USE
        capacity = token_capacity(PIPELINE, self.targets[0])
        bytes_per_token = PIPELINE.kv_bytes_per_token * capacity / tokens
        per_target = self.case.requests_per_s / self.case.targets
        card = PIPELINE.accelerators["card"]
        slow = replace(card, name="slow", step_factor=SLOW_FACTOR)
        pipeline = replace(
            PIPELINE,
            accelerators={"card": card, "slow": slow},
            kv_bytes_per_token=bytes_per_token,
            prefill_tokens_per_s=PIPELINE.prefill_tokens_per_s * per_target / 40.0,
        )
        self.service = replace(SERVICE, pipeline=pipeline)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        peers = [self._peer(number) for number in range(self.case.routers)]
        limit = neighbour_limit(self.case.zone_targets)
        for peer in peers:
            rng = random.Random(self.rng.random())
            router = ModelRouter(self.case, peer.vm, list(self.targets), rng)
            router.neighbours = choose_neighbours(peer, peers, limit)
            self.routers[peer.vm] = router
            if self.case.reporting:
                self.after(rng.uniform(0.0, 0.5), lambda r=router: self._report(r))
            self._next_request(router)

    @staticmethod
    def _peer(number: int) -> Peer:
        address = Address("10.0.0.1", 1000 + number)
        vm = VmId(f"vm-{number}")
        return Peer(vm, LOCAL, address, loads_address=address)

    def after(self, delay_s: float, function: Callable[[], None]) -> None:
        """Call a function after a time."""
        at_s = self.clock.now_s + delay_s
        heapq.heappush(self._events, (at_s, next(self._numbers), function))

    def run(self, time_s: float) -> None:
        """Play for a time."""
        until_s = self.clock.now_s + time_s
        while self._events[0][0] <= until_s:
            self.clock.now_s, _, function = heapq.heappop(self._events)
            function()
        self.clock.now_s = until_s

    def _next_request(self, router: ModelRouter) -> None:
        rate = self.case.requests_per_s / self.case.routers
        self.after(self.rng.expovariate(rate), lambda: self._begin(router))

    def _begin(self, router: ModelRouter) -> None:
        self._next_request(router)
        chooser = router.chooser
        path = chooser.choose(self.service, PathRequest(TOKENS))
        if path is None:
            self.refused += 1
            return
        chooser.load.add(path, TOKENS)
        chooser.note_prefill(self.service.pipeline, path, TOKENS)
        window = int(self.clock.now_s - self.began_s)
        for stage in path.stages:
            self.arrivals[stage.target.incarnation, window] += 1
        self.after(self.rng.uniform(*STREAM_S), lambda: self._end(router, path))

    @staticmethod
    def _end(router: ModelRouter, path: Path) -> None:
        router.chooser.load.remove(path, TOKENS)

    def _report(self, router: ModelRouter) -> None:
        if not router.is_reporting:
            return
        data = encode_message(router.reporter.next_message())
        router.sent_bytes += (len(data) + 2) * len(router.neighbours)
        message = decode_message(data)
        sent_at_s = self.clock.now_s
        for vm in router.neighbours:
            peer = self.routers[vm]
            self.after(
                self.rng.uniform(0.002, READ_S),
                lambda peer=peer: peer.receiver.handle(message, sent_at_s),
            )
        next_s = interval_s(len(router.neighbours), len(data) + 2)
        self.after(next_s, lambda: self._report(router))

    def true_tokens(self, incarnation: TargetIncarnation) -> float:
        """Return the tokens in flight of all routers at a target."""
        loads = (router.chooser.load for router in self.routers.values())
        return sum(load.tokens.get(incarnation, 0.0) for load in loads)

    def use(self, accelerator: str) -> float:
        """Return the mean share of the memory in use of targets of a type."""
        uses = [
            self.true_tokens(target.incarnation)
            / token_capacity(self.service.pipeline, target)
            for target in self.targets
            if target.accelerator == accelerator
        ]
        return sum(uses) / len(uses)

    def estimate_errors(self) -> tuple[float, float]:
        """Return the mean square error of the estimates, and of the former guess."""
        square, guess_square = [], []
        for target in self.targets:
            incarnation = target.incarnation
            true = self.true_tokens(incarnation)
            for router in self.routers.values():
                own = router.chooser.load.tokens.get(incarnation, 0.0)
                estimate = router.chooser.estimated_tokens(incarnation)
                square.append((estimate - true) ** 2)
                guess_square.append((own * self.case.routers - true) ** 2)
        mean = sum(square) / len(square), sum(guess_square) / len(guess_square)
        return math.sqrt(mean[0]), math.sqrt(mean[1])

    def restart_target(self, away_s: float) -> TargetIncarnation:
        """Take a target away for a time; return the incarnation that comes back."""
        before = self.targets[0]
        back = replace(before, started_at_ms=2, revision=before.revision + 2)
        self.targets[0] = back
        for router in self.routers.values():
            router.fleet_view.targets.pop(before.id)
        self.run(away_s)
        for router in self.routers.values():
            router.fleet_view.update_target(back)
        return back.incarnation

    def stop(self) -> None:
        """Restore the real clock."""
        self.clock.stop()
