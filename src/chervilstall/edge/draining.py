"""Schedule of a router's shutdown: what it still takes, and when requests must end.

A request that cannot end in time is better refused at once than cut in the middle of
its response. Between the stop signal and the end of the grace period:

| time after the signal     | streams                   | other requests       |
|---------------------------|---------------------------|----------------------|
| until BALANCER_NOTICES_S  | taken if they can end or  | taken if they can end |
|                           | be resumed                |                      |
| until STREAMS_TAKEN_S     | taken if they can end     | the same             |
| then                      | refused                   | the same             |
| at ANSWERS_SHARE of grace | cut, or answered if not begun | answered         |
| at END_SHARE of grace     | the process ends          | the process ends     |
"""

import time
from collections.abc import Iterable
from dataclasses import dataclass

from chervilstall.edge.request import EdgeRequest
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.records import Route
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

BALANCER_NOTICES_S = 2.0
"""Time after the stop signal in which the load balancer may not have noticed it.

A caller that is refused may come back to the same router until its tries are used up. A
stream that breaks off at the end is resumed at another router.
"""

STREAMS_TAKEN_S = 2.5
"""Time after the stop signal in which streams are taken.

Streams that arrive after `BALANCER_NOTICES_S` come over open connections, or because
too few routers are ready. With a short grace period, half of the time until the last
answers is left to each stream.
"""

ANSWERS_SHARE = 0.89
"""Share of the grace period after which requests in progress get their final answer."""

END_SHARE = 0.92
"""Share of the grace period after which the process ends at the latest."""

SIGNAL_LATE_SHARE = 0.04
"""Share of the grace period by which the signal may have come before the schedule.

It is half of the reserve that `END_SHARE` leaves.
"""

OTHER_ROUTER_RETRY_S = 0.1
"""Retry-After for callers that should try another router."""


def shutting_down_error() -> ChervilstallError:
    """Return the error of a request that a stopping router does not take."""
    return ChervilstallError(
        ErrorKind.SHUTTING_DOWN, "the router is stopping", OTHER_ROUTER_RETRY_S
    )


@dataclass(frozen=True)
class DrainSchedule:
    """The moments of one shutdown, as monotonic times in seconds."""

    started_at_s: float
    streams_until_s: float
    answers_until_s: float
    end_s: float

    @classmethod
    def begin(cls, now_s: float, grace_s: float) -> "DrainSchedule":
        """Return the schedule of a shutdown that begins now."""
        answers_until_s = now_s + ANSWERS_SHARE * grace_s
        return cls(
            now_s,
            min(now_s + STREAMS_TAKEN_S, (now_s + answers_until_s) / 2.0),
            answers_until_s,
            now_s + END_SHARE * grace_s,
        )

    @classmethod
    def begin_late(
        cls, came_at_s: float, told_at_s: float, grace_s: float
    ) -> "DrainSchedule":
        """Return the schedule of a shutdown that a process was told of at `told_at_s`.

        Its signal came at `came_at_s` at the earliest, both as monotonic times.

        A schedule that began too late would be cut short by the end of the grace
        period, with requests in progress. One that begins too early cuts streams that
        had time left, so that it begins as late as the reserve at the end allows.
        """
        latest_s = came_at_s + SIGNAL_LATE_SHARE * grace_s
        return cls.begin(min(told_at_s, latest_s), grace_s)

    @property
    def elapsed_s(self) -> float:
        """Return the time since the stop signal, in seconds, to a millisecond."""
        return round(time.monotonic() - self.started_at_s, 3)

    def has_balancer_noticed(self, now_s: float) -> bool:
        """Return whether a refused caller is sent to another router."""
        return now_s >= self.started_at_s + BALANCER_NOTICES_S

    def takes_stream(self, now_s: float, expected_s: float, is_resumable: bool) -> bool:
        """Return whether a stream that is expected to last `expected_s` is taken."""
        if now_s >= self.streams_until_s:
            return False
        if is_resumable and not self.has_balancer_noticed(now_s):
            return True
        return now_s + expected_s <= self.answers_until_s

    def expected_plain_s(self, now_s: float, route: Route) -> float:
        """Return how long a request to a plain service may last.

        A repeat at a second target takes as long again. Where there is none, a target
        that takes longer than its objective ends in an unknown outcome, after which
        the caller can't repeat the request; after a refusal it can, elsewhere.
        """
        has_repeat = route.is_retryable and route.attempts_max > 1
        periods = 2 if has_repeat or self.has_balancer_noticed(now_s) else 1
        return periods * route.latency_slo_s

    def takes_plain(self, now_s: float, expected_s: float) -> bool:
        """Return whether another request that usually takes `expected_s` is taken."""
        return now_s + expected_s <= self.answers_until_s


def log_interrupted(requests: Iterable[EdgeRequest], started_at_s: float) -> None:
    """Log each request that a stop interrupts, and when it had arrived.

    `started_at_s` is the monotonic time at which the shutdown began.
    """
    now_s = time.monotonic()
    for request in requests:
        log.warning(
            "interrupted by the stop",
            request=request.request_id,
            route=request.route.name,
            arrived_after_s=round(request.arrived_at_s - started_at_s, 3),
            age_s=round(now_s - request.arrived_at_s, 3),
            sends=request.sends,
            events_passed=request.events_forwarded,
        )
