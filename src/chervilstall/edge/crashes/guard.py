"""Keeps requests that crash targets away from them."""

from dataclasses import dataclass

from chervilstall.edge.crashes.observer import CrashObserver
from chervilstall.edge.exchange_failures import ExchangeFailed, ExchangeFailure
from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.records import Target
from chervilstall.ids import PartId
from chervilstall.quarantine.prompts import SUSPECT_CRASHES_MIN, PromptQuarantine
from chervilstall.quarantine.records import PartKey
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
        if request.has_begun:
            return
        check_parts(
            self.quarantine, request.service.name, _parts(request), may_have_run
        )

    def is_given_up(self, request: EdgeRequest) -> bool:
        """Return whether a request that lost its target is not to be sent again."""
        if request.has_begun:
            return False
        service = request.service.name
        parts = _parts(request)
        return self.quarantine.is_suspect(service, parts) or any(
            self.quarantine.is_quarantined(PartKey(service, part)) for part in parts
        )

    def record_event(self, request: EdgeRequest, events: int) -> None:
        """Record an event, of which the present target has now sent `events`."""
        if events >= BEGUN_EVENTS:
            self._record_begun(request)

    def record_end(self, request: EdgeRequest) -> None:
        """Record that a stream has ended as a whole."""
        if request.events_forwarded:
            self._record_begun(request)

    def _record_begun(self, request: EdgeRequest) -> None:
        if request.has_begun:
            return
        request.has_begun = True
        self.quarantine.record_begun(request.service.name, _parts(request))

    def record_answer(self, request: EdgeRequest) -> None:
        """Record that a target of a plain service has answered and survived that."""
        self.quarantine.record_begun(request.service.name, _parts(request))

    def record_failure(
        self, request: EdgeRequest, first: Target, error: ExchangeFailed
    ) -> None:
        """Record that the target of a request, of a stream the first, failed it."""
        if not error.was_sent or error.failure is not ExchangeFailure.CLOSED:
            return
        if request.has_begun:
            return
        self.crash_observer.record_lost(first, request)
        request.targets_lost += 1

    def await_verdict(self, request: EdgeRequest, first: Target) -> None:
        """Wait until a crash is known that the check before the next send needs."""
        if request.has_begun or request.targets_lost < SUSPECT_CRASHES_MIN:
            return
        self.crash_observer.await_verdict(first, max(0.0, request.remaining_s))


def _parts(request: EdgeRequest) -> tuple[PartId, ...]:
    """Return the parts of a request's prompt, and the request as a whole."""
    return (*request.fields.prompt_parts, request.digest)
