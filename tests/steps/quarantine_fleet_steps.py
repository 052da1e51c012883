"""Steps for drawn fleets of routers before targets that a part of a prompt crashes."""

import os
import re
from collections.abc import Callable, Sequence
from dataclasses import replace

from behave import then, when
from behave.runner import Context

from tests.support.quarantine_cases import draw_case
from tests.support.quarantine_fleet import QuarantineFleet
from tests.support.quarantine_rule import (
    CONTACT_S,
    CRASHES_FREE,
    REQUEST_CRASHES_FREE,
    check_part_arrivals,
    check_sound_requests,
    crash_times_s,
)
from tests.support.quarantine_traffic import WARM_UP_S, digest_of

FLEETS_VARIABLE = "CHERVILSTALL_DRAWN_FLEETS"


def check_crashing_parts(fleet: QuarantineFleet) -> None:
    """Check the rule for each crashing part and each service that it crashes."""
    for part in fleet.case.crashing:
        for service in part.services:
            check_part_arrivals(fleet.arrivals, fleet.crashes, service, part.name)


def check_crashing_parts_over_services(fleet: QuarantineFleet) -> None:
    """Check the rule for each crashing part, over all services that it crashes."""
    crashes = [replace(crash, service=ANY_SERVICE) for crash in fleet.crashes]
    arrivals = [replace(arrival, service=ANY_SERVICE) for arrival in fleet.arrivals]
    for part in fleet.case.crashing:
        check_part_arrivals(arrivals, crashes, ANY_SERVICE, part.name)


def check_crashing_requests(fleet: QuarantineFleet) -> None:
    """Check the rule for each crashing request, over all services."""
    crashes = [replace(crash, service=ANY_SERVICE) for crash in fleet.crashes]
    arrivals = [replace(arrival, service=ANY_SERVICE) for arrival in fleet.arrivals]
    for request in fleet.case.crashing_requests:
        check_part_arrivals(
            arrivals,
            crashes,
            ANY_SERVICE,
            digest_of(request.name),
            REQUEST_CRASHES_FREE,
        )


def sound_from_s(fleet: QuarantineFleet) -> float:
    """Return from when sound requests must be served as before."""
    times_s = [WARM_UP_S]
    for part in fleet.case.crashing:
        for service in part.services:
            part_times_s = crash_times_s(fleet.crashes, service, part.name)
            times_s += part_times_s[:CRASHES_FREE][-1:]
    for request in fleet.case.crashing_requests:
        for service in request.services:
            digest = digest_of(request.name)
            request_times_s = crash_times_s(fleet.crashes, service, digest)
            times_s += request_times_s[:REQUEST_CRASHES_FREE][-1:]
    for burst in fleet.case.bursts:
        times_s.append(burst.at_s + burst.count * burst.interval_s)
    return max(times_s) + 2.0 * CONTACT_S


def check_sound(fleet: QuarantineFleet) -> None:
    """Check that sound requests are served as before the first crashing one."""
    attempts = list(fleet.first_attempts.values())
    check_sound_requests(attempts, WARM_UP_S, sound_from_s(fleet))


def check_none_refused(fleet: QuarantineFleet) -> None:
    """Check that no router in touch goes on refusing a sound request at the end."""
    refused = fleet.refused_sound
    assert not refused, f"{len(refused)} refused: {sorted(refused)[:5]}"


CHECKS = (
    check_crashing_parts,
    check_crashing_requests,
    check_sound,
    check_none_refused,
)
ANY_SERVICE = "any"


@when(
    '{count:d} drawn fleets with {case} are played, and those of seeds "{seeds_text}"'
)
def play_fleets(context: Context, count: int, case: str, seeds_text: str) -> None:
    play_and_check(context, CHECKS, count, case, seeds_text)


@when("{count:d} drawn fleets with {case} are played for the crashing part alone")
def play_fleets_for_part(context: Context, count: int, case: str) -> None:
    checks = (
        check_crashing_parts,
        check_crashing_parts_over_services,
        check_crashing_requests,
    )
    play_and_check(context, checks, count, case, "none")


def play_and_check(
    context: Context,
    checks: Sequence[Callable],
    count: int,
    case: str,
    seeds_text: str,
) -> None:
    """Play fleets and keep the failures of each check."""
    context.failures = {check: [] for check in checks}
    count = int(os.environ.get(FLEETS_VARIABLE, count))
    kept_seeds = {int(number) for number in re.findall(r"\d+", seeds_text)}
    for seed in sorted(kept_seeds | set(range(count))):
        fleet = QuarantineFleet(*draw_case(seed, case))
        fleet.play()
        for check in checks:
            try:
                check(fleet)
            except AssertionError as error:
                failure = f"seed {seed}, {fleet.case}: {error}"
                context.failures[check].append(failure)


def assert_no_failures(context: Context, check: Callable) -> None:
    """Assert that a check passed for every seed."""
    failures = context.failures[check]
    assert not failures, "\n".join([f"{len(failures)} fleets", *failures])


@then("in each a crashing part reaches at most 3 targets later than the bound")
def check_all_crashing_parts(context: Context) -> None:
    assert_no_failures(context, check_crashing_parts)


@then("in each a crashing part reaches at most 3 targets of all services later")
def check_all_over_services(context: Context) -> None:
    assert_no_failures(context, check_crashing_parts_over_services)


@then("in each a crashing request reaches at most 3 targets later than the bound")
def check_all_crashing_requests(context: Context) -> None:
    assert_no_failures(context, check_crashing_requests)


@then("in each sound requests begin at least half as often as before")
def check_all_sound(context: Context) -> None:
    assert_no_failures(context, check_sound)


@then("in each no sound request stays refused")
def check_all_none_refused(context: Context) -> None:
    assert_no_failures(context, check_none_refused)
