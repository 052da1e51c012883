"""Wait of a long prompt while other long prompts are being prefilled on its path.

Where several long prompts arrive at a router together, a short request that arrives
just after them waits behind all of them. So they are sent one after the other, and
short requests pass in between. The wait ends at a share of the request's objective for
the first event, counted from its arrival, so that no prompt waits for long.
"""

import time
from dataclasses import dataclass, field

import gevent
from hdrh.histogram import HdrHistogram

from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.streams.paths import StreamPaths
from chervilstall.fleet.records import Pipeline
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.records import Path, PathStage
from chervilstall.telemetry.events import EventLog
from chervilstall.telemetry.metrics import new_histogram, record_seconds, summary_lines

log = EventLog("edge")

WAIT_SHARE = 0.25
"""Share of the objective for the first event that a prompt may have waited."""

LONG_FACTOR = 2.0
"""Size from which a prompt is long, as a multiple of the mean at this router."""

MEAN_WEIGHT = 1.0 / 32.0
"""Weight of the latest prompt in the mean size."""

DECISIONS_MAX = 4
"""Decisions on one wait at most, as each takes a search for a path."""


@dataclass(eq=False)
class WaitingPrompt:
    """A long prompt that hasn't been sent, and the monotonic time to send it at."""

    tokens: float
    priority: int
    arrived_at_s: float
    until_s: float


@dataclass
class PromptWait:
    """Decides for the long prompts of one router when they are sent.

    `waiting` are those that have not been sent, `waits` the times of those that waited.
    """

    chooser: PathChooser
    waiting: list[WaitingPrompt] = field(default_factory=list)
    waits: HdrHistogram = field(default_factory=new_histogram)
    _mean_tokens: float | None = None

    def hold(self, request: EdgeRequest, paths: StreamPaths) -> None:
        """Wait before the first send of a request, as long as that helps."""
        pipeline = request.service.pipeline
        if not self.chooser.weighs_prompts() or request.forwarding is not None:
            return
        prompt = request.prompt
        if prompt is None or pipeline is None:
            return
        waiting = self.enter(
            prompt.tokens,
            request.priority,
            request.arrived_at_s,
            request.route.latency_slo_s,
        )
        if waiting is None:
            return
        try:
            self._wait(request, waiting, pipeline, paths)
        finally:
            self.leave(waiting)

    def _wait(
        self,
        request: EdgeRequest,
        waiting: WaitingPrompt,
        pipeline: Pipeline,
        paths: StreamPaths,
    ) -> None:
        began_s = time.monotonic()
        has_waited = False
        while not request.has_caller_disconnected:
            path = paths.choose()
            pause_s = 0.0 if path is None else self.pause_s(waiting, pipeline, path)
            if path is None or pause_s <= 0.0:
                break
            self._log_pause(request, waiting, path, pause_s)
            has_waited = True
            gevent.sleep(pause_s)
        if has_waited:
            record_seconds(self.waits, time.monotonic() - began_s)

    def _log_pause(
        self,
        request: EdgeRequest,
        waiting: WaitingPrompt,
        path: Path,
        pause_s: float,
    ) -> None:
        load, peers = self.chooser.load, self.chooser.peer_loads
        targets = [stage.target.incarnation for stage in path.stages]
        log.routine(
            "long prompt waits",
            request=request.request_id,
            tokens=waiting.tokens,
            mean_tokens=round(self._mean_tokens or 0.0),
            own_backlog_s=round(max(map(load.prefill_backlog_s, targets)), 3),
            peers_backlog_s=round(max(map(peers.prefill_backlog_s, targets)), 3),
            peers_age_s=round(peers.age_s, 3),
            pause_s=round(pause_s, 3),
        )

    def enter(
        self, tokens: float, priority: int, arrived_at_s: float, objective_s: float
    ) -> WaitingPrompt | None:
        """Count a prompt that is about to be sent; return it if it may wait."""
        mean = self._mean_tokens
        self._mean_tokens = (
            tokens if mean is None else mean + MEAN_WEIGHT * (tokens - mean)
        )
        if mean is None or tokens < LONG_FACTOR * mean:
            return None
        until_s = arrived_at_s + WAIT_SHARE * objective_s
        waiting = WaitingPrompt(tokens, priority, arrived_at_s, until_s)
        self.waiting.append(waiting)
        return waiting

    def leave(self, waiting: WaitingPrompt) -> None:
        """Forget a prompt that is sent now, or never."""
        self.waiting.remove(waiting)

    def pause_s(self, waiting: WaitingPrompt, pipeline: Pipeline, path: Path) -> float:
        """Return how long a prompt waits before it is decided on again, 0 to send it.

        It waits until the prompts that are queued on its path take no longer than its
        own, so that the targets always have work. While a more urgent prompt waits, it
        waits until none is queued, so that the more urgent one is sent first.
        """
        left_s = waiting.until_s - time.monotonic()
        if left_s <= 0.0:
            return 0.0
        tokens = 0.0 if self._is_preceded(waiting) else waiting.tokens
        excess_s = max(
            self._known_backlog_s(stage)
            - pipeline.prefill_s(stage.target.accelerator, stage.layers, tokens)
            for stage in path.stages
        )
        if excess_s <= 0.0:
            return 0.0
        # The queue outlasts the longest wait, so a wait would only delay the prompt.
        if self.chooser.prefill_wait_s(pipeline, path, waiting.tokens) > left_s:
            return 0.0
        interval_s = (waiting.until_s - waiting.arrived_at_s) / DECISIONS_MAX
        return min(left_s, max(interval_s, excess_s))

    def _known_backlog_s(self, stage: PathStage) -> float:
        """Return the time for the prompts at a stage that are known to be queued.

        Prompts that other routers may have queued there without reporting don't count:
        a wait for them would most often be in vain.
        """
        incarnation = stage.target.incarnation
        own_s = self.chooser.load.prefill_alone_s(incarnation)
        return own_s + self.chooser.peer_loads.prefill_backlog_s(incarnation)

    def _is_preceded(self, waiting: WaitingPrompt) -> bool:
        return any(other.priority < waiting.priority for other in self.waiting)

    def exposition(self) -> list[str]:
        """Return the lines of the series in the Prometheus text format."""
        return summary_lines("chervilstall_prompt_wait_seconds", "", self.waits)
