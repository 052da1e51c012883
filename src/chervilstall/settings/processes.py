"""Settings of the router, and the sections that every process shares."""

from dataclasses import dataclass
from enum import Enum

from chervilstall.ids import VmId, ZoneName
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address, option

LOOPBACK = "127.0.0.1"
NAME_PATTERN = r"[a-z0-9][a-z0-9-]{0,62}"


class LogLevel(Enum):
    """Least severe message that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class LogSettings:
    """Section `log`."""

    level: LogLevel = option("Least severe message logged.", LogLevel.INFO)


@dataclass(frozen=True)
class VmSettings:
    """Section `vm`: who and where this process is."""

    vm: VmId = option("Name of this VM in the VM list.", pattern=NAME_PATTERN)
    zone: ZoneName = option("Availability zone of this VM.", pattern=NAME_PATTERN)


@dataclass(frozen=True)
class ListenSettings:
    """Section `listen`: the router's listeners and bounds on what callers send."""

    callers: Address = option("Listener for callers.", Address(LOOPBACK, 8080))
    admin: Address = option(
        "Listener for health, readiness and state.", Address(LOOPBACK, 8081)
    )
    tls_certificate: str = option("PEM file; empty serves plain HTTP.", "")
    tls_key: str = option("PEM file of the certificate's key.", "")
    body_max_bytes: int = option(
        "Largest request body.", 4_000_000, unit="bytes", minimum=1
    )
    header_timeout_s: float = option(
        "Longest wait for a request's headers.", 5.0, unit="s", minimum=0.05
    )
    body_timeout_s: float = option(
        "Longest wait for a request's whole body.", 10.0, unit="s", minimum=0.05
    )
    caller_silence_s: float = option(
        "Longest time a caller's connection stands still, in either direction.",
        60.0,
        unit="s",
        minimum=0.1,
    )
    connections_max: int = option("Open caller connections.", 10_000, minimum=1)
    drain_wait_s: float = option(
        "Time between not-ready and closing the listener, for the balancer.",
        3.0,
        unit="s",
        minimum=0.0,
    )
    drain_timeout_s: float = option(
        "Longest wait for running requests at shutdown.", 600.0, unit="s", minimum=0.0
    )


@dataclass(frozen=True)
class AdmissionSettings:
    """Section `admission`: queues, reserves and deadlines of one router."""

    concurrency: int = option(
        "Requests this router runs at once.", 2_000, unit="requests", minimum=1
    )
    urgent_reserve_share: float = option(
        "Share of the concurrency kept for urgent requests.",
        0.2,
        minimum=0.0,
        maximum=0.9,
    )
    draft_floor_share: float = option(
        "Share of the concurrency that drafts never fall below while they wait.",
        0.1,
        minimum=0.0,
        maximum=0.5,
    )
    queue_length: int = option(
        "Waiting requests per class.", 4_000, unit="requests", minimum=1
    )
    urgent_deadline_s: float = option(
        "Default deadline of an urgent request.", 5.0, unit="s", minimum=0.05
    )
    standard_deadline_s: float = option(
        "Default deadline of a standard request.", 60.0, unit="s", minimum=0.05
    )
    draft_deadline_s: float = option(
        "Default deadline of a draft.", 600.0, unit="s", minimum=0.05
    )


@dataclass(frozen=True)
class RetrySettings:
    """Section `retry`: what a router may spend on further attempts."""

    budget_share: float = option(
        "Retries allowed as a share of successes.", 0.1, minimum=0.0, maximum=1.0
    )
    budget_floor: int = option(
        "Retries available before any success.", 10, unit="retries", minimum=0
    )
    attempts_max: int = option("Attempts per request.", 4, minimum=1, maximum=20)
    backoff_base_s: float = option(
        "First backoff before jitter.", 0.02, unit="s", minimum=0.001
    )
    backoff_max_s: float = option(
        "Largest backoff before jitter.", 1.0, unit="s", minimum=0.001
    )
    hedge_delay_s: float = option(
        "Wait before an idempotent urgent request is hedged; 0 turns hedging off.",
        0.25,
        unit="s",
        minimum=0.0,
    )


@dataclass(frozen=True)
class RoutingSettings:
    """Section `routing`: choice of targets."""

    subset_size: int = option(
        "Targets per capability that one router uses.", 20, minimum=1
    )
    slow_start_s: float = option(
        "Ramp of a target's weight after it joins or recovers.",
        5.0,
        unit="s",
        minimum=0.0,
    )
    ejection_share_max: float = option(
        "Largest share of a capability's targets ejected at once.",
        0.3,
        minimum=0.0,
        maximum=0.9,
    )
    ejection_failures: int = option(
        "Consecutive failures that eject a target.", 3, minimum=1
    )
    ejection_base_s: float = option(
        "First ejection; doubles with each repeat.", 1.0, unit="s", minimum=0.05
    )
    affinity_weight: float = option(
        "Worth of a whole cached prompt, as a share of a target's concurrency.",
        0.3,
        minimum=0.0,
        maximum=5.0,
    )
    affinity_entries: int = option(
        "Cached prefixes remembered per target.", 2_000, unit="prefixes", minimum=0
    )
    spill_enter_ratio: float = option(
        "Own-zone time to drain, over that of all zones, that starts spilling.",
        1.25,
        minimum=1.0,
        maximum=10.0,
    )
    spill_leave_ratio: float = option(
        "The same ratio below which requests stay in the zone again.",
        1.05,
        minimum=0.5,
        maximum=10.0,
    )


@dataclass(frozen=True)
class AgentLinkSettings:
    """Section `agent`: the router's link to the agent of its VM."""

    address: Address = option("Agent's peer address.", Address(LOOPBACK, 8090))
    timeout_s: float = option(
        "Longest wait for an agent's answer.", 2.0, unit="s", minimum=0.05
    )
    curve_directory: str = option(
        "Directory of CurveZMQ certificates; empty sends in plain.", ""
    )


@dataclass(frozen=True)
class LimitSettings:
    """Section `limits`: leased shares of workspace limits."""

    share_ttl_s: float = option("Life of a share.", 3.0, unit="s", minimum=0.1)
    safe_share: float = option(
        "Part of a limit that is never leased and stays with routers cut off.",
        0.1,
        minimum=0.0,
        maximum=0.9,
    )
    nodes_max: int = option(
        "Routers among which the safe part is divided.", 16, minimum=1
    )


@dataclass(frozen=True)
class MetricsSettings:
    """Section `metrics`: statsd."""

    statsd: str = option("host:port of statsd; empty sends nothing.", "")
    prefix: str = option("Prefix of metric names.", "chervilstall")


ROUTER_SECTIONS: dict[str, type] = {
    "vm": VmSettings,
    "listen": ListenSettings,
    "admission": AdmissionSettings,
    "retry": RetrySettings,
    "target": TargetSettings,
    "routing": RoutingSettings,
    "agent": AgentLinkSettings,
    "limits": LimitSettings,
    "metrics": MetricsSettings,
    "log": LogSettings,
}
