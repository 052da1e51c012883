"""Steps of the fault matrix."""

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.standin.ledger import check_layers, check_single_effects
from chervilstall.standin.text import answer_text
from tests.support.agent_fleet import eventually
from tests.support.cluster import TOKENS, Outcome, Step, TestCluster
from tests.support.matrix import BY_NAME, FOLDER, features
from tests.support.router_harness import LAYERS

TRIES = 5
PROMPT = "Summarize claim 7"
REPEATABLE_KINDS = ("home_unavailable", "no_target", "target_refused", "shutting_down")


def right_text(prompt: str) -> str:
    """Return the whole right answer."""
    return answer_text("small", "v1", "claims", f"user: {prompt}", TOKENS)


@given("agents in three zones, targets and a router")
def start_world(context: Context) -> None:
    context.cluster = TestCluster()
    context.stoppables.append(context.cluster)


@when("{fault} at step {step}")
def inject(context: Context, fault: str, step: str) -> None:
    cluster = context.cluster
    actions = [BY_NAME[name].action for name in fault.split(" and ")]
    context.kills_router = "the router is killed" in fault

    def act() -> None:
        for action in actions:
            action(cluster)

    cluster.at(Step(step), act)

    def keep(connection) -> None:
        cluster.caller = connection

    for _ in range(TRIES):
        context.first = cluster.send(PROMPT, "claim-7", on_connection=keep)
        if cluster.trigger.reached:
            return
        # A home may be moving; then the answer is an honest "not run".
        assert context.first.ran == "no", context.first
        cluster.wait_until_ready()
    raise AssertionError(f"the step {step} was not reached: {context.first}")


def check_outcome(context: Context, outcome: Outcome, starts: int) -> None:
    """Check one outcome: right, or an honest error."""
    right = right_text(PROMPT)
    assert right.startswith(outcome.text), (outcome.text, right)
    if outcome.is_whole:
        assert outcome.text == right, outcome
        return
    if outcome.is_lost:
        return
    assert outcome.kind, f"a silently short answer: {outcome}"
    if outcome.ran == "no":
        assert not outcome.text
        assert starts == 0, f"a false 'not run': {outcome}"


@then("the promises hold for the request and its repeat")
def check_promises(context: Context) -> None:
    cluster = context.cluster
    ledger = cluster.market.ledger
    prompt = f"user: {PROMPT}"
    check_outcome(context, context.first, ledger.count_starts(prompt))
    cluster.heal()
    if context.kills_router or "vm-0" not in cluster.fleet.agents:
        cluster.kill_router()
        cluster.start_router("vm-3" if "vm-3" in cluster.fleet.agents else "vm-1")
    gevent.sleep(0.1)
    cluster.wait_until_ready()
    starts = ledger.count_starts(prompt)
    repeat = cluster.send(PROMPT, "claim-7", attempt=2)
    repeated_starts = ledger.count_starts(prompt)
    check_outcome(context, repeat, repeated_starts - starts)
    if context.first.is_whole and repeat.is_whole:
        assert repeated_starts == starts, "a finished request ran again"
    assert repeated_starts <= 1, f"ran {repeated_starts} times"
    assert not check_layers(ledger, LAYERS), check_layers(ledger, LAYERS)
    assert not check_single_effects(ledger)


@then("a later request succeeds")
def check_recovery(context: Context) -> None:
    cluster = context.cluster
    outcomes = []

    def succeeds() -> bool:
        number = len(outcomes)
        prompt = f"Later {number}"
        outcome = cluster.send(prompt, f"later-{number}", deadline_s=2.0)
        outcomes.append(outcome)
        return outcome.is_whole and outcome.text == right_text(prompt)

    eventually(succeeds, 15.0)


@then("the committed matrix is the one that the table gives")
def check_generated(context: Context) -> None:
    for name, text in features().items():
        assert (FOLDER / name).read_text() == text, f"{name} is out of date"
