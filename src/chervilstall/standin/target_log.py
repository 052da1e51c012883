"""What a stand-in target ran and was ordered to do."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class Run:
    """One request that a stand-in ran, as received. Header names are in lower case.

    `received_at_s` is a monotonic time.
    """

    request: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_at_s: float


@dataclass
class TargetLog:
    """What a stand-in ran and was ordered to do.

    `calls` holds the path of each report, order and health check, and the ID of the
    target that it was meant for, "" without one. `cancelled_streams` counts the
    streams that were closed before their last event. `refused_at_s` holds the monotonic
    times at which requests were refused, and `crashed_at_s` those of its crashes.
    """

    runs: list[Run] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    calls: list[tuple[str, str]] = field(default_factory=list)
    cancelled_streams: int = 0
    refused_at_s: list[float] = field(default_factory=list)
    crashed_at_s: list[float] = field(default_factory=list)
