"""Calls of plain services: retries, hedging and at-most-once."""

import time
from dataclasses import dataclass

import gevent
from gevent.queue import Queue

from chervilstall.admission.classes import default_deadline_s, priority_of
from chervilstall.admission.retry import backoff_s
from chervilstall.errors import ChervilstallError, ErrorKind, ExecutionState
from chervilstall.gateway.answers import REQUEST_ID_HEADER, success_headers
from chervilstall.gateway.auth import Caller
from chervilstall.gateway.keyed import REPEAT_HEADER, KeyedRequest, KeyedRun
from chervilstall.gateway.parse import CallerOptions
from chervilstall.gateway.runtime import RouterRuntime
from chervilstall.ids import AttemptNumber, RequestId, TargetId
from chervilstall.peer.claims import Outcome
from chervilstall.routing.explanation import Explanation, RouteStep
from chervilstall.routing.instances import InstanceReservation
from chervilstall.settings.documents import RequestClass, ServiceDocument
from chervilstall.stream.decision import Decision, decide, final_error_kind
from chervilstall.target.contract import (
    AttemptFailed,
    FailureCause,
    ServiceCall,
    ServiceResponse,
)
from chervilstall.telemetry.metrics import HistogramKey, Measure
from chervilstall.wsgi import HttpResponse

KEY_WAIT_MAX_S = 10.0


@dataclass(frozen=True)
class ServiceRequest:
    """A service call with everything known of its caller."""

    request: RequestId
    caller: Caller
    name: str
    call: ServiceCall
    options: CallerOptions


class ServiceRun:
    """Runs one service call. Use `answer` once."""

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
        self.deadline_s = self._deadline()
        self.keyed = self._keyed(outcome_max_bytes)
        self.explanation = Explanation(
            service_request.request,
            service_request.caller.workspace,
            service_request.name,
            self.request_class.value,
        )
        self._attempt = 0
        self._avoid: set[TargetId] = set()
        self._numbers: dict[TargetId, int] = {}
        self._was_sent = False

    def _find_service(self) -> ServiceDocument:
        workspace = self.service_request.caller.workspace
        document = self.runtime.tree.service(workspace, self.service_request.name)
        if document is None:
            raise ChervilstallError(ErrorKind.NOT_FOUND, "no such service")
        return document

    def _is_repeatable(self) -> bool:
        return self.service_request.call.method in self.document.repeatable_methods

    def _deadline(self) -> float:
        if self.service_request.options.deadline_s is not None:
            return self.service_request.options.deadline_s
        admission = self.runtime.settings.admission
        return self.started_at_s + default_deadline_s(self.request_class, admission)

    def _keyed(self, outcome_max_bytes: int) -> KeyedRun | None:
        item = self.service_request
        if self.repeatable or not item.options.key:
            return None
        keyed = KeyedRequest(
            item.caller.workspace,
            f"{item.call.method} {item.name} {item.call.path}",
            item.options,
            item.call.body,
            item.request,
            self.document.run_without_store,
            min(KEY_WAIT_MAX_S, max(0.0, self.deadline_s - time.monotonic())),
        )
        return KeyedRun(self.runtime.claims, keyed, outcome_max_bytes)

    def answer(self) -> HttpResponse:
        """Return the service's answer, or that of an earlier run of the key."""
        outcome = self.keyed.claim() if self.keyed is not None else None
        if outcome is not None:
            return self._repeat(outcome)
        self.runtime.explanations.add(self.explanation)
        try:
            taken = self.runtime.limits.admit(
                self.service_request.caller.workspace, self.service_request.name, 0.0
            )
            try:
                answer = self._run()
            finally:
                taken.release(0.0)
        except ChervilstallError as error:
            self.explanation.outcome = str(error)
            if self.keyed is not None and self.keyed.is_claimed:
                self.keyed.report_error(error)
            raise
        return self._finish(answer)

    def _finish(self, answer: ServiceResponse) -> HttpResponse:
        self.explanation.outcome = "finished"
        workspace = self.service_request.caller.workspace
        key = HistogramKey(workspace, self.request_class.value, Measure.WHOLE)
        self.runtime.metrics.record(key, time.monotonic() - self.started_at_s)
        self.runtime.metrics.count("requests.finished")
        if self.keyed is not None:
            content_type = dict(answer.headers).get("content-type", "")
            self.keyed.report_outcome(Outcome(answer.status, content_type, answer.body))
        headers = (*answer.headers, *success_headers(self.service_request.request))
        return HttpResponse(answer.status, answer.body, headers)

    def _repeat(self, outcome: Outcome) -> HttpResponse:
        headers = (
            ("Content-Type", outcome.content_type),
            (REQUEST_ID_HEADER, self.service_request.request),
            ("Chervilstall-Ran", ExecutionState.YES.value),
            REPEAT_HEADER,
        )
        return HttpResponse(outcome.status, outcome.body, headers)

    # Attempts

    def _run(self) -> ServiceResponse:
        rng = self.runtime.relay.rng
        while True:
            try:
                answer = self._run_round()
                self.runtime.retry_budget.record_success()
                return answer
            except AttemptFailed as failure:
                self._handle(failure)
            wait_s = backoff_s(self.runtime.settings.retry, self._attempt, rng)
            remaining_s = self.deadline_s - time.monotonic()
            gevent.sleep(max(0.0, min(wait_s, remaining_s)))

    def _run_round(self) -> ServiceResponse:
        retry = self.runtime.settings.retry
        is_hedged = (
            self.repeatable
            and self.request_class is RequestClass.URGENT
            and retry.hedge_delay_s > 0.0
            and self._attempt == 0
        )
        placement = self._place()
        if not is_hedged:
            return self._attempt_once(placement)
        return self._hedge(placement, retry.hedge_delay_s)

    def _hedge(self, placement: InstanceReservation, delay_s: float) -> ServiceResponse:
        """Run a first attempt, and a second beside it where the first is slow.

        The first answer wins; the other attempt's connection is closed. Both come
        out of the retry budget together with all other retries.
        """
        results: Queue = Queue()
        tried = [(placement, False)]
        tasks = [gevent.spawn(self._collect, placement, False, results)]
        try:
            try:
                answer, failure = results.get(timeout=delay_s)
            except gevent.queue.Empty:
                second = self._try_place()
                if second is not None:
                    tried.append((second, True))
                    tasks.append(gevent.spawn(self._collect, second, True, results))
                answer, failure = results.get()
                if failure is not None and second is not None:
                    answer, failure = results.get()
            if failure is not None:
                raise failure
            return answer
        finally:
            gevent.killall(tasks, block=False)
            for used, is_hedge in tried:
                self._give_back(used, is_hedge)

    def _collect(
        self, placement: InstanceReservation, is_hedge: bool, results: Queue
    ) -> None:
        try:
            results.put((self._attempt_once(placement, is_hedge), None))
        except AttemptFailed as failure:
            results.put((None, failure))

    def _try_place(self) -> InstanceReservation | None:
        if not self.runtime.retry_budget.try_spend():
            return None
        service = self.document.service
        placement = self.runtime.selector.instances.reserve(
            service, priority_of(self.request_class), frozenset(self._avoid)
        )
        if placement is not None:
            self._note_step(placement, "hedge of a slow attempt")
            self.runtime.metrics.count("hedges")
        return placement

    def _place(self) -> InstanceReservation:
        item = self.service_request
        try:
            if not self.runtime.selector.instances.is_served(self.document.service):
                raise ChervilstallError(
                    ErrorKind.NO_TARGET, "no target serves the service"
                )
            placement = self.runtime.queue.acquire(
                item.caller.workspace,
                self.request_class,
                item.caller.grant.weight,
                1.0,
                self._place_once,
                self.deadline_s,
            )
        except ChervilstallError as error:
            if self._was_sent:
                raise ChervilstallError(
                    ErrorKind.OUTCOME_UNKNOWN, error.message
                ) from error
            raise
        self._note_step(placement, "least expected time to drain")
        return placement

    def _place_once(self) -> InstanceReservation | None:
        selector = self.runtime.selector.instances
        priority = priority_of(self.request_class)
        service = self.document.service
        placement = selector.reserve(service, priority, frozenset(self._avoid))
        if placement is None and self._avoid:
            placement = selector.reserve(service, priority)
        return placement

    def _note_step(self, placement: InstanceReservation, reason: str) -> None:
        self._attempt += 1
        self._avoid.add(placement.instance.target)
        self._numbers[placement.instance.target] = self._attempt
        targets = (str(placement.instance.target),)
        step = RouteStep(self._attempt, targets, False, (), reason)
        self.explanation.steps.append(step)

    def _attempt_once(
        self, placement: InstanceReservation, is_hedge: bool = False
    ) -> ServiceResponse:
        try:
            answer = self._call(placement, self._numbers[placement.instance.target])
            self.runtime.selector.instances.record_success(placement)
            return answer
        except AttemptFailed as failure:
            self._note_failure(placement, failure)
            raise
        finally:
            self._give_back(placement, is_hedge)

    def _give_back(self, placement: InstanceReservation, is_hedge: bool) -> None:
        if placement.is_released:
            return
        self.runtime.selector.instances.release(placement)
        if is_hedge:
            self.runtime.queue.dispatch()
        else:
            self.runtime.queue.finish(self.request_class)

    def _call(self, placement: InstanceReservation, attempt: int) -> ServiceResponse:
        remaining_s = self.deadline_s - time.monotonic()
        timeout_s = min(self.runtime.settings.target.service_timeout_s, remaining_s)
        return self.runtime.services.call(
            placement.instance.target,
            placement.instance.address,
            self.service_request.call,
            self.service_request.request,
            AttemptNumber(attempt),
            self.repeatable,
            max(0.001, timeout_s),
        )

    def _note_failure(
        self, placement: InstanceReservation, failure: AttemptFailed
    ) -> None:
        if failure.cause is FailureCause.REFUSED:
            self.runtime.selector.record_refusal(placement.instance.target)
            return
        self.runtime.selector.instances.record_failure(self.document.service, placement)
        if failure.cause is not FailureCause.CONNECT_FAILED:
            self._was_sent = True

    def _handle(self, failure: AttemptFailed) -> None:
        decision = decide(failure.progress, failure.cause, self.repeatable)
        if failure.cause is FailureCause.REFUSED:
            # A refusal proves that the service did not start.
            decision = Decision.TRY_ANOTHER
        if decision is not Decision.TRY_ANOTHER:
            raise self._final(failure)
        if self._attempt >= self.runtime.settings.retry.attempts_max:
            raise self._final(failure)
        if time.monotonic() >= self.deadline_s:
            raise self._final(failure)
        if not self.runtime.retry_budget.try_spend():
            raise self._final(failure)
        self.runtime.metrics.count("retries")

    def _final(self, failure: AttemptFailed) -> ChervilstallError:
        kind = final_error_kind(failure.progress, failure.cause, has_delivered=False)
        error = ChervilstallError(kind, str(failure))
        if self._was_sent and error.response.execution is ExecutionState.NO:
            return ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, str(failure))
        return error
