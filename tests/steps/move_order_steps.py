"""Steps for the orders that move streams off draining targets, without a network."""

import random
from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.streams import rerouter as rerouter_module
from chervilstall.edge.streams.live_stream import LiveStream
from chervilstall.fleet.records import Target, TargetReadiness
from chervilstall.ids import RequestId
from chervilstall.paths.records import PathRequest
from chervilstall.platform.targets import OrderResponse, RepathOrder
from tests.support.clock import Clock
from tests.support.pause_model import SERVICE, RouterModel, build_targets

STEP_S = 0.025
TOKENS = 800.0


def _drain(context: Context, target: Target) -> None:
    draining = replace(
        target, state=TargetReadiness.DRAINING, revision=target.revision + 1
    )
    context.model.view.update_target(draining)


def _create_stream(context: Context) -> Target:
    """Add a stream to a router that has 30 targets; return its second one."""
    context.clock = Clock()
    context.add_cleanup(context.clock.stop)
    context.model = model = RouterModel(random.Random(3), 1)
    for target in build_targets():
        model.view.update_target(target)
    model.view.note_complete(context.clock.now_s)
    path = model.chooser.choose(SERVICE, PathRequest(TOKENS))
    assert path is not None
    request: Any = SimpleNamespace(
        request_id=RequestId("r1"),
        service=SERVICE,
        route=SimpleNamespace(is_resumable=True, gap_slo_s=0.25),
        fields=SimpleNamespace(answer_tokens=0.0),
        arrived_at_s=context.clock.now_s,
        expected_tokens=TOKENS,
        prefill_tokens=TOKENS,
    )
    none: Any = None
    stream = LiveStream(request, none, path, none, context.clock.now_s)
    stream.record_event()
    model.chooser.load.add(path, TOKENS)
    model.streams[request.request_id] = context.stream = stream
    model.rerouter.spreads_moves = lambda: True
    return path.stages[1].target


@given("a stream over a target that began to drain {since_s:g} s ago")
def create_leaving_stream(context: Context, since_s: float) -> None:
    _drain(context, _create_stream(context))
    context.model.rerouter.reroute_from_leaving()
    context.clock.now_s += since_s


@given("a stream over a target that is lost")
def create_lost_stream(context: Context) -> None:
    context.lost = _create_stream(context)
    context.model.view.suspect(context.lost, "lost", shared=False)


def _decide_moves(
    context: Context,
    send: Callable[[RepathOrder, int], OrderResponse],
    begin: Callable[[], None] = lambda: None,
) -> None:
    """Step the rerouter for 3 s; `send` answers an order, with its number."""
    context.orders = []

    def send_order(first: Target, order: RepathOrder) -> OrderResponse:
        context.orders.append(order)
        return send(order, len(context.orders))

    def run(task: Callable[..., None], *arguments: object) -> None:
        task(*arguments)

    with (
        patch.object(rerouter_module, "send_order", send_order),
        patch.object(rerouter_module.gevent, "spawn", run),
    ):
        begin()
        for _ in range(round(3.0 / STEP_S)):
            context.clock.now_s += STEP_S
            context.model.rerouter.step(context.clock.now_s)


@when("its moves are decided for 3 s, and the first {failing:d} orders fail")
def fail_orders(context: Context, failing: int) -> None:
    _decide_moves(
        context,
        lambda order, number: OrderResponse(503 if number <= failing else 200),
    )


@when("it is led around that target as the new one begins to drain, and 3 s pass")
def drain_new_target(context: Context) -> None:
    rerouter = context.model.rerouter

    def send(order: RepathOrder, number: int) -> OrderResponse:
        if number == 1:
            added = order.path.stages_added(context.stream.path)
            _drain(context, added[0].target)
            rerouter.reroute_from_leaving()
        return OrderResponse(200)

    _decide_moves(context, send, lambda: rerouter.reroute_around(context.lost))


@when("its moves are decided for 3 s, and it ends during the first order")
def end_during_order(context: Context) -> None:
    def send(order: RepathOrder, number: int) -> OrderResponse:
        model = context.model
        stream = model.streams.pop(RequestId("r1"))
        model.chooser.load.remove(stream.path, TOKENS)
        return OrderResponse(200)

    _decide_moves(context, send)
    assert len(context.orders) == 1, context.orders


@then("{count:d} orders were sent, and the stream left the target: {left}")
def check_orders(context: Context, count: int, left: str) -> None:
    assert len(context.orders) == count, len(context.orders)
    leaves = any(
        context.model.view.targets[stage.target.id].state is TargetReadiness.DRAINING
        for stage in context.stream.path.stages[1:]
    )
    assert leaves is (left == "no")


@then("no target has load")
def check_no_load(context: Context) -> None:
    assert not context.model.chooser.load.requests, context.model.chooser.load.requests
