"""Steps for claims whose home is lost before it answers."""

import time

import gevent
from behave import then, when
from behave.runner import Context

from chervilstall.agent.runtime import AgentRuntime
from chervilstall.idempotency.home import SlotHome
from chervilstall.idempotency.records import ClaimRecord
from tests.steps.matrix_steps import expected_text
from tests.support.cluster import RequestStep

PROMPT = "Summarize claim 9"
PAUSE_S = 0.2
REPEATS_MAX_S = 15.0


def stop_after_claim(agent: AgentRuntime, home: SlotHome) -> None:
    """Let a home hang once it stored a claim, and its agent renew no lease."""
    append = home.log.append

    def append_and_hang(records, is_stopped) -> None:
        append(records, is_stopped)
        if any(isinstance(record, ClaimRecord) for record in records):
            agent.roles.abandon()
            gevent.sleep(REPEATS_MAX_S)

    home.log.append = append_and_hang  # type: ignore[method-assign]


@when("the home of a key stops for good after it stored the key's claim")
def lose_home(context: Context) -> None:
    cluster = context.cluster

    def arm() -> None:
        for agent in cluster.fleet.agents.values():
            for home in agent.slot_homes.homes.values():
                stop_after_claim(agent, home)

    cluster.run_at(RequestStep.CLAIM, arm)
    context.result = cluster.send(PROMPT, "claim-9")
    assert context.result.ran == "no", context.result


@when("the caller repeats the request while it is refused as not run")
def repeat(context: Context) -> None:
    until_s = time.monotonic() + REPEATS_MAX_S
    while context.result.ran == "no" and time.monotonic() < until_s:
        gevent.sleep(PAUSE_S)
        context.result = context.cluster.send(PROMPT, "claim-9")


@then("the caller gets the complete response of a single run")
def check_single_run(context: Context) -> None:
    assert context.result.is_complete, context.result
    assert context.result.text == expected_text(PROMPT), context.result
    ledger = context.cluster.target_cluster.ledger
    assert ledger.count_starts(f"user: {PROMPT}") == 1
