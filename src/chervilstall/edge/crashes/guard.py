"""Keeps requests that crash targets away from them."""

from collections.abc import Iterable
from dataclasses import dataclass

from chervilstall.edge.crashes.observer import CrashObserver
from chervilstall.edge.exchange import ExchangeFailed, ExchangeFailure
from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.records import Target
from chervilstall.ids import PartId
from chervilstall.quarantine.prompts import SUSPECT_CRASHES_MIN, PromptQuarantine
from chervilstall.quarantine.records import PartKey
from chervilstall.quarantine.refusal import check_parts
from chervilstall.quarantine.reports import STAGE_EVENTS, STAGES, stage_after


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
        service = request.service.name
        parts = _parts(request)
        if any(
            self.quarantine.is_quarantined(PartKey(service, part)) for part in parts
        ):
            return True
        return not request.has_begun and self.quarantine.is_suspect(service, parts)

    def record_event(self, request: EdgeRequest) -> None:
        """Record an event that the present targets of a stream have sent."""
        request.target_events += 1
        if request.target_events not in STAGE_EVENTS:
            return
        stage = STAGE_EVENTS.index(request.target_events)
        request.has_begun = True
        self._record_passed(request, (stage,))

    def record_end(self, request: EdgeRequest) -> None:
        """Record that a stream has ended as a whole.

        The rest of an answer says nothing of what comes before, so that a resumed one,
        or one that lost a later target of its path, does not count.
        """
        if not request.events_forwarded or request.targets_lost:
            return
        if request.target_events < request.events_forwarded:
            return
        if request.fields.last_event_id:
            return
        request.has_begun = True
        # The stages before were recorded with the events that passed them.
        self._record_passed(request, STAGES[stage_after(request.target_events) :])

    def _record_passed(self, request: EdgeRequest, stages: Iterable[int]) -> None:
        self.quarantine.record_begun(
            request.service.name, _parts(request), stages, request.sent_at_s
        )

    def record_answer(self, request: EdgeRequest) -> None:
        """Record that a target of a plain service has answered and survived that."""
        self._record_passed(request, STAGES)

    def record_failure(
        self, request: EdgeRequest, first: Target, error: ExchangeFailed
    ) -> None:
        """Record that the target of a request, of a stream the first, failed it."""
        if not error.was_sent or error.failure is not ExchangeFailure.CLOSED:
            return
        self.crash_observer.record_lost(first, request)
        request.targets_lost += 1

    def record_stalled(self, request: EdgeRequest, target: Target) -> None:
        """Record that a stream waits for a later target of its path."""
        if request.stalled_on == target.incarnation:
            return
        request.stalled_on = target.incarnation
        self.crash_observer.record_lost(target, request)
        request.targets_lost += 1
        request.target_events = 0

    def await_verdict(self, request: EdgeRequest, first: Target) -> None:
        """Wait until a crash is known that the check before the next send needs."""
        if request.targets_lost < SUSPECT_CRASHES_MIN:
            return
        self.crash_observer.await_verdict(first, max(0.0, request.remaining_s))


def _parts(request: EdgeRequest) -> tuple[PartId, ...]:
    """Return the parts of a request's prompt, and the request as a whole."""
    return (*request.fields.prompt_parts, request.digest)
