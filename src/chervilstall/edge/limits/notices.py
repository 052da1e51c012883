"""What targets announce about themselves in their responses."""

from dataclasses import dataclass

from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.fleet.records import Target, TargetIncarnation
from chervilstall.fleet.view import FleetView
from chervilstall.platform.headers import ResponseHead
from chervilstall.platform.targets import HTTP_MISDIRECTED

HTTP_UNAVAILABLE = 503


@dataclass
class TargetNotices:
    """Puts what a response announces in force for later requests."""

    fleet_view: FleetView
    rate_limiter: TargetRateLimiter

    def record(self, target: Target, head: ResponseHead, sent_at_s: float) -> None:
        """Record the response of a target to a request that was sent at `sent_at_s`.

        A misdirected request was answered by another target at the same address.
        """
        if head.status == HTTP_MISDIRECTED:
            return
        self.rate_limiter.record_response(target, head.limit_per_s, sent_at_s)
        if head.status == HTTP_UNAVAILABLE and head.retry_after_s is not None:
            self.rate_limiter.record_pause(target, head.retry_after_s)
        if head.is_leaving:
            self.fleet_view.note_leaving(target.incarnation, by="response")

    def record_passed_on(
        self,
        responder: TargetIncarnation | None,
        head: ResponseHead,
        sent_at_s: float,
    ) -> None:
        """Record the response of a target that came through another router.

        A router of an older version doesn't name its `responder`; the target may have
        done so itself. The pause in a refusal concerns only the router that got it.
        """
        if responder is None and head.responder is not None:
            known = self.fleet_view.targets.get(head.responder)
            responder = None if known is None else known.incarnation
        if responder is None or head.status == HTTP_MISDIRECTED:
            return
        if head.is_leaving:
            self.fleet_view.note_leaving(responder, by="response to another router")
        target = self.fleet_view.targets.get(responder.target_id)
        if target is None or target.incarnation != responder:
            return
        if head.limit_per_s is not None:
            self.rate_limiter.record_response(target, head.limit_per_s, sent_at_s)
