"""Steps for requests that reach a router of the product's interface as it stops."""

import http.client
import json

import gevent
from behave import then, when
from behave.runner import Context

from tests.support.agent_fleet import eventually
from tests.support.chat import CHAT, chat_body
from tests.support.router_harness import TOKEN, RouterHarness

LATE_AFTER_S = 0.5
LATE_PROMPT = "which seats are left"


@when(
    "the router is told to stop under a stream, and streams come after its drain wait"
)
def send_after_drain_wait(context: Context) -> None:
    harness: RouterHarness = context.router_harness
    first = gevent.spawn(
        harness.send, "POST", CHAT, chat_body(max_tokens=100, stream=True)
    )
    eventually(lambda: harness.router.runtime.request_tracker.running == 1)
    open_connection = harness.connect()
    open_connection.connect()
    listener = harness.router.server.caller_listener
    eventually(lambda: len(listener.connections) == 2)
    stopping = gevent.spawn(harness.router.server.drain_and_stop)
    gevent.sleep(LATE_AFTER_S)
    context.late_outcomes = []
    for connection in [open_connection, harness.connect(), harness.connect()]:
        gevent.spawn(send_late, context, connection)
    try:
        eventually(lambda: len(context.late_outcomes) == 3)
    finally:
        gevent.killall([first, stopping])


def send_late(context: Context, connection: http.client.HTTPConnection) -> None:
    """Send a stream and record the status of the response, 0 without one."""
    headers = {"Authorization": f"Bearer {TOKEN}"}
    messages = [{"role": "user", "content": LATE_PROMPT}]
    body = json.dumps(chat_body(messages=messages, max_tokens=5, stream=True))
    try:
        connection.request("POST", CHAT, body=body, headers=headers)
        context.late_outcomes.append(connection.getresponse().status)
    except (OSError, http.client.HTTPException):
        # An idle connection was closed before it had a request.
        context.late_outcomes.append(0)


@then("each of them was refused and has not run")
def check_late_refused(context: Context) -> None:
    assert sorted(context.late_outcomes)[1:] == [503, 503], context.late_outcomes
    assert min(context.late_outcomes) in (0, 503), context.late_outcomes
    ledger = context.router_harness.ledger
    assert not [text for text in ledger.prompts.values() if LATE_PROMPT in text]
