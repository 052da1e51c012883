"""A model of streams at a router that has lost its links to some targets.

It is that of `partly_cut_router`, with the product's relay of streams, its choice of
paths and a budget with few retries left.
"""

import time
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

from chervilstall.edge.exchange import CONNECT_SETTINGS, CompleteResponse
from chervilstall.edge.exchange_failures import ExchangeFailed, ExchangeFailure
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.reach.targets import TargetReach
from chervilstall.edge.streams.context import StreamContext
from chervilstall.edge.streams.relay import StreamRelay
from chervilstall.errors import ChervilstallError
from chervilstall.ids import VmId, ZoneName
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.records import Path
from chervilstall.platform.headers import ResponseHead
from tests.support.clock import Clock
from tests.support.model_targets import SERVICE
from tests.support.partly_cut_router import (
    GUARD,
    RESPONSE_S,
    ZONE_COUNT,
    ModelPlainRequest,
    PartlyCutRouter,
    ignore,
)

STREAM_S = 8.0
BUDGET_WINDOW_S = 10.0
ROUTER_COUNT = 60
EVENT = b"data: 1\n\n"


@dataclass
class FewRetries:
    """A budget of retries in any `BUDGET_WINDOW_S`."""

    retries: int
    spent_at_s: list[float] = field(default_factory=list)

    def try_spend(self, service: object, is_resume: bool = False) -> bool:
        """Return whether a retry is left, and take it."""
        first_s = time.monotonic() - BUDGET_WINDOW_S
        self.spent_at_s = [at_s for at_s in self.spent_at_s if at_s > first_s]
        if len(self.spent_at_s) >= self.retries:
            return False
        self.spent_at_s.append(time.monotonic())
        return True


@dataclass
class PartlyCutStreams(PartlyCutRouter):
    """Plays one case for streams, and counts those that began in time.

    The first `failing_sends` of each stream go to targets without links.
    """

    retries: int = 0
    failing_sends: int = 0

    def _build_relay(self, clock: Clock) -> Any:
        """Return what all streams of the router share."""
        zone = ZoneName("zone-0")
        limiter = TargetRateLimiter(VmId("vm-1"), zone)
        monitor = SimpleNamespace(streams={}, record_first_event=ignore)
        return StreamContext(
            self.fleet_view,
            PathChooser(self.fleet_view, zone, ZONE_COUNT, ROUTER_COUNT, self.rng),
            cast(Any, FewRetries(self.retries)),
            cast(Any, monitor),
            limiter,
            cast(Any, None),
            cast(Any, GUARD),
            TargetReach(self.fleet_view, limiter),
            cast(Any, None),
            cast(Any, None),
        )

    def _ask(self, relay: Any, clock: Clock) -> None:
        request = ModelStreamRequest(clock, clock.now_s + STREAM_S)
        self.asked += 1
        try:
            ModelStreamRelay(relay, cast(Any, request), self, clock).begin()
        except ChervilstallError:
            return
        self.served += request.remaining_s > 0.0


class ModelStreamRelay(StreamRelay):
    """Sends streams within the model."""

    def __init__(
        self,
        context: StreamContext,
        request: Any,
        router: PartlyCutStreams,
        clock: Clock,
    ) -> None:
        super().__init__(context, request)
        self.router = router
        self.clock = clock

    def _send(self, path: Path) -> ResponseHead:
        self.request.record_send()
        self.request.sent_at_s = self.clock.now_s
        is_lost = path.first.address not in self.router.within_reach
        if is_lost or self.request.sends <= self.router.failing_sends:
            # The links are examined beside a connect that is slow.
            self.context.target_reach.examine(SERVICE.name).join()
            self.clock.now_s += CONNECT_SETTINGS.connect_timeout_s
            raise ExchangeFailed(ExchangeFailure.NO_CONNECTION, was_sent=False)
        self.clock.now_s += RESPONSE_S
        self.attempts.record(path.first)
        return cast(
            Any,
            SimpleNamespace(
                status=200, is_stream=True, is_signed=True, is_not_executed=False
            ),
        )

    def _read_first_event(self) -> bytes | None:
        return EVENT

    def _attempt_at_peer(self) -> ResponseHead | CompleteResponse | None:
        """Another router serves it."""
        return cast(Any, SimpleNamespace(status=200))


@dataclass
class ModelStreamRequest(ModelPlainRequest):
    """A caller's stream as the relay sees it."""

    has_reserved_retry: bool = False
    events_forwarded: int = 0
    sent_at_s: float = 0.0
    expected_tokens: float = 100.0
    prefill_tokens: float = 100.0
    forwarding: None = None
    fields: Any = field(default_factory=lambda: SimpleNamespace(last_event_id=""))

    @property
    def caller_remaining_s(self) -> float:
        """Return the time until the caller's deadline, in seconds."""
        return self.remaining_s
