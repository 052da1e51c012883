"""A zone of targets that prefill and decode, without a network, on its own clock.

The choice of paths and the wait of prompts are the product's. A target runs one pass
after the other: with decoding requests, 5 steps with a chunk of prompt tokens each,
otherwise one step. It passes on chunks and tokens to the next stage of their path.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from chervilstall.edge.streams.prompt_wait import PromptWait, WaitingPrompt
from chervilstall.fleet.records import LayerRange, Service, Target, TargetReadiness
from chervilstall.fleet.view import FleetView
from chervilstall.ids import ServiceName, TargetId
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.prompt_figures import EngineFigures
from chervilstall.paths.records import Path, PathRequest, Prompt
from chervilstall.settings.option import Address
from tests.support.clock import Clock
from tests.support.engine_pipeline import ENGINE_PIPELINE as PIPELINE
from tests.support.model_targets import LOCAL

ENGINE = EngineFigures()
OBJECTIVE_S = 0.5
GIVE_UP_S = 2.0
"""Time without an event after which callers disconnect."""

COPIES = {"a100": (2, 3), "l40s": (2, 4), "l4": (1, 8)}
"""Copies of the model by accelerator type, and stages of each."""

SERVICE = Service(ServiceName("drafts"), 1_000, "/healthz", PIPELINE)


@dataclass(eq=False)
class ModelRequest:
    """One request, and when it arrived and got its first event."""

    number: int
    prompt_tokens: int
    events: int
    arrived_s: float
    path: Path | None = None
    stage: int = 0
    prefilled: float = 0.0
    events_done: int = 0
    first_event_s: float | None = None
    longest_gap_s: float = 0.0
    last_event_s: float = 0.0
    chooser: PathChooser | None = None

    @property
    def tokens(self) -> float:
        """Return the tokens of prompt and answer."""
        return self.prompt_tokens + 5.0 * self.events


@dataclass(frozen=True)
class PromptCase:
    """A zone of routers; of the requests, `long_share` have long prompts.

    Long prompts arrive at a router in groups of `group`.
    """

    routers: int
    requests_per_s: float = 100.0
    long_share: float = 0.1
    group: int = 1
    weighs: bool = False
    waits: bool = False


@dataclass(eq=False)
class ModelTarget:
    """One target: prompt chunks and decoding requests that wait for the next pass."""

    fleet: "PromptFleet"
    target: Target
    chunks: deque[tuple[ModelRequest, int, float]] = field(default_factory=deque)
    decoding: list[tuple[ModelRequest, int]] = field(default_factory=list)
    is_busy: bool = False

    def start_pass(self) -> None:
        """Begin a pass if there is work and none is running."""
        if self.is_busy or not (self.chunks or self.decoding):
            return
        self.is_busy = True
        decoding, self.decoding = self.decoding, []
        steps = ENGINE.pass_steps if decoding else 1
        read, room = [], float(steps * ENGINE.chunk_tokens)
        while self.chunks and room > 0.0:
            request, stage, tokens = self.chunks.popleft()
            part = min(tokens, room)
            room -= part
            read.append((request, stage, part))
            if part < tokens:
                self.chunks.appendleft((request, stage, tokens - part))
        kind, share = self.target.accelerator, len(self.target.layers) / PIPELINE.layers
        context = sum(request.tokens for request, _ in decoding)
        time_ms = sum(ENGINE.prefill_ms(PIPELINE, kind, part) for _, _, part in read)
        if decoding:
            step_ms = ENGINE.step_ms(PIPELINE, kind, len(decoding), context)
            time_ms += steps * step_ms
        self.fleet.after(time_ms * share / 1e3, lambda: self._end(decoding, read))

    def _end(
        self,
        decoding: list[tuple[ModelRequest, int]],
        read: list[tuple[ModelRequest, int, float]],
    ) -> None:
        self.is_busy = False
        for request, stage, part in read:
            self.fleet.pass_chunk(request, stage + 1, part)
        for request, stage in decoding:
            self.fleet.pass_tokens(request, stage + 1)
        self.start_pass()


@dataclass(frozen=True)
class Served:
    """Requests by the size of their prompts, and how often long ones waited."""

    requests: list[ModelRequest]
    waits: int

    @property
    def largest_tenth(self) -> list[ModelRequest]:
        """Return the requests with the longest prompts."""
        return self.requests[-(len(self.requests) // 10) :]

    def share(self, requests: list[ModelRequest], limit_s: float = GIVE_UP_S) -> float:
        """Return the share of requests with a first event within a limit."""
        times_s = [request.first_event_s for request in requests]
        in_time = [time_s for time_s in times_s if time_s and time_s <= limit_s]
        return len(in_time) / len(times_s)

    def percentiles_ms(self, third: int) -> tuple[int, int, int]:
        """Return p50, p95 and p99 of the time to the first event of one third."""
        count = len(self.requests)
        part = self.requests[count * third // 3 : count * (third + 1) // 3]
        times_s = sorted(each.first_event_s or GIVE_UP_S for each in part)
        p50, p95, p99 = (
            round(1e3 * times_s[int(share * len(times_s))])
            for share in (0.5, 0.95, 0.99)
        )
        return p50, p95, p99


class PromptFleet:
    """Plays one case; times are seconds of the model's clock."""

    def __init__(self, case: PromptCase, seed: int = 1) -> None:
        self.case, self.rng, self.clock = case, random.Random(seed), Clock()
        self.requests: list[ModelRequest] = []
        self.waits = 0
        self.targets = {
            target.id: ModelTarget(self, target) for target in _make_targets()
        }
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        for _ in range(case.routers):
            fleet_view = FleetView(drain_s=2.0)
            for each in self.targets.values():
                fleet_view.update_target(each.target)
            rng = random.Random(self.rng.random())
            chooser = PathChooser(fleet_view, LOCAL, 1, case.routers, rng)
            chooser.zone_routers = case.routers
            chooser.weighs_prompts = lambda: case.weighs
            self._await_next(PromptWait(chooser))

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

    def play(self, time_s: float, drain_s: float) -> Served:
        """Play for a time; return the requests that arrived `drain_s` before its end.

        Those of the first second met an empty fleet and are left out.
        """
        began_s = self.clock.now_s
        self.run(time_s + drain_s)
        counted = [
            request
            for request in self.requests
            if began_s + 1.0 <= request.arrived_s < began_s + time_s
        ]
        counted.sort(key=lambda request: request.prompt_tokens)
        return Served(counted, self.waits)

    def _await_next(self, router: PromptWait) -> None:
        case = self.case
        groups = 1.0 - case.long_share + case.long_share / case.group
        rate = case.requests_per_s * groups / case.routers
        self.after(self.rng.expovariate(rate), lambda: self._arrive(router))

    def _arrive(self, router: PromptWait) -> None:
        self._await_next(router)
        case, rng = self.case, self.rng
        long_groups = case.long_share / case.group
        is_long = rng.random() < long_groups / (1.0 - case.long_share + long_groups)
        for _ in range(case.group if is_long else 1):
            tokens = rng.randint(1_500, 2_280) if is_long else rng.randint(50, 300)
            number, events = len(self.requests), rng.randint(34, 58)
            request = ModelRequest(number, tokens, events, self.clock.now_s)
            self.requests.append(request)
            now_s = self.clock.now_s
            waiting = router.enter(tokens, 0, now_s, OBJECTIVE_S)
            self._send_or_wait(router, request, waiting)

    def _send_or_wait(
        self, router: PromptWait, request: ModelRequest, waiting: WaitingPrompt | None
    ) -> None:
        chooser = router.chooser
        path = chooser.choose(
            SERVICE, PathRequest(request.tokens, prompt=self._prompt(request))
        )
        assert path is not None
        if waiting is not None:
            pause_s = router.pause_s(waiting, PIPELINE, path)
            if self.case.waits and pause_s > 0.0:
                self.waits += 1
                self.after(
                    pause_s, lambda: self._send_or_wait(router, request, waiting)
                )
                return
            router.leave(waiting)
        request.path, request.chooser = path, chooser
        chooser.load.add(path, request.tokens)
        chooser.note_prefill(PIPELINE, path, request.prompt_tokens)
        self.pass_chunk(request, 0, float(request.prompt_tokens))

    def _prompt(self, request: ModelRequest) -> Prompt | None:
        if not self.case.weighs:
            return None
        left_s = OBJECTIVE_S - (self.clock.now_s - request.arrived_s)
        return Prompt(request.prompt_tokens, 5.0 * request.events, left_s)

    def pass_chunk(self, request: ModelRequest, stage: int, tokens: float) -> None:
        """Queue a chunk of a prompt at a stage, or begin to decode after the last."""
        assert request.path is not None
        if stage < len(request.path.stages):
            target = self.targets[request.path.stages[stage].target.id]
            target.chunks.append((request, stage, tokens))
            target.start_pass()
            return
        request.prefilled += tokens
        if request.prefilled >= request.prompt_tokens - 0.5:
            self.pass_tokens(request, 0)

    def pass_tokens(self, request: ModelRequest, stage: int) -> None:
        """Let a request decode at a stage; after the last one, it gets an event."""
        assert request.path is not None
        if stage < len(request.path.stages):
            target = self.targets[request.path.stages[stage].target.id]
            target.decoding.append((request, stage))
            target.start_pass()
            return
        now_s = self.clock.now_s
        if request.first_event_s is None:
            request.first_event_s = now_s - request.arrived_s
        else:
            gap_s = now_s - request.last_event_s
            request.longest_gap_s = max(request.longest_gap_s, gap_s)
        request.last_event_s = now_s
        request.events_done += 1
        if request.events_done < request.events:
            self.pass_tokens(request, 0)
        else:
            request.chooser.load.remove(request.path, request.tokens)

    def stop(self) -> None:
        """Restore the real clock."""
        self.clock.stop()


def _make_targets() -> list[Target]:
    targets = []
    for accelerator, (copies, stages) in COPIES.items():
        for copy, stage in itertools.product(range(copies), range(stages)):
            first = PIPELINE.layers * stage // stages
            end = PIPELINE.layers * (stage + 1) // stages
            name = TargetId(f"{accelerator}-{copy}-{stage}")
            address = Address("10.0.0.1", 1_000 + len(targets))
            targets.append(
                Target(
                    name,
                    1,
                    SERVICE.name,
                    address,
                    LOCAL,
                    TargetReadiness.READY,
                    accelerator,
                    LayerRange(first, end),
                    revision=1,
                )
            )
    return targets
