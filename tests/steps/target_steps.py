"""Steps for faulty, draining and dead targets, and for shutting a router down."""

import json
import time

import gevent
from behave import then, when
from behave.runner import Context

from chervilstall.http_response import HttpResponse
from chervilstall.standin.faults import FOREVER, FaultKind
from chervilstall.standin.target_server import (
    REFUSE_AGAIN_DELAY_S,
    operation_name,
)
from tests.support.agent_fleet import eventually
from tests.support.chat import (
    CHAT,
    PROMPT,
    chat_body,
    expected_text,
    streamed_text,
)

FAULTS_BEFORE_TOKENS = (
    FaultKind.REFUSE,
    FaultKind.SILENT_BEFORE_ACCEPT,
    FaultKind.DIE_BEFORE_ACCEPT,
    FaultKind.DIE_AFTER_ACCEPT,
    FaultKind.REPEATED_ACCEPT,
)
HOLD = {"row": "C", "seat": 14}
HOLD_BODY = json.dumps(HOLD).encode()
OTHER_HOLD_BODY = json.dumps({"row": "D", "seat": 1}).encode()
LOAD_REPORT = b'{"waiting":0,"age_s":0,"in_flight":%s}'


def arm_engines(context: Context, fault: str, position: int, times: int) -> None:
    for server in context.router_harness.engines.values():
        server.engine.faults.arm(FaultKind(fault), position, times=times)


@when('every engine has the fault "{fault}" at position {position:d} once')
def arm_once(context: Context, fault: str, position: int) -> None:
    """Arm the fault so that it fires once, in the first engine that is reached.

    All engines share one set of faults, whichever of them the request is routed to.
    """
    position = 0 if FaultKind(fault) in FAULTS_BEFORE_TOKENS else position
    arm_engines(context, fault, position, 1)
    all_faults = [
        server.engine.faults for server in context.router_harness.engines.values()
    ]
    shared = all_faults[0]
    for server in context.router_harness.engines.values():
        server.engine.faults = shared
    context.fault = FaultKind(fault)
    context.shared_faults = shared


@when('every engine has the fault "{fault}" at position {position:d} permanently')
def arm_permanently(context: Context, fault: str, position: int) -> None:
    arm_engines(context, fault, position, FOREVER)


@when("every engine pauses {delay:f} seconds at position {position:d} once")
def pause_engines(context: Context, delay: float, position: int) -> None:
    for server in context.router_harness.engines.values():
        server.engine.faults.arm(FaultKind.SLOW, position, delay_s=delay)


@when("every engine answers for its progress after {delay:f} seconds")
def delay_progress(context: Context, delay: float) -> None:
    for server in context.router_harness.engines.values():

        def answer_late(path, environ, answer=server._control):
            if path == "/v1/progress":
                gevent.sleep(delay)
            return answer(path, environ)

        server._control = answer_late


@then("the request took a single attempt")
def check_single_attempt(context: Context) -> None:
    counters = context.router_harness.router.runtime.relay.counters
    assert counters.attempts == 1, counters


@when('the caller streams {tokens:d} tokens from "{model}"')
def stream(context: Context, tokens: int, model: str) -> None:
    body = chat_body(model=model, max_tokens=tokens, stream=True)
    context.response = context.router_harness.send("POST", CHAT, body)
    context.tokens = tokens


@then("the stream is complete and correct")
def check_stream(context: Context) -> None:
    if getattr(context, "shared_faults", None) is not None:
        assert context.shared_faults.fired.get(context.fault), "the fault did not fire"
    text = streamed_text(context.response)
    assert text == expected_text(PROMPT, context.tokens), text


@then("nothing of the error reaches the caller")
def check_no_error_text(context: Context) -> None:
    assert b"unavailable" not in context.response.body, context.response
    assert b"HTTP/1.1" not in context.response.body, context.response


@when("every service writes an earlier refusal once more after its next answer")
def arm_earlier_refusal(context: Context) -> None:
    for server in context.router_harness.services.values():
        server.service.faults.arm(FaultKind.REFUSE_AGAIN)


@when("the earlier refusal has arrived")
def await_earlier_refusal(context: Context) -> None:
    assert context.response.status == 200, context.response
    gevent.sleep(4 * REFUSE_AGAIN_DELAY_S)


@when("the caller sends another {method:w} to the holds service")
def send_other(context: Context, method: str) -> None:
    context.response = context.router_harness.send(
        method, "/services/holds/other", OTHER_HOLD_BODY, Chervilstall_Deadline_S="3"
    )


@then("the other operation was answered and ran {runs:d} times")
def check_other(context: Context, runs: int) -> None:
    assert context.response.status == 200, context.response
    operation = operation_name("/other", OTHER_HOLD_BODY)
    assert context.response.json()["operation"] == operation, context.response
    assert context.router_harness.ledger.count_runs(operation) == runs


@then("the stream was resumed from exported KV state")
def check_kv_resume(context: Context) -> None:
    counters = context.router_harness.router.runtime.relay.counters
    assert counters.kv_resumes == 1, counters


@then("the stream ends with an error after a correct beginning")
def check_broken_stream(context: Context) -> None:
    events = context.response.events()
    assert "[DONE]" not in events
    error = json.loads(events[-1])["error"]
    assert error["code"] == "stream_broken" and error["ran"] == "unknown", error
    text = "".join(
        json.loads(event)["choices"][0]["delta"].get("content", "")
        for event in events[:-1]
    )
    assert text and expected_text(PROMPT, 8).startswith(text), text


@when('every service has the fault "{fault}" once')
def arm_services(context: Context, fault: str) -> None:
    if fault == "none":
        return
    all_faults = []
    for server in context.router_harness.services.values():
        all_faults.append(server.service.faults)
        server.service.faults = all_faults[0]
    all_faults[0].arm(FaultKind(fault))


@when("every service instance is killed")
def kill_services(context: Context) -> None:
    for server in context.router_harness.services.values():
        server.kill()


@when("the caller sends {method:w} to the holds service with an idempotency key")
def send_hold(context: Context, method: str) -> None:
    context.response = request_hold(context, method, 1)


def request_hold(context: Context, method: str, attempt: int):
    return context.router_harness.send(
        method,
        "/services/holds/seats",
        HOLD_BODY,
        Idempotency_Key="hold-1",
        Idempotency_Attempt=str(attempt),
        Chervilstall_Deadline_S="3",
    )


def check_hold(context: Context, response, expected: str) -> None:
    if expected in ("the answer", "the same answer"):
        assert response.status == 200, response
        assert response.json()["operation"] == operation_name("/seats", HOLD_BODY)
        is_repeat = response.headers.get("Chervilstall-Repeat") == "yes"
        assert is_repeat == (expected == "the same answer"), response.headers
        return
    assert response.error()["code"] == expected, response
    assert response.error()["ran"] == "unknown", response


@then("the caller sees an error that says it was not run")
def check_not_run(context: Context) -> None:
    assert context.response.error()["ran"] == "no", context.response
    assert not context.router_harness.ledger.service_runs


@then("the caller sees {outcome}")
def check_first_attempt(context: Context, outcome: str) -> None:
    check_hold(context, context.response, outcome)


@then("a repeat with the same key sees {outcome}")
def check_repeat(context: Context, outcome: str) -> None:
    check_hold(context, request_hold(context, "POST", 2), outcome)


@then("the operation ran {runs:d} times")
def check_runs(context: Context, runs: int) -> None:
    operation = operation_name("/seats", HOLD_BODY)
    assert context.router_harness.ledger.count_runs(operation) == runs


MALFORMED_REPORTS = {
    "another type": b'["nonsense"]',
    "a number of 400 digits": LOAD_REPORT % (b"9" * 400),
    "a negative number": LOAD_REPORT % b"-1",
    "a field nested 100,000 deep": (
        LOAD_REPORT % (b'0,"x":' + b"[" * 100_000 + b"]" * 100_000)
    ),
    "no UTF-8": b'{"in_flight":"\xff"}',
}


@when("the engines' control responses hold {content} for a short time")
def malform_control_responses(context: Context, content: str) -> None:
    response = HttpResponse(200, MALFORMED_REPORTS[content])
    for server in context.router_harness.engines.values():
        original = server._control
        server._control = lambda path, environ: response
        gevent.spawn_later(0.3, setattr, server, "_control", original)
    gevent.sleep(0.4)


@then("every engine is still polled")
def check_polled(context: Context) -> None:
    started_at_s = time.monotonic()
    loads = context.router_harness.router.runtime.selector.load_table.loads

    def is_fresh() -> bool:
        names = list(context.router_harness.engines)
        return all(loads[name].reported_at_s > started_at_s for name in names)

    eventually(is_fresh, 5.0)


# Shutting down


@when("the router is told to stop under {streams:d} streams and {holds:d} holds")
def stop_under_load(context: Context, streams: int, holds: int) -> None:
    router_harness = context.router_harness
    body = chat_body(max_tokens=10, stream=True)
    tasks = [
        gevent.spawn(router_harness.send, "POST", CHAT, body) for _ in range(streams)
    ]
    for number in range(holds):
        path = f"/services/holds/seats/{number}"
        key = f"hold-{number}"
        tasks.append(
            gevent.spawn(router_harness.send, "POST", path, b"{}", Idempotency_Key=key)
        )
    runtime = router_harness.router.runtime
    eventually(lambda: runtime.request_tracker.running >= streams)
    context.has_drained = router_harness.router.server.drain_and_stop()
    gevent.joinall(tasks, raise_error=True)
    context.responses = [task.value for task in tasks]


@then("every stream and hold was answered in full")
def check_answers(context: Context) -> None:
    for response in context.responses:
        assert response.status == 200, response
        if response.body.startswith(b"data: "):
            assert streamed_text(response) == expected_text(PROMPT, 10)


@then("the router reports that nothing was cut off")
def check_drained(context: Context) -> None:
    assert context.has_drained is True


@when("the router is told to stop twice under {streams:d} streams")
def stop_twice(context: Context, streams: int) -> None:
    router_harness = context.router_harness
    body = chat_body(max_tokens=100, stream=True)
    for _ in range(streams):
        gevent.spawn(router_harness.send, "POST", CHAT, body)
    eventually(lambda: router_harness.router.runtime.request_tracker.running == streams)
    first = gevent.spawn(router_harness.router.server.drain_and_stop)
    gevent.sleep(0.2)
    context.has_drained = router_harness.router.server.drain_and_stop()
    first.kill()


@then("the router reports that something was cut off")
def check_not_drained(context: Context) -> None:
    assert context.has_drained is False


@when('the engine "{name}" announces that it leaves')
def announce_leaving(context: Context, name: str) -> None:
    context.router_harness.engines[name].engine.set_leaving(True)
    context.leaving = name


@then("it is chosen for no request after 3 seconds")
def check_not_chosen(context: Context) -> None:
    gevent.sleep(3.0)
    ledger = context.router_harness.ledger
    runs_before = len(ledger.layer_runs)
    for _ in range(30):
        context.router_harness.send("POST", CHAT, chat_body(max_tokens=2))
    new_runs = ledger.layer_runs[runs_before:]
    assert new_runs
    assert all(run.target != context.leaving for run in new_runs)
    load = context.router_harness.router.runtime.selector.load_table.loads[
        context.leaving
    ]
    assert load.is_leaving


@then("the request's explanation names every stage")
def check_explanation(context: Context) -> None:
    request = context.response.headers["X-Request-Id"]
    explanation = context.router_harness.get_admin(f"/explain/{request}").json()
    assert explanation["outcome"] == "finished", explanation
    assert explanation["steps"][0]["targets"], explanation
    assert context.router_harness.get_admin("/explain/none").status == 404


@then("the histograms count the request")
def check_histograms(context: Context) -> None:
    rows = context.router_harness.get_admin("/histograms").json()
    measures = {row["measure"] for row in rows if row["count"]}
    assert measures == {"first_token", "between_tokens", "whole", "queue"}, rows
