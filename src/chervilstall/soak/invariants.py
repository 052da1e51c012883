"""Invariants of every soak run, checked on what callers and targets observed."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from chervilstall.soak.faults import InjectedFault, SoakFaultKind
from chervilstall.soak.fleet import ROUTER_NAME_PREFIX
from chervilstall.soak.load_generator import (
    PROBE_REQUEST_ID,
    RequestKind,
    SentRequest,
)

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which a router tells that no target executed the request."""

NON_DISRUPTIVE_FAULTS = frozenset(
    {
        SoakFaultKind.TERMINATE,
        SoakFaultKind.RELOAD,
        SoakFaultKind.CONFIGURATION,
        SoakFaultKind.STORE_FAILS,
        SoakFaultKind.STORE_SILENT,
        SoakFaultKind.STORE_SLOW,
        SoakFaultKind.STORE_FORGETS,
    }
)
"""Faults that must not interrupt any request."""

STATUSES = range(100, 600)
"""Statuses of HTTP; a request without an answer has the status 0."""

SETTLE_S = 1.5
"""Time after a fault in which its effects may still be seen."""


@dataclass(frozen=True)
class Violation:
    """A violated invariant and the request that shows it.

    `promise` describes the invariant; the fields are keys of the report.
    """

    promise: str
    request: str
    detail: str


def check_responses(
    requests: Iterable[SentRequest], executions: list[tuple[str, str]]
) -> list[Violation]:
    """Check every response against the requests that targets executed.

    Each execution is the id of a request and the name of the target.
    """
    targets_by_request: dict[str, list[str]] = {}
    for request_id, target in executions:
        targets_by_request.setdefault(request_id, []).append(target)
    violations: list[Violation] = []
    known_ids = {PROBE_REQUEST_ID}
    for sent in requests:
        known_ids.add(sent.request_id)
        targets = targets_by_request.get(sent.request_id, [])
        violations += _check_response(sent, targets)
    for request_id in targets_by_request.keys() - known_ids:
        violations.append(
            Violation("targets execute only requests of callers", request_id, "")
        )
    return violations


def _check_response(sent: SentRequest, targets: list[str]) -> list[Violation]:
    found: list[tuple[str, str]] = []
    if sent.status and sent.status not in STATUSES:
        found.append(("each answer has a status of HTTP", str(sent.status)))
    if sent.kind is RequestKind.NON_IDEMPOTENT:
        found += _check_executions(sent, targets)
    if sent.kind.is_stream:
        found += _check_stream(sent)
    elif sent.is_complete and sent.status == 200:
        if sent.body != f"answer to {sent.request_id}".encode():
            found.append(
                ("each caller gets the response to its request", repr(sent.body[:80]))
            )
    return [Violation(promise, sent.request_id, detail) for promise, detail in found]


def _check_executions(sent: SentRequest, targets: list[str]) -> list[tuple[str, str]]:
    found: list[tuple[str, str]] = []
    if len(targets) > 1:
        found.append(
            (
                "a non-idempotent request is executed at most once",
                f"executed on {targets}",
            )
        )
    if sent.is_complete and sent.status in NOT_EXECUTED_STATUSES and targets:
        found.append(
            (
                "a request reported as not executed was not executed",
                f"{sent.status}, but executed on {targets}",
            )
        )
    return found


def _check_stream(sent: SentRequest) -> list[tuple[str, str]]:
    if sent.status not in (0, 200):
        return []
    event_ids = sent.event_ids
    if event_ids != list(range(1, len(event_ids) + 1)):
        return [("stream events arrive once and in order", str(event_ids))]
    if (
        sent.is_complete
        and sent.status == 200
        and len(event_ids) != sent.expected_events
    ):
        return [("an incomplete stream does not look complete", str(event_ids[-1:]))]
    return []


def check_shutdown(
    requests: Iterable[SentRequest],
    executions: list[tuple[str, str]],
    faults: list[InjectedFault],
) -> list[Violation]:
    """Check that a router that shuts down completes the requests it has forwarded.

    Long streams may outlast a grace period; `check_shutdowns` has their bounds.
    """
    executed_ids = {request_id for request_id, _ in executions}
    violations: list[Violation] = []
    for sent in requests:
        if sent.is_complete or sent.request_id not in executed_ids:
            continue
        if sent.kind is RequestKind.LONG_STREAM:
            continue
        if _is_excused(sent, faults):
            continue
        detail = f"sent to {sent.router}, status {sent.status}"
        violations.append(
            Violation("shutdown interrupts no request", sent.request_id, detail)
        )
    return violations


def _is_excused(sent: SentRequest, faults: list[InjectedFault]) -> bool:
    """Return whether a disruptive fault overlapped the request."""
    for fault in faults:
        if fault.kind in NON_DISRUPTIVE_FAULTS:
            continue
        ended_before = fault.ended_at_s + SETTLE_S < sent.sent_at_s
        if not ended_before and fault.started_at_s < sent.ended_at_s:
            return True
    return False


def is_excused_for_router(sent: SentRequest, faults: list[InjectedFault]) -> bool:
    """Return whether a disruptive fault of a target or of its router hit a request.

    The name of a router's fault is that of the router, or "all".
    """
    own_faults = [
        fault
        for fault in faults
        if not fault.component.startswith(ROUTER_NAME_PREFIX)
        or fault.component == sent.router
    ]
    return _is_excused(sent, own_faults)


def count_by_kind(faults: Iterable[InjectedFault]) -> dict[str, int]:
    """Return the number of injected faults by kind."""
    return dict(Counter(fault.kind.value for fault in faults))
