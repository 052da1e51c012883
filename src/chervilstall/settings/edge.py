"""Settings of our own for the router on the platform, in an optional INI file."""

from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from chervilstall.settings.option import option

OPTIONS_VARIABLE = "CHERVILSTALL_EDGE_OPTIONS"
"""Environment variable that names the file; without it every option has its default."""


class FeatureMode(Enum):
    """Whether a feature is in force.

    `AUTO` follows the platform's configuration: the feature is in force while the
    configuration ranks the routes of a pipeline service by priority.
    """

    AUTO = "auto"
    ON = "on"
    OFF = "off"

    def is_in_force(self, is_ranked: bool) -> bool:
        """Return whether the feature is in force.

        `is_ranked` says whether the configuration ranks the routes of a pipeline.
        """
        match self:
            case FeatureMode.AUTO:
                return is_ranked
            case FeatureMode.ON:
                return True
            case FeatureMode.OFF:
                return False


@dataclass(frozen=True)
class AdmissionByRoomSettings:
    """Section `admission`: admission to model services by free memory and priority."""

    mode: FeatureMode = option(
        "Whether requests to model services are admitted by room.", FeatureMode.AUTO
    )
    reserve_share: float = option(
        "Part of the room that is kept free for the most urgent requests, as far as "
        "they come.",
        0.1,
        minimum=0.0,
        maximum=0.5,
    )
    floor_share: float = option(
        "Part of the room that all but the most urgent requests get under any load.",
        0.05,
        minimum=0.0,
        maximum=0.5,
    )
    queue_objective_share: float = option(
        "Part of its route's latency objective that a request may wait for room.",
        0.25,
        minimum=0.0,
        maximum=1.0,
    )
    share_scale_min: float = option(
        "Lower bound of the factor of a router's share, while targets refuse requests "
        "or answer late.",
        0.5,
        minimum=0.05,
        maximum=1.0,
    )
    share_scale_max: float = option(
        "Upper bound of that factor, while the routers don't tell each other their "
        "load and targets answer in time.",
        8.0,
        minimum=1.0,
        maximum=100.0,
    )


@dataclass(frozen=True)
class LoadExchangeSettings:
    """Section `load_exchange`: what the routers of a zone tell each other."""

    mode: FeatureMode = option(
        "Whether routers tell each other the load they put on targets.",
        FeatureMode.AUTO,
    )
    guides_paths: FeatureMode = option(
        "Whether load that other routers report counts in the choice of paths. `auto` "
        "also requires that admission by room finds targets short of room.",
        FeatureMode.AUTO,
    )


@dataclass(frozen=True)
class ProcessLimitSettings:
    """Section `process`: memory and descriptors that callers may take up."""

    memory_assumed_mb: int = option(
        "Memory of a VM whose node file names none.", 200, unit="MB", minimum=50
    )
    client_memory_share: float = option(
        "Share of the VM's memory for the bodies and answers of callers.",
        0.25,
        minimum=0.02,
        maximum=0.8,
    )
    reserve_share: float = option(
        "Share of this memory that only small bodies and answers may use.",
        0.125,
        minimum=0.0,
        maximum=0.5,
    )
    small_body_bytes: int = option(
        "Largest body or answer that may use the reserve.",
        65_536,
        unit="bytes",
        minimum=1_024,
    )
    connection_memory_share: float = option(
        "Share of the VM's memory for connections of callers and other routers.",
        0.2,
        minimum=0.02,
        maximum=0.8,
    )
    files_reserved: int = option(
        "Descriptors kept for files and the process's own use.",
        200,
        unit="descriptors",
        minimum=20,
    )
    connection_descriptor_share: float = option(
        "Share of the other descriptors for connections of callers and other routers.",
        0.6,
        minimum=0.05,
        maximum=0.8,
    )
    peer_connection_share: float = option(
        "Share of these connections that only other routers may use.",
        0.15,
        minimum=0.01,
        maximum=0.5,
    )
    operator_connections: int = option(
        "Connections to the metrics listener, and to the readiness listener.",
        16,
        minimum=1,
    )


@dataclass(frozen=True)
class StreamSettings:
    """Section `streams`: streams in progress."""

    spread_moves: FeatureMode = option(
        "Whether streams leave a draining target one after the other.",
        FeatureMode.AUTO,
    )
    check_stages: FeatureMode = option(
        "Whether a router connects to the stages of a silent stream, to find lost "
        "targets early, and moves streams to paths with few new stages.",
        FeatureMode.AUTO,
    )


@dataclass(frozen=True)
class ConnectionSettings:
    """Section `connections`: connections to targets."""

    keep_for_reports: FeatureMode = option(
        "Whether reports and health checks of targets reuse connections.",
        FeatureMode.AUTO,
    )
    keep_for_requests: FeatureMode = option(
        "Whether idempotent requests and resumable streams reuse connections to "
        "targets.",
        FeatureMode.AUTO,
    )


@dataclass(frozen=True)
class PromptSettings:
    """Section `prompts`: long prompts beside short ones."""

    mode: FeatureMode = option(
        "Whether the prefill of a request's own prompt counts in the choice of its "
        "path, and several long prompts are sent one after the other.",
        FeatureMode.OFF,
    )


@dataclass(frozen=True)
class EdgeSettings:
    """All sections of the file."""

    admission: AdmissionByRoomSettings = field(default_factory=AdmissionByRoomSettings)
    load_exchange: LoadExchangeSettings = field(default_factory=LoadExchangeSettings)
    process: ProcessLimitSettings = field(default_factory=ProcessLimitSettings)
    streams: StreamSettings = field(default_factory=StreamSettings)
    connections: ConnectionSettings = field(default_factory=ConnectionSettings)
    prompts: PromptSettings = field(default_factory=PromptSettings)


EDGE_SECTIONS: dict[str, type] = {
    "admission": AdmissionByRoomSettings,
    "load_exchange": LoadExchangeSettings,
    "process": ProcessLimitSettings,
    "streams": StreamSettings,
    "connections": ConnectionSettings,
    "prompts": PromptSettings,
}


def read_edge_settings(path: Path | None) -> EdgeSettings:
    """Read the file, or return the defaults without one. Raises InvalidSettings."""
    if path is None:
        return EdgeSettings()
    # Imported here, as a start without the file should not pay for the INI parser.
    from chervilstall.settings.ini import read_sections

    return EdgeSettings(**read_sections(path.read_text(), path.name, EDGE_SECTIONS))
