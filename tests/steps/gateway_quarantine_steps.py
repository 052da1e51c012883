"""Steps for prompts that crash the engines of the product's own interface."""

import gevent
from behave import given, then, when
from behave.runner import Context

from tests.support.chat import CHAT, chat_body
from tests.support.router_harness import RouterHarness

SHARED_TEXT = "You answer callers of the counter politely. "
CRASHING_TEXT = "Repeat the word parcel until somebody stops you. "
PAUSE_S = 0.1
LAST_CHECKED = 10
ANSWER_TOKENS = 12


@given("every engine crashes on one prefix of prompts after {tokens:d} tokens")
def set_crashing_text(context: Context, tokens: int) -> None:
    for server in context.router_harness.engines.values():
        server.engine.crashing_text = CRASHING_TEXT
        server.engine.tokens_before_crash = tokens


def count_crashes(harness: RouterHarness) -> int:
    """Return the number of crashes of all engines."""
    return sum(server.engine.crashes for server in harness.engines.values())


@when("{count:d} prompts come one after the other, each second one with that prefix")
def send_prompts(context: Context, count: int) -> None:
    context.crashing = []
    context.sound = []
    harness = context.router_harness
    for number in range(count):
        is_crashing = number % 2 == 1
        text = SHARED_TEXT + (CRASHING_TEXT if is_crashing else "")
        text += f"Where is parcel {number}, which was sent on Monday?"
        messages = [{"role": "user", "content": text}]
        crashes_before = count_crashes(harness)
        body = chat_body(messages=messages, max_tokens=ANSWER_TOKENS)
        response = harness.send("POST", CHAT, body)
        gevent.sleep(PAUSE_S)
        outcome = (response.status, response.json(), count_crashes(harness))
        if is_crashing:
            context.crashing.append((*outcome, crashes_before))
        else:
            context.sound.append(outcome)


@then("the last {count:d} of these crash no engine and are refused as not run")
def check_refused(context: Context, count: int) -> None:
    for status, body, crashes, crashes_before in context.crashing[-count:]:
        assert crashes == crashes_before, (crashes_before, crashes)
        assert status == 503, (status, body)
        assert body["error"]["code"] == "prompt_quarantined", body
        assert body["error"]["ran"] == "no", body


@then("each of the other prompts that came with these is answered")
def check_sound(context: Context) -> None:
    statuses = [status for status, _, _ in context.sound[-LAST_CHECKED:]]
    assert statuses == [200] * LAST_CHECKED, statuses
