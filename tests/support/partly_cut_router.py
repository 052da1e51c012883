"""A model of a router that has lost its links to some targets, without a network.

The product's own choice of plain targets, its suspicions and its probes run on a
simulated clock. A connect to a target out of reach hangs, as in a partition.
"""

import random
import time
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import patch

from chervilstall.edge.exchange import CONNECT_SETTINGS, CompleteResponse
from chervilstall.edge.exchange_failures import ExchangeFailed, ExchangeFailure
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.plain_relay import PlainRelay, PlainTargetChooser
from chervilstall.edge.reach import targets as reach_targets
from chervilstall.edge.reach.targets import TargetReach
from chervilstall.edge.request import EdgeRequest
from chervilstall.errors import ChervilstallError
from chervilstall.fleet.records import Target
from chervilstall.fleet.view import FleetView
from chervilstall.ids import VmId, ZoneName
from chervilstall.settings.option import Address
from tests.support.clock import Clock
from tests.support.model_targets import SERVICE, make_target

DRAIN_S = 3.0
RESPONSE_S = 0.03
REQUEST_S = 1.2
DURATION_S = 60.0
ZONE_COUNT = 4


@dataclass(frozen=True)
class PartCase:
    """What a router reaches: `reached` of `targets`, drawn of all zones."""

    targets: int
    reached: int
    requests_per_s: float


@dataclass
class PartlyCutRouter:
    """Plays one case and counts the requests that were served in time."""

    case: PartCase
    rng: random.Random
    asked: int = 0
    served: int = 0
    fleet_view: FleetView = field(default_factory=lambda: FleetView(DRAIN_S))

    def play(self) -> None:
        """Send requests at the case's rate, on a clock of its own."""
        clock = Clock()
        random.seed(self.rng.random())
        self._add_targets()
        try:
            with patch.object(reach_targets, "responds", self._responds):
                relay = self._build_relay(clock)
                end_s = clock.now_s + DURATION_S
                while clock.now_s < end_s:
                    next_at_s = clock.now_s + 1.0 / self.case.requests_per_s
                    self._ask(relay, clock)
                    clock.now_s = max(next_at_s, clock.now_s)
                    self.fleet_view.expire()
        finally:
            clock.stop()

    def _add_targets(self) -> None:
        for number in range(self.case.targets):
            target = make_target(f"t-{number}", f"zone-{number % ZONE_COUNT}", 0, 8)
            address = Address(f"10.0.{number // 200}.{number % 200 + 1}", 80)
            target = replace(target, address=address)
            self.fleet_view.targets[target.id] = target
        addresses = [target.address for target in self.fleet_view.targets.values()]
        self.within_reach = set(self.rng.sample(addresses, self.case.reached))

    def _responds(self, target: Target, timeout_s: float) -> bool:
        return target.address in self.within_reach

    def _build_relay(self, clock: Clock) -> PlainRelay:
        limiter = TargetRateLimiter(VmId("vm-1"), ZoneName("zone-0"))
        reach = TargetReach(self.fleet_view, limiter)
        chooser = PlainTargetChooser(self.fleet_view, ZoneName("zone-0"), limiter)
        return ModelPlainRelay(
            chooser,
            self.fleet_view,
            cast(Any, SimpleNamespace(try_spend=lambda service: True)),
            limiter,
            cast(Any, None),
            cast(Any, GUARD),
            reach,
            cast(Any, None),
            cast(Any, None),
            self,
            clock,
        )

    def _ask(self, relay: PlainRelay, clock: Clock) -> None:
        request = ModelPlainRequest(clock, clock.now_s + REQUEST_S)
        self.asked += 1
        try:
            relay.run(cast(Any, request))
        except ChervilstallError:
            return
        self.served += request.remaining_s > 0.0

    @property
    def served_share(self) -> float:
        """Return the share of requests that were served before their deadline."""
        return self.served / self.asked


def ignore(*arguments: object) -> None:
    """Do nothing."""


GUARD = SimpleNamespace(
    check=ignore,
    record_failure=ignore,
    record_answer=ignore,
    await_verdict=ignore,
    is_given_up=lambda request: False,
)


@dataclass
class ModelPlainRelay(PlainRelay):
    """Sends requests within the model."""

    router: Any = None
    clock: Any = None

    def _send(
        self, request: EdgeRequest, target: Target, reached: int
    ) -> CompleteResponse:
        request.sends += 1
        if target.address not in self.router.within_reach:
            # The links are examined beside a connect that is slow.
            self.target_reach.examine(SERVICE.name).join()
            self.clock.now_s += CONNECT_SETTINGS.connect_timeout_s
            raise ExchangeFailed(ExchangeFailure.NO_CONNECTION, was_sent=False)
        self.clock.now_s += RESPONSE_S
        self.chooser.responded_at_s[target.incarnation] = time.monotonic()
        self.target_reach.record_response(SERVICE.name)
        head = SimpleNamespace(status=200, is_not_executed=False)
        return CompleteResponse(cast(Any, head), b"")

    def _run_at_peer(
        self, request: EdgeRequest, reached: int, may_have_run: bool
    ) -> CompleteResponse:
        """Another router serves it."""
        return CompleteResponse(cast(Any, SimpleNamespace(status=200)), b"")


@dataclass
class ModelPlainRequest:
    """A caller's request as the relay sees it."""

    clock: Clock
    deadline_s: float
    request_id: str = "r"
    digest: str = "d"
    sends: int = 0
    has_caller_disconnected: bool = False
    method: str = "GET"
    target: str = "/"
    body: bytes = b""
    abort_callbacks: set[Any] = field(default_factory=set)
    attempts_max: int = 2
    service: Any = SERVICE
    route: Any = field(
        default_factory=lambda: SimpleNamespace(is_retryable=True, latency_slo_s=0.2)
    )

    def record_send(self) -> None:
        """Count a send."""
        self.sends += 1

    @property
    def remaining_s(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline_s - self.clock.now_s
