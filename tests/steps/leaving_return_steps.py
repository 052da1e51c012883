"""Steps for targets that leave while their entries expire and come back."""

import json
import time
from collections.abc import Callable

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.standin.behaviours import Behaviour
from chervilstall.standin.platform_fixtures import (
    remove_target_entry,
    write_target_entry,
)
from tests.support.platform import BOUNDS, ZONES, send
from tests.support.platform_scenario import own_first, own_lookup

STARTED_AT_MS = 1_700_000_000_000
SEND_INTERVAL_S = 0.025
RETURN_S = BOUNDS.drain_s + 0.3
"""Time until the entry comes back: later, so that each request then is too late."""

ANSWER_S = 0.15
SERVED_AFTER_S = 1.5
PATHS = {"lookup": "/lookup/a", "draft": "/draft/x"}
SERVICES = {"lookup": "lookups", "draft": "drafts"}


@given("a platform on which a target of {kind:w}s says in its answers that it leaves")
def start_leaving(context: Context, kind: str) -> None:
    if kind == "lookup":
        context.execute_steps("Given a platform with lookups in both zones")
        context.leaving = own_lookup(context)
    else:
        context.execute_steps("Given a platform with a model in parts in both zones")
        # The planner would place the part of an entry that is gone on another target.
        context.router.planner_lease.stop()
        context.leaving = own_first(context)
    context.kind = kind
    _register(context)
    gevent.sleep(0.3)
    context.leaving.announces_leaving = True


def _register(
    context: Context, state: str = "ready", started_at_ms: int = STARTED_AT_MS
) -> None:
    target = context.leaving
    write_target_entry(
        context.platform.store.state,
        target.name,
        SERVICES[context.kind],
        str(target.address),
        ZONES[0],
        target.layers,
        state,
        started_at_ms,
    )


def _expire(context: Context) -> None:
    remove_target_entry(context.platform.store.state, context.leaving.name)


def _return_and_drain(context: Context) -> None:
    gevent.sleep(0.5)
    _expire(context)
    gevent.sleep(RETURN_S)
    _register(context)
    gevent.sleep(0.5)
    _register(context, state="draining")


def _return(context: Context) -> None:
    gevent.sleep(0.5)
    _expire(context)
    gevent.sleep(RETURN_S)
    _register(context)


def _expire_around_answer(context: Context, ahead_s: float) -> None:
    """Expire some time before the first answer ends, or after it."""
    runs = context.leaving.log.runs
    count = len(runs)
    while len(runs) == count:
        gevent.sleep(0.001)
    gevent.sleep(ANSWER_S - ahead_s)
    _expire(context)
    gevent.sleep(RETURN_S)
    _register(context)


def _answer_slowly(context: Context) -> None:
    context.leaving.answer_s = ANSWER_S
    context.leaving.first_event_s = ANSWER_S


def _expire_before_answer(context: Context) -> None:
    _answer_slowly(context)
    _expire_around_answer(context, 0.05)


def _expire_after_answer(context: Context) -> None:
    _answer_slowly(context)
    _expire_around_answer(context, -0.05)


def _break_off(context: Context) -> None:
    """Nothing of such an answer to a lookup is passed on, but the router hears it."""
    context.leaving.events_before_fault = 2
    context.leaving.behaviour = (
        Behaviour.TRUNCATE_ANSWER
        if context.kind == "lookup"
        else Behaviour.BREAK_STREAM
    )
    _return(context)


def _return_while_read_anew(context: Context) -> None:
    gevent.sleep(0.5)
    _expire(context)
    gevent.sleep(RETURN_S)
    context.platform.store.state.compact_history()
    _register(context)
    context.platform.store.state.compact_history()


def _return_while_silent(context: Context) -> None:
    gevent.sleep(0.5)
    _expire(context)
    gevent.sleep(0.5)
    context.platform.store.state.is_silent = True
    gevent.sleep(RETURN_S - 0.5)
    _register(context)
    gevent.sleep(0.5)
    context.platform.store.state.is_silent = False


def _return_from_copy(context: Context) -> None:
    copy = context.platform.store.state.take_copy()
    gevent.sleep(0.5)
    _expire(context)
    gevent.sleep(RETURN_S)
    context.platform.store.state.come_back(copy)


def _return_without_start(context: Context) -> None:
    gevent.sleep(0.5)
    _expire(context)
    gevent.sleep(RETURN_S)
    state, key = context.platform.store.state, f"servers/{context.leaving.name}"
    _register(context)
    entry = json.loads(state.items[key].value)
    del entry["born"]
    state.put(key, json.dumps(entry).encode())


EVENTS: dict[str, Callable[[Context], None]] = {
    "its entry expires, comes back and then drains": _return_and_drain,
    "its entry expires and comes back for good": _return,
    "its entry expires just before its answer ends and comes back": (
        _expire_before_answer
    ),
    "its entry expires just after its answer ends and comes back": _expire_after_answer,
    "its answers break off, and its entry expires and comes back": _break_off,
    "its entry expires and comes back while all entries are read anew": (
        _return_while_read_anew
    ),
    "its entry expires and comes back while the store is silent": _return_while_silent,
    "its entry expires and the store comes back from a copy that has it": (
        _return_from_copy
    ),
    "its entry comes back without its start": _return_without_start,
}


@when("{kind:w}s are sent all the time and {event}")
def send_during(context: Context, kind: str, event: str) -> None:
    context.said_at_s = float("inf")
    sending = gevent.spawn(_send_all_the_time, context)
    try:
        EVENTS[event](context)
        gevent.sleep(SERVED_AFTER_S)
    finally:
        sending.kill()


def _send_all_the_time(context: Context) -> None:
    number = 0
    while True:
        number += 1
        gevent.spawn(_send, context, f"r{number}")
        gevent.sleep(SEND_INTERVAL_S)


def _send(context: Context, request: str) -> None:
    path = PATHS[context.kind]
    headers = {"Token_Count": "100,3"} if context.kind == "draft" else {}
    response = send(context.router, path, request=request, **headers)
    if "Server-Leaving" in response.headers:
        context.said_at_s = min(context.said_at_s, time.monotonic())


@then(
    "no {kind:w} reached it later than the drain bound after the first answer that "
    "said so"
)
def check_left(context: Context, kind: str) -> None:
    runs = context.leaving.log.runs
    assert runs, "it got no request at all"
    said_at_s = context.said_at_s
    if context.leaving.behaviour is Behaviour.TRUNCATE_ANSWER:
        said_at_s = runs[0].received_at_s
    assert said_at_s < float("inf"), "no answer said so"
    latest_s = max(run.received_at_s for run in runs) - said_at_s
    assert latest_s <= BOUNDS.drain_s, latest_s
