"""Steps for requests that go to their targets through another router."""

import contextlib
import http.client
import time
from types import SimpleNamespace
from unittest.mock import patch

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.limits.budget import FleetRetryBudget
from chervilstall.edge.peers import loans
from chervilstall.edge.peers.forwarding import UNABLE_HEADER, Forwarding
from chervilstall.edge.peers.loans import RetryLoans
from chervilstall.edge.peers.reach_report import REACH_PATH, ReachReport
from chervilstall.edge.registry import ROUTERS_ASSUMED
from chervilstall.edge.server import EdgeServer
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.soak.cut_links import Cut
from chervilstall.standin.platform_fixtures import build_request_headers
from chervilstall.standin.platform_target import Behaviour, PlatformTarget
from chervilstall.target.calls import Call, call_once
from tests.support.agent_fleet import eventually
from tests.support.platform import BOUNDS, send
from tests.support.router_harness import Response

REQUEST = "forwarded"
LONG_DRAFT_EVENTS = 2000
SUSPECTED_S = 30.0
SERVICES = {"lookups", "drafts"}
CALL_TIMEOUT_S = 2.0
MALFORMED_QUESTIONS = (
    REACH_PATH,
    REACH_PATH + "?retries=1",
    REACH_PATH + "?service=drafts&retries=-1",
    REACH_PATH + "?service=drafts&retries=" + "9" * 5000,
    REACH_PATH + "?service=%ff%fe&retries=x",
)


def cut_router(context: Context) -> EdgeServer:
    """Return the router that is cut off from all targets."""
    return context.platform.routers[context.cut[0]]


def other_routers(context: Context) -> list[EdgeServer]:
    """Return the routers that reach the targets."""
    routers = enumerate(context.platform.routers)
    return [router for index, router in routers if index not in context.cut]


def lookup_targets(context: Context) -> list[PlatformTarget]:
    """Return the targets of lookups."""
    targets = context.platform.targets.items()
    return [target for name, target in targets if name.startswith("lookup")]


def runs(context: Context) -> list[str]:
    """Return the runs of the scenario's own requests."""
    executed = context.platform.executed_request_ids()
    return [request for request in executed if request.startswith(REQUEST)]


@given("it has noticed that")
def await_notice(context: Context) -> None:
    router = cut_router(context)
    for service in SERVICES:
        router.target_reach.examine(service)
    eventually(lambda: router.target_reach.out_of_reach.keys() == SERVICES)


@given("each target of lookups answers after {answer_s:g} seconds")
def slow_targets(context: Context, answer_s: float) -> None:
    for target in lookup_targets(context):
        target.answer_s = answer_s


@given("each target of lookups loses its answers")
def lose_answers(context: Context) -> None:
    for target in lookup_targets(context):
        target.behaviour = Behaviour.LOSE_ANSWER


@when("a hold is sent to the cut-off router, and the router that takes it is lost")
def lose_helper(context: Context) -> None:
    task = gevent.spawn(send, cut_router(context), "/hold/x", request=REQUEST)
    eventually(lambda: runs(context))
    (helper,) = [each for each in other_routers(context) if each.app.running_requests]
    helper.stop()
    context.response = task.get(timeout=10)


@then("the response is {status:d} and its targets ran it once")
def check_ran_once(context: Context, status: int) -> None:
    assert context.response.status == status, context.response
    assert runs(context) == [REQUEST], runs(context)


@when("a caller leaves a long draft at the cut-off router after its first events")
def leave_draft(context: Context) -> None:
    address = cut_router(context).caller_listener.bound_address
    connection = http.client.HTTPConnection(address.host, address.port, timeout=10)
    fields = build_request_headers(
        REQUEST, 20.0, Token_Count=f"100,{LONG_DRAFT_EVENTS}"
    )
    connection.request("POST", "/draft/x", headers=fields)
    response = connection.getresponse()
    assert response.read(20)
    assert runs(context) == [REQUEST]
    response.close()
    connection.close()


@then("within {within_s:g} seconds the targets have stopped it")
def check_stopped(context: Context, within_s: float) -> None:
    targets = context.platform.targets.values()
    eventually(lambda: sum(t.log.cancelled_streams for t in targets) == 1, within_s)


def send_internally(
    router: EdgeServer, configuration_version: int, attempts_max: int
) -> Response:
    """Send a lookup to a router's internal listener."""
    address: Address = router.peer_listener.bound_address
    connection = http.client.HTTPConnection(address.host, address.port, timeout=10)
    forwarding = Forwarding(configuration_version, attempts_max)
    fields = build_request_headers(REQUEST, 5.0)
    fields.update(forwarding.headers)
    with contextlib.closing(connection):
        connection.request("POST", "/lookup/x", headers=fields)
        response = connection.getresponse()
        content = response.read()
        return Response(response.status, dict(response.getheaders()), content)


@when("a lookup comes to the cut-off router over its internal listener")
def send_to_cut(context: Context) -> None:
    context.response = send_internally(cut_router(context), 1, 2)


@when(
    "a lookup of a later configuration comes to another router over its internal "
    "listener"
)
def send_later_version(context: Context) -> None:
    context.response = send_internally(other_routers(context)[0], 2, 2)


@when(
    "a lookup with {attempts_max:d} attempt left comes to another router over its "
    "internal listener"
)
def send_limited(context: Context, attempts_max: int) -> None:
    context.response = send_internally(other_routers(context)[0], 1, attempts_max)


@then("the response is {status:d} and says that the router is unable")
def check_unable(context: Context, status: int) -> None:
    assert context.response.status == status, context.response
    assert UNABLE_HEADER in context.response.headers, context.response


@then("no target ran anything")
def check_none_ran(context: Context) -> None:
    assert not runs(context), runs(context)


@given("one other router begins to shut down")
def begin_shutdown(context: Context) -> None:
    router = other_routers(context)[0]
    gevent.spawn(router.drain_and_stop, time.monotonic())
    eventually(lambda: router.is_draining)


@given("two other routers reach no target with the last layers")
def suspect_last_layers(context: Context) -> None:
    for router in other_routers(context)[:2]:
        for target in list(router.fleet_view.targets.values()):
            if target.id.startswith("last-"):
                router.fleet_view.suspect(target, "test", SUSPECTED_S, shared=False)


@when("{count:d} {kind}s are sent to the cut-off router")
def send_many(context: Context, count: int, kind: str) -> None:
    router = cut_router(context)
    context.responses = [
        send(router, f"/{kind}/x", request=f"{REQUEST}-{number}")
        for number in range(count)
    ]


@then("each of them is served")
def check_all_served(context: Context) -> None:
    assert [each.status for each in context.responses] == [200] * len(context.responses)


@given("each target of lookups hangs for this router and refuses the others")
def hang_and_refuse(context: Context) -> None:
    router = cut_router(context)
    links = context.platform.links[context.cut[0]]
    links.heal()
    eventually(lambda: not router.target_reach.out_of_reach)
    for target in lookup_targets(context):
        target.behaviour = Behaviour.REFUSE
    links.begin(Cut.HANG)


@when("a lookup is sent to the cut-off router as it loses its targets")
def send_at_loss(context: Context) -> None:
    context.response = send(cut_router(context), "/lookup/x", request=REQUEST)


@then("its response does not say that it has not run")
def check_no_promise(context: Context) -> None:
    assert context.response.status in (502, 504), context.response


@when("another router is asked malformed questions on its internal listener")
def ask_malformed(context: Context) -> None:
    address = other_routers(context)[0].peer_listener.bound_address
    settings = TargetSettings()
    context.statuses = [
        call_once(address, settings, Call("GET", path, CALL_TIMEOUT_S)).status
        for path in MALFORMED_QUESTIONS
    ]


@then("each is answered with {status:d}")
def check_statuses(context: Context, status: int) -> None:
    assert context.statuses == [status] * len(MALFORMED_QUESTIONS), context.statuses


@when("a router that is asked for {count:d} retries says that it lends {lent:d}")
def lend_too_much(context: Context, count: int, lent: int) -> None:
    context.budget = FleetRetryBudget(BOUNDS, ROUTERS_ASSUMED)
    search = SimpleNamespace(choose=lambda service: "peer")
    borrower = RetryLoans(search, None, context.budget)
    borrower._waiting["drafts"] = set(range(count))
    report = ReachReport(1, is_able=True, lent=lent)
    with patch.object(loans, "fetch_report", lambda *arguments: report):
        assert borrower._ask_in_turn("drafts") == count


@then("the cut-off router may use {count:d} of them")
def check_loan(context: Context, count: int) -> None:
    used = 0
    while context.budget.try_spend("drafts", is_resume=True):
        used += 1
    assert used == count, used
