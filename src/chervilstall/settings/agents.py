"""Settings of the agent and the planner: one class per INI section."""

from dataclasses import dataclass

from chervilstall.settings.leases import LeaseSettings
from chervilstall.settings.option import Address, option
from chervilstall.settings.processes import (
    LOOPBACK,
    LimitSettings,
    LogSettings,
    MetricsSettings,
    VmSettings,
)


@dataclass(frozen=True)
class StoreSettings:
    """Section `store`: the platform's key-value store and VM list."""

    address: Address = option("Address of the store.", Address(LOOPBACK, 8070))
    timeout_s: float = option("Timeout of a store call.", 2.0, unit="s", minimum=0.05)
    calls_per_s: float = option(
        "Rate limit of this process's store calls.", 50.0, unit="calls/s", minimum=0.1
    )


@dataclass(frozen=True)
class PeerSettings:
    """Section `peer`: links between agents, membership and relays."""

    listen: Address = option("Listener for peers.", Address(LOOPBACK, 8090))
    curve_directory: str = option(
        "Directory of CurveZMQ certificates; empty disables encryption.", ""
    )
    probe_interval_s: float = option(
        "Time between membership probes.", 1.0, unit="s", minimum=0.02
    )
    probe_timeout_s: float = option(
        "Timeout of a membership probe.", 0.3, unit="s", minimum=0.01
    )
    suspicion_s: float = option(
        "Time for which a member is suspected before it is declared dead.",
        4.0,
        unit="s",
        minimum=0.05,
    )
    indirect_probes: int = option(
        "Members asked to probe a member that did not respond.", 3, minimum=0
    )
    vm_list_interval_s: float = option(
        "Time between reads of the VM list by a relay.", 2.0, unit="s", minimum=0.05
    )
    fan_out: int = option("Agents that pull settings from one agent.", 16, minimum=2)
    seeds: tuple[Address, ...] = option(
        "Peers to contact first while the VM list can't be read.", ()
    )
    pull_wait_s: float = option(
        "Time for which a pull waits at the parent agent for a newer revision.",
        2.0,
        unit="s",
        minimum=0.05,
    )


@dataclass(frozen=True)
class OperatorSettings:
    """Section `operators`: the agent's listener for operators and teams."""

    listen: Address = option("Listener for operators.", Address(LOOPBACK, 8092))
    token_sha256: tuple[str, ...] = option(
        "SHA-256, in hex, of each token that may write every path.", ()
    )


@dataclass(frozen=True)
class IdempotencySettings:
    """Section `idempotency`: key claims, stored outcomes and their retention."""

    commit_interval_s: float = option(
        "Time between group commits of one slot.", 0.02, unit="s", minimum=0.001
    )
    retention_s: float = option(
        "Time for which a repeat finds its first run.", 900.0, unit="s", minimum=1.0
    )
    claim_timeout_s: float = option(
        "Timeout of making a claim durable.", 1.0, unit="s", minimum=0.01
    )
    hole_max_s: float = option(
        "Time for which first attempts may run unrecorded during a store outage.",
        3600.0,
        unit="s",
        minimum=0.0,
    )
    outcome_max_bytes: int = option(
        "Size limit of an outcome stored for repeats.", 32_768, unit="bytes", minimum=0
    )
    segment_max_bytes: int = option(
        "Size limit of a value written to the store.",
        900_000,
        unit="bytes",
        minimum=10_000,
        maximum=1_000_000,
    )


@dataclass(frozen=True)
class PlannerSettings:
    """Section `planner`: orders that load models onto targets."""

    interval_s: float = option(
        "Time between planning rounds.", 1.0, unit="s", minimum=0.02
    )
    order_life_s: float = option(
        "Longest transit of an order; a new lease holder waits this long to act.",
        5.0,
        unit="s",
        minimum=0.0,
    )
    settle_s: float = option(
        "Time from a target's reassignment to its order, for routers to stop using it.",
        3.0,
        unit="s",
        minimum=0.0,
    )
    order_secret: str = option(
        "Shared secret, sent only to targets that authenticate orders.", ""
    )
    loads_per_minute: float = option(
        "Rate limit of starting to load weights.", 30.0, unit="loads/min", minimum=0.1
    )


AGENT_SECTIONS: dict[str, type] = {
    "vm": VmSettings,
    "store": StoreSettings,
    "peer": PeerSettings,
    "operators": OperatorSettings,
    "lease": LeaseSettings,
    "idempotency": IdempotencySettings,
    "limits": LimitSettings,
    "metrics": MetricsSettings,
    "log": LogSettings,
}

PLANNER_SECTIONS: dict[str, type] = {
    "vm": VmSettings,
    "store": StoreSettings,
    "lease": LeaseSettings,
    "planner": PlannerSettings,
    "log": LogSettings,
}
