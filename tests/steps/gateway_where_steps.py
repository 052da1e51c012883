"""Steps for the question where a request would go, at chervilstall-router."""

import time
from unittest import mock

import cappa
import msgspec
from behave import given, then, when
from behave.runner import Context

from chervilstall.admission.fair_queue import QueuedRequest
from chervilstall.admission.router_limits import requests_limit
from chervilstall.commands.ctl_options import CtlCommand
from chervilstall.gateway.runtime import RouterState
from chervilstall.gateway.where import answer_where
from chervilstall.ids import ServiceName, TargetId, WorkspaceName
from chervilstall.routing.fleet import capability_of
from chervilstall.routing.load import Health
from chervilstall.routing.reservation import ChainRequest
from chervilstall.settings.documents import RequestClass
from chervilstall.target.contract import Priority
from chervilstall.where_answer import WhereAnswer, WhereQuestion
from tests.steps.where_steps import find_change, run_where
from tests.support.chat import CHAT, chat_body
from tests.support.state import describe_state

COUNTERS = WorkspaceName("counters")
TOKENS = 50
COMPLETION = WhereQuestion(
    path="/v1/completions", model="drafts", workspace=COUNTERS, answer_tokens=TOKENS
)
SERVICE = WhereQuestion(path="/services/lookup/x", workspace=COUNTERS)


def runtime_of(context: Context):
    return context.router_harness.router.runtime


def chain_request(context: Context) -> ChainRequest:
    pipeline = runtime_of(context).tree.pipeline(COUNTERS, "drafts")
    return ChainRequest(capability_of(pipeline), Priority.DRAFT, float(TOKENS))


@given("the router has served nothing")
def serve_nothing(context: Context) -> None:
    pass


@given("the router has served requests")
def serve_requests(context: Context) -> None:
    for _ in range(3):
        response = context.router_harness.send(
            "POST", CHAT, chat_body("drafts", max_tokens=5)
        )
        assert response.status == 200, response
        response = context.router_harness.send("GET", "/services/lookup/x")
        assert response.status == 200, response


@given("the router has an engine whose ejection has just ended")
def end_ejection(context: Context) -> None:
    table = runtime_of(context).selector.load_table
    load = table.loads[TargetId("low-1")]
    load.health = Health.EJECTED
    load.ejected_until_s = time.monotonic() - 0.01
    table._ejected_loads[load.target] = load


@given("the router has requests in its queue")
def queue_requests(context: Context) -> None:
    queue = runtime_of(context).queue._queues[RequestClass.DRAFT]
    queue.push(QueuedRequest(COUNTERS, 1.0, 1.0, lambda: None, time.monotonic()))


@given("the router has a full queue")
def fill_queue(context: Context) -> None:
    queue_requests(context)
    queue = runtime_of(context).queue
    queue.settings = mock.Mock(wraps=queue.settings, queue_length=1)


@given("the router has used up a limit")
def use_limit(context: Context) -> None:
    serve_requests(context)
    share = runtime_of(context).limits._rate_shares[requests_limit(COUNTERS)]
    share._tokens = -1e9


@given("the router is stopping")
def begin_stop(context: Context) -> None:
    runtime_of(context).state = RouterState.FINISHING


@given("engines that are full, ejected and leaving")
def break_engines(context: Context) -> None:
    runtime = runtime_of(context)
    # The reports of the engines would end what is set here.
    runtime.target_poller.stop()
    loads = runtime.selector.load_table.loads
    full, ejected, leaving = (
        loads[TargetId(name)] for name in ("low-1", "low-2", "high-1")
    )
    full.in_flight = 1_000
    ejected.health = Health.EJECTED
    ejected.ejected_until_s = time.monotonic() + 60.0
    leaving.is_leaving = True


@when("chervilstall-router is asked for {name}")
def ask_router(context: Context, name: str) -> None:
    question = COMPLETION if name == "a completion" else SERVICE
    context.question = question
    runtime = runtime_of(context)
    # No other task runs between the two descriptions.
    context.state = describe_state(runtime)
    response = answer_where(runtime, question.encode())
    context.state_after = describe_state(runtime)
    assert response.status == 200, response.body
    context.answer = msgspec.json.decode(response.body, type=WhereAnswer)


@then("the router's state is as before")
def check_router_state(context: Context) -> None:
    before, after = context.state, context.state_after
    assert before == after, find_change(before, after)


@then("a reservation for it changes the state")
def check_reservation(context: Context) -> None:
    runtime = runtime_of(context)
    before = describe_state(runtime)
    if context.question is SERVICE:
        instances = runtime.selector.instances
        assert instances.reserve(ServiceName("lookup"), Priority.URGENT)
    else:
        assert runtime.selector.reserve(chain_request(context))
    assert describe_state(runtime) != before


@then("no chain drawn by the router is better than the first one, and some are as good")
def check_best(context: Context) -> None:
    selector = runtime_of(context).selector
    request = chain_request(context)
    state = selector.state(request.capability)
    now_s = time.monotonic()
    costs = [
        selector._select_chain(state, request, frozenset(), now_s).cost_s
        for _ in range(60)
    ]
    best = context.answer.paths[0].cost
    assert min(costs) > 0.99 * best, (min(costs), best)
    assert min(costs) < 1.01 * best, (min(costs), best)


@then("the components of each chain's cost add up to it")
def check_components(context: Context) -> None:
    assert len(context.answer.paths) > 1, context.answer.paths
    for path in context.answer.paths:
        assert path.is_maximum and path.unit == "s to drain", path
        assert max(stage.cost for stage in path.stages) == path.cost, path
        total = sum(part.value for part in path.parts)
        assert abs(total - path.cost) < 1e-5, path


@then('these engines are named with "full", "suspected" and "leaving"')
def check_engines(context: Context) -> None:
    reasons = {each.target: each.reason for each in context.answer.excluded}
    expected = {"low-1": "full", "low-2": "suspected", "high-1": "leaving"}
    assert expected.items() <= reasons.items(), reasons
    used = {stage.target for path in context.answer.paths for stage in path.stages}
    assert not used & expected.keys(), used


@then("the completion is {outcome}")
def check_completion(context: Context, outcome: str) -> None:
    admission = context.answer.admission
    outcome, _, status = outcome.partition(" with ")
    assert admission.outcome == outcome, admission
    assert str(admission.status or "") == status, admission


@when('the operators\' tool asks "{arguments}"')
def ask_admin(context: Context, arguments: str) -> None:
    address = str(context.router_harness.router.server.admin_address)
    command = cappa.parse(CtlCommand, argv=["where", *arguments.split()])
    context.result = run_where(address, command.action)


@then('it ends with {code:d} and prints "{text}"')
def check_result(context: Context, code: int, text: str) -> None:
    found, out, err = context.result
    assert found == code, context.result
    assert text in (err if code else out), context.result
