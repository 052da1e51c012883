"""Keeps requests that crash targets away from them."""

from dataclasses import dataclass

from chervilstall.edge.crashes.observer import CrashObserver
from chervilstall.edge.exchange import ExchangeFailed, ExchangeFailure
from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.records import Target
from chervilstall.ids import PartId
from chervilstall.quarantine.prompts import PromptQuarantine
from chervilstall.quarantine.records import AnswerStage, PartKey
from chervilstall.quarantine.refusal import check_parts
from chervilstall.quarantine.stages import SUSPECT_CRASHES_MIN

BEGUN_EVENTS = 2
"""Events of one target after which it has begun an answer and survived that."""

SETTLED_EVENTS = 8
"""Events of one path after which no crash of its targets speaks against the request.

Some 0.4 s. With more, more sound requests are at each crash, and answers that show
which of them are harmless take longer.
"""


@dataclass
class CrashGuard:
    """Tells the quarantine what becomes of requests, and checks each send with it."""

    quarantine: PromptQuarantine
    crash_observer: CrashObserver

    def check(self, request: EdgeRequest, may_have_run: bool) -> None:
        """Raise ChervilstallError for a request that may crash its next target."""
        check_parts(
            self.quarantine,
            request.service.name,
            _parts(request),
            may_have_run,
            request.has_begun,
        )

    def is_given_up(self, request: EdgeRequest) -> bool:
        """Return whether a request that lost its target is not to be sent again."""
        if request.has_begun:
            return self.is_refused(request)
        service = request.service.name
        parts = _parts(request)
        return self.quarantine.is_suspect(service, parts) or any(
            self.quarantine.is_quarantined(PartKey(service, part)) for part in parts
        )

    def is_refused(self, request: EdgeRequest) -> bool:
        """Return whether a quarantine in force keeps a request from targets."""
        service = request.service.name
        return any(
            self.quarantine.is_in_force(PartKey(service, part))
            for part in _parts(request)
        )

    def record_event(self, request: EdgeRequest) -> None:
        """Record an event that came over the present path."""
        request.path_events += 1
        if request.path_events == BEGUN_EVENTS and not request.has_begun:
            request.has_begun = True
            self._record_passed(request, AnswerStage.BEGUN)
        if request.path_events == SETTLED_EVENTS:
            self._record_passed(request, AnswerStage.SETTLED)

    def record_end(self, request: EdgeRequest) -> None:
        """Record that a stream has ended as a whole.

        The few events that end a resumed answer do not show that its target survives
        the first events of an answer.
        """
        if not request.events_forwarded:
            return
        if not request.has_begun:
            request.has_begun = True
            self._record_passed(request, AnswerStage.BEGUN)
        is_whole = request.path_events >= request.events_forwarded
        if is_whole and request.path_events < SETTLED_EVENTS:
            self._record_passed(request, AnswerStage.SETTLED)

    def _record_passed(self, request: EdgeRequest, stage: AnswerStage) -> None:
        self.quarantine.record_begun(request.service.name, _parts(request), (stage,))

    def record_answer(self, request: EdgeRequest) -> None:
        """Record that a target of a plain service has answered and survived that."""
        self.quarantine.record_begun(request.service.name, _parts(request))

    def record_failure(
        self, request: EdgeRequest, first: Target, error: ExchangeFailed
    ) -> None:
        """Record that the target of a request, of a stream the first, failed it."""
        if not error.was_sent or error.failure is not ExchangeFailure.CLOSED:
            return
        if request.path_events >= SETTLED_EVENTS:
            return
        if request.has_begun:
            self.crash_observer.record_unsettled(first, request)
            return
        self.crash_observer.record_lost(first, request)
        request.targets_lost += 1

    def record_stage_lost(self, request: EdgeRequest, target: Target) -> None:
        """Record that a stream waits for a later target of its path."""
        if request.path_events >= SETTLED_EVENTS:
            return
        if request.waits_for == target.incarnation:
            return
        request.waits_for = target.incarnation
        self.crash_observer.record_unsettled(target, request)

    def await_verdict(self, request: EdgeRequest, first: Target) -> None:
        """Wait until a crash is known that the check before the next send needs."""
        if request.has_begun or request.targets_lost < SUSPECT_CRASHES_MIN:
            return
        self.crash_observer.await_verdict(first, max(0.0, request.remaining_s))


def _parts(request: EdgeRequest) -> tuple[PartId, ...]:
    """Return the parts of a request's prompt, and the request as a whole."""
    return (*request.fields.prompt_parts, request.digest)
