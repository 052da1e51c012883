"""Relaying of one model request, from admission to its last token.

The relay is a generator. It waits for admission, reserves a chain of targets, sends
the generate order and yields the tokens; when an attempt ends early, it continues as
the tables in `decision` say. Each token is yielded once, in order. The caller's task
runs the generator, and closing it cancels the work.
"""

import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import gevent

from chervilstall.admission.classes import priority_of
from chervilstall.admission.queue import AdmissionQueue
from chervilstall.admission.retry import RetryBudget, wait_before_retry
from chervilstall.errors import ChervilstallError, ErrorKind
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
from chervilstall.stream.decision import Decision, decide, final_error
from chervilstall.stream.prompt_guard import (
    BEGUN_TOKENS,
    PromptGuard,
    guarded_prompt,
)
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
    """A model request with what admission and routing need to know of it.

    `weight` is the workspace's weight in the admission queue. `repeatable` says
    whether the request may be sent again after it may have run. `prefixes` are the
    hashes of the prompt's prefixes, shortest first, and `deadline_s` is in monotonic
    seconds.
    """

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
    """Counters over all relays of one router.

    `retries` counts the attempts after the first, `resumes` those that continued a
    stream, and `kv_resumes` those of them that reused exported KV state.
    """

    attempts: int = 0
    resumes: int = 0
    kv_resumes: int = 0
    retries: int = 0
    cancels: int = 0
    dropped_events: int = 0


@dataclass
class RelayContext:
    """The parts that all relays of one router share."""

    selector: ChainSelector
    queue: AdmissionQueue
    retry_budget: RetryBudget
    engines: EngineClient
    retry: RetrySettings
    target: TargetSettings
    prompt_guard: PromptGuard
    counters: RelayCounters = field(default_factory=RelayCounters)
    rng: random.Random = field(default_factory=random.Random)


class Relay:
    """Runs one model request; iterate `tokens` once.

    `delivered` holds the tokens yielded so far. `finish_reason` is the finish reason
    that the engine gave, empty before the end.
    """

    def __init__(
        self, context: RelayContext, request: ModelRequest, explanation: Explanation
    ) -> None:
        self.context = context
        self.request = request
        self.explanation = explanation
        self.prompt = guarded_prompt(
            request.request, request.capability, request.prefixes
        )
        self.delivered: list[str] = []
        self.finish_reason = ""
        self._attempt = 0
        self._avoided_targets: set[TargetId] = set()
        self._kv_handles: tuple[str, ...] = ()
        self._may_have_run = False

    def tokens(self) -> Iterator[str]:
        """Yield the answer's tokens, each once and in order.

        Raises ChervilstallError when the answer cannot be completed; the tokens
        yielded before are valid, but not the whole answer.
        """
        while True:
            reservation = self._reserve_chain()
            try:
                yield from self._run_attempt(reservation)
                self.context.retry_budget.record_success()
                self.explanation.outcome = "finished"
                return
            except AttemptFailed as failure:
                self._handle_failure(failure, reservation)
            finally:
                self._release(reservation)
            self._wait_before_retry()

    def _reserve_chain(self) -> ChainReservation:
        request = self.request
        chain_request = ChainRequest(
            request.capability,
            priority_of(request.request_class),
            float(request.max_tokens - len(self.delivered)),
            request.prefixes,
            frozenset(self._avoided_targets),
        )
        queued_at_s = time.monotonic()
        reservation = self._wait_for_chain(chain_request)
        queued_ms = (time.monotonic() - queued_at_s) * 1_000.0
        self.explanation.queued_ms += queued_ms
        self._attempt += 1
        self.context.counters.attempts += 1
        step = RouteStep(
            self._attempt,
            reservation.targets,
            reservation.is_spilling,
            tuple(sorted(self._avoided_targets)),
            reservation.reason,
        )
        self.explanation.steps.append(step)
        return reservation

    def _wait_for_chain(self, chain_request: ChainRequest) -> ChainReservation:
        request = self.request
        try:
            if not self.context.selector.is_served(chain_request.capability):
                raise ChervilstallError(
                    ErrorKind.NO_TARGET, "no chain of targets covers the model's layers"
                )
            return self.context.queue.acquire(
                request.workspace,
                request.request_class,
                request.weight,
                chain_request.tokens,
                lambda: self._try_reserve(chain_request),
                request.deadline_s,
            )
        except ChervilstallError as error:
            if not self._may_have_run:
                raise
            # An earlier attempt may have run, so "not run" cannot be answered.
            kind = ErrorKind.STREAM_BROKEN if self.delivered else None
            raise ChervilstallError(
                kind or ErrorKind.OUTCOME_UNKNOWN, error.message
            ) from error

    def _try_reserve(self, chain_request: ChainRequest) -> ChainReservation | None:
        reservation = self.context.selector.reserve(chain_request)
        if reservation is None and chain_request.avoid:
            # Avoided targets are better than none: one may have recovered.
            relaxed_request = ChainRequest(
                chain_request.capability,
                chain_request.priority,
                chain_request.tokens,
                chain_request.prefixes,
            )
            reservation = self.context.selector.reserve(relaxed_request)
        return reservation

    def _release(self, reservation: ChainReservation) -> None:
        if reservation.is_released:
            return
        self.context.selector.release(reservation)
        self.context.queue.finish(self.request.request_class)

    def _generate_order(self, reservation: ChainReservation) -> GenerateOrder:
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
            route=reservation.hops,
            position=Position(len(self.delivered)),
            delivered=tuple(self.delivered),
            kv_handles=self._kv_handles,
        )

    def _run_attempt(self, reservation: ChainReservation) -> Iterator[str]:
        self._check_prompt()
        order = self._generate_order(reservation)
        self._check_deadline(AttemptProgress.NOT_SENT, reservation)
        stream: EngineStream | None = None
        is_finished = False
        try:
            stream = self.context.engines.generate(order, self.request.deadline_s)
            yield from self._read_tokens(stream, reservation)
            is_finished = True
            self.context.selector.record_success(reservation)
        except AttemptFailed as failure:
            is_unsent = failure.progress is AttemptProgress.NOT_SENT
            if not is_unsent and failure.cause is not FailureCause.REFUSED:
                self._may_have_run = True
            raise
        finally:
            if stream is not None:
                stream.close()
            if not is_finished:
                self._cancel(order)

    def _check_prompt(self) -> None:
        try:
            self.context.prompt_guard.check(self.prompt, self._may_have_run)
        except ChervilstallError as error:
            if not self.prompt.has_begun:
                raise
            raise ChervilstallError(ErrorKind.STREAM_BROKEN, error.message) from error

    def _read_tokens(
        self, stream: EngineStream, reservation: ChainReservation
    ) -> Iterator[str]:
        delivered_before = len(self.delivered)
        while True:
            event = stream.next_event()
            if event.kind is EventKind.TOKEN:
                self.delivered.append(event.token)
                # What another engine sent before it crashed doesn't count.
                if len(self.delivered) == delivered_before + BEGUN_TOKENS:
                    self.context.prompt_guard.record_begun(self.prompt)
                yield event.token
            elif event.kind is EventKind.END:
                self.finish_reason = event.finish
                self.context.prompt_guard.record_end(self.prompt)
                self.context.counters.dropped_events += getattr(
                    stream, "dropped_events", 0
                )
                return
            self._check_deadline(stream.progress, reservation)

    def _check_deadline(
        self, progress: AttemptProgress, reservation: ChainReservation
    ) -> None:
        if time.monotonic() < self.request.deadline_s:
            return
        target = reservation.hops[0].target
        raise AttemptFailed(FailureCause.DEADLINE, progress, target)

    def _cancel(self, order: GenerateOrder) -> None:
        self.context.counters.cancels += 1
        cancel = CancelOrder(order.request, order.attempt)
        gevent.spawn(self.context.engines.cancel, order.route[0].address, cancel)

    def _handle_failure(
        self, failure: AttemptFailed, reservation: ChainReservation
    ) -> None:
        self._record_failure(failure, reservation)
        progress = failure.progress
        if self.delivered and progress is not AttemptProgress.FINISHED:
            # Tokens of an earlier attempt were delivered, so the run has begun.
            progress = AttemptProgress.STREAMING
        decision = decide(progress, failure.cause, self.request.repeatable)
        match decision:
            case Decision.TRY_ANOTHER | Decision.RESUME:
                self._spend_retry(failure)
                if decision is Decision.RESUME:
                    self._prepare_resume(reservation)
            case Decision.ANSWER_NOT_RUN | Decision.ANSWER_UNKNOWN:
                raise self._final_error(failure)

    def _record_failure(
        self, failure: AttemptFailed, reservation: ChainReservation
    ) -> None:
        if failure.cause is FailureCause.DEADLINE:
            return
        self.context.prompt_guard.record_failure(self.prompt, failure)
        self._avoided_targets.add(failure.target)
        if failure.cause is FailureCause.REFUSED:
            self.context.selector.record_refusal(failure.target)
            return
        self.context.selector.record_failure(reservation, failure.target)

    def _spend_retry(self, failure: AttemptFailed) -> None:
        if self._attempt >= self.context.retry.attempts_max:
            raise self._final_error(failure)
        if not self.context.retry_budget.try_spend():
            raise self._final_error(failure)
        self.context.counters.retries += 1

    def _final_error(self, failure: AttemptFailed) -> ChervilstallError:
        error = final_error(failure, bool(self.delivered), self._may_have_run)
        self.explanation.outcome = str(error)
        return error

    def _prepare_resume(self, reservation: ChainReservation) -> None:
        self.context.counters.resumes += 1
        position = Position(len(self.delivered))
        order = ExportOrder(
            self.request.request, AttemptNumber(self._attempt), position
        )
        exports = [
            gevent.spawn(self.context.engines.export_kv, hop.address, order)
            for hop in reservation.hops
        ]
        gevent.joinall(exports, timeout=self.context.target.connect_timeout_s)
        handles = [
            export.value for export in exports if export.successful() and export.value
        ]
        is_whole = len(handles) == len(reservation.hops)
        self._kv_handles = tuple(handles) if is_whole else ()
        if is_whole:
            self.context.counters.kv_resumes += 1

    def _wait_before_retry(self) -> None:
        if self.delivered:
            # The caller is in the middle of a stream; resume without backoff.
            return
        wait_before_retry(
            self.context.retry,
            self._attempt,
            self.context.rng,
            self.request.deadline_s,
        )
