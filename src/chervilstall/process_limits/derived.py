"""The limits of one process, worked out from its VM and its settings."""

from dataclasses import dataclass

from chervilstall.process_limits.memory import ClientMemory
from chervilstall.settings.edge import ProcessLimitSettings
from chervilstall.settings.node import NodeSettings

BYTES_PER_MB = 1_000_000


@dataclass(frozen=True)
class ProcessLimits:
    """Bytes of bodies and answers that clients may make the process hold."""

    client_bytes: int
    reserve_bytes: int
    small_body_bytes: int

    def new_memory(self) -> ClientMemory:
        """Return the budget of the process, with nothing in use."""
        return ClientMemory(
            self.client_bytes, self.reserve_bytes, self.small_body_bytes
        )


def derive_limits(node: NodeSettings, settings: ProcessLimitSettings) -> ProcessLimits:
    """Return the limits for a VM."""
    memory_bytes = (node.memory_mb or settings.memory_assumed_mb) * BYTES_PER_MB
    client_bytes = int(memory_bytes * settings.client_memory_share)
    return ProcessLimits(
        client_bytes=client_bytes,
        reserve_bytes=int(client_bytes * settings.reserve_share),
        small_body_bytes=settings.small_body_bytes,
    )
