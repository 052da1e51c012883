"""Requests to plain services: one answer, read whole before it is passed on."""

import time
from collections.abc import Container
from dataclasses import dataclass, field

from chervilstall.edge.budget import FleetRetryBudget
from chervilstall.edge.exchange import Exchange, ExchangeFailed, Failure, WholeAnswer
from chervilstall.edge.request import EdgeRequest
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import Service, Target, TargetIncarnation
from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId, ZoneName
from chervilstall.platform.headers import ForwardFields
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

SENDS_MAX = 4
"""Bound on tries, those that never reached a target included."""

TRY_MIN_S = 0.2
SUSPECT_S = 1.0
BUSY_S = 0.25
ANSWER_RESERVE_S = 0.01


@dataclass
class PlainChooser:
    """Chooses targets of plain services: the own zone first, then the least used."""

    fleet_view: FleetView
    zone: ZoneName
    in_flight: dict[TargetIncarnation, int] = field(default_factory=dict)
    answered_at_s: dict[TargetIncarnation, float] = field(default_factory=dict)

    def choose(self, service: Service, avoid: set[TargetId]) -> Target | None:
        """Return a target that is not avoided, or None."""
        open_targets = [
            target
            for target in self.fleet_view.ready_targets(service.name)
            if target.id not in avoid
        ]
        if not open_targets:
            return None
        return min(open_targets, key=self._rank)

    def _rank(self, target: Target) -> tuple[bool, float]:
        is_away = target.zone != self.zone
        load = self.in_flight.get(target.incarnation, 0)
        return self.fleet_view.is_suspected(target), load + (1.5 if is_away else 0.0)

    def begin(self, target: Target) -> None:
        """Count a request that begins at a target."""
        self.in_flight[target.incarnation] = (
            self.in_flight.get(target.incarnation, 0) + 1
        )

    def prune(self, present: Container[TargetIncarnation]) -> None:
        """Drop what is kept of targets that are gone."""
        retain_keys(self.answered_at_s, present)

    def end(self, target: Target) -> None:
        """Count a request off."""
        left = self.in_flight.get(target.incarnation, 1) - 1
        if left > 0:
            self.in_flight[target.incarnation] = left
        else:
            self.in_flight.pop(target.incarnation, None)


@dataclass
class PlainRelay:
    """Runs requests of plain services."""

    chooser: PlainChooser
    fleet_view: FleetView
    budget: FleetRetryBudget

    def answer(self, request: EdgeRequest) -> WholeAnswer:
        """Return a target's answer. Raises ChervilstallError where there is none."""
        tried: set[TargetId] = set()
        reached: set[TargetId] = set()
        may_have_run = False
        kept: WholeAnswer | None = None
        why = "no target is ready"
        while request.sends < SENDS_MAX and not request.has_caller_left:
            target = self.chooser.choose(request.service, tried)
            if target is None or not self._may_send(request, target, reached):
                break
            tried.add(target.id)
            started_s = time.monotonic()
            try:
                answer = self._send(request, target)
            except ExchangeFailed as error:
                why = error.failure.value
                self._note(request, target, error, started_s)
                if error.was_sent:
                    may_have_run = True
                    reached.add(target.id)
                    if not request.route.is_retryable:
                        break
                continue
            reached.add(target.id)
            head = answer.head
            if head.is_not_executed:
                why = f"target answered {head.status} without running it"
                self.fleet_view.suspect(target, why, BUSY_S)
                continue
            self.fleet_view.clear_suspicion(target)
            if head.status < 500 or not request.route.is_retryable:
                return answer
            kept = answer
            may_have_run = True
            why = f"target answered {head.status}"
        if kept is not None:
            return kept
        raise self._refusal(request, may_have_run, why)

    def _may_send(
        self, request: EdgeRequest, target: Target, reached: set[TargetId]
    ) -> bool:
        if request.left_s <= ANSWER_RESERVE_S:
            return False
        if not reached:
            return True
        if len(reached) >= request.route.attempts_max:
            return False
        return self.budget.try_spend(request.service.name)

    def _send(self, request: EdgeRequest, target: Target) -> WholeAnswer:
        send = ForwardFields(
            target, request.caller_left_s, request.workspace, request.priority
        )
        exchange = Exchange(request, send)
        self.chooser.begin(target)
        timeout_s = self._timeout_s(request)
        try:
            head = exchange.open(timeout_s)
            answer = exchange.read_whole(head, request.left_s - ANSWER_RESERVE_S)
        finally:
            self.chooser.end(target)
            exchange.close()
        if answer.head.status < 300 and not answer.head.is_signed:
            raise ExchangeFailed(Failure.MALFORMED, was_sent=True)
        self.chooser.answered_at_s[target.incarnation] = time.monotonic()
        log.routine(
            "answered",
            request=request.name,
            target=target.id,
            status=head.status,
            sends=request.sends,
        )
        return answer

    def _timeout_s(self, request: EdgeRequest) -> float:
        left_s = request.left_s - ANSWER_RESERVE_S
        is_last = request.sends + 1 >= request.route.attempts_max
        if not request.route.is_retryable or is_last:
            return left_s
        # Leave time for a second target after one that stays silent.
        return min(left_s, max(TRY_MIN_S, request.route.latency_slo_s))

    def _note(
        self,
        request: EdgeRequest,
        target: Target,
        error: ExchangeFailed,
        started_s: float,
    ) -> None:
        log.warning(
            "send failed",
            request=request.name,
            target=target.id,
            why=error.failure.value,
            was_sent=error.was_sent,
        )
        if error.failure is Failure.TIMEOUT and not self._tells(target, started_s):
            return
        if error.failure is not Failure.CALLER_LEFT:
            self.fleet_view.suspect(target, error.failure.value, SUSPECT_S)

    def _tells(self, target: Target, started_s: float) -> bool:
        """Return whether the timeout of a send says something about its target.

        It does not where the target has answered another request meanwhile, or where
        the time that was left was too short for any target.
        """
        if self.chooser.answered_at_s.get(target.incarnation, 0.0) > started_s:
            return False
        return time.monotonic() - started_s >= TRY_MIN_S

    def _refusal(
        self, request: EdgeRequest, may_have_run: bool, why: str
    ) -> ChervilstallError:
        if not may_have_run:
            return ChervilstallError(ErrorKind.NO_TARGET, why, SUSPECT_S / 2)
        if request.left_s <= 2 * ANSWER_RESERVE_S:
            return ChervilstallError(ErrorKind.DEADLINE_UNKNOWN, why)
        return ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, why)
