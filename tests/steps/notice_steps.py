"""Steps for what targets announce in their answers, and for answers without end."""

import time

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.standin.platform_target import Behaviour
from chervilstall.target.response import SingleResponse
from tests.support.platform import BOUNDS, ZONES, send
from tests.support.platform_scenario import own_first, own_lookup

DRAFT_INTERVAL_S = 0.1


@given("the target of the own zone says in its answers that it leaves")
def announce_lookup_leaving(context: Context) -> None:
    own_lookup(context).announces_leaving = True


@when("{count:d} idempotent requests are sent one after the other")
def send_lookups(context: Context, count: int) -> None:
    for number in range(count):
        response = send(context.router, "/lookup/a", request=f"r{number}")
        assert response.status == 200, response


@then("the target of the own zone ran {count:d} of them")
def check_own_runs(context: Context, count: int) -> None:
    assert len(own_lookup(context).log.runs) == count


@then("it gets none after it has written its entry again")
def check_none_after_entry(context: Context) -> None:
    target = own_lookup(context)
    before = context.router.fleet_view.generation
    context.platform.register(target.name, "lookups", ZONES[0])
    gevent.sleep(0.5)
    assert context.router.fleet_view.generation > before
    count = len(target.log.runs)
    send_lookups(context, 6)
    assert len(target.log.runs) == count


@given("the first target of the own zone says in its answers that it leaves")
def announce_first_leaving(context: Context) -> None:
    own_first(context).announces_leaving = True


@when("drafts of {events:d} events are asked for during {duration_s:d} seconds")
def send_drafts(context: Context, events: int, duration_s: int) -> None:
    end_s = time.monotonic() + duration_s
    number = 0
    while time.monotonic() < end_s:
        number += 1
        response = send(
            context.router,
            "/draft/x",
            request=f"r{number}",
            Token_Count=f"100,{events}",
        )
        assert response.status == 200, response
        gevent.sleep(DRAFT_INTERVAL_S)


@then("that target got none later than half the drain bound after its first answer")
def check_first_left(context: Context) -> None:
    runs = own_first(context).log.runs
    assert runs
    last_s = runs[-1].received_at_s - runs[0].received_at_s
    assert last_s <= BOUNDS.drain_s / 2.0 + 0.2, last_s


# Answers without end


class ReadCounter:
    """Counts the bytes that routers read of targets' responses, until it is stopped."""

    def __init__(self) -> None:
        self.bytes_read = 0
        self.original = SingleResponse.feed

        def feed(response: SingleResponse, data: bytes) -> None:
            self.bytes_read += len(data)
            self.original(response, data)

        SingleResponse.feed = feed

    def stop(self) -> None:
        """Count no longer."""
        SingleResponse.feed = self.original


@given("the first target of the own zone would {behaviour}")
def set_first_target_behaviour(context: Context, behaviour: str) -> None:
    first = own_first(context)
    first.behaviour = Behaviour(behaviour)


@given("the bytes that the router reads are counted")
def count_read_bytes(context: Context) -> None:
    context.read_counter = ReadCounter()
    context.stoppables.append(context.read_counter)


@then("it read less than {size_mb:d} MB")
def check_read_bytes(context: Context, size_mb: int) -> None:
    assert context.read_counter.bytes_read < size_mb * 1_000_000, (
        context.read_counter.bytes_read
    )
