"""What would become of a request before it is sent to a target."""

from collections.abc import Callable
from dataclasses import dataclass

from chervilstall.edge.app import EdgeApplication
from chervilstall.edge.limits.rate_limits import AT_LIMIT, TargetRateLimiter
from chervilstall.edge.peers.relay import OUT_OF_REACH
from chervilstall.edge.plain_relay import SUSPICION_S
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.retry_after import retry_after_range_s
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.paths.choice import PathChooser
from chervilstall.quarantine.refusal import QUARANTINE_RETRY_S
from chervilstall.where_answer import AdmissionAnswer, refused

ADMITTED = AdmissionAnswer("admitted", "it is sent at once")
FORWARDED = AdmissionAnswer(
    "forwarded", "this router reaches too few targets and asks another one to take it"
)


@dataclass(frozen=True)
class AdmissionForecast:
    """Applies the checks of a request in their order, on snapshots.

    `finds_target` returns whether there is a target or a path for the request.
    """

    app: EdgeApplication
    request: EdgeRequest
    chooser: PathChooser
    rate_limiter: TargetRateLimiter
    finds_target: Callable[[], bool]

    def answer(self) -> AdmissionAnswer:
        """Return the outcome of the first check that the request doesn't pass.

        A request that passes all of them is admitted.
        """
        request = self.request
        try:
            self.app.check_drain(request.route, request.service, request.fields)
        except ChervilstallError as error:
            return refused(error)
        if len(self.app.admitted) >= self.app.requests_max:
            reason = "no descriptor for a connection to a target"
            return refused(ChervilstallError(ErrorKind.OVERLOADED, reason))
        return (
            self._check_room()
            or self._check_quarantine()
            or self._check_targets()
            or ADMITTED
        )

    def _check_room(self) -> AdmissionAnswer | None:
        gate = self.app.room_gate
        if gate is None or self.request.service.pipeline is None:
            return None
        forecast = gate.forecast(self.request, self.chooser)
        if forecast.has_room:
            return None
        if forecast.expected_wait_s > forecast.longest_wait_s:
            error = ChervilstallError(
                ErrorKind.OVERLOADED,
                "the targets have no room: it is expected in "
                f"{forecast.expected_wait_s:.2f} s, and the request may wait "
                f"{forecast.longest_wait_s:.2f} s",
            )
            return refused(error, forecast.retry_after_s)
        return AdmissionAnswer(
            "waits",
            "the targets have no room yet; the request is refused if it waits in vain",
            expected_wait_s=round(forecast.expected_wait_s, 3),
            longest_wait_s=round(forecast.longest_wait_s, 3),
            retry_after_s=forecast.retry_after_s,
        )

    def _check_quarantine(self) -> AdmissionAnswer | None:
        quarantine = self.app.stream_context.crash_guard.quarantine
        service = self.request.service.name
        for part in self.request.fields.prompt_parts:
            if not quarantine.names_quarantined(service, (part,)):
                continue
            reason = f"part {part} of the prompt crashes targets (quarantine)"
            error = ChervilstallError(
                ErrorKind.PROMPT_QUARANTINED, reason, QUARANTINE_RETRY_S
            )
            return refused(error)
        return None

    def _check_targets(self) -> AdmissionAnswer | None:
        service = self.request.service
        reach = self.app.stream_context.target_reach
        if reach.is_out_of_reach(service.name):
            return AdmissionAnswer("forwarded", OUT_OF_REACH)
        if self.finds_target():
            return None
        if service.pipeline is not None and reach.lacks_targets(service.name):
            return FORWARDED
        reason = "no path covers the model"
        bounds_s = retry_after_range_s(self.request)
        if service.pipeline is None:
            reason = "no target is ready"
            bounds_s = (SUSPICION_S / 2, SUSPICION_S / 2)
        if self.rate_limiter.exhausted_targets():
            reason = f"{reason}; {AT_LIMIT}"
        return refused(ChervilstallError(ErrorKind.NO_TARGET, reason), bounds_s)
