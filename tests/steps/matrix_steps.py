"""Steps for the fault matrix."""

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.standin.ledger import check_layers, check_single_effects
from chervilstall.standin.text import answer_text
from tests.support.agent_fleet import eventually
from tests.support.cluster import TOKEN_COUNT, CallerResult, RequestStep, TestCluster
from tests.support.matrix import DIRECTORY, FAULTS_BY_NAME, features
from tests.support.router_harness import LAYERS

ATTEMPTS_MAX = 5
PROMPT = "Summarize claim 7"
RETRYABLE_CODES = ("home_unavailable", "no_target", "target_refused", "shutting_down")


def expected_text(prompt: str) -> str:
    """Return the complete text that the model generates for a prompt."""
    return answer_text("small", "v1", "claims", f"user: {prompt}", TOKEN_COUNT)


@given("agents in three zones, targets and a router")
def start_cluster(context: Context) -> None:
    context.cluster = TestCluster()
    context.stoppables.append(context.cluster)


@when("{fault} at step {step}")
def inject(context: Context, fault: str, step: str) -> None:
    cluster = context.cluster
    actions = [FAULTS_BY_NAME[name].action for name in fault.split(" and ")]
    context.kills_router = "the router is killed" in fault

    def inject_faults() -> None:
        for action in actions:
            action(cluster)

    cluster.run_at(RequestStep(step), inject_faults)

    def store_connection(connection) -> None:
        cluster.caller = connection

    for _ in range(ATTEMPTS_MAX):
        context.result = cluster.send(PROMPT, "claim-7", on_connection=store_connection)
        if cluster.trigger.is_reached:
            return
        # While a slot moves to another home, requests fail without being executed.
        assert context.result.ran == "no", context.result
        cluster.wait_until_ready()
    raise AssertionError(f"the step {step} was not reached: {context.result}")


def check_result(context: Context, result: CallerResult, starts: int) -> None:
    """Check that a result is the expected text or a truthful error.

    `starts` is how often the request was started on targets.
    """
    expected = expected_text(PROMPT)
    assert expected.startswith(result.text), (result.text, expected)
    if result.is_complete:
        assert result.text == expected, result
        return
    if result.is_lost:
        return
    assert result.error_code, f"a truncated response without an error: {result}"
    if result.ran == "no":
        assert not result.text
        assert starts == 0, f"reported as not executed but started: {result}"


@then("the guarantees hold for the request and its retry")
def check_guarantees(context: Context) -> None:
    cluster = context.cluster
    ledger = cluster.target_cluster.ledger
    prompt = f"user: {PROMPT}"
    check_result(context, context.result, ledger.count_starts(prompt))
    cluster.heal()
    if context.kills_router or "vm-0" not in cluster.fleet.agents:
        cluster.kill_router()
        cluster.start_router("vm-3" if "vm-3" in cluster.fleet.agents else "vm-1")
    gevent.sleep(0.1)
    cluster.wait_until_ready()
    starts = ledger.count_starts(prompt)
    retry = cluster.send(PROMPT, "claim-7", attempt=2)
    total_starts = ledger.count_starts(prompt)
    check_result(context, retry, total_starts - starts)
    if context.result.is_complete and retry.is_complete:
        assert total_starts == starts, "a completed request was executed again"
    assert total_starts <= 1, f"executed {total_starts} times"
    assert not check_layers(ledger, LAYERS), check_layers(ledger, LAYERS)
    assert not check_single_effects(ledger)


@then("a later request succeeds")
def check_recovery(context: Context) -> None:
    cluster = context.cluster
    results = []

    def succeeds() -> bool:
        number = len(results)
        prompt = f"Later {number}"
        result = cluster.send(prompt, f"later-{number}", deadline_s=2.0)
        results.append(result)
        return result.is_complete and result.text == expected_text(prompt)

    eventually(succeeds, 15.0)


@then("the committed matrix is the one that the table gives")
def check_generated(context: Context) -> None:
    for name, text in features().items():
        assert (DIRECTORY / name).read_text() == text, f"{name} is out of date"
