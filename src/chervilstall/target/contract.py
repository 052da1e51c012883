"""The protocol between routers and targets.

Work is identified by request, attempt and token position. A target echoes these in
each event, and the router drops events of another request or attempt. Bodies are
JSON. A stream is a sequence of server-sent events, each a `StreamEvent`.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import msgspec

from chervilstall.decoding import Count
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
    """Priority of a request in an engine; lower numbers are served first."""

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
        """Return the HTTP address of the target."""
        return Address(self.host, self.port)

    @property
    def layers(self) -> int:
        """Return the number of layers that the stage runs."""
        return self.end_layer - self.first_layer


class GenerateOrder(msgspec.Struct, frozen=True):
    """Order to generate tokens along a route of pipeline stages.

    Generation starts at `position`; `delivered` holds the tokens before it. With
    `kv_handles`, the stages import the KV state that those handles name and run
    nothing for earlier positions. Without, the stages recompute the KV state of the
    prompt and of `delivered`.
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

    ACCEPTED precedes any work. TOKEN carries `token` at `position`. END carries the
    finish reason, and in `position` the number of tokens of the whole response. ERROR
    names the failed stage in `target`.
    """

    request: RequestId
    attempt: AttemptNumber
    kind: EventKind
    position: Position = Position(0)
    token: str = ""
    finish: str = ""
    target: TargetId = TargetId("")


class CancelOrder(msgspec.Struct, frozen=True):
    """Order to stop one attempt. It also identifies the attempt of a progress query."""

    request: RequestId
    attempt: AttemptNumber


class GenerationProgress(msgspec.Struct, frozen=True):
    """Progress of a running attempt: the next position that it will send."""

    position: Position


class ExportOrder(msgspec.Struct, frozen=True):
    """Order to export the KV state before `position` under a handle."""

    request: RequestId
    attempt: AttemptNumber
    position: Position


class ExportResponse(msgspec.Struct, frozen=True):
    """Handle of an exported KV state."""

    handle: str


class Refusal(msgspec.Struct, frozen=True):
    """A target's statement that it did not start the work; `refused` says why."""

    refused: str


class LoadReport(msgspec.Struct, frozen=True):
    """Load of a target, measured `age_s` seconds before it responded."""

    in_flight: Count
    waiting: Count
    age_s: float
    is_leaving: bool = False
    cache_sequence: Count = 0


class CacheEvent(msgspec.Struct, frozen=True):
    """A prompt prefix that entered or left a target's cache."""

    sequence: Count
    prefix: int
    is_cached: bool


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events after a sequence number; lost events show as missing numbers."""

    events: tuple[CacheEvent, ...]


class CacheIndex(msgspec.Struct, frozen=True):
    """All prefixes in a target's cache as of `sequence`."""

    sequence: Count
    prefixes: tuple[int, ...]


class OrderKind(Enum):
    """Kinds of order that change what a target holds."""

    LOAD = "load"
    ROLE = "role"


class FencedOrder(msgspec.Struct, frozen=True):
    """Order to hold layers of a model version. It is idempotent.

    A target that checks fencing refuses it where `fence` is below the highest seen.
    """

    fence: int
    kind: OrderKind
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    first_layer: int = 0
    end_layer: int = 0
    secret: str = ""


class TargetState(msgspec.Struct, frozen=True):
    """The model, version, adapters and layers that a target holds."""

    model: str
    version: str
    adapters: tuple[str, ...]
    first_layer: Count
    end_layer: Count
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
    """A plain service's complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class AttemptProgress(Enum):
    """How far an attempt got, which decides whether it may have been executed."""

    NOT_SENT = "not_sent"
    SENT = "sent"
    ACCEPTED = "accepted"
    STREAMING = "streaming"
    FINISHED = "finished"


class FailureCause(Enum):
    """What ended an attempt before its response was complete."""

    CONNECT_FAILED = "connect_failed"
    REFUSED = "refused"
    CLOSED = "closed"
    SILENT = "silent"
    STAGE_DIED = "stage_died"
    BAD_ANSWER = "bad_answer"
    DEADLINE = "deadline"


class AttemptFailed(Exception):
    """An attempt ended before its response was complete.

    `target` is the failed stage where it is known, else the target connected to.
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
        """Close the connection; the target may still be working."""


class EngineClient(Protocol):
    """Calls that a router makes to model engines while it relays a stream."""

    def generate(self, order: GenerateOrder, deadline_s: float) -> EngineStream:
        """Send an order to the first stage of its route. Raises AttemptFailed.

        `deadline_s`, in monotonic seconds, bounds every read of the stream.
        """

    def cancel(self, address: Address, order: CancelOrder) -> None:
        """Ask for an attempt to be stopped; errors are ignored."""

    def export_kv(self, address: Address, order: ExportOrder) -> str | None:
        """Return the handle of an exported KV state, or None where that failed."""

    def fetch_load(self, address: Address) -> LoadReport | None:
        """Return the load that an engine reports, or None where it doesn't answer."""


class ServiceClient(Protocol):
    """Calls that a router makes to plain services."""

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
        """Return the complete response to this request. Raises AttemptFailed."""
