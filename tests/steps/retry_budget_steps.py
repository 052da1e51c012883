"""Steps for the retry budget that routers share."""

import random
import time

from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.limits.budget import FleetRetryBudget
from chervilstall.ids import ServiceName
from tests.support.clock import Clock
from tests.support.loan_fleet import LoanFleet
from tests.support.model_targets import SERVICE
from tests.support.platform import BOUNDS
from tests.support.retry_budget_fleet import RestartingFleet, draw_case


@then("for 50 drawn fleets no window has more repeats than the bound allows")
def check_windows(context: Context) -> None:
    rng = random.Random(3)
    service = ServiceName("drafts")
    original = time.monotonic
    for _ in range(50):
        now_s = 1000.0
        time.monotonic = lambda: now_s
        try:
            routers = rng.randint(1, 12)
            budgets = [FleetRetryBudget(BOUNDS, routers) for _ in range(routers)]
            requests: list[float] = []
            retries: list[float] = []
            for _ in range(800):
                now_s += rng.expovariate(20.0)
                budget = rng.choice(budgets)
                if rng.random() < 0.5:
                    budget.record_request(service)
                    requests.append(now_s)
                if budget.try_spend(service, rng.random() < 0.5):
                    retries.append(now_s)
        finally:
            time.monotonic = original
        for end_s in retries:
            first_s = end_s - BOUNDS.retry_window_s
            sent = sum(first_s < moment_s <= end_s for moment_s in requests)
            retried = sum(first_s < moment_s <= end_s for moment_s in retries)
            bound = BOUNDS.retry_ratio * sent + BOUNDS.retry_extra
            assert retried <= bound, (retried, bound)


@given("a budget whose first part is used up")
def spend_first_part(context: Context) -> None:
    context.budget = FleetRetryBudget(BOUNDS, 1)
    while context.budget.try_spend(SERVICE.name):
        pass


@then("a request without an answer is refused a repeat and a begun one is not")
def check_reserved_part(context: Context) -> None:
    assert not context.budget.try_spend(SERVICE.name)
    assert context.budget.try_spend(SERVICE.name, is_resume=True)


@given("a budget whose retries are all reserved and sent {after_s:d} seconds later")
def reserve_all(context: Context, after_s: int) -> None:
    context.clock = Clock()
    context.stoppables.append(context.clock)
    context.budget = FleetRetryBudget(BOUNDS, 1)
    context.sent = 0
    while context.budget.try_reserve(SERVICE.name, is_resume=True):
        context.sent += 1
    assert context.sent
    context.clock.now_s += after_s
    for _ in range(context.sent):
        context.budget.spend_reserved(SERVICE.name)


@when("as many retries as the budget allows are sent {after_s:d} seconds after that")
def spend_all(context: Context, after_s: int) -> None:
    context.clock.now_s += after_s
    while context.budget.try_spend(SERVICE.name, is_resume=True):
        context.sent += 1


@then("the last window has no more retries than the bound allows")
def check_last_window(context: Context) -> None:
    assert context.sent <= BOUNDS.retry_extra, context.sent


@then("the new router makes a few retries and at most a third of those of a later one")
def check_new_router(context: Context) -> None:
    budget = context.router.budget
    later = FleetRetryBudget(BOUNDS, budget.router_count)
    made, made_later = _count_retries(budget), _count_retries(later)
    assert 0 < 3 * made <= made_later, (made, made_later)


def _count_retries(budget: FleetRetryBudget) -> int:
    count = 0
    while budget.try_spend(SERVICE.name, is_resume=True):
        count += 1
    return count


RESTART_GAP_S = {"in series": 0.25, "at once": 0.0}


@then(
    "in {fleets:d} drawn fleets of {routers:d} routers that restart {how}, {restarts:d}"
    " times in a window, no window has more retries than the bound allows"
)
def check_restarts(
    context: Context, fleets: int, routers: int, how: str, restarts: int
) -> None:
    rng = random.Random(11)
    above = []
    for _ in range(fleets):
        case = draw_case(routers, RESTART_GAP_S[how], restarts, rng)
        fleet = RestartingFleet(case, rng)
        fleet.play()
        assert fleet.retries_s
        if fleet.worst_excess() > 0.0:
            above.append(round(fleet.worst_excess()))
    assert not above, f"{len(above)} of {fleets} fleets, by up to {max(above)}"


@given(
    "{routers:d} routers of which half lose {streams:d} streams each at one moment, "
    "{times:d} times"
)
def play_losses(context: Context, routers: int, streams: int, times: int) -> None:
    context.fleet = LoanFleet(routers, streams, times, random.Random(routers))
    context.fleet.play()


@then("{served:d} in {of:d} of these streams get a retry, own or borrowed")
def check_resumed(context: Context, served: int, of: int) -> None:
    fleet = context.fleet
    resumed = len(fleet.retries_s)
    assert resumed * of >= served * fleet.wanted, (resumed, fleet.wanted)


@then("no window has more retries than the budget's bound allows")
def check_loans(context: Context) -> None:
    excess = context.fleet.worst_excess()
    assert excess <= 0.0, (excess, len(context.fleet.retries_s))
