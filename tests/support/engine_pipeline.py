"""The model of 80 layers and the accelerator types of the large deployments."""

from chervilstall.fleet.records import AcceleratorType, Pipeline

ENGINE_PIPELINE = Pipeline(
    layers=80,
    layer_mb=1750.0,
    kv_bytes_per_token=1_180_000.0,
    step_ms=1.02,
    prefill_tokens_per_s=164_000.0,
    token_transfer_s=43e-6,
    load_s=14.0,
    loads_at_once=6,
    typical_tokens=1_030.0,
    accelerators={
        "a100": AcceleratorType("a100", 72_000.0, 2.4, 3.2),
        "l40s": AcceleratorType("l40s", 43_000.0, 5.6, 2.7),
        "l4": AcceleratorType("l4", 22_000.0, 16.0, 8.2),
    },
)
