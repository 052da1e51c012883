"""Requests to plain services, whose response is read completely before forwarding.

A plain service has no model pipeline and does not stream.
"""

import random
import time
from collections.abc import Container, Mapping
from dataclasses import dataclass, field

from chervilstall.edge.connections import TargetConnections
from chervilstall.edge.crashes.guard import CrashGuard
from chervilstall.edge.exchange import CompleteResponse, Exchange
from chervilstall.edge.exchange_failures import ExchangeFailed, ExchangeFailure
from chervilstall.edge.limits.budget import FleetRetryBudget
from chervilstall.edge.limits.notices import TargetNotices
from chervilstall.edge.limits.rate_limits import AT_LIMIT, TargetRateLimiter
from chervilstall.edge.peers.forwarding import name_responder
from chervilstall.edge.peers.relay import OUT_OF_REACH, PeerRelay
from chervilstall.edge.reach.targets import TargetReach
from chervilstall.edge.request import EdgeRequest
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import Service, Target, TargetIncarnation
from chervilstall.fleet.view import FleetView
from chervilstall.heard_clock import HEARD
from chervilstall.ids import TargetId, ZoneName
from chervilstall.platform.headers import (
    NOT_RUN_STATUSES,
    ForwardFields,
    forward_headers,
)
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

SENDS_MAX = 4
"""Limit on sends per request, including those that never reached a target."""

ATTEMPT_MIN_S = 0.2
"""Shortest time that a target gets to respond before its silence counts against it."""

OTHER_ZONE_LOAD = 1.5
"""Requests in flight for which a target in another zone counts as more loaded."""

SUSPICION_S = 1.0
REFUSAL_SUSPICION_S = 0.25
KEPT_FAILURES = (ExchangeFailure.CLOSED, ExchangeFailure.MALFORMED)
"""Failures without an answer over a kept connection that a sound target may cause.

It may have closed the idle connection as the request came, or have sent an answer to an
earlier one late.
"""

RESPONSE_RESERVE_S = 0.01
"""Time kept before the deadline for the router's own response."""


@dataclass
class PlainTargetChooser:
    """Chooses the target with the fewest requests of this router in flight.

    Targets under suspicion come last, and targets in other availability zones count as
    more loaded. Targets at their rate limit get nothing. `probed_at_s` holds when each
    target last responded to a probe, a monotonic time like those of `responded_at_s`.
    """

    fleet_view: FleetView
    zone: ZoneName
    rate_limiter: TargetRateLimiter
    in_flight: dict[TargetIncarnation, int] = field(default_factory=dict)
    responded_at_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    probed_at_s: Mapping[TargetIncarnation, float] = field(default_factory=dict)

    def choose(
        self,
        service: Service,
        avoided: set[TargetId],
        seen_after_s: float = float("-inf"),
    ) -> Target | None:
        """Return the best target that is not in `avoided`, or None.

        Targets that have responded after `seen_after_s`, a monotonic time, come first.
        """
        return min(
            self.available(service, avoided),
            key=lambda target: (*self.rank(target, seen_after_s), random.random()),
            default=None,
        )

    def available(self, service: Service, avoided: set[TargetId]) -> list[Target]:
        """Return the ready targets that are not in `avoided` nor at their limit."""
        return [
            target
            for target in self.fleet_view.ready_targets(service.name)
            if target.id not in avoided and self.rate_limiter.may_send(target)
        ]

    def rank(
        self, target: Target, seen_after_s: float = float("-inf")
    ) -> tuple[bool, bool, float]:
        """Return what targets are compared by; chance decides between equal ones."""
        return (
            self._seen_at_s(target) < seen_after_s,
            self.fleet_view.is_suspected(target),
            self.in_flight.get(target.incarnation, 0) + self.zone_load(target),
        )

    def zone_load(self, target: Target) -> float:
        """Return by how many requests a target counts as more loaded for its zone."""
        return 0.0 if target.zone == self.zone else OTHER_ZONE_LOAD

    def _seen_at_s(self, target: Target) -> float:
        """Return when a target last responded to a request or a probe."""
        never_s = float("-inf")
        return max(
            self.responded_at_s.get(target.incarnation, never_s),
            self.probed_at_s.get(target.incarnation, never_s),
        )

    def begin_request(self, target: Target) -> None:
        """Count a request as in flight at a target."""
        self.in_flight[target.incarnation] = (
            self.in_flight.get(target.incarnation, 0) + 1
        )

    def prune(self, present: Container[TargetIncarnation]) -> None:
        """Drop the state of targets that are gone."""
        retain_keys(self.responded_at_s, present)

    def end_request(self, target: Target) -> None:
        """Stop counting a request as in flight at a target."""
        remaining = self.in_flight.get(target.incarnation, 1) - 1
        if remaining > 0:
            self.in_flight[target.incarnation] = remaining
        else:
            self.in_flight.pop(target.incarnation, None)


@dataclass
class PlainRelay:
    """Sends requests of plain services to targets, with retries."""

    chooser: PlainTargetChooser
    fleet_view: FleetView
    budget: FleetRetryBudget
    rate_limiter: TargetRateLimiter
    notices: TargetNotices
    crash_guard: CrashGuard
    target_reach: TargetReach
    peer_relay: PeerRelay
    connections: TargetConnections

    def __post_init__(self) -> None:
        self.chooser.probed_at_s = self.target_reach.probed_at_s

    def run(self, request: EdgeRequest) -> CompleteResponse:
        """Send a request and return a response. Raises ChervilstallError without one.

        A request that certainly did not run goes on to another target on any route, one
        that may have run only on retryable routes. `SENDS_MAX`, the route's attempt
        limit and the retry budget bound the sends. If no target succeeds, the latest
        5xx response is returned.
        """
        tried: set[TargetId] = set()
        reached: set[TargetId] = set()
        may_have_run = False
        error_response: CompleteResponse | None = None
        reason = "no target is ready"
        seen_after_s = float("-inf")
        while request.sends < SENDS_MAX and not request.has_caller_disconnected:
            if not may_have_run:
                self.crash_guard.check(request, may_have_run)
            elif self.crash_guard.is_given_up(request):
                break
            if self.target_reach.is_out_of_reach(request.service.name):
                if error_response is not None:
                    break
                return self._run_at_peer(request, len(reached), may_have_run)
            target = self.chooser.choose(request.service, tried, seen_after_s)
            if target is None and not tried and self.rate_limiter.exhausted_targets():
                reason = AT_LIMIT
            if target is None or not self._may_send(request, target, reached):
                break
            tried.add(target.id)
            started_at_s = time.monotonic()
            try:
                response = self._send(request, target, len(reached))
            except ExchangeFailed as error:
                reason = error.failure.value
                self._record_failure(request, target, error, started_at_s)
                if error.failure is ExchangeFailure.NO_CONNECTION:
                    # Links to others may be lost as well; their probes tell.
                    seen_after_s = started_at_s
                if error.was_sent:
                    may_have_run = True
                    reached.add(target.id)
                    if not request.route.is_retryable:
                        break
                    self.crash_guard.await_verdict(request, target)
                self.target_reach.check(request.service.name)
                continue
            reached.add(target.id)
            head = response.head
            if head.is_not_executed:
                reason = f"target returned {head.status} without running the request"
                self.fleet_view.suspect(target, reason, REFUSAL_SUSPICION_S)
                continue
            self.fleet_view.clear_suspicion(target)
            self.crash_guard.record_answer(request)
            if head.status in NOT_RUN_STATUSES:
                # Without the mark of a refusal the request may have run.
                may_have_run = True
                reason = f"target returned {head.status}"
                if not request.route.is_retryable:
                    break
                continue
            if head.status < 500 or not request.route.is_retryable:
                return response
            error_response = response
            may_have_run = True
            reason = f"target returned {head.status}"
        if error_response is not None:
            return error_response
        raise self._error(request, may_have_run, reason)

    def _may_send(
        self, request: EdgeRequest, target: Target, reached: set[TargetId]
    ) -> bool:
        if request.remaining_s <= RESPONSE_RESERVE_S:
            return False
        if not reached:
            return True
        if len(reached) >= request.attempts_max:
            return False
        return self.budget.try_spend(request.service.name)

    def _run_at_peer(
        self, request: EdgeRequest, reached: int, may_have_run: bool
    ) -> CompleteResponse:
        """Let another router run a request, as no target is within reach."""
        if reached >= request.attempts_max:
            raise self._error(request, may_have_run, OUT_OF_REACH)
        if reached and not self.budget.try_spend(request.service.name):
            raise self._error(request, may_have_run, OUT_OF_REACH)
        try:
            response = self.peer_relay.run(request, request.attempts_max - reached)
        except ExchangeFailed as error:
            raise self._error(request, True, error.failure.value) from error
        except ChervilstallError as error:
            if may_have_run:
                raise self._error(request, may_have_run, error.message) from error
            raise
        if may_have_run and response.head.status in NOT_RUN_STATUSES:
            # An earlier attempt may have run, so this is not the final answer.
            raise self._error(request, may_have_run, OUT_OF_REACH)
        return response

    def _send(
        self, request: EdgeRequest, target: Target, reached: int
    ) -> CompleteResponse:
        send_fields = ForwardFields(
            target, request.caller_remaining_s, request.workspace, request.priority
        )
        headers = forward_headers(request.fields.forwarded_headers, send_fields)
        notice = self.target_reach.failure_notice(request.service.name)
        attempts_left = min(request.attempts_max - reached, SENDS_MAX - request.sends)
        source = self.connections.source(request, target, attempts_left)
        exchange = Exchange(request, target.address, headers, notice, source)
        self.chooser.begin_request(target)
        timeout_s = self._timeout_s(request)
        sent_at_s = time.monotonic()
        self.rate_limiter.record_send(target)
        try:
            head = exchange.send_request(timeout_s)
            self.notices.record(target, head, sent_at_s)
            if request.forwarding is not None:
                head = name_responder(head, target)
            response = exchange.read_response(
                head, request.remaining_s - RESPONSE_RESERVE_S
            )
        finally:
            self.chooser.end_request(target)
            exchange.close()
        if response.head.status < 300 and not response.head.is_signed:
            raise ExchangeFailed(ExchangeFailure.MALFORMED, was_sent=True)
        self.chooser.responded_at_s[target.incarnation] = time.monotonic()
        self.target_reach.record_response(request.service.name)
        log.routine(
            "answered",
            request=request.request_id,
            target=target.id,
            status=head.status,
            sends=request.sends,
        )
        return response

    def _timeout_s(self, request: EdgeRequest) -> float:
        remaining_s = request.remaining_s - RESPONSE_RESERVE_S
        is_last = request.sends + 1 >= request.attempts_max
        if not request.route.is_retryable or is_last:
            return remaining_s
        # Leaves time for a second target if this one does not respond.
        return min(remaining_s, max(ATTEMPT_MIN_S, request.route.latency_slo_s))

    def _record_failure(
        self,
        request: EdgeRequest,
        target: Target,
        error: ExchangeFailed,
        started_at_s: float,
    ) -> None:
        log.warning(
            "send failed",
            request=request.request_id,
            target=target.id,
            digest=request.digest,
            why=error.failure.value,
            was_sent=error.was_sent,
        )
        self.crash_guard.record_failure(request, target, error)
        if error.failure is not ExchangeFailure.CALLER_LEFT:
            self.target_reach.notice_failure(request.service.name)
        if error.failure is ExchangeFailure.TIMEOUT and not self._is_to_blame(
            target, started_at_s
        ):
            return
        if error.failure is not ExchangeFailure.CLOSED and HEARD.was_deaf_since(
            started_at_s
        ):
            # The own time-outs ran late, so the target may have been in time.
            return
        if error.was_kept and error.failure in KEPT_FAILURES:
            return
        if error.failure is ExchangeFailure.NO_CONNECTION:
            # Lasts longer each time, whatever the time between two requests is.
            self.fleet_view.suspect(target, error.failure.value, shared=False)
        elif error.failure is not ExchangeFailure.CALLER_LEFT:
            self.fleet_view.suspect(target, error.failure.value, SUSPICION_S)

    def _is_to_blame(self, target: Target, started_at_s: float) -> bool:
        """Return whether a timeout of a send counts against its target.

        It does not if the target has responded to another request meanwhile, or if the
        remaining time was too short for any target.
        """
        if self.chooser.responded_at_s.get(target.incarnation, 0.0) > started_at_s:
            return False
        return time.monotonic() - started_at_s >= ATTEMPT_MIN_S

    def _error(
        self, request: EdgeRequest, may_have_run: bool, reason: str
    ) -> ChervilstallError:
        if not may_have_run:
            return ChervilstallError(ErrorKind.NO_TARGET, reason, SUSPICION_S / 2)
        if request.remaining_s <= 2 * RESPONSE_RESERVE_S:
            return ChervilstallError(ErrorKind.DEADLINE_UNKNOWN, reason)
        return ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, reason)
