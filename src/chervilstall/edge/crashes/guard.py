"""Keeps requests that crash targets away from them."""

from dataclasses import dataclass

from chervilstall.edge.crashes.observer import CrashObserver
from chervilstall.edge.exchange_failures import ExchangeFailed, ExchangeFailure
from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.records import Target
from chervilstall.ids import PartId
from chervilstall.quarantine.prompts import SUSPECT_CRASHES_MIN, PromptQuarantine
from chervilstall.quarantine.records import Stage
from chervilstall.quarantine.refusal import check_parts

BEGUN_EVENTS = 2
"""Events of one target after which it has begun an answer and survived that."""


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
            _stage(request),
        )

    def is_given_up(self, request: EdgeRequest) -> bool:
        """Return whether a request that lost its target is not to be sent again."""
        service, stage = request.service.name, _stage(request)
        parts = _parts(request)
        if self.quarantine.names_quarantined(service, parts, stage):
            return True
        return not request.has_begun and self.quarantine.is_suspect(service, parts)

    def record_event(self, request: EdgeRequest, events: int) -> None:
        """Record an event, of which the present target has now sent `events`."""
        if events >= BEGUN_EVENTS:
            self._record_begun(request)

    def record_end(self, request: EdgeRequest) -> None:
        """Record that a stream has ended as a whole.

        What came of it from one target after another doesn't show that any of them
        could have answered the request as a whole.
        """
        if not request.events_forwarded:
            return
        self._record_begun(request)
        if not request.lost_targets:
            self.quarantine.record_ended(request.service.name, _parts(request))

    def _record_begun(self, request: EdgeRequest) -> None:
        if request.has_begun:
            return
        request.has_begun = True
        self.quarantine.record_begun(request.service.name, _parts(request))

    def record_answer(self, request: EdgeRequest) -> None:
        """Record that a target of a plain service has answered and survived that."""
        service, parts = request.service.name, _parts(request)
        self.quarantine.record_begun(service, parts)
        self.quarantine.record_ended(service, parts)

    def record_failure(
        self, request: EdgeRequest, first: Target, error: ExchangeFailed
    ) -> None:
        """Record that the target of a request, of a stream the first, failed it."""
        if not error.was_sent or error.failure is not ExchangeFailure.CLOSED:
            return
        self.crash_observer.record_lost(first, request)

    def await_verdict(self, request: EdgeRequest, first: Target) -> None:
        """Wait until a crash is known that the check before the next send needs."""
        if request.has_begun or len(request.lost_targets) < SUSPECT_CRASHES_MIN:
            return
        self.crash_observer.await_verdict(first, max(0.0, request.remaining_s))


def _stage(request: EdgeRequest) -> Stage:
    """Return what the next answer must do to show that the request is harmless."""
    return Stage.ENDED if request.has_begun else Stage.BEGUN


def _parts(request: EdgeRequest) -> tuple[PartId, ...]:
    """Return the parts of a request's prompt, and the request as a whole."""
    return (*request.fields.prompt_parts, request.digest)
