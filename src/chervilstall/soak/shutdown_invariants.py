"""Invariants of shutdowns, checked on what callers and targets observed."""

from collections.abc import Iterable

from chervilstall.soak.faults import InjectedFault
from chervilstall.soak.invariants import (
    NOT_EXECUTED_STATUSES,
    Violation,
    is_excused_for_router,
)
from chervilstall.soak.load_generator import SentRequest
from chervilstall.soak.shutdowns import Shutdown

LATE_REQUEST_S = 3.0
"""Time after SIGTERM from which on a request that is taken may not be cut."""

STREAM_CUT_SHARE = 5.0 / 6.0
"""Share of the grace period after which a stream that is at work may be cut."""

CROSSING_S = 0.2
"""Longest time in which a request and the closing of its connection may cross."""


def check_shutdowns(
    requests: Iterable[SentRequest],
    executions: list[tuple[str, str]],
    shutdowns: list[Shutdown],
    faults: list[InjectedFault],
) -> list[Violation]:
    """Check what became of the requests to routers that were shutting down."""
    executed_ids = {request_id for request_id, _ in executions}
    shutdowns_by_router: dict[str, list[Shutdown]] = {}
    for shutdown in shutdowns:
        shutdowns_by_router.setdefault(shutdown.router, []).append(shutdown)
    violations: list[Violation] = []
    for sent in requests:
        for shutdown in shutdowns_by_router.get(sent.router, []):
            if not _overlaps(sent, shutdown) or is_excused_for_router(sent, faults):
                continue
            promise = _broken_promise(sent, shutdown, sent.request_id in executed_ids)
            if promise:
                detail = _describe(sent, shutdown)
                violations.append(Violation(promise, sent.request_id, detail))
    return violations


def _overlaps(sent: SentRequest, shutdown: Shutdown) -> bool:
    is_before = sent.ended_at_s < shutdown.started_at_s
    return not is_before and sent.sent_at_s < shutdown.ended_at_s


def _broken_promise(sent: SentRequest, shutdown: Shutdown, was_executed: bool) -> str:
    """Return the promise that a request shows to be broken, or an empty string."""
    is_late = sent.sent_at_s > shutdown.started_at_s + LATE_REQUEST_S
    if _is_cut(sent, was_executed):
        if not sent.kind.is_stream:
            return "a shutdown cuts no lookup and no hold"
        if is_late:
            return "a shutdown cuts no stream that was sent late"
        cut_from_s = shutdown.started_at_s + shutdown.grace_s * STREAM_CUT_SHARE
        if sent.ended_at_s < cut_from_s:
            return "a shutdown cuts streams in the end of its grace period only"
        return ""
    if not is_late or not sent.is_complete or sent.status == 200:
        return ""
    if sent.status not in NOT_EXECUTED_STATUSES or was_executed:
        return "a request that was sent late is answered or truthfully refused"
    return ""


def _is_cut(sent: SentRequest, was_executed: bool) -> bool:
    """Return whether a router took a request and did not complete the response.

    A request may cross the closing of its connection; then no target gets it and the
    caller hears of it at once. A stream may also end at its caller's deadline.
    """
    if sent.is_complete or sent.ended_at_s >= sent.sent_at_s + sent.deadline_s:
        return False
    is_crossing = not sent.status and not was_executed
    return not is_crossing or sent.ended_at_s > sent.sent_at_s + CROSSING_S


def _describe(sent: SentRequest, shutdown: Shutdown) -> str:
    sent_s = sent.sent_at_s - shutdown.started_at_s
    ended_s = sent.ended_at_s - shutdown.started_at_s
    return (
        f"{sent.kind.name.lower()} to {sent.router}, status {sent.status}, sent "
        f"{sent_s:.3f} s after SIGTERM, ended at {ended_s:.3f} s of "
        f"{shutdown.grace_s:g} s, process gone at "
        f"{shutdown.ended_at_s - shutdown.started_at_s:.3f} s with exit code "
        f"{shutdown.exit_code}, "
        f"{len(sent.event_ids)} of {sent.expected_events} events"
    )
