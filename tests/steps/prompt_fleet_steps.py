"""Steps for the model of targets that prefill long and short prompts."""

import dataclasses

from behave import given, then, when
from behave.runner import Context

from tests.support.prompt_fleet import OBJECTIVE_S, PromptCase, PromptFleet, Served

PLAY_S, DRAIN_S = 3.0, 1.0


@given("the model of one of three zones of a fleet of {routers:d} routers")
def note_routers(context: Context, routers: int) -> None:
    context.routers = routers // 3


def play(case: PromptCase) -> Served:
    """Play one case and return what its requests got."""
    fleet = PromptFleet(case)
    try:
        return fleet.play(PLAY_S, DRAIN_S)
    finally:
        fleet.stop()


@when(
    "it plays 200 requests each s, a tenth of them long, "
    "as before and with prompts weighed"
)
def play_before_and_after(context: Context) -> None:
    case = PromptCase(context.routers, requests_per_s=200.0)
    context.before = play(case)
    context.after = play(dataclasses.replace(case, weighs=True))


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


@then(
    "the largest tenth is served as often as all, within the objective and without it"
)
def check_largest(context: Context) -> None:
    served = context.after
    assert served.share(served.largest_tenth) >= served.share(served.requests)
    tenth = served.share(served.largest_tenth, OBJECTIVE_S)
    share = served.share(served.requests, OBJECTIVE_S)
    assert abs(tenth - share) <= 0.1, (tenth, share)
