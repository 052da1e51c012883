"""Keeps streams whose prompts crash targets away from them."""

from dataclasses import dataclass

from chervilstall.edge.crash_observer import CrashObserver
from chervilstall.edge.exchange import ExchangeFailed, ExchangeFailure
from chervilstall.edge.request import EdgeRequest
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.records import Target
from chervilstall.quarantine.judge import PromptJudge
from chervilstall.quarantine.records import PartKey

QUARANTINE_RETRY_S = 60.0
BEGUN_EVENTS = 2
"""Events after which a target has begun an answer; it may crash on the first."""


@dataclass
class PromptGuard:
    """Tells the judge what becomes of streams, and asks it before each send."""

    judge: PromptJudge
    crash_observer: CrashObserver

    def check(self, request: EdgeRequest, may_have_run: bool) -> None:
        """Raise ChervilstallError for a request that may crash its next target."""
        if request.events_forwarded >= BEGUN_EVENTS:
            return
        service = request.service.name
        parts = request.fields.prompt_parts
        part = self.judge.refused_part(service, parts)
        if part is not None:
            reason = f"part {part} of the prompt crashes targets"
            if may_have_run:
                raise ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, reason)
            raise ChervilstallError(
                ErrorKind.PROMPT_QUARANTINED, reason, QUARANTINE_RETRY_S
            )
        if may_have_run and self.judge.is_suspect(service, parts):
            reason = "a part of the prompt may have crashed the target"
            raise ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, reason)

    def is_given_up(self, request: EdgeRequest) -> bool:
        """Return whether a stream that lost its target is not to be sent again."""
        if request.events_forwarded >= BEGUN_EVENTS:
            return False
        service = request.service.name
        parts = request.fields.prompt_parts
        return self.judge.is_suspect(service, parts) or any(
            self.judge.is_quarantined(PartKey(service, part)) for part in parts
        )

    def record_event(self, request: EdgeRequest) -> None:
        """Record that another event of a stream is about to be forwarded."""
        if request.events_forwarded == BEGUN_EVENTS:
            self._record_begun(request)

    def record_end(self, request: EdgeRequest) -> None:
        """Record that a stream has ended as a whole."""
        if 0 < request.events_forwarded < BEGUN_EVENTS:
            self._record_begun(request)

    def _record_begun(self, request: EdgeRequest) -> None:
        self.judge.record_begun(request.service.name, request.fields.prompt_parts)

    def record_failure(
        self, request: EdgeRequest, first: Target, error: ExchangeFailed
    ) -> None:
        """Record that the first target of a stream failed it."""
        if not error.was_sent or error.failure is not ExchangeFailure.CLOSED:
            return
        if request.events_forwarded < BEGUN_EVENTS:
            self.crash_observer.record_lost(first, request)
