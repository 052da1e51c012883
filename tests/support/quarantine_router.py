"""What a router of the model of quarantine consists of: the product's own parts.

Only their surroundings are replaced: tasks, the store's client, the view of the fleet
and the question whether a target still responds.
"""

import random
from collections.abc import Callable, Container, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from typing import Any, cast
from unittest.mock import patch

from chervilstall.edge.crashes import observer, sharing
from chervilstall.edge.crashes.guard import CrashGuard
from chervilstall.edge.crashes.observer import CrashObserver
from chervilstall.edge.crashes.sharing import QuarantineSharing
from chervilstall.edge.exchange_failures import ExchangeFailed, ExchangeFailure
from chervilstall.edge.request import LostTarget
from chervilstall.errors import ChervilstallError
from chervilstall.fleet.records import Target, TargetIncarnation
from chervilstall.ids import PartId, RequestId, ServiceName, TargetId, VmId
from chervilstall.quarantine.prompts import PromptQuarantine
from chervilstall.settings.option import Address
from tests.support.quarantine_store import SharedStore, StoreClient
from tests.support.quarantine_traffic import PromptRequest
from tests.support.simulated_tasks import SimulatedTasks

RefusesConnections = Callable[[Address, float], bool]


@contextmanager
def simulated_surroundings(
    tasks: SimulatedTasks, rng: random.Random, refuses: RefusesConnections
) -> Iterator[None]:
    """Run the product's tasks on the simulated clock, with drawn delays."""
    with ExitStack() as stack:
        for module in (observer, sharing):
            stack.enter_context(patch.object(module, "gevent", tasks))
        stack.enter_context(patch.object(sharing, "random", rng))
        stack.enter_context(patch.object(observer, "refuses_connections", refuses))
        yield


@dataclass
class ModelFleetView:
    """The entries of targets as one router knows them.

    `read_target` returns the present entry of a target's id.
    """

    read_target: Callable[[TargetId], Target | None]
    suspect: Callable[[Target, str], object]

    @property
    def targets(self) -> "ModelFleetView":
        """Return the entries by id."""
        return self

    def get(self, target_id: TargetId) -> Target | None:
        """Return a target's entry."""
        return self.read_target(target_id)


@dataclass
class PromptFields:
    """The header fields of a request that matter here."""

    prompt_parts: tuple[PartId, ...]


@dataclass
class RequestedService:
    """The service of a request."""

    name: ServiceName


@dataclass(eq=False)
class GuardedRequest:
    """A request as the product's guard sees it."""

    fields: PromptFields
    service: RequestedService
    digest: PartId
    request_id: RequestId
    sent_at_s: float = 0.0
    events_forwarded: int = 0
    has_begun: bool = False
    lost_targets: dict[TargetIncarnation, LostTarget] = field(default_factory=dict)


def guarded_request(request: PromptRequest, has_prompt: bool) -> GuardedRequest:
    """Return a caller's request as the product's guard sees it."""
    parts = tuple(PartId(part) for part in request.parts if has_prompt)
    service = RequestedService(ServiceName(request.service))
    copy = RequestId(f"{request.number}-{request.attempt}")
    return GuardedRequest(PromptFields(parts), service, PartId(request.digest), copy)


@dataclass
class GuardedRouter:
    """The guard of one router with its quarantine, crash observer and sharing."""

    index: int
    fleet_view: ModelFleetView
    shared: SharedStore
    tasks: SimulatedTasks
    quarantine: PromptQuarantine = field(init=False)

    def __post_init__(self) -> None:
        vm = VmId(f"vm-{self.index}")
        client = cast(Any, StoreClient(vm, self.index, self.shared, self.tasks))
        self.quarantine = PromptQuarantine(
            lambda action: self.sharing.carry_out(action)
        )
        self.sharing = QuarantineSharing(self.quarantine, client, client)
        self.crash_observer = CrashObserver(
            cast(Any, self.fleet_view),
            self.sharing.share_crash,
        )
        self.guard = CrashGuard(self.quarantine, self.crash_observer)
        self.shared.connect(self.index, self.sharing)

    def may_send(self, request: GuardedRequest, may_have_run: bool) -> bool:
        """Return whether the guard lets a request through to a target."""
        if may_have_run and self.guard.is_given_up(cast(Any, request)):
            return False
        try:
            self.guard.check(cast(Any, request), may_have_run)
        except ChervilstallError:
            return False
        return True

    def record_event(self, request: GuardedRequest, events: int) -> None:
        """Tell the guard of another event, of which the target has sent `events`."""
        request.events_forwarded += 1
        self.guard.record_event(cast(Any, request), events)

    def record_end(self, request: GuardedRequest) -> None:
        """Tell the guard that an answer has ended."""
        self.guard.record_end(cast(Any, request))

    def record_answer(self, request: GuardedRequest) -> None:
        """Tell the guard that a plain service has answered as a whole."""
        self.guard.record_answer(cast(Any, request))

    def record_lost(self, request: GuardedRequest, target: Target) -> None:
        """Tell the guard that a target closed a request's connection."""
        error = ExchangeFailed(ExchangeFailure.CLOSED, was_sent=True)
        self.guard.record_failure(cast(Any, request), target, error)

    def prune(self, present: Container[TargetIncarnation]) -> None:
        """Drop what is past, as the product does from time to time."""
        self.crash_observer.prune(present)
