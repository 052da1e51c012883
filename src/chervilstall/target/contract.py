"""The contract between routers and targets.

Every unit of work is identified by request, attempt and position. A target echoes
the identity in each event; an event with another identity is dropped by the router.
Bodies are JSON. A stream is a sequence of server-sent events of `StreamEvent`.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import msgspec

from chervilstall.ids import AttemptNumber, Position, RequestId, TargetId
from chervilstall.settings.option import Address

REQUEST_HEADER = "Chervilstall-Request"
ATTEMPT_HEADER = "Chervilstall-Attempt"


class EventKind(Enum):
    """Kinds of event in an engine's stream."""

    ACCEPTED = "accepted"
    TOKEN = "token"
    END = "end"
    ERROR = "error"


class Priority(Enum):
    """Engine priorities; a lower number is served first."""

    URGENT = 0
    STANDARD = 1
    DRAFT = 2


class Hop(msgspec.Struct, frozen=True):
    """One stage of a route: a target and the layers it runs."""

    target: TargetId
    host: str
    port: int
    first_layer: int
    end_layer: int

    @property
    def address(self) -> Address:
        """Return the HTTP address of the stage."""
        return Address(self.host, self.port)

    @property
    def layers(self) -> int:
        """Return how many layers the stage runs."""
        return self.end_layer - self.first_layer


class GenerateOrder(msgspec.Struct, frozen=True):
    """Order to generate tokens along a route.

    Generation starts at `position`. With `kv_handles`, the stages import the KV
    state those handles name and run nothing for earlier positions. Without, the
    stages compute the KV state of the prompt and of `delivered` anew.
    """

    request: RequestId
    attempt: AttemptNumber
    model: str
    version: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: Priority
    route: tuple[Hop, ...]
    position: Position = Position(0)
    delivered: tuple[str, ...] = ()
    kv_handles: tuple[str, ...] = ()


class StreamEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of a stream.

    ACCEPTED precedes any work. TOKEN carries `token` at `position`. END carries in
    `position` the number of tokens of the whole answer. ERROR names the stage at
    fault in `target`.
    """

    request: RequestId
    attempt: AttemptNumber
    kind: EventKind
    position: Position = Position(0)
    token: str = ""
    finish: str = ""
    target: TargetId = TargetId("")


class CancelOrder(msgspec.Struct, frozen=True):
    """Order to stop the work of one attempt."""

    request: RequestId
    attempt: AttemptNumber


class GenerationProgress(msgspec.Struct, frozen=True):
    """The next position that a running attempt will send."""

    position: Position


class ExportOrder(msgspec.Struct, frozen=True):
    """Order to keep the KV state before `position` readable under a handle."""

    request: RequestId
    attempt: AttemptNumber
    position: Position


class ExportResponse(msgspec.Struct, frozen=True):
    """Handle of an exported KV state."""

    handle: str


class Refusal(msgspec.Struct, frozen=True):
    """A target's statement that it did not start the work."""

    refused: str


class LoadReport(msgspec.Struct, frozen=True):
    """Load of a target as it was `age_s` seconds before the answer."""

    in_flight: int
    waiting: int
    age_s: float
    is_leaving: bool = False
    cache_sequence: int = 0


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix that entered or left a target's cache."""

    sequence: int
    prefix: int
    is_cached: bool


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events after a sequence number; gaps show as missing numbers."""

    events: tuple[CacheEvent, ...]


class CacheIndex(msgspec.Struct, frozen=True):
    """Whole cache index of a target as of `sequence`."""

    sequence: int
    prefixes: tuple[int, ...]


class OrderKind(Enum):
    """Orders that change what a target holds."""

    LOAD = "load"
    ROLE = "role"


class FencedOrder(msgspec.Struct, frozen=True):
    """Order to hold layers of a model version; repeating it is harmless."""

    fence: int
    kind: OrderKind
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    first_layer: int = 0
    end_layer: int = 0
    secret: str = ""


class TargetState(msgspec.Struct, frozen=True):
    """What a target holds now."""

    model: str
    version: str
    adapters: tuple[str, ...]
    first_layer: int
    end_layer: int
    is_loading: bool = False
    is_leaving: bool = False


@dataclass(frozen=True)
class ServiceCall:
    """One call of a plain service."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class ServiceResponse:
    """A plain service's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class AttemptProgress(Enum):
    """How far an attempt got; decides what may be said about execution."""

    NOT_SENT = "not_sent"
    SENT = "sent"
    ACCEPTED = "accepted"
    STREAMING = "streaming"
    FINISHED = "finished"


class FailureCause(Enum):
    """What ended an attempt before its answer was whole."""

    CONNECT_FAILED = "connect_failed"
    REFUSED = "refused"
    CLOSED = "closed"
    SILENT = "silent"
    STAGE_DIED = "stage_died"
    BAD_ANSWER = "bad_answer"
    DEADLINE = "deadline"


class AttemptFailed(Exception):
    """An attempt ended early.

    `target` is the stage at fault where it is known, else the one connected to.
    """

    def __init__(
        self, cause: FailureCause, progress: AttemptProgress, target: TargetId
    ) -> None:
        super().__init__(f"{cause.value} while {progress.value} at {target}")
        self.cause = cause
        self.progress = progress
        self.target = target


class EngineStream(Protocol):
    """Events of one attempt, in order."""

    progress: AttemptProgress

    def next_event(self) -> StreamEvent:
        """Return the next event of this attempt. Raises AttemptFailed."""

    def close(self) -> None:
        """Stop reading; the target may not have noticed yet."""


class EngineClient(Protocol):
    """Everything a router asks of model engines."""

    def generate(self, order: GenerateOrder, deadline_s: float) -> EngineStream:
        """Send an order to the first stage. Raises AttemptFailed.

        `deadline_s`, in monotonic seconds, bounds every wait of the stream.
        """

    def cancel(self, address: Address, order: CancelOrder) -> None:
        """Ask for an attempt to be stopped; failures are swallowed."""

    def export_kv(self, address: Address, order: ExportOrder) -> str | None:
        """Return the handle of a KV state, or None where it can't be read."""


class ServiceClient(Protocol):
    """Everything a router asks of plain services."""

    def call(
        self,
        target: TargetId,
        address: Address,
        call: ServiceCall,
        request: RequestId,
        attempt: AttemptNumber,
        repeatable: bool,
        timeout_s: float,
    ) -> ServiceResponse:
        """Return the whole answer to this request. Raises AttemptFailed."""
