"""Steps for answers that come over another router, also one of an older version."""

import msgspec
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.app import EdgeApplication
from chervilstall.edge.error_responses import RouterErrorBody
from chervilstall.edge.exchange import CompleteResponse
from chervilstall.edge.request import EdgeRequest
from chervilstall.errors import ErrorKind
from chervilstall.fleet.records import TargetReadiness
from chervilstall.platform.headers import HeaderFields, ResponseHead
from tests.steps.forwarding_steps import REQUEST, cut_router, other_routers, runs
from tests.support.platform import send

SIGNED = (("Server-Signature", "stand-in.1"),)
MARKED = (*SIGNED, ("Not-Executed", "1"))
ROUTER_ERRORS = {
    "with a router's refusal": ErrorKind.NO_TARGET,
    "with a router's unknown error": ErrorKind.STORE_UNAVAILABLE,
}


def build_answer(request: EdgeRequest, answer: str) -> CompleteResponse:
    """Return what an older router passes on, such as `503 of a target`."""
    status, _, kind = answer.partition(" ")
    body, fields = b"", SIGNED
    match kind:
        case "of a target, marked as not run":
            fields = MARKED
        case "without a signature":
            fields = ()
        case _ if kind in ROUTER_ERRORS:
            error = RouterErrorBody(ROUTER_ERRORS[kind].value, "test")
            body, fields = msgspec.json.encode(error), ()
    return respond(request, int(status), fields, body)


def respond(
    request: EdgeRequest, status: int, fields: HeaderFields, body: bytes
) -> CompleteResponse:
    """Return a complete response to a request."""
    headers = (("Attempt-Id", request.request_id), *fields)
    head = ResponseHead(
        status=status,
        headers=headers,
        matches_request=True,
        is_other_request=False,
        is_signed=True,
        is_not_executed=False,
        is_stream=False,
        faulty_address="",
    )
    return CompleteResponse(head, body)


def replace_answers(app: EdgeApplication, answer: object) -> None:
    """Let a router return what `answer` makes of each request."""
    app._relay = lambda request, start_response, sender: app._send_complete(
        request, answer(request), start_response, sender
    )


@given("the other routers are of an older version and return {answer}")
def return_answer(context: Context, answer: str) -> None:
    for router in other_routers(context):
        replace_answers(router.app, lambda request: build_answer(request, answer))


@when("a {kind} is sent to the cut-off router and comes back")
def send_one(context: Context, kind: str) -> None:
    context.response = send(cut_router(context), f"/{kind}/x", request=REQUEST)


@then("the response is {status:d}")
def check_status(context: Context, status: int) -> None:
    assert context.response.status == status, context.response


@given("each target says in its answers that it leaves")
def announce_all(context: Context) -> None:
    for target in context.platform.targets.values():
        target.announces_leaving = True


@when("a {kind} of one target is served over another router")
def send_over_router(context: Context, kind: str) -> None:
    send_one(context, kind)
    assert context.response.status == 200, context.response
    assert runs(context) == [REQUEST]
    (context.answering,) = [
        name
        for name, target in context.platform.targets.items()
        if any(run.request == REQUEST for run in target.log.runs)
    ]


@when(
    "a {kind} of one target is served over a router of an older version that names it"
)
def send_over_older(context: Context, kind: str) -> None:
    context.answering = next(
        name for name in context.platform.targets if name.startswith(kind)
    )
    fields = (
        *SIGNED,
        ("Server-Leaving", "1"),
        ("Instance-Id", context.answering),
    )
    for router in other_routers(context):
        replace_answers(
            router.app, lambda request: respond(request, 200, fields, b"answer")
        )
    send_one(context, kind)
    assert context.response.status == 200, context.response


@then("the cut-off router takes just that target for leaving")
def check_leaving(context: Context) -> None:
    targets = cut_router(context).fleet_view.targets
    leaving = [
        name
        for name, target in targets.items()
        if target.state is TargetReadiness.DRAINING
    ]
    assert leaving == [context.answering], leaving


@then("the caller isn't told which one it was")
def check_not_told(context: Context) -> None:
    names = [name.lower() for name in context.response.headers]
    assert not any(name.startswith("chervilstall-") for name in names), names
