"""Streams as the router holds them, for tests without a network."""

import dataclasses
import time

from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.records import Route, RouteKind, WeightedService
from chervilstall.platform.headers import read_request_fields
from chervilstall.process_limits.memory import ClientMemory, Holding, HoldingKind
from tests.support.model_targets import SERVICE

STREAM_TOKENS = 7_000.0
"""Two streams fit at a target that holds all layers, 15,000 tokens, but not three."""

TIMEOUT_S = 9.0
MEMORY_BYTES = 1_000
ROUTE = Route(
    "drafts",
    "drafts.example",
    "/",
    RouteKind.STREAMING,
    (WeightedService(SERVICE.name, 1.0),),
    TIMEOUT_S,
    0.5,
    0.25,
    1,
    2,
    False,
    True,
)


def make_request(**changes: object) -> EdgeRequest:
    """Return a stream of `STREAM_TOKENS` tokens."""
    fields = dataclasses.replace(
        read_request_fields([]), prompt_tokens=STREAM_TOKENS, answer_tokens=0.0
    )
    last_event_id = str(changes.pop("last_event_id", ""))
    fields = dataclasses.replace(fields, last_event_id=last_event_id)
    now_s = time.monotonic()
    memory = ClientMemory(MEMORY_BYTES, reserve_bytes=0, small_bytes=0)
    request = EdgeRequest(
        fields,
        "POST",
        "/",
        b"",
        ROUTE,
        SERVICE,
        None,
        1,
        now_s,
        now_s + TIMEOUT_S,
        Holding(memory, HoldingKind.ANSWER),
    )
    for name, value in changes.items():
        setattr(request, name, value)
    return request
