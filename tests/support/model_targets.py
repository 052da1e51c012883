"""A small model, its service and targets, for tests without a platform."""

from chervilstall.fleet.records import (
    AcceleratorType,
    LayerRange,
    Pipeline,
    Service,
    Target,
    TargetReadiness,
)
from chervilstall.ids import ServiceName, TargetId, ZoneName
from chervilstall.settings.option import Address

LAYERS = 8
PIPELINE = Pipeline(
    layers=LAYERS,
    layer_mb=1000.0,
    kv_bytes_per_token=800_000.0,
    step_ms=1.0,
    prefill_tokens_per_s=200_000.0,
    token_transfer_s=43e-6,
    load_s=1.0,
    loads_at_once=6,
    typical_tokens=100.0,
    accelerators={"card": AcceleratorType("card", 20_000.0, 1.0, 1.0)},
)
SERVICE = Service(ServiceName("drafts"), 100, "/healthz", PIPELINE)
LOCAL, REMOTE = ZoneName("local"), ZoneName("remote")


def make_target(name: str, zone: str, first: int, end: int) -> Target:
    """Return a ready target that holds the layers from `first` up to `end`."""
    return Target(
        TargetId(name),
        1,
        SERVICE.name,
        Address("127.0.0.1", 1000 + len(name) + first),
        ZoneName(zone),
        TargetReadiness.READY,
        "card",
        LayerRange(first, end),
        revision=1,
    )
