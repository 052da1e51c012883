"""Steps for the orders with which a router places model layers."""

import time

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.fleet.records import NO_LAYERS, LayerRange
from chervilstall.fleet.suspicion import SuspicionKind
from chervilstall.ids import TargetId, VmId, ZoneName
from chervilstall.platform.suspicions import SharedSuspicion, encode_suspicion
from chervilstall.standin.platform_fixtures import LAYERS
from chervilstall.standin.platform_target import Behaviour, PlatformTarget
from tests.support.agent_fleet import eventually
from tests.support.platform import Platform, send
from tests.support.platform_scenario import start_platform
from tests.support.router_harness import Response


@given("a platform with four empty model targets in a zone")
def add_empty_targets(context: Context) -> None:
    platform = start_platform(context)
    for number in range(4):
        platform.add_target(f"m{number}", "drafts", "ba-hall")
    context.stoppables.append(EntryUpdater(platform))


class EntryUpdater:
    """Writes the entry of each model target whenever its layers change."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.written: dict[str, LayerRange] = {}
        self.task = gevent.spawn(self._update)

    def _update(self) -> None:
        while True:
            for name, target in self.platform.targets.items():
                if self.written.get(name, NO_LAYERS) != target.layers:
                    self.written[name] = target.layers
                    self.platform.register(name, "drafts", "ba-hall")
            gevent.sleep(0.02)

    def stop(self) -> None:
        """Stop updating entries."""
        self.task.kill()


@given("one target already began orders that no entry shows")
def set_hidden_orders(context: Context) -> None:
    context.platform.targets["m2"].orders_begun = 3


@when("a router starts")
def start_router(context: Context) -> None:
    context.router = context.platform.add_router()


@when("two routers start")
def start_routers(context: Context) -> None:
    context.router = context.platform.add_router()
    context.platform.add_router("za-hall")


def holds_model(targets: list[PlatformTarget]) -> bool:
    """Return whether targets together hold every layer."""
    held = [0] * LAYERS
    for target in targets:
        for layer in range(target.layers.first, target.layers.end):
            held[layer] += 1
    return min(held) >= 1


@then("the targets hold every layer")
def check_held(context: Context) -> None:
    targets = list(context.platform.targets.values())
    eventually(lambda: holds_model(targets))
    eventually(lambda: all(len(target.layers) for target in targets))


@then("each target began one order")
def check_one_order(context: Context) -> None:
    gevent.sleep(1.5)
    begun = [target.orders_begun for target in context.platform.targets.values()]
    assert begun == [1, 1, 1, 1], begun


@then("every order named the count that its target had begun")
def check_counts(context: Context) -> None:
    check_held(context)
    orders = context.platform.targets["m2"].log.orders
    assert [order["expected"] for order in orders] == [3], orders


@when("the store {trouble} and a target dies")
def fail_store_and_target(context: Context, trouble: str) -> None:
    state = context.platform.store.state
    state.is_silent = trouble == "is silent"
    state.error_status = 503
    state.changed.set()
    # The lease expires meanwhile, but no other router can take it.
    gevent.sleep(2.5)
    targets = context.platform.targets
    irreplaceable = [
        name for name, each in targets.items() if not _is_replaceable(targets, name)
    ]
    context.dead = (irreplaceable or sorted(targets))[0]
    targets[context.dead].stop()
    target = context.router.fleet_view.targets[context.dead]
    context.router.fleet_view.suspect(target, "test")


@when("the store is silent and a target leaves")
def silence_store_and_leave(context: Context) -> None:
    state = context.platform.store.state
    state.is_silent = True
    state.changed.set()
    context.leaving = context.platform.targets["m0"]
    context.leaving.is_leaving = True
    context.leaving.behaviour = Behaviour.REFUSE


@then("the router avoids it before any request")
def check_avoided(context: Context) -> None:
    fleet_view = context.router.fleet_view
    target = fleet_view.targets[context.leaving.name]
    eventually(lambda: fleet_view.is_suspected(target))


def _is_replaceable(targets: dict[str, PlatformTarget], name: str) -> bool:
    others = [each for other, each in targets.items() if other != name]
    return holds_model(others)


@then("the remaining targets hold every layer again")
def check_remaining(context: Context) -> None:
    targets = context.platform.targets
    others = [each for name, each in targets.items() if name != context.dead]
    eventually(lambda: holds_model(others))


@then("requests are still served")
def check_served(context: Context) -> None:
    answers: list[Response] = []

    def is_served() -> bool:
        answers.append(send(context.router, "/draft/x", Token_Count="100,3"))
        return answers[-1].status == 200

    try:
        eventually(is_served)
    except AssertionError:
        fleet_view = context.router.fleet_view
        suspected = [
            name for name, t in fleet_view.targets.items() if fleet_view.is_suspected(t)
        ]
        held = {name: str(target.layers) for name, target in fleet_view.targets.items()}
        raise AssertionError(
            f"{answers[-1]}, suspected {suspected}, held {held}"
        ) from None


@when("a router of another zone suspects a healthy target")
def share_suspicion(context: Context) -> None:
    context.orders = context.router.planner.orders_sent
    target = context.router.fleet_view.targets[TargetId("m0")]
    suspect = SharedSuspicion(
        target.id,
        target.started_at_ms,
        VmId("far"),
        ZoneName("za-hall"),
        SuspicionKind.SILENT,
    )
    key = "chervilstall/suspects/m0"
    context.platform.store.state.put(key, encode_suspicion(suspect))


@then("no further order is sent")
def check_no_further(context: Context) -> None:
    ends_at_s = time.monotonic() + 1.0
    while time.monotonic() < ends_at_s:
        assert context.router.planner.orders_sent == context.orders
        gevent.sleep(0.05)
