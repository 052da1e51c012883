"""A model of the pauses after the loss of a target, without a network.

The product's own choice of paths, its order of moves and its limits of silence run on a
simulated clock; the engines of the targets are queues of prompts with their figures.
"""

import heapq
import random
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any, NamedTuple
from unittest.mock import patch

from chervilstall.edge.streams import rerouter as rerouter_module
from chervilstall.edge.streams.live_stream import LiveStream
from chervilstall.edge.streams.monitor import CHECK_INTERVAL_S
from chervilstall.edge.streams.rerouter import StreamRerouter
from chervilstall.edge.streams.stage_check import CHECK_S
from chervilstall.fleet.records import AcceleratorType, Pipeline, Service, Target
from chervilstall.fleet.view import FleetView
from chervilstall.ids import RequestId, ServiceName
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.records import Path, PathRequest, PathStage
from chervilstall.platform.targets import OrderResponse
from tests.support.clock import Clock
from tests.support.model_targets import LOCAL, make_target

LAYERS = 80
STEP_MS, REQUEST_MS, KTOKEN_MS = 1.02, 0.00918, 0.0123
PROMPT_TOKENS_PER_MS, PAIRS_MS = 164.0, 0.199e-6
CHUNK_TOKENS, STEPS_PER_PASS = 512, 5
CONTEXT_KTOKENS = 1.0
CARDS = {
    "a100": AcceleratorType("a100", 72_000.0, 2.4, 3.2),
    "l40s": AcceleratorType("l40s", 43_000.0, 5.6, 2.7),
    "l4": AcceleratorType("l4", 22_000.0, 16.0, 8.2),
}
REPLICA = (("a100", 0, 32), ("l40s", 32, 51), ("l4", 51, 61), ("l40s", 61, 80))
TARGETS = 30
PIPELINE = Pipeline(
    layers=LAYERS,
    layer_mb=1750.0,
    kv_bytes_per_token=1_180_000.0,
    step_ms=STEP_MS,
    prefill_tokens_per_s=PROMPT_TOKENS_PER_MS * 1e3,
    token_transfer_s=43e-6,
    load_s=14.0,
    loads_at_once=6,
    typical_tokens=946.0,
    accelerators=CARDS,
)
SERVICE = Service(ServiceName("drafts"), 1238, "/healthz", PIPELINE)
WARM_UP_S, AFTER_S = 3.5, 0.6
LINK_S = 0.001
PROMPT_TOKENS_MAX, PROMPT_TOKENS_MEAN = 2280, 800
REFUSAL_S = 2 * LINK_S


def build_targets() -> list[Target]:
    """Return targets that hold the layers of a replica in turn."""
    cards = [REPLICA[number % len(REPLICA)] for number in range(TARGETS)]
    return [
        replace(make_target(f"t{number}", LOCAL, first, end), accelerator=card)
        for number, (card, first, end) in enumerate(cards)
    ]


class Pause(NamedTuple):
    """Parts of one pause, from the last event before to the next one after it."""

    silence_s: float
    check_s: float
    prefill_s: float
    step_s: float

    @property
    def whole_s(self) -> float:
        """Return the time between the two events."""
        return sum(self)


@dataclass
class Engine:
    """The prompts of all routers at one target, which reads one after the other."""

    busy_until_s: float = 0.0
    decoding: int = 0

    def prefill(
        self, stage: PathStage, tokens: float, at_s: float, rng: random.Random
    ) -> float:
        """Return when the target has read a prompt that comes at `at_s`."""
        card = CARDS[stage.target.accelerator]
        share = len(stage.layers) / LAYERS
        each_ms = REQUEST_MS + KTOKEN_MS * CONTEXT_KTOKENS
        step_ms = (STEP_MS * card.step_factor + self.decoding * each_ms) * share
        read_ms = tokens / PROMPT_TOKENS_PER_MS * card.prefill_factor
        read_ms = (read_ms + PAIRS_MS * tokens**2 / 2) * share
        chunks = -(-tokens // CHUNK_TOKENS)
        # A prompt joins at the next pass, and each of its chunks takes a step.
        join_s = at_s + rng.uniform(0, STEPS_PER_PASS * step_ms) / 1e3
        begin_s = max(join_s, self.busy_until_s)
        self.busy_until_s = begin_s + (read_ms + chunks * step_ms) / 1e3
        return self.busy_until_s


@dataclass
class RouterModel:
    """One router: what it believes, and its streams."""

    rng: random.Random
    count: int
    keeps: bool = True
    streams: dict[RequestId, LiveStream] = field(default_factory=dict)
    ended: list[LiveStream] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.turn_s = self.rng.uniform(0, CHECK_INTERVAL_S)
        self.view = FleetView(3.0)
        self.chooser = PathChooser(
            self.view, LOCAL, 1, self.count, self.rng, guides_paths=lambda: False
        )
        limiter: Any = SimpleNamespace(exhausted_targets=frozenset)
        self.rerouter = StreamRerouter(
            self.view,
            self.chooser,
            limiter,
            self.streams,
            self._end,
            keeps_stages=lambda: self.keeps,
        )

    def _end(self, stream: LiveStream) -> bool:
        self.ended.append(stream)
        return True

    def lead_around(self, path: Path, lost: Target) -> Path:
        """Return the path that a stream is led over around a target on its path."""
        request: Any = SimpleNamespace(expected_tokens=800.0, service=SERVICE)
        none: Any = None
        stream = LiveStream(request, none, path, none, 0.0)
        found = self.rerouter._path_around(stream, lost)
        assert found is not None
        return found

    def next_turn_s(self, at_s: float) -> float:
        """Return the first turn of the monitor from a time on."""
        turns = -((self.turn_s - at_s) // CHECK_INTERVAL_S)
        return self.turn_s + turns * CHECK_INTERVAL_S


@dataclass
class PauseModel:
    """Plays one loss of a middle stage; `pauses` are those of the streams over it."""

    routers: int
    rate_per_s: float
    is_dark: bool
    rng: random.Random
    pauses: list[Pause] = field(default_factory=list)
    _agenda: list[tuple[float, int, Any]] = field(default_factory=list)
    _numbers: int = 0

    def play(self) -> None:
        """Send streams until the loss, and move those that it concerns."""
        clock = Clock()
        self.base_s = clock.now_s
        try:
            self._prepare()
            with patch.object(
                rerouter_module, "send_order", lambda *_: OrderResponse(200)
            ):
                while self._agenda:
                    clock.now_s, _, act = heapq.heappop(self._agenda)
                    act(clock.now_s)
        finally:
            clock.stop()

    def _at(self, at_s: float, act: Any) -> None:
        self._numbers += 1
        heapq.heappush(self._agenda, (at_s, self._numbers, act))

    def _prepare(self) -> None:
        targets = build_targets()
        self.engines = {target.id: Engine() for target in targets}
        self.lost = self.rng.choice([each for each in targets if each.layers.first])
        self.fleet = []
        for _ in range(self.routers):
            seed = self.rng.random()
            router = RouterModel(random.Random(seed), self.routers)
            for target in targets:
                router.view.update_target(target)
            self.fleet.append(router)
        at_s = self.base_s
        self.lost_at_s = self.base_s + WARM_UP_S
        while at_s < self.lost_at_s + AFTER_S:
            at_s += self.rng.expovariate(self.rate_per_s)
            self._at(at_s, self._arrive)
        self._at(self.lost_at_s, self._lose)

    def _prefill(self, stages: list[PathStage], tokens: float, at_s: float) -> float:
        for stage in stages:
            engine = self.engines[stage.target.id]
            at_s = LINK_S + engine.prefill(stage, tokens, at_s, self.rng)
        return at_s

    def _count(self, path: Path, change: int) -> None:
        for stage in path.stages:
            self.engines[stage.target.id].decoding += change

    def _arrive(self, now_s: float) -> None:
        router = self.rng.choice(self.fleet)
        tokens = min(
            PROMPT_TOKENS_MAX,
            100 + self.rng.expovariate(1 / (PROMPT_TOKENS_MEAN - 100)),
        )
        path = router.chooser.choose(SERVICE, PathRequest(tokens))
        assert path is not None
        request: Any = SimpleNamespace(
            request_id=RequestId(f"r{self._numbers}-{now_s}"),
            service=SERVICE,
            route=SimpleNamespace(is_resumable=True),
            expected_tokens=tokens,
            prefill_tokens=tokens,
        )
        exchange: Any = None
        stream = LiveStream(request, exchange, path, exchange, now_s)
        router.chooser.load.add(path, tokens)
        router.chooser.note_prefill(PIPELINE, path, tokens)
        self._count(path, 1)
        router.streams[request.request_id] = stream
        pace_s = self.rng.uniform(0.035, 0.07)
        left = self.rng.randint(34, 58)
        begun_s = self._prefill(list(path.stages), tokens, now_s) + pace_s

        def come(at_s: float) -> None:
            nonlocal left
            is_lost = at_s >= self.lost_at_s and stream.passes_through(self.lost)
            if is_lost or at_s >= self.lost_at_s + AFTER_S:
                return
            stream.record_event()
            left -= 1
            if left:
                self._at(at_s + pace_s * self.rng.uniform(0.85, 1.15), come)
                return
            del router.streams[request.request_id]
            router.chooser.load.remove(stream.path, tokens)
            self._count(stream.path, -1)

        self._at(begun_s, come)

    def _lose(self, now_s: float) -> None:
        for router in self.fleet:
            silent = [
                stream
                for stream in router.streams.values()
                if stream.has_event and stream.passes_through(self.lost)
            ]
            if silent:
                self._at(*self._finding(router, silent))

    def _finding(self, router: RouterModel, silent: list[LiveStream]) -> Any:
        checked_s = min(
            router.next_turn_s(
                max(each.last_event_at_s + each.check_limit_s, self.lost_at_s)
            )
            for each in silent
        )
        check_s = CHECK_S + 2 * LINK_S if self.is_dark else REFUSAL_S

        def move(now_s: float) -> None:
            router.view.suspect(self.lost, "lost", shared=False)
            for stream in silent:
                self._move(router, stream, checked_s, now_s)

        return checked_s + check_s, move

    def _move(
        self, router: RouterModel, stream: LiveStream, checked_s: float, now_s: float
    ) -> None:
        last_s, before = stream.last_event_at_s, stream.path
        tokens = stream.request.prefill_tokens
        router.rerouter._reroute_once(stream, self.lost)
        path = stream.path
        added = path.stages_added(before)
        if stream in router.ended:
            path = router.chooser.choose(SERVICE, PathRequest(tokens))
            assert path is not None
            added = list(path.stages)
        read_s = self._prefill(added, tokens, now_s + LINK_S)
        self.pauses.append(
            Pause(
                checked_s - last_s,
                now_s - checked_s,
                read_s - now_s,
                stream.interval.mean_s or 0.05,
            )
        )


def lose_stages(
    routers: int, rate_per_s: float, is_dark: bool, trials: int
) -> list[Pause]:
    """Return the pauses of all streams over the lost targets of some trials."""
    pauses = []
    for seed in range(trials):
        model = PauseModel(routers, rate_per_s, is_dark, random.Random(seed))
        model.play()
        pauses += model.pauses
    return pauses
