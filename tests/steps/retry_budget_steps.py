"""Steps for the retry budget that routers share."""

import random
import time

from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.budget import FleetRetryBudget
from chervilstall.ids import ServiceName
from tests.support.clock import Clock
from tests.support.model_targets import SERVICE
from tests.support.platform import BOUNDS


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
