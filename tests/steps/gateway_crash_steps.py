"""Steps for calls that crash the plain services of the product's own interface."""

import gevent
from behave import given, then, when
from behave.runner import Context

from tests.support.router_harness import RouterHarness

CRASHING_PATH = "/crashing"
PAUSE_S = 0.4


@given("every plain service crashes on one path for a moment")
def set_crashing_path(context: Context) -> None:
    for server in context.router_harness.services.values():
        server.service.options.crashing_path = CRASHING_PATH


def count_crashes(harness: RouterHarness) -> int:
    """Return the number of crashes of all services."""
    return sum(server.crashes for server in harness.services.values())


@when(
    "{count:d} {method:w} calls come one after the other, each second one with that "
    "path"
)
def send_calls(context: Context, count: int, method: str) -> None:
    context.crashing = []
    context.sound = []
    harness = context.router_harness
    for number in range(count):
        is_crashing = number % 2 == 1
        path = CRASHING_PATH if is_crashing else f"/sound/{number}"
        body = {"number": 1} if method == "POST" else None
        before = count_crashes(harness)
        response = harness.send(method, f"/services/lookup{path}", body)
        gevent.sleep(PAUSE_S)
        outcomes = context.crashing if is_crashing else context.sound
        outcomes.append((response, count_crashes(harness) - before))


@then("the last {count:d} of these crash no target and are refused as not run")
def check_refused(context: Context, count: int) -> None:
    for response, crashes in context.crashing[-count:]:
        assert not crashes, crashes
        assert response.status == 503, response
        assert response.error()["ran"] == "no", response


@then("each of the last {count:d} other calls is answered")
def check_answered(context: Context, count: int) -> None:
    statuses = [response.status for response, _ in context.sound[-count:]]
    assert statuses == [200] * count, statuses
