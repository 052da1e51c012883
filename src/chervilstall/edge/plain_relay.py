"""Requests to plain services, whose response is read completely before forwarding.

A plain service has no model pipeline and does not stream.
"""

import time
from collections.abc import Container
from dataclasses import dataclass, field

from chervilstall.edge.budget import RepeatBudget
from chervilstall.edge.exchange import (
    CompleteResponse,
    Exchange,
    ExchangeFailed,
    ExchangeFailure,
)
from chervilstall.edge.request import EdgeRequest
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.beliefs import FleetBeliefs
from chervilstall.fleet.pruning import keep_only
from chervilstall.fleet.records import Life, Service, Target
from chervilstall.ids import TargetId, ZoneName
from chervilstall.platform.messages import SendFields
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

SENDS_MAX = 4
"""Limit on sends per request, including those that never reached a target."""

ATTEMPT_MIN_S = 0.2
"""Shortest time that a target gets to respond before its silence counts against it."""

SUSPICION_S = 1.0
REFUSAL_SUSPICION_S = 0.25
RESPONSE_RESERVE_S = 0.01
"""Time kept before the deadline for the router's own response."""


@dataclass
class PlainTargetChooser:
    """Chooses the target with the fewest requests of this router in flight.

    Targets under suspicion come last, and targets in other availability zones count as
    more loaded.
    """

    beliefs: FleetBeliefs
    zone: ZoneName
    in_flight: dict[Life, int] = field(default_factory=dict)
    responded_at_s: dict[Life, float] = field(default_factory=dict)

    def choose(self, service: Service, avoided: set[TargetId]) -> Target | None:
        """Return the best target that is not in `avoided`, or None."""
        available = [
            target
            for target in self.beliefs.targets_of(service.name)
            if target.target not in avoided
        ]
        if not available:
            return None
        return min(available, key=self._rank)

    def _rank(self, target: Target) -> tuple[bool, float]:
        is_other_zone = target.zone != self.zone
        load = self.in_flight.get(target.life, 0)
        return self.beliefs.is_suspect(target), load + (1.5 if is_other_zone else 0.0)

    def begin_request(self, target: Target) -> None:
        """Count a request as in flight at a target."""
        self.in_flight[target.life] = self.in_flight.get(target.life, 0) + 1

    def prune(self, present: Container[Life]) -> None:
        """Drop the state of targets that are gone."""
        keep_only(self.responded_at_s, present)

    def end_request(self, target: Target) -> None:
        """Stop counting a request as in flight at a target."""
        remaining = self.in_flight.get(target.life, 1) - 1
        if remaining > 0:
            self.in_flight[target.life] = remaining
        else:
            self.in_flight.pop(target.life, None)


@dataclass
class PlainRelay:
    """Sends requests of plain services to targets, with retries."""

    chooser: PlainTargetChooser
    beliefs: FleetBeliefs
    budget: RepeatBudget

    def run(self, request: EdgeRequest) -> CompleteResponse:
        """Send a request and return a response. Raises ChervilstallError without one.

        A request that certainly did not run goes on to another target on any route, one
        that may have run only on repeatable routes. `SENDS_MAX`, the route's attempt
        limit and the retry budget bound the sends. If no target succeeds, the latest
        5xx response is returned.
        """
        tried: set[TargetId] = set()
        reached: set[TargetId] = set()
        may_have_run = False
        error_response: CompleteResponse | None = None
        reason = "no target is ready"
        while request.sends < SENDS_MAX and not request.has_caller_disconnected:
            target = self.chooser.choose(request.service, tried)
            if target is None or not self._may_send(request, target, reached):
                break
            tried.add(target.target)
            started_at_s = time.monotonic()
            try:
                response = self._send(request, target)
            except ExchangeFailed as error:
                reason = error.failure.value
                self._record_failure(request, target, error, started_at_s)
                if error.was_sent:
                    may_have_run = True
                    reached.add(target.target)
                    if not request.route.is_repeatable:
                        break
                continue
            reached.add(target.target)
            head = response.head
            if head.is_not_run:
                reason = f"target returned {head.status} without running the request"
                self.beliefs.suspect(target, reason, REFUSAL_SUSPICION_S)
                continue
            self.beliefs.trust(target)
            if head.status < 500 or not request.route.is_repeatable:
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
        if len(reached) >= request.route.attempts_max:
            return False
        return self.budget.spend(request.service.name)

    def _send(self, request: EdgeRequest, target: Target) -> CompleteResponse:
        send_fields = SendFields(
            target, request.caller_remaining_s, request.workspace, request.priority
        )
        exchange = Exchange(request, send_fields)
        self.chooser.begin_request(target)
        timeout_s = self._timeout_s(request)
        try:
            head = exchange.send_request(timeout_s)
            response = exchange.read_response(
                head, request.remaining_s - RESPONSE_RESERVE_S
            )
        finally:
            self.chooser.end_request(target)
            exchange.close()
        if response.head.status < 300 and not response.head.is_signed:
            raise ExchangeFailed(ExchangeFailure.MALFORMED, was_sent=True)
        self.chooser.responded_at_s[target.life] = time.monotonic()
        log.routine(
            "answered",
            request=request.request_id,
            target=target.target,
            status=head.status,
            sends=request.sends,
        )
        return response

    def _timeout_s(self, request: EdgeRequest) -> float:
        remaining_s = request.remaining_s - RESPONSE_RESERVE_S
        is_last = request.sends + 1 >= request.route.attempts_max
        if not request.route.is_repeatable or is_last:
            return remaining_s
        # Leaves time for a second target if this one does not respond.
        return min(remaining_s, max(ATTEMPT_MIN_S, request.route.aim_s))

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
            target=target.target,
            why=error.failure.value,
            was_sent=error.was_sent,
        )
        if error.failure is ExchangeFailure.TIMEOUT and not self._is_to_blame(
            target, started_at_s
        ):
            return
        if error.failure is not ExchangeFailure.CALLER_LEFT:
            self.beliefs.suspect(target, error.failure.value, SUSPICION_S)

    def _is_to_blame(self, target: Target, started_at_s: float) -> bool:
        """Return whether a timeout of a send counts against its target.

        It does not if the target has responded to another request meanwhile, or if the
        remaining time was too short for any target.
        """
        if self.chooser.responded_at_s.get(target.life, 0.0) > started_at_s:
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
