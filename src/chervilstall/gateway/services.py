"""Calls of plain HTTP services, with retries, hedging and idempotency keys."""

import time
from dataclasses import dataclass

import gevent
from gevent.queue import Queue

from chervilstall.admission.classes import priority_of
from chervilstall.admission.retry import wait_before_retry
from chervilstall.errors import ChervilstallError, ErrorKind, ExecutionState
from chervilstall.gateway.auth import Caller
from chervilstall.gateway.key_claim import REPEAT_HEADER, IdempotentRequest, KeyClaim
from chervilstall.gateway.parsing import CallerOptions
from chervilstall.gateway.responses import REQUEST_ID_HEADER, success_headers
from chervilstall.gateway.runtime import RouterRuntime
from chervilstall.gateway.service_guard import guarded_call
from chervilstall.http_response import HttpResponse
from chervilstall.ids import AttemptNumber, RequestId, ServiceName, TargetId
from chervilstall.peer.claims import Outcome
from chervilstall.routing.explanation import Explanation, RouteStep
from chervilstall.routing.instances import InstanceReservation
from chervilstall.settings.documents import RequestClass, ServiceDocument
from chervilstall.stream.decision import Decision, decide, final_error
from chervilstall.target.contract import (
    AttemptFailed,
    FailureCause,
    ServiceCall,
    ServiceResponse,
)
from chervilstall.telemetry.metrics import HistogramKey, Measure

# Longest wait of a repeated request for the first run under its idempotency key.
KEY_WAIT_MAX_S = 10.0


@dataclass(frozen=True)
class ServiceRequest:
    """A call of a named service, its caller and options."""

    request_id: RequestId
    caller: Caller
    name: str
    call: ServiceCall
    options: CallerOptions


class ServiceRun:
    """Runs one service call; `respond` may be called once."""

    def __init__(
        self,
        runtime: RouterRuntime,
        service_request: ServiceRequest,
        outcome_max_bytes: int,
    ) -> None:
        self.runtime = runtime
        self.service_request = service_request
        self.document = self._find_service()
        self.request_class = self.document.request_class
        self.repeatable = self._is_repeatable()
        self.started_at_s = time.monotonic()
        self.deadline_s = service_request.options.deadline_or_default_s(
            self.request_class, runtime.settings.admission, self.started_at_s
        )
        self.key_claim = self._new_key_claim(outcome_max_bytes)
        self.explanation = Explanation(
            service_request.request_id,
            service_request.caller.workspace,
            service_request.name,
            self.request_class.value,
        )
        self._guarded = guarded_call(
            ServiceName(self.document.service),
            service_request.caller.workspace,
            service_request.call,
        )
        self._attempts = 0
        self._tried_targets: set[TargetId] = set()
        self._attempt_numbers: dict[TargetId, int] = {}
        self._may_have_run = False

    def _find_service(self) -> ServiceDocument:
        workspace = self.service_request.caller.workspace
        document = self.runtime.tree.service(workspace, self.service_request.name)
        if document is None:
            raise ChervilstallError(ErrorKind.NOT_FOUND, "no such service")
        return document

    def _is_repeatable(self) -> bool:
        return self.service_request.call.method in self.document.repeatable_methods

    def _new_key_claim(self, outcome_max_bytes: int) -> KeyClaim | None:
        request = self.service_request
        if self.repeatable or not request.options.idempotency_key:
            return None
        idempotent_request = IdempotentRequest(
            request.caller.workspace,
            f"{request.call.method} {request.name} {request.call.path}",
            request.options,
            request.call.body,
            request.request_id,
            self.document.run_without_store,
            min(KEY_WAIT_MAX_S, max(0.0, self.deadline_s - time.monotonic())),
        )
        return KeyClaim(self.runtime.claims, idempotent_request, outcome_max_bytes)

    def respond(self) -> HttpResponse:
        """Return the service's response, or the stored one of the idempotency key."""
        outcome = self.key_claim.claim() if self.key_claim is not None else None
        if outcome is not None:
            return self._respond_stored(outcome)
        self.runtime.explanations.add(self.explanation)
        try:
            acquired_limits = self.runtime.limits.admit(
                self.service_request.caller.workspace, self.service_request.name, 0.0
            )
            try:
                answer = self._run()
            finally:
                acquired_limits.release(0.0)
        except ChervilstallError as error:
            self.explanation.outcome = str(error)
            if self.key_claim is not None and self.key_claim.is_claimed:
                self.key_claim.report_error(error)
            raise
        return self._finish(answer)

    def _finish(self, answer: ServiceResponse) -> HttpResponse:
        self.explanation.outcome = "finished"
        workspace = self.service_request.caller.workspace
        key = HistogramKey(workspace, self.request_class.value, Measure.WHOLE)
        self.runtime.metrics.record(key, time.monotonic() - self.started_at_s)
        self.runtime.metrics.count("requests.finished")
        if self.key_claim is not None:
            content_type = dict(answer.headers).get("content-type", "")
            self.key_claim.report_outcome(
                Outcome(answer.status, content_type, answer.body)
            )
        headers = (*answer.headers, *success_headers(self.service_request.request_id))
        return HttpResponse(answer.status, answer.body, headers)

    def _respond_stored(self, outcome: Outcome) -> HttpResponse:
        headers = (
            ("Content-Type", outcome.content_type),
            (REQUEST_ID_HEADER, self.service_request.request_id),
            ("Chervilstall-Ran", ExecutionState.YES.value),
            REPEAT_HEADER,
        )
        return HttpResponse(outcome.status, outcome.body, headers)

    # Attempts

    def _run(self) -> ServiceResponse:
        rng = self.runtime.relay.rng
        while True:
            self.runtime.service_guard.check(self._guarded, self._may_have_run)
            try:
                answer = self._run_round()
                self.runtime.retry_budget.record_success()
                return answer
            except AttemptFailed as failure:
                self._raise_unless_retryable(failure)
            wait_before_retry(
                self.runtime.settings.retry, self._attempts, rng, self.deadline_s
            )

    def _run_round(self) -> ServiceResponse:
        retry = self.runtime.settings.retry
        is_hedged = (
            self.repeatable
            and self.request_class is RequestClass.URGENT
            and retry.hedge_delay_s > 0.0
            and self._attempts == 0
        )
        reservation = self._reserve()
        if not is_hedged:
            return self._attempt_once(reservation)
        return self._hedge(reservation, retry.hedge_delay_s)

    def _hedge(
        self, first_reservation: InstanceReservation, delay_s: float
    ) -> ServiceResponse:
        """Run an attempt, and a second one in parallel if it is not done in `delay_s`.

        The first response wins and the other attempt is killed. The second attempt
        is taken from the retry budget like any other retry.
        """
        results: Queue = Queue()
        reservations = [(first_reservation, False)]
        tasks = [gevent.spawn(self._attempt_into, first_reservation, False, results)]
        try:
            try:
                answer, failure = results.get(timeout=delay_s)
            except gevent.queue.Empty:
                hedge_reservation = self._try_reserve_hedge()
                if hedge_reservation is not None:
                    reservations.append((hedge_reservation, True))
                    tasks.append(
                        gevent.spawn(
                            self._attempt_into, hedge_reservation, True, results
                        )
                    )
                answer, failure = results.get()
                if failure is not None and hedge_reservation is not None:
                    answer, failure = results.get()
            if failure is not None:
                raise failure
            return answer
        finally:
            gevent.killall(tasks, block=False)
            for reservation, is_hedge in reservations:
                self._release(reservation, is_hedge)

    def _attempt_into(
        self, reservation: InstanceReservation, is_hedge: bool, results: Queue
    ) -> None:
        try:
            results.put((self._attempt_once(reservation, is_hedge), None))
        except AttemptFailed as failure:
            results.put((None, failure))

    def _try_reserve_hedge(self) -> InstanceReservation | None:
        if not self.runtime.retry_budget.try_spend():
            return None
        service = self.document.service
        reservation = self.runtime.selector.instances.reserve(
            service, priority_of(self.request_class), frozenset(self._tried_targets)
        )
        if reservation is not None:
            self._record_step(reservation, "hedge of a slow attempt")
            self.runtime.metrics.count("hedges")
        return reservation

    def _reserve(self) -> InstanceReservation:
        request = self.service_request
        try:
            if not self.runtime.selector.instances.is_served(self.document.service):
                raise ChervilstallError(
                    ErrorKind.NO_TARGET, "no target serves the service"
                )
            reservation = self.runtime.queue.acquire(
                request.caller.workspace,
                self.request_class,
                request.caller.grant.weight,
                1.0,
                self._try_reserve,
                self.deadline_s,
            )
        except ChervilstallError as error:
            if self._may_have_run:
                raise ChervilstallError(
                    ErrorKind.OUTCOME_UNKNOWN, error.message
                ) from error
            raise
        self._record_step(reservation, "least expected time to drain")
        return reservation

    def _try_reserve(self) -> InstanceReservation | None:
        selector = self.runtime.selector.instances
        priority = priority_of(self.request_class)
        service = self.document.service
        reservation = selector.reserve(
            service, priority, frozenset(self._tried_targets)
        )
        if reservation is None and self._tried_targets:
            reservation = selector.reserve(service, priority)
        return reservation

    def _record_step(self, reservation: InstanceReservation, reason: str) -> None:
        self._attempts += 1
        self._tried_targets.add(reservation.instance.target)
        self._attempt_numbers[reservation.instance.target] = self._attempts
        targets = (str(reservation.instance.target),)
        step = RouteStep(self._attempts, targets, False, (), reason)
        self.explanation.steps.append(step)

    def _attempt_once(
        self, reservation: InstanceReservation, is_hedge: bool = False
    ) -> ServiceResponse:
        sent_at_s = time.monotonic()
        try:
            answer = self._call(
                reservation, self._attempt_numbers[reservation.instance.target]
            )
            self.runtime.service_guard.record_answer(self._guarded)
            self.runtime.selector.instances.record_success(reservation)
            return answer
        except AttemptFailed as failure:
            self._record_failure(reservation, failure)
            if failure.cause is FailureCause.CLOSED:
                instance = reservation.instance
                self.runtime.service_guard.record_lost(
                    self._guarded, instance.target, instance.address, sent_at_s
                )
            raise
        finally:
            self._release(reservation, is_hedge)

    def _release(self, reservation: InstanceReservation, is_hedge: bool) -> None:
        if reservation.is_released:
            return
        self.runtime.selector.instances.release(reservation)
        if is_hedge:
            self.runtime.queue.dispatch()
        else:
            self.runtime.queue.finish(self.request_class)

    def _call(self, reservation: InstanceReservation, attempt: int) -> ServiceResponse:
        remaining_s = self.deadline_s - time.monotonic()
        timeout_s = min(self.runtime.settings.target.service_timeout_s, remaining_s)
        return self.runtime.services.call(
            reservation.instance.target,
            reservation.instance.address,
            self.service_request.call,
            self.service_request.request_id,
            AttemptNumber(attempt),
            self.repeatable,
            max(0.001, timeout_s),
        )

    def _record_failure(
        self, reservation: InstanceReservation, failure: AttemptFailed
    ) -> None:
        if failure.cause is FailureCause.REFUSED:
            self.runtime.selector.record_refusal(reservation.instance.target)
            return
        self.runtime.selector.instances.record_failure(
            self.document.service, reservation
        )
        if failure.cause is not FailureCause.CONNECT_FAILED:
            self._may_have_run = True

    def _raise_unless_retryable(self, failure: AttemptFailed) -> None:
        decision = decide(failure.progress, failure.cause, self.repeatable)
        if failure.cause is FailureCause.REFUSED:
            # A refusal proves that the service did not run the request.
            decision = Decision.TRY_ANOTHER
        if decision is not Decision.TRY_ANOTHER:
            raise self._final_error(failure)
        if self._attempts >= self.runtime.settings.retry.attempts_max:
            raise self._final_error(failure)
        if time.monotonic() >= self.deadline_s:
            raise self._final_error(failure)
        if not self.runtime.retry_budget.try_spend():
            raise self._final_error(failure)
        self.runtime.metrics.count("retries")

    def _final_error(self, failure: AttemptFailed) -> ChervilstallError:
        return final_error(failure, False, self._may_have_run)
