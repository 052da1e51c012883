"""The platform's rules on parts of prompts and on requests that crash targets."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

CRASHES_FREE = 5
REQUEST_CRASHES_FREE = 3
ARRIVALS_ALLOWED = 3
CONTACT_S = 3.0
SOUND_BEGIN_RATIO = 0.5
SOUND_REQUESTS_MIN = 20
"""A first part counts from this many requests before and after."""


@dataclass(frozen=True)
class TargetCrash:
    """A crash of a target, with the parts that caused it, if any did."""

    at_s: float
    service: str
    parts: frozenset[str]


@dataclass(frozen=True)
class PartArrival:
    """A request that reached a target, with the parts that are crashing there.

    `is_in_touch` says whether the router that sent it was in touch at that time.
    """

    at_s: float
    router: int
    service: str
    parts: frozenset[str]
    is_in_touch: bool


@dataclass
class FirstAttempt:
    """A caller's first attempt with a sound request, and whether its answer began.

    `named` is the part of another service's quarantine that the request holds, if any.
    """

    at_s: float
    service: str
    first_part: str
    named: frozenset[str]
    is_in_touch: bool
    has_begun: bool = False


def crash_times_s(
    crashes: Sequence[TargetCrash], service: str, part: str
) -> list[float]:
    """Return the times of the crashes that a part caused, in order."""
    return sorted(
        crash.at_s
        for crash in crashes
        if crash.service == service and part in crash.parts
    )


def check_part_arrivals(
    arrivals: Sequence[PartArrival],
    crashes: Sequence[TargetCrash],
    service: str,
    part: str,
    crashes_free: int = CRASHES_FREE,
) -> None:
    """Assert that a crashing part reaches hardly any target once it is known."""
    times_s = crash_times_s(crashes, service, part)
    if len(times_s) < crashes_free:
        return
    from_s = times_s[crashes_free - 1] + CONTACT_S
    counted = [
        arrival
        for arrival in arrivals
        if arrival.service == service
        and part in arrival.parts
        and arrival.at_s > from_s
        and arrival.is_in_touch
    ]
    trace = [(round(each.at_s - from_s, 3), each.router) for each in counted[:8]]
    assert len(counted) <= ARRIVALS_ALLOWED, (
        f"{len(counted)} requests with {part} reached targets of {service} after the "
        f"bound; seconds after it, and routers: {trace}; {len(times_s)} crashes"
    )


def begin_ratio(attempts: Collection[FirstAttempt]) -> float:
    """Return the share of attempts whose answer began."""
    return sum(attempt.has_begun for attempt in attempts) / len(attempts)


def check_begin_ratio(
    what: str, before: Sequence[FirstAttempt], after: Sequence[FirstAttempt]
) -> None:
    """Assert that sound requests begin at least half as often as before."""
    if min(len(before), len(after)) < SOUND_REQUESTS_MIN:
        return
    required = SOUND_BEGIN_RATIO * begin_ratio(before)
    assert begin_ratio(after) >= required, (
        f"{begin_ratio(after):.2f} of {len(after)} sound requests {what} begin, "
        f"{required:.2f} required"
    )


def check_sound_requests(
    attempts: Sequence[FirstAttempt], before_s: float, after_s: float
) -> None:
    """Assert that sound requests of each service and first part are served as before.

    Those before `before_s` are compared with those after `after_s`. Requests that hold
    a part that is crashing to another service only are also compared by themselves.
    """
    groups: dict[str, tuple[list[FirstAttempt], list[FirstAttempt]]] = {}
    for attempt in attempts:
        if not attempt.is_in_touch or before_s <= attempt.at_s <= after_s:
            continue
        names = [f"of {attempt.service} with {attempt.first_part}"]
        names += [f"of {attempt.service} that hold {part}" for part in attempt.named]
        for name in names:
            group = groups.setdefault(name, ([], []))
            group[attempt.at_s > after_s].append(attempt)
    assert any(min(map(len, group)) >= SOUND_REQUESTS_MIN for group in groups.values())
    for name, (before, after) in groups.items():
        check_begin_ratio(name, before, after)
