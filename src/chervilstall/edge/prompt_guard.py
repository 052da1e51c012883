"""Keeps streams whose prompts crash targets away from them."""

from dataclasses import dataclass

from chervilstall.edge.crash_observer import CrashObserver
from chervilstall.edge.exchange import ExchangeFailed, ExchangeFailure
from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.records import Target
from chervilstall.quarantine.prompts import SUSPECT_CRASHES_MIN, PromptQuarantine
from chervilstall.quarantine.records import PartKey
from chervilstall.quarantine.refusal import check_prompt

BEGUN_EVENTS = 2
"""Events of one target after which it has begun an answer and survived that."""


@dataclass
class PromptGuard:
    """Tells the quarantine what becomes of streams, and checks each send with it."""

    quarantine: PromptQuarantine
    crash_observer: CrashObserver

    def check(self, request: EdgeRequest, may_have_run: bool) -> None:
        """Raise ChervilstallError for a request that may crash its next target."""
        if request.has_begun:
            return
        check_prompt(
            self.quarantine,
            request.service.name,
            request.fields.prompt_parts,
            may_have_run,
        )

    def is_given_up(self, request: EdgeRequest) -> bool:
        """Return whether a stream that lost its target is not to be sent again."""
        if request.has_begun:
            return False
        service = request.service.name
        parts = request.fields.prompt_parts
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
        self.quarantine.record_begun(request.service.name, request.fields.prompt_parts)

    def record_failure(
        self, request: EdgeRequest, first: Target, error: ExchangeFailed
    ) -> None:
        """Record that the first target of a stream failed it."""
        if not error.was_sent or error.failure is not ExchangeFailure.CLOSED:
            return
        if request.has_begun or not request.fields.prompt_parts:
            return
        self.crash_observer.record_lost(first, request)
        request.targets_lost += 1

    def await_verdict(self, request: EdgeRequest, first: Target) -> None:
        """Wait until a crash is known that the check before the next send needs."""
        if request.has_begun or request.targets_lost < SUSPECT_CRASHES_MIN:
            return
        self.crash_observer.await_verdict(first, max(0.0, request.remaining_s))
