"""One model request from admission to its last token, over any number of attempts.

The relay is written as one generator: it admits, places, sends, yields tokens, and
where an attempt ends early goes on as `decision` says. Each token is yielded once, in
order. The caller's task runs the generator; closing it cancels the work.
"""

import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import gevent

from chervilstall.admission.classes import priority_of
from chervilstall.admission.queue import AdmissionQueue
from chervilstall.admission.retry import RetryBudget, backoff_s
from chervilstall.errors import ChervilstallError, ErrorKind, ExecutionState
from chervilstall.ids import (
    AttemptNumber,
    Position,
    RequestId,
    TargetId,
    WorkspaceName,
)
from chervilstall.routing.explanation import Explanation, RouteStep
from chervilstall.routing.fleet import Capability
from chervilstall.routing.reservation import ChainRequest, ChainReservation
from chervilstall.routing.selector import ChainSelector
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.documents import RequestClass
from chervilstall.settings.processes import RetrySettings
from chervilstall.stream.decision import Decision, decide, final_error_kind
from chervilstall.target.contract import (
    AttemptFailed,
    AttemptProgress,
    CancelOrder,
    EngineClient,
    EngineStream,
    EventKind,
    ExportOrder,
    FailureCause,
    GenerateOrder,
)


@dataclass(frozen=True)
class ModelRequest:
    """A model request as admitted: `deadline_s` is in monotonic seconds."""

    request: RequestId
    workspace: WorkspaceName
    weight: float
    request_class: RequestClass
    capability: Capability
    repeatable: bool
    prompt: str
    prefixes: tuple[int, ...]
    max_tokens: int
    deadline_s: float


@dataclass
class RelayCounters:
    """Counts of what relays of one router did."""

    attempts: int = 0
    resumes: int = 0
    kv_resumes: int = 0
    retries: int = 0
    cancels: int = 0
    dropped_events: int = 0


@dataclass
class RelayContext:
    """What relays of one router share."""

    selector: ChainSelector
    queue: AdmissionQueue
    budget: RetryBudget
    engines: EngineClient
    retry: RetrySettings
    target: TargetSettings
    counters: RelayCounters = field(default_factory=RelayCounters)
    rng: random.Random = field(default_factory=random.Random)


class Relay:
    """Runs one model request. Iterate `tokens` once.

    Raises ChervilstallError from `tokens` when the answer cannot be completed; what
    was yielded before stays valid but is not the whole answer.
    """

    def __init__(
        self, context: RelayContext, request: ModelRequest, explanation: Explanation
    ) -> None:
        self.context = context
        self.request = request
        self.explanation = explanation
        self.delivered: list[str] = []
        self.finish_reason = ""
        self._attempt = 0
        self._avoid: set[TargetId] = set()
        self._kv_handles: tuple[str, ...] = ()
        self._was_sent = False

    def tokens(self) -> Iterator[str]:
        """Yield the answer's tokens, each once and in order."""
        while True:
            placement = self._place()
            try:
                yield from self._run_attempt(placement)
                self.context.budget.record_success()
                self.explanation.outcome = "finished"
                return
            except AttemptFailed as failure:
                self._handle(failure, placement)
            finally:
                self._release(placement)
            self._wait_before_retry()

    # Placing

    def _place(self) -> ChainReservation:
        request = self.request
        wanted = ChainRequest(
            request.capability,
            priority_of(request.request_class),
            float(request.max_tokens - len(self.delivered)),
            request.prefixes,
            frozenset(self._avoid),
        )
        queued_at_s = time.monotonic()
        placement = self._acquire(wanted)
        queued_ms = (time.monotonic() - queued_at_s) * 1_000.0
        self.explanation.queued_ms += queued_ms
        self._attempt += 1
        self.context.counters.attempts += 1
        step = RouteStep(
            self._attempt,
            placement.targets,
            placement.is_spilling,
            tuple(sorted(self._avoid)),
            placement.reason,
        )
        self.explanation.steps.append(step)
        return placement

    def _acquire(self, wanted: ChainRequest) -> ChainReservation:
        request = self.request
        try:
            if not self.context.selector.is_served(wanted.capability):
                raise ChervilstallError(
                    ErrorKind.NO_TARGET, "no chain of targets covers the model"
                )
            return self.context.queue.acquire(
                request.workspace,
                request.request_class,
                request.weight,
                wanted.tokens,
                lambda: self._place_once(wanted),
                request.deadline_s,
            )
        except ChervilstallError as error:
            if not self._was_sent:
                raise
            # An earlier attempt was sent, so "not run" would not be proven.
            kind = ErrorKind.STREAM_BROKEN if self.delivered else None
            raise ChervilstallError(
                kind or ErrorKind.OUTCOME_UNKNOWN, error.message
            ) from error

    def _place_once(self, wanted: ChainRequest) -> ChainReservation | None:
        placement = self.context.selector.reserve(wanted)
        if placement is None and wanted.avoid:
            # Avoiding is a preference: a lone target may have recovered.
            relaxed = ChainRequest(
                wanted.capability, wanted.priority, wanted.tokens, wanted.prefixes
            )
            placement = self.context.selector.reserve(relaxed)
        return placement

    def _release(self, placement: ChainReservation) -> None:
        if placement.is_released:
            return
        self.context.selector.release(placement)
        self.context.queue.finish(self.request.request_class)

    # Running

    def _order(self, placement: ChainReservation) -> GenerateOrder:
        request = self.request
        return GenerateOrder(
            request=request.request,
            attempt=AttemptNumber(self._attempt),
            model=request.capability.model,
            version=request.capability.version,
            adapter=request.capability.adapter,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=priority_of(request.request_class),
            route=placement.hops,
            position=Position(len(self.delivered)),
            delivered=tuple(self.delivered),
            kv_handles=self._kv_handles,
        )

    def _run_attempt(self, placement: ChainReservation) -> Iterator[str]:
        order = self._order(placement)
        self._check_deadline(AttemptProgress.NOT_SENT, placement)
        stream: EngineStream | None = None
        is_finished = False
        try:
            stream = self.context.engines.generate(order, self.request.deadline_s)
            yield from self._read_tokens(stream, placement)
            is_finished = True
            self.context.selector.record_success(placement)
        except AttemptFailed as failure:
            proven_unsent = failure.progress is AttemptProgress.NOT_SENT
            if not proven_unsent and failure.cause is not FailureCause.REFUSED:
                self._was_sent = True
            raise
        finally:
            if stream is not None:
                stream.close()
            if not is_finished:
                self._cancel(order)

    def _read_tokens(
        self, stream: EngineStream, placement: ChainReservation
    ) -> Iterator[str]:
        while True:
            event = stream.next_event()
            if event.kind is EventKind.TOKEN:
                self.delivered.append(event.token)
                yield event.token
            elif event.kind is EventKind.END:
                self.finish_reason = event.finish
                self.context.counters.dropped_events += getattr(stream, "dropped", 0)
                return
            self._check_deadline(stream.progress, placement)

    def _check_deadline(
        self, progress: AttemptProgress, placement: ChainReservation
    ) -> None:
        if time.monotonic() < self.request.deadline_s:
            return
        target = placement.hops[0].target
        raise AttemptFailed(FailureCause.DEADLINE, progress, target)

    def _cancel(self, order: GenerateOrder) -> None:
        self.context.counters.cancels += 1
        cancel = CancelOrder(order.request, order.attempt)
        gevent.spawn(self.context.engines.cancel, order.route[0].address, cancel)

    # Failing

    def _handle(self, failure: AttemptFailed, placement: ChainReservation) -> None:
        self._note_failure(failure, placement)
        progress = failure.progress
        if self.delivered and progress is not AttemptProgress.FINISHED:
            # Tokens of an earlier attempt were delivered: the run has begun.
            progress = AttemptProgress.STREAMING
        decision = decide(progress, failure.cause, self.request.repeatable)
        match decision:
            case Decision.TRY_ANOTHER | Decision.RESUME:
                self._require_attempts(failure)
                if decision is Decision.RESUME:
                    self._prepare_resume(placement)
            case Decision.ANSWER_NOT_RUN | Decision.ANSWER_UNKNOWN:
                raise self._final(failure)

    def _note_failure(
        self, failure: AttemptFailed, placement: ChainReservation
    ) -> None:
        if failure.cause is FailureCause.DEADLINE:
            return
        self._avoid.add(failure.target)
        if failure.cause is FailureCause.REFUSED:
            self.context.selector.record_refusal(failure.target)
            return
        self.context.selector.record_failure(placement, failure.target)

    def _require_attempts(self, failure: AttemptFailed) -> None:
        if self._attempt >= self.context.retry.attempts_max:
            raise self._final(failure)
        if not self.context.budget.try_spend():
            raise self._final(failure)
        self.context.counters.retries += 1

    def _final(self, failure: AttemptFailed) -> ChervilstallError:
        kind = final_error_kind(failure.progress, failure.cause, bool(self.delivered))
        error = ChervilstallError(kind, str(failure))
        if self._was_sent and error.response.execution is ExecutionState.NO:
            error = ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, str(failure))
        self.explanation.outcome = str(error)
        return error

    def _prepare_resume(self, placement: ChainReservation) -> None:
        self.context.counters.resumes += 1
        position = Position(len(self.delivered))
        order = ExportOrder(
            self.request.request, AttemptNumber(self._attempt), position
        )
        jobs = [
            gevent.spawn(self.context.engines.export_kv, hop.address, order)
            for hop in placement.hops
        ]
        gevent.joinall(jobs, timeout=self.context.target.connect_timeout_s)
        handles = [job.value for job in jobs if job.successful() and job.value]
        is_whole = len(handles) == len(placement.hops)
        self._kv_handles = tuple(handles) if is_whole else ()
        if is_whole:
            self.context.counters.kv_resumes += 1

    def _wait_before_retry(self) -> None:
        if self.delivered:
            # The caller is waiting for the next token of a stream it already has.
            return
        wait_s = backoff_s(self.context.retry, self._attempt, self.context.rng)
        remaining_s = self.request.deadline_s - time.monotonic()
        gevent.sleep(max(0.0, min(wait_s, remaining_s)))
