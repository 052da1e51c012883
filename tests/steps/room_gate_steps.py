"""Steps for the gate of the admission by room."""

import dataclasses
import time
from contextlib import ExitStack
from unittest import mock

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.admission.fair_queue import FairQueue, QueuedRequest
from chervilstall.edge.peers.forwarding import Forwarding
from chervilstall.edge.room.gate import RoomGate
from chervilstall.edge.room.scale import ShareScale
from chervilstall.edge.room.view import RoomView
from chervilstall.errors import ChervilstallError
from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId, WorkspaceName
from chervilstall.paths.choice import PathChooser
from chervilstall.settings.edge import AdmissionByRoomSettings
from tests.support.model_targets import LAYERS, LOCAL, SERVICE, make_target
from tests.support.room_fleet import Reports
from tests.support.stream_requests import (
    ROUTE,
    STREAM_TOKENS,
    TIMEOUT_S,
    make_request,
)


def make_view(*layers: tuple[int, int]) -> RoomView:
    """Return the view of a single router; each target holds one range of layers."""
    fleet_view = FleetView(drain_s=2.0)
    for number, (first, end) in enumerate(layers):
        fleet_view.update_target(make_target(f"t{number}", LOCAL, first, end))
    return RoomView(PathChooser(fleet_view, LOCAL))


@given("a gate whose router's share is two streams, which both run")
def make_gate(context: Context) -> None:
    view = make_view((0, LAYERS), (0, LAYERS))
    view.chooser.router_count = 2
    context.gate = RoomGate(view, AdmissionByRoomSettings(), lambda: True)
    context.held = [ExitStack(), ExitStack()]
    for stack in context.held:
        stack.enter_context(context.gate.hold(make_request()))
    context.room = context.gate.rooms[SERVICE.name]
    context.changes = {}


@given("streams end after a tenth of a second on average")
def set_hold(context: Context) -> None:
    context.room.ledger.hold_s = 0.1


@when("another stream comes")
def send_another(context: Context) -> None:
    context.began_at_s = time.monotonic()
    try:
        with context.gate.hold(make_request()):
            context.error = None
    except ChervilstallError as error:
        context.error = error
    context.elapsed_s = time.monotonic() - context.began_at_s


@then('it is refused as "{kind}" without a wait')
def check_refused(context: Context, kind: str) -> None:
    assert context.error is not None and context.error.kind.value == kind
    assert context.error.response.status == 503
    assert context.elapsed_s < ROUTE.latency_slo_s / 4, context.elapsed_s


@then("it is to return after 0.25 s to a third of its time")
def check_retry_after(context: Context) -> None:
    assert 0.25 <= context.error.retry_after_s <= TIMEOUT_S / 3, context.error


@when("another stream comes and one ends")
def send_and_end(context: Context) -> None:
    task = gevent.spawn(send_another, context)
    gevent.sleep(0.01)
    context.held[0].close()
    task.join()


@then("the waiting stream starts")
def check_started(context: Context) -> None:
    assert context.error is None, context.error


@when("another stream comes and its caller leaves")
def send_and_leave(context: Context) -> None:
    request = make_request()

    def send() -> None:
        try:
            with context.gate.hold(request):
                raise AssertionError("the stream of a caller that left was started")
        except ChervilstallError as error:
            context.error = error

    task = gevent.spawn(send)
    gevent.sleep(0.01)
    request.cancel()
    task.get(timeout=1.0)


@then("nothing waits and two streams hold room")
def check_nothing_waits(context: Context) -> None:
    assert all(not use.queue.length for use in context.room.ledger.classes.values())
    check_two_hold(context)


@then("two streams hold room")
def check_two_hold(context: Context) -> None:
    assert context.room.ledger.tokens == 2 * STREAM_TOKENS, context.room.ledger


@when("admission is not in force")
def set_off(context: Context) -> None:
    context.gate.is_in_force = lambda: False


@when("another router forwarded the stream")
def set_forwarded(context: Context) -> None:
    context.changes["forwarding"] = Forwarding(1, 2)


@when("the stream resumes")
def set_resuming(context: Context) -> None:
    context.changes["last_event_id"] = "3"


@when("the router reaches no target")
def set_out_of_reach(context: Context) -> None:
    context.gate.is_out_of_reach = lambda service: service == SERVICE.name


def refresh(context: Context) -> None:
    """Let the next estimate see the present targets."""
    at_s = time.monotonic() + 1.0
    context.gate.view.clock = lambda: at_s


@when("no target is known")
def drop_targets(context: Context) -> None:
    context.gate.view.chooser.fleet_view.retain_targets([])
    refresh(context)


@when("a layer is held by no target")
def drop_layer(context: Context) -> None:
    fleet_view = context.gate.view.chooser.fleet_view
    for name in ("t0", "t1"):
        target = dataclasses.replace(make_target(name, LOCAL, 1, LAYERS), revision=2)
        fleet_view.update_target(target)
    refresh(context)


@when("half of the targets are gone")
def drop_half(context: Context) -> None:
    context.gate.view.chooser.fleet_view.remove_target(TargetId("t1"))
    refresh(context)


@then("another stream passes")
def check_passes(context: Context) -> None:
    with context.gate.hold(make_request(**context.changes)):
        assert context.room.ledger.tokens == 3 * STREAM_TOKENS
    check_two_hold(context)


@then("a stream starts after both have ended")
def check_starts_later(context: Context) -> None:
    send_another(context)
    assert context.error is not None
    for stack in context.held:
        stack.close()
    send_another(context)
    assert context.error is None, context.error


@given("targets that hold the first half twice and the second half once")
def make_uneven_layers(context: Context) -> None:
    half = LAYERS // 2
    context.room_view = make_view((0, half), (0, half), (half, LAYERS))
    reports = Reports(covered_routers=3, others_tokens=900.0, targets=1)
    context.room_view.peer_loads = reports
    context.room_view.chooser.router_count = 4


@then("the capacity is that of the target with the second half")
def check_bottleneck(context: Context) -> None:
    estimate = context.room_view.estimate(SERVICE)
    # 16,000 MB are free beside half of the layers, whose tokens take 0.4 MB.
    assert estimate.capacity_tokens == 40_000.0, estimate
    assert estimate.sharers == 4 and estimate.share_tokens == 10_000.0


@then("the reported tokens are those at its layer")
def check_reported(context: Context) -> None:
    estimate = context.room_view.estimate(SERVICE)
    assert estimate.used_tokens == 900.0 and estimate.reporting == 3, estimate


@when("the reports of other routers are {age_s:g} s old")
def set_age(context: Context, age_s: float) -> None:
    context.room_view.peer_loads.age_s = age_s


@then("no router counts as reporting")
def check_no_reports(context: Context) -> None:
    estimate = context.room_view.estimate(SERVICE)
    assert estimate.reporting == 0 and estimate.used_tokens == 0.0, estimate


def first_started(returns_after_s: float) -> str:
    """Return which workspace is first: one refused at 0 s, or a new one before it."""
    queue = FairQueue()
    refused, served, new = (
        WorkspaceName(each) for each in ("refused", "served", "new")
    )
    queue.keep_turn(refused, 0.0, 10.0)
    for _ in range(3):
        queue.push(QueuedRequest(served, 1.0, 1.0, lambda: True, 1.0))
        queue.start_next()
    for name in (new, refused):
        queue.push(QueuedRequest(name, 1.0, 1.0, lambda: True, returns_after_s))
    first = queue.start_next()
    assert first is not None
    return first.workspace


@then("a refused workspace that returns within 10 s goes before a new one")
def check_turn_kept(context: Context) -> None:
    assert first_started(9.9) == "refused"


@then("one that returns after 10 s does not")
def check_turn_ended(context: Context) -> None:
    # Both begin at the virtual time of the class, in order of arrival.
    assert first_started(10.1) == "new"


def pass_time(scale: ShareScale, used: float, is_short: bool, seconds: float) -> None:
    """Let answers come ten times a second."""
    start_s = scale.clock()
    with mock.patch.object(scale, "clock") as clock:
        for number in range(int(seconds * 10)):
            clock.return_value = start_s + number / 10
            scale.record_answer(is_short, None if is_short else 0.3)
            scale.note_held_back()
            scale.update(used * scale.value, False)
    end_s = start_s + seconds
    scale.clock = lambda: end_s


@then("refusals shrink the factor of a router that uses its share, down to its bound")
def check_shrinks(context: Context) -> None:
    context.scale = ShareScale(AdmissionByRoomSettings(), clock=lambda: 100.0)
    pass_time(context.scale, 1.0, False, 1.0)
    pass_time(context.scale, 1.2, True, 10.0)
    assert context.scale.value == 0.5, context.scale


@then("refusals leave the factor of a router that uses little of its share")
def check_stays(context: Context) -> None:
    scale = ShareScale(AdmissionByRoomSettings(), clock=lambda: 100.0)
    pass_time(scale, 0.4, True, 10.0)
    assert scale.value == 1.0, scale


@then("the factor grows again when targets answer as usual")
def check_grows(context: Context) -> None:
    pass_time(context.scale, 1.0, False, 30.0)
    assert context.scale.value > 1.0, context.scale
