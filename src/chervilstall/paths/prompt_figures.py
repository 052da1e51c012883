"""Delay that long prompts cause to a short request on the same targets.

The figures are for the worst case: the short request and the long prompts use the same
path of targets of one accelerator type. Hops between targets are not included.
"""

import math
from dataclasses import dataclass

from chervilstall.fleet.records import LayerRange, Pipeline


@dataclass(frozen=True)
class EngineFigures:
    """Times of the engine that a pipeline's record doesn't hold, for all layers.

    A decode step takes `request_ms` more for each request that is decoding and
    `context_ms` more for each 1,000 tokens of its context. Prefill takes `pairs_ms`
    more for each million pairs of a token and an earlier one. A step prefills at most
    `chunk_tokens`, and a pass with decoding requests has `pass_steps` steps.
    """

    request_ms: float = 0.00918
    context_ms: float = 0.0123
    pairs_ms: float = 0.199
    chunk_tokens: int = 512
    pass_steps: int = 5

    def step_ms(
        self, pipeline: Pipeline, accelerator: str, requests: int, tokens: float
    ) -> float:
        """Return the time of a decode step of requests with `tokens` tokens in all."""
        factor = pipeline.accelerators[accelerator].step_factor
        requests_ms = requests * self.request_ms + tokens / 1e3 * self.context_ms
        return pipeline.step_ms * factor + requests_ms

    def prefill_ms(
        self, pipeline: Pipeline, accelerator: str, tokens: float, earlier: float = 0.0
    ) -> float:
        """Return the time for prefilling tokens of a prompt after `earlier` ones."""
        layers = LayerRange(0, pipeline.layers)
        pairs = tokens * (earlier + tokens / 2.0)
        linear_ms = pipeline.prefill_s(accelerator, layers, tokens) * 1e3
        return linear_ms + pairs / 1e6 * self.pairs_ms


@dataclass(frozen=True)
class PromptDelay:
    """Delay of a short request beside `long_prompts` prompts on targets of one type.

    `first_event_ms` is for a request that arrives after the prompts, and
    `longest_pause_ms` the time between two events of one that is decoding already.
    """

    accelerator: str
    stages: int
    layers: int
    long_prompts: int
    first_event_ms: float
    longest_pause_ms: float

    @property
    def row(self) -> str:
        """Return the figures as a row of a Markdown table."""
        return (
            f"| {self.accelerator} | {self.layers} | {self.stages} "
            f"| {self.long_prompts} "
            f"| {self.first_event_ms:.0f} | {self.longest_pause_ms:.0f} |"
        )


def prompt_delay(
    pipeline: Pipeline,
    accelerator: str,
    long_prompts: int,
    short_tokens: float = 100.0,
    long_tokens: float = 2_000.0,
    room_tokens: float = 10_000.0,
    engine: EngineFigures | None = None,
) -> PromptDelay:
    """Return the delay of a short request beside long prompts.

    Targets hold as many layers as fit beside `room_tokens` tokens of requests. A stage
    passes on each chunk once it has prefilled it: the short request waits for all long
    prompts at the first stage and for the last chunk at each later one. A decoding
    request waits for a full pass of prompt tokens at each stage.
    """
    engine = engine or EngineFigures()
    memory_mb = pipeline.accelerators[accelerator].memory_mb
    layers = min(pipeline.layers, pipeline.layers_max(memory_mb, room_tokens))
    stages = math.ceil(pipeline.layers / layers)
    stage_share = layers / pipeline.layers

    step_ms = engine.step_ms(pipeline, accelerator, 1, short_tokens)
    decode_ms = engine.pass_steps * step_ms
    first_ms = engine.prefill_ms(pipeline, accelerator, short_tokens) + decode_ms
    pause_ms = decode_ms
    if long_prompts:
        long_ms = engine.prefill_ms(pipeline, accelerator, long_tokens)
        chunk = min(float(engine.chunk_tokens), long_tokens)
        chunk_ms = engine.prefill_ms(
            pipeline, accelerator, chunk, earlier=long_tokens - chunk
        )
        first_ms += long_prompts * long_ms * stage_share
        first_ms += chunk_ms * (1.0 - stage_share)
        in_pass = min(
            long_prompts * long_tokens, engine.pass_steps * engine.chunk_tokens
        )
        pause_ms += long_ms * in_pass / long_tokens
    return PromptDelay(accelerator, stages, layers, long_prompts, first_ms, pause_ms)
