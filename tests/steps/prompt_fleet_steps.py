"""Steps for the model of targets that prefill long and short prompts."""

import dataclasses

from behave import given, then, when
from behave.runner import Context

from tests.support.prompt_fleet import OBJECTIVE_S, PromptCase, PromptFleet, Served

PLAY_S, DRAIN_S = 2.5, 1.0


@given("the model of one of three zones of a fleet of {routers:d} routers")
def note_routers(context: Context, routers: int) -> None:
    context.routers = routers // 3


def play(case: PromptCase, seeds: int = 1) -> Served:
    """Play one case with some seeds and return what its requests got."""
    parts = []
    for seed in range(1, seeds + 1):
        fleet = PromptFleet(case, seed)
        try:
            parts.append(fleet.play(PLAY_S, DRAIN_S))
        finally:
            fleet.stop()
    requests = [request for part in parts for request in part.requests]
    requests.sort(key=lambda request: request.prompt_tokens)
    return Served(requests, sum(part.waits for part in parts))


@when(
    "it plays 200 requests each s, a tenth of them long, "
    "as before and with prompts weighed"
)
def play_before_and_after(context: Context) -> None:
    case = PromptCase(context.routers, requests_per_s=200.0)
    context.before = play(case)
    context.after = play(dataclasses.replace(case, weighs=True, waits=True))


@then("the times to the first event are printed by third of the prompt size")
def print_thirds(context: Context) -> None:
    for label, served in (("before", context.before), ("after", context.after)):
        for third in range(3):
            print(label, "third", third + 1, served.percentiles_ms(third), "ms")


@then("no third is more than a quarter later than before at the 95th percentile")
def check_thirds(context: Context) -> None:
    for third in range(3):
        before, after = (
            served.percentiles_ms(third)[1]
            for served in (context.before, context.after)
        )
        assert after <= 1.25 * before, (third, before, after)


@when(
    "it plays 120 requests each s, a tenth of them long in groups of 8, "
    "without the wait and with it"
)
def play_groups(context: Context) -> None:
    case = PromptCase(context.routers, requests_per_s=120.0, group=8, weighs=True)
    context.before = play(case, seeds=4)
    context.after = play(dataclasses.replace(case, waits=True), seeds=4)


@then("some long prompts wait")
def check_some_wait(context: Context) -> None:
    assert context.after.waits > 0 and context.before.waits == 0


@then("with the wait, the short thirds begin no later at the 99th percentile")
def check_short_last(context: Context) -> None:
    print_thirds(context)
    for third in range(2):
        without = context.before.percentiles_ms(third)[2]
        assert context.after.percentiles_ms(third)[2] <= without, (third, without)


@then("at the 95th at most 5 % later")
def check_short_thirds(context: Context) -> None:
    for third in range(2):
        without = context.before.percentiles_ms(third)[1]
        assert context.after.percentiles_ms(third)[1] <= 1.05 * without, without


@when(
    "it plays 400 requests each s, 4 of 10 of them long in groups of 8, with the wait"
)
def play_shortage(context: Context) -> None:
    case = PromptCase(context.routers, 400.0, 0.4, 8, weighs=True, waits=True)
    context.after = play(case)


@then("some first events are late")
def check_some_late(context: Context) -> None:
    assert context.after.share(context.after.requests, OBJECTIVE_S) < 1.0


@then(
    "the largest tenth is served as often as all, within the objective and without it"
)
def check_largest(context: Context) -> None:
    served = context.after
    assert served.share(served.largest_tenth) >= served.share(served.requests)
    tenth = served.share(served.largest_tenth, OBJECTIVE_S)
    share = served.share(served.requests, OBJECTIVE_S)
    assert abs(tenth - share) <= 0.1, (tenth, share)
