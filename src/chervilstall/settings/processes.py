"""Settings of the router, and the sections that every process shares."""

from dataclasses import dataclass
from enum import Enum

from chervilstall.ids import VmId, ZoneName
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address, option

LOOPBACK = "127.0.0.1"
NAME_PATTERN = r"[a-z0-9][a-z0-9-]{0,62}"


class LogLevel(Enum):
    """Minimum level of messages that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class LogSettings:
    """Section `log`."""

    level: LogLevel = option("Minimum level of logged messages.", LogLevel.INFO)


@dataclass(frozen=True)
class VmSettings:
    """Section `vm`: the VM and availability zone that this process runs on."""

    vm: VmId = option("Name of this VM in the VM list.", pattern=NAME_PATTERN)
    zone: ZoneName = option("Availability zone of this VM.", pattern=NAME_PATTERN)


@dataclass(frozen=True)
class ListenSettings:
    """Section `listen`: the router's listeners and the limits on callers' requests."""

    callers: Address = option("Listener for callers.", Address(LOOPBACK, 8080))
    admin: Address = option(
        "Listener for health, readiness and state.", Address(LOOPBACK, 8081)
    )
    tls_certificate: str = option(
        "PEM file of the TLS certificate; empty serves plain HTTP.", ""
    )
    tls_key: str = option("PEM file of the certificate's private key.", "")
    body_max_bytes: int = option(
        "Size limit of a request body.", 4_000_000, unit="bytes", minimum=1
    )
    bodies_max_bytes: int = option(
        "Limit on the request bodies of all callers together.",
        64_000_000,
        unit="bytes",
        minimum=10_000,
    )
    header_timeout_s: float = option(
        "Timeout of receiving a request's headers.", 5.0, unit="s", minimum=0.05
    )
    body_timeout_s: float = option(
        "Timeout of receiving a request's whole body.", 10.0, unit="s", minimum=0.05
    )
    caller_silence_s: float = option(
        "Idle timeout of a caller's connection, in either direction.",
        60.0,
        unit="s",
        minimum=0.1,
    )
    connections_max: int = option(
        "Limit on open caller connections.", 10_000, minimum=1
    )
    drain_wait_s: float = option(
        "Time from reporting not ready to closing the listener, for load balancers.",
        3.0,
        unit="s",
        minimum=0.0,
    )
    drain_timeout_s: float = option(
        "Timeout of running requests at shutdown.", 600.0, unit="s", minimum=0.0
    )


@dataclass(frozen=True)
class AdmissionSettings:
    """Section `admission`: queues, reserved capacity and deadlines of one router."""

    concurrency: int = option(
        "Requests that this router runs at once.", 2_000, unit="requests", minimum=1
    )
    urgent_reserve_share: float = option(
        "Share of the concurrency reserved for urgent requests.",
        0.2,
        minimum=0.0,
        maximum=0.9,
    )
    draft_floor_share: float = option(
        "Share of the concurrency guaranteed to waiting drafts.",
        0.1,
        minimum=0.0,
        maximum=0.5,
    )
    queue_length: int = option(
        "Queued requests per class.", 4_000, unit="requests", minimum=1
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
    """Section `retry`: retry budget, backoff and hedging of a router."""

    budget_share: float = option(
        "Retries allowed per successful request.", 0.1, minimum=0.0, maximum=1.0
    )
    budget_floor: int = option(
        "Retries available before any success.", 10, unit="retries", minimum=0
    )
    attempts_max: int = option("Attempts per request.", 4, minimum=1, maximum=20)
    backoff_base_s: float = option(
        "Initial backoff, before jitter.", 0.02, unit="s", minimum=0.001
    )
    backoff_max_s: float = option(
        "Maximum backoff, before jitter.", 1.0, unit="s", minimum=0.001
    )
    hedge_delay_s: float = option(
        "Delay before an idempotent urgent request is hedged; 0 disables hedging.",
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
        "Time in which a target's weight ramps up after it joins or recovers.",
        5.0,
        unit="s",
        minimum=0.0,
    )
    ejection_share_max: float = option(
        "Maximum share of a capability's targets ejected at once.",
        0.3,
        minimum=0.0,
        maximum=0.9,
    )
    ejection_failures: int = option(
        "Consecutive failures that eject a target.", 3, minimum=1
    )
    ejection_base_s: float = option(
        "Duration of a first ejection; doubles each time.", 1.0, unit="s", minimum=0.05
    )
    affinity_weight: float = option(
        "Load credit for a fully cached prompt, as a share of the concurrency.",
        0.3,
        minimum=0.0,
        maximum=5.0,
    )
    affinity_entries: int = option(
        "Cached prefixes remembered per target.", 2_000, unit="prefixes", minimum=0
    )
    spill_enter_ratio: float = option(
        "Own-zone drain time, over that of all zones, above which requests spill over.",
        1.25,
        minimum=1.0,
        maximum=10.0,
    )
    spill_leave_ratio: float = option(
        "Value of the same ratio below which requests stay in the zone again.",
        1.05,
        minimum=0.5,
        maximum=10.0,
    )


@dataclass(frozen=True)
class AgentLinkSettings:
    """Section `agent`: the router's connection to the agent of its VM."""

    address: Address = option("Peer address of the agent.", Address(LOOPBACK, 8090))
    timeout_s: float = option(
        "Timeout of a call to the agent.", 2.0, unit="s", minimum=0.05
    )
    curve_directory: str = option(
        "Directory of CurveZMQ certificates; empty disables encryption.", ""
    )


@dataclass(frozen=True)
class LimitSettings:
    """Section `limits`: leased shares of workspace limits."""

    share_ttl_s: float = option(
        "Time to live of a leased share.", 3.0, unit="s", minimum=0.1
    )
    safe_share: float = option(
        "Share of a limit that is never leased; routers without a lease still have it.",
        0.1,
        minimum=0.0,
        maximum=0.9,
    )
    nodes_max: int = option(
        "Number of routers among which `safe_share` is divided.", 16, minimum=1
    )


@dataclass(frozen=True)
class MetricsSettings:
    """Section `metrics`: metrics sent to statsd."""

    statsd: str = option("host:port of statsd; empty disables metrics.", "")
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
