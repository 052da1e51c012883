"""What must hold in every run, judged from what callers and targets saw."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from chervilstall.soak.callers import PROBE, Kind, Sent
from chervilstall.soak.faults import FaultKind, Strike

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
HARMLESS = frozenset(
    {
        FaultKind.TERMINATE,
        FaultKind.RELOAD,
        FaultKind.CONFIGURATION,
        FaultKind.STORE_FAILS,
        FaultKind.STORE_SILENT,
        FaultKind.STORE_SLOW,
        FaultKind.STORE_FORGETS,
    }
)
"""Faults that excuse no request that was cut off."""

SETTLE_S = 1.5
"""Time after a fault in which its effects may still be seen."""


@dataclass(frozen=True)
class Breach:
    """A promise that did not hold, with the request that shows it."""

    promise: str
    request: str
    detail: str


def check_answers(sent: Iterable[Sent], runs: list[tuple[str, str]]) -> list[Breach]:
    """Check every answer, and what targets ran, against the promises."""
    by_request: dict[str, list[str]] = {}
    for request, target in runs:
        by_request.setdefault(request, []).append(target)
    breaches: list[Breach] = []
    known = {PROBE}
    for each in sent:
        known.add(each.request)
        ran = by_request.get(each.request, [])
        breaches += _check_one(each, ran)
    for request in by_request.keys() - known:
        breaches.append(Breach("only what callers sent runs", request, ""))
    return breaches


def _check_one(sent: Sent, ran: list[str]) -> list[Breach]:
    found: list[tuple[str, str]] = []
    if sent.kind is Kind.NON_IDEMPOTENT:
        found += _check_runs(sent, ran)
    if sent.kind is Kind.STREAM:
        found += _check_stream(sent)
    elif sent.is_whole and sent.status == 200:
        if sent.body != f"answer to {sent.request}".encode():
            found.append(("each caller gets its own answer", repr(sent.body[:80])))
    return [Breach(promise, sent.request, detail) for promise, detail in found]


def _check_runs(sent: Sent, ran: list[str]) -> list[tuple[str, str]]:
    found: list[tuple[str, str]] = []
    if len(ran) > 1:
        found.append(("a non-idempotent request runs at most once", f"ran on {ran}"))
    if sent.is_whole and sent.status in NOT_RUN_STATUSES and ran:
        found.append(("not run is true", f"{sent.status} though it ran on {ran}"))
    return found


def _check_stream(sent: Sent) -> list[tuple[str, str]]:
    if sent.status not in (0, 200):
        return []
    numbers = sent.event_numbers
    if numbers != list(range(1, len(numbers) + 1)):
        return [("events come once and in order", str(numbers))]
    if sent.is_whole and sent.status == 200 and len(numbers) != sent.events:
        return [("an incomplete stream does not look complete", str(numbers[-1:]))]
    return []


def check_shutdown(
    sent: Iterable[Sent], runs: list[tuple[str, str]], strikes: list[Strike]
) -> list[Breach]:
    """Check that a router told to stop answers what it has passed on."""
    ran = {request for request, _ in runs}
    breaches: list[Breach] = []
    for each in sent:
        if each.is_whole or each.request not in ran:
            continue
        if _is_excused(each, strikes):
            continue
        detail = f"sent to {each.router}, status {each.status}"
        breaches.append(Breach("shutdown cuts nothing", each.request, detail))
    return breaches


def _is_excused(sent: Sent, strikes: list[Strike]) -> bool:
    for strike in strikes:
        if strike.kind in HARMLESS:
            continue
        is_before = strike.ended_s + SETTLE_S < sent.sent_s
        if not is_before and strike.begun_s < sent.answered_s:
            return True
    return False


def describe(strikes: Iterable[Strike]) -> dict[str, int]:
    """Return how often each fault struck."""
    return dict(Counter(strike.kind.value for strike in strikes))
