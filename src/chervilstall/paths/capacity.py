"""Speed and free memory of targets, from their accelerator type and layers."""

from chervilstall.fleet.records import BYTES_PER_MB, Pipeline, Target

UNKNOWN_STEP_FACTOR = 20.0
"""Step factor of an accelerator type that the pipeline doesn't list."""

TOKEN_MB_MIN = 1e-9
"""Avoids a division by zero for a model whose tokens take no memory."""


def step_factor(pipeline: Pipeline, target: Target) -> float:
    """Return a target's decode step time divided by that of the fastest accelerator."""
    accelerator = pipeline.accelerators.get(target.accelerator)
    return accelerator.step_factor if accelerator is not None else UNKNOWN_STEP_FACTOR


def token_capacity(pipeline: Pipeline, target: Target) -> float:
    """Return how many tokens of requests fit beside the layers that a target holds.

    It is 0 for a target without layers or of an unknown accelerator type.
    """
    accelerator = pipeline.accelerators.get(target.accelerator)
    held = len(target.layers)
    if accelerator is None or not held:
        return 0.0
    free_mb = accelerator.memory_mb - held * pipeline.layer_mb
    token_mb = pipeline.kv_bytes_per_token / pipeline.layers * held / BYTES_PER_MB
    return max(0.0, free_mb / max(token_mb, TOKEN_MB_MIN))
