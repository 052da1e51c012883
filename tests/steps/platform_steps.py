"""Steps that start a platform, set its targets' behaviour and check responses."""

import http.client

from behave import given, then
from behave.runner import Context

from chervilstall.standin.platform_fixtures import build_configuration, build_route
from chervilstall.standin.platform_target import Behaviour
from tests.support.platform_scenario import (
    add_lookups,
    add_model,
    avoided_targets,
    own_lookup,
    start_platform,
)


@given("a platform with lookups in both zones")
def start_lookups(context: Context) -> None:
    platform = start_platform(context)
    add_lookups(platform)
    context.router = platform.add_router()


@given("a platform with a model in parts in both zones")
def start_model(context: Context) -> None:
    platform = start_platform(context)
    add_model(platform)
    context.router = platform.add_router()


@given("a platform whose drafts are not resumable")
def add_model_not_resumable(context: Context) -> None:
    draft = build_route("/draft/", "streaming", "drafts", resumable=False)
    platform = start_platform(context, build_configuration(routes=[draft]))
    add_model(platform)
    context.router = platform.add_router()


@given("a platform with a model and lookups")
def start_model_and_lookups(context: Context) -> None:
    platform = start_platform(context)
    add_model(platform)
    add_lookups(platform)


@given("a store that answers nobody")
def fail_store(context: Context) -> None:
    start_platform(context).store.state.error_status = 503


@given("a store that takes {delay_ms:d} ms to respond")
def delay_store(context: Context, delay_ms: int) -> None:
    context.platform.store.state.delay_s = delay_ms / 1e3


@given("the target of the own zone would {behaviour}")
def set_own_target_behaviour(context: Context, behaviour: str) -> None:
    target = own_lookup(context)
    target.behaviour = Behaviour(behaviour)


@given("every target would {behaviour}")
def set_every_target_behaviour(context: Context, behaviour: str) -> None:
    for target in context.platform.targets.values():
        target.behaviour = Behaviour(behaviour)


@given("the target of the own zone has stopped")
def stop_own_target(context: Context) -> None:
    own_lookup(context).stop()


@given("the target of the own zone was replaced by another at its address")
def replace_own_target(context: Context) -> None:
    own_lookup(context).name = "somebody-else"


@then("no target is avoided")
def check_none_avoided(context: Context) -> None:
    assert not avoided_targets(context), avoided_targets(context)


@then("a target is avoided")
def check_some_avoided(context: Context) -> None:
    assert avoided_targets(context)


@then("the response is {status:d} and {runs:d} targets ran the request")
def check_response(context: Context, status: int, runs: int) -> None:
    assert context.response.status == status, (
        context.response,
        context.platform.executed_request_ids(),
    )
    assert len(context.platform.executed_request_ids()) == runs, (
        context.platform.executed_request_ids()
    )
    if status == 200:
        assert context.response.body == b"answer to r1", context.response.body


@then("the response has a Retry-After header")
def check_retry_after(context: Context) -> None:
    assert 0.0 < float(context.response.headers["Retry-After"]) <= 5.0 / 3.0


@then("the response is {status:d} within {max_ms:d} ms")
def check_within(context: Context, status: int, max_ms: int) -> None:
    assert context.response.status == status, context.response
    assert context.elapsed_s * 1e3 < max_ms, context.elapsed_s


@then("the router is not ready")
@then("it becomes unready at once")
def check_not_ready(context: Context) -> None:
    address = context.router.listeners.readiness.bound_address
    connection = http.client.HTTPConnection(address.host, address.port, timeout=5)
    connection.request("GET", "/chervilstall/readyz")
    status = connection.getresponse().status
    connection.close()
    assert status == 503, status
