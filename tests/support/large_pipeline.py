"""A model of 80 layers, of which no target holds all."""

from chervilstall.fleet.records import AcceleratorType, Pipeline

LARGE_PIPELINE = Pipeline(
    layers=80,
    layer_mb=1750.0,
    kv_bytes_per_token=1_180_000.0,
    step_ms=0.85,
    prefill_tokens_per_s=196_000.0,
    token_transfer_s=43e-6,
    load_s=14.0,
    loads_at_once=6,
    typical_tokens=946.0,
    accelerators={"any": AcceleratorType("any", 1.0, 1.0, 1.0)},
)
