"""One request of a caller, from its arrival to its answer."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from chervilstall.fleet.records import Route, Service
from chervilstall.ids import RequestId, WorkspaceName
from chervilstall.platform.headers import RequestFields


@dataclass
class EdgeRequest:
    """A request that a route and a workspace allow.

    `target` is the request target byte for byte. `deadline_s` is the monotonic time
    at which the route or the caller stops waiting. `repeats_paid` counts repeats taken
    from the budget and not yet made. `queued_s` and `longest_gap_s` are
    the wait for the first send and the longest pause of a stream, `first_event_s` the
    time from the arrival to its first event. A lower `priority`
    is more urgent. `aborts` are called when the caller leaves.
    """

    fields: RequestFields
    method: str
    target: str
    body: bytes
    route: Route
    service: Service
    workspace: WorkspaceName | None
    priority: int
    arrived_s: float
    deadline_s: float
    has_caller_left: bool = False
    sends: int = 0
    repeats_paid: int = 0
    queued_s: float | None = None
    first_event_s: float | None = None
    longest_gap_s: float | None = None
    events_passed: int = 0
    aborts: set[Callable[[], None]] = field(default_factory=set)

    @property
    def name(self) -> RequestId:
        """Return the request's identity, new for each of the caller's attempts."""
        return self.fields.request

    @property
    def labels(self) -> tuple[str, str]:
        """Return workspace and route, as metrics are kept."""
        return self.workspace or "", self.route.name

    @property
    def left_s(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline_s - time.monotonic()

    @property
    def caller_left_s(self) -> float:
        """Return how long the caller itself goes on waiting, in seconds."""
        if self.fields.timeout_s is None:
            return self.left_s
        return self.arrived_s + self.fields.timeout_s - time.monotonic()

    @property
    def tokens(self) -> float:
        """Return the tokens that the request is expected to hold in memory."""
        fields = self.fields
        told = fields.prompt_tokens + fields.answer_tokens
        if told:
            return told
        pipeline = self.service.pipeline
        return pipeline.typical_tokens if pipeline is not None else 0.0

    @property
    def prompt_tokens(self) -> float:
        """Return the tokens of the prompt and of the events that were passed on."""
        return self.fields.prompt_tokens + self.events_passed

    def note_send(self) -> None:
        """Count a send, and how long the request waited for its first."""
        self.sends += 1
        if self.queued_s is None:
            self.queued_s = time.monotonic() - self.arrived_s

    def note_gap(self, gap_s: float) -> None:
        """Take in a pause between two events that were passed on."""
        self.longest_gap_s = max(gap_s, self.longest_gap_s or 0.0)

    def leave(self) -> None:
        """Stop the work because the caller is gone."""
        self.has_caller_left = True
        for abort in list(self.aborts):
            abort()
