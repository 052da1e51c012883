"""Steps for routers whose process does not run for a while."""

import gevent
from behave import given, then, when
from behave.runner import Context
from gevent.monkey import get_original

from tests.support.platform_scenario import send_draft

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
