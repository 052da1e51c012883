"""Steps for routers whose process does not run for a while."""

import gevent
from behave import given, then, when
from behave.runner import Context
from gevent.monkey import get_original

from tests.steps.drain_steps import REFUSED_START, ROUTE_PATHS, stop_router
from tests.steps.shutdown_steps import read_response
from tests.support.platform import open_connection, raw_request
from tests.support.platform_scenario import send_draft

BETWEEN_POLLS_S = 0.07
"""Time from the beginning of a wait to between its first and its second poll."""

STANDSTILL_S = 0.3

native_sleep = get_original("time", "sleep")
"""The standard sleep, which blocks the event loop."""


@given("its targets begin a draft {after_s:g} s after they get it")
def delay_first_events(context: Context, after_s: float) -> None:
    for target in context.platform.targets.values():
        target.first_event_s = after_s


@when(
    "a draft of {events:d} events is asked for and the router stands still for "
    "{lasts_s:g} s after {after_s:g} s"
)
def stand_still_in_draft(
    context: Context, events: int, lasts_s: float, after_s: float
) -> None:
    task = gevent.spawn_later(after_s, native_sleep, lasts_s)
    context.add_cleanup(task.kill)
    send_draft(context, events)


@then("no target is suspected")
def check_no_suspicion(context: Context) -> None:
    view = context.router.fleet_view
    suspected = [each.id for each in view.targets.values() if view.is_suspected(each)]
    assert not suspected, suspected


@when("it stands still for {lasts_s:g} s as it is told to stop")
def stand_still_at_signal(context: Context, lasts_s: float) -> None:
    stop_router(context)
    # The task that handles the signal begins only when this one yields.
    native_sleep(lasts_s)


@when(
    "it is told to stop and stands still after its last answers, while a request "
    "arrives on an open connection"
)
def stand_still_after_answers(context: Context) -> None:
    router = context.router
    close_idle, answer_all = router.caller_listener.close_idle, router.app.answer_all

    def close_idle_and_open() -> None:
        close_idle()
        context.connection = open_connection(router.caller_listener.bound_address)

    def answer_all_and_stand_still() -> None:
        answer_all()
        gevent.spawn_later(BETWEEN_POLLS_S, send_and_stand_still, context)

    router.caller_listener.close_idle = close_idle_and_open
    router.app.answer_all = answer_all_and_stand_still
    stop_router(context)
    router.wait()


def send_and_stand_still(context: Context) -> None:
    """Send a request that the router cannot read before its next poll is due."""
    context.connection.send(raw_request(ROUTE_PATHS["idempotent"]))
    native_sleep(STANDSTILL_S)


@then("that request is answered in full or refused")
def check_answered_or_refused(context: Context) -> None:
    try:
        response = read_response(context.connection)
    except ConnectionError as error:
        raise AssertionError(f"no answer: {error}") from error
    assert response.startswith((b"HTTP/1.1 200 ", REFUSED_START)), response
