"""Cost of prefill at the stages of a path, in milliseconds per decode step.

The wait for the prompts that are queued at a target and the prefill of the request's
own prompt happen once, so they are spread over the decode steps of its answer. They
count more the nearer they bring the first event to its objective. A prompt also delays
the requests that are decoding at a stage, by its prefill time there for each of them.
"""

from dataclasses import dataclass
from functools import cached_property

from chervilstall.fleet.records import LayerRange, Pipeline, Target, TargetIncarnation
from chervilstall.ids import ZoneName
from chervilstall.paths.estimate import LoadEstimate
from chervilstall.paths.records import Prompt

BACKLOG_WEIGHT = 0.1
"""Weight of the wait for prefill where the size of the request isn't considered."""

STEPS_MIN = 10.0
"""Least number of decode steps over which a single wait is spread."""

LATE_MS = 40.0
"""Cost of a first event at its objective, as high as that of a probable refusal."""


@dataclass(frozen=True)
class PrefillCosts:
    """Prefill component of the cost of targets for one request.

    Without a `prompt`, only the backlog counts, alike for all requests. `zone` is the
    router's own zone and `targets` are those that the path may use.
    """

    pipeline: Pipeline
    estimate: LoadEstimate
    prompt: Prompt | None
    zone: ZoneName
    targets: list[Target]

    def backlog_ms(self, incarnation: TargetIncarnation) -> float:
        """Return the cost of the wait for the prompts that are queued at a target."""
        wait_ms = self.estimate.prefill_backlog_s(incarnation) * 1e3
        if self.prompt is None:
            return BACKLOG_WEIGHT * wait_ms
        return _wait_cost_ms(wait_ms, self.prompt)

    def layer_ms(self, target: Target) -> float:
        """Return the cost of prefilling the request's own prompt, for each layer.

        The objective is compared with the prefill of all layers on this type of
        accelerator, as the rest of the path isn't known yet.
        """
        if self.prompt is None:
            return 0.0
        layers = LayerRange(0, self.pipeline.layers)
        own_ms = 1e3 * self.pipeline.prefill_s(
            target.accelerator, layers, self.prompt.tokens
        )
        others_ms = own_ms * self._delayed_requests(target) / _steps(self.prompt)
        return (_wait_cost_ms(own_ms, self.prompt) + others_ms) / self.pipeline.layers

    def _delayed_requests(self, target: Target) -> float:
        """Return how many requests a prompt would delay at a target.

        Most requests in another zone are those of its own routers, which this one may
        not know of. They are taken to be as many as here, so that long prompts don't
        leave the zone for targets that only seem idle.
        """
        requests = self.estimate.requests(target.incarnation)
        return max(requests, self._mean_requests if target.zone != self.zone else 0.0)

    @cached_property
    def _mean_requests(self) -> float:
        counts = [
            self.estimate.requests(target.incarnation)
            for target in self.targets
            if target.zone == self.zone
        ]
        return sum(counts) / max(1, len(counts))


def _steps(prompt: Prompt) -> float:
    return max(STEPS_MIN, prompt.answer_tokens)


def _wait_cost_ms(wait_ms: float, prompt: Prompt) -> float:
    late_share = wait_ms / 1e3 / prompt.objective_s
    return wait_ms / _steps(prompt) + LATE_MS * late_share**2
