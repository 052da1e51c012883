"""Steps for routers that hear of the store's changes through relays."""

import time
from unittest import mock

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.exchange import CONNECT_SETTINGS
from chervilstall.edge.store_probe import StoreProbe
from chervilstall.peer.changes import Changes, ChangesNotHeld, StoreChange
from chervilstall.peer.messages import Message, Refused, ReportAnswer
from chervilstall.platform import protocol
from chervilstall.store.contract import StoreFailed
from tests.support.agent_fleet import eventually
from tests.support.model_router import LEAVING_S, SEEDS, TARGETS
from tests.support.relayed_zone import RELAYS, ROUTERS, RelayedZone, choose_among
from tests.support.store_model import ModelCase

LINK_BYTES_PER_S = 10 * 125_000.0
DRAIN_S = {77: 3.0, 195: 4.0, 2100: 3.0}
CONFIG_APPLY_S = 4.0
COMPARE_INTERVAL_S = 0.01
FAULTS = {
    "nothing else happens": "calm",
    "its relay dies": "kill_relay",
    "all relays die": "kill_relays",
    "its relay stands still for 3 s": "freeze_relay",
    "the relays hear nothing and history is lost": "deafen_relays",
    "watches that begin as history is lost hear nothing": "cut_watches",
    "all watches that begin then hear nothing, also its relays'": "cut_all_watches",
    "the relays are cut off from the store": "cut_relays",
    "the router is cut off from the store": "cut_router",
    "the store turns the router away and the configuration changes": "turn_away",
    "small configurations change in quick succession": "change_often",
    "it loses the store and asks dead relays": "lose_store_and_relays",
    "the largest configuration changes three times": "change_configuration",
}


@given("a router of a zone of 39 routers in a fleet of {routers:d}, and its relays")
def start_zone(context: Context, routers: int) -> None:
    context.drain_s = DRAIN_S[routers]
    case = ModelCase(routers, LINK_BYTES_PER_S)
    context.zones = [RelayedZone(case, context.drain_s, seed) for seed in SEEDS]
    context.stoppables += context.zones
    for zone in context.zones:
        zone.start()
    for zone in context.zones:
        targets = zone.subscriber.fleet_view.targets
        eventually(lambda targets=targets: len(targets) == TARGETS)
    gevent.sleep(1.0)


def is_told_too_much(zone: RelayedZone) -> bool:
    """Return whether the router's view is complete beyond those of its relays."""
    known_s = [each.router.fleet_view.complete_at_s for each in zone.relays.values()]
    return zone.subscriber.fleet_view.complete_at_s > max(known_s)


def compare_views(context: Context, zone: RelayedZone) -> None:
    """Note when the router's view is complete beyond those of its relays.

    Also note the longest time for which this process stood still.
    """
    while True:
        began_at_s = time.monotonic()
        gevent.sleep(COMPARE_INTERVAL_S)
        late_s = time.monotonic() - began_at_s - COMPARE_INTERVAL_S
        context.late_max_s = max(context.late_max_s, late_s)
        zone.outages += zone.subscriber.watcher.is_disconnected
        if zone.subscriber.watcher.is_relayed and is_told_too_much(zone):
            context.told_too_much.append(zone.subscriber.seed)


@when("targets of its zone leave in turn while {fault}")
def leave_beside_fault(context: Context, fault: str) -> None:
    context.told_too_much = []
    context.late_max_s = 0.0
    context.calls_before = [count_calls(zone) for zone in context.zones]
    tasks = []
    for zone in context.zones:
        zone.tasks.append(gevent.spawn(compare_views, context, zone))
        tasks.append(gevent.spawn(zone.subscriber.leave_in_turn))
        delay_s = zone.subscriber.rng.uniform(0.5, 2.0)
        tasks.append(gevent.spawn_later(delay_s, getattr(zone, FAULTS[fault])))
    gevent.joinall(tasks, raise_error=True)
    context.calls_after = [count_calls(zone) for zone in context.zones]
    gevent.sleep(context.drain_s + 1.0)


@when("its relays restart in calm while the store keeps a configuration from it")
def restart_relays(context: Context) -> None:
    tasks = [gevent.spawn(zone.restart_relays) for zone in context.zones]
    gevent.joinall(tasks, raise_error=True)
    gevent.sleep(CONFIG_APPLY_S)


def count_calls(zone: RelayedZone) -> tuple[int, int]:
    """Return the calls of the router, and those of the relay that called least."""
    relays = [relay.router.store.calls for relay in zone.relays.values()]
    return zone.subscriber.store.calls, min(relays)


@then("the router has not called the store, and its relays have")
def check_calls(context: Context) -> None:
    for before, after in zip(context.calls_before, context.calls_after, strict=True):
        own_calls = after[0] - before[0]
        relay_calls = after[1] - before[1]
        assert own_calls == 0, (before, after)
        assert relay_calls >= LEAVING_S, (before, after)


@then("none is used until less than a connect is left of the drain bound")
def check_left_in_time(context: Context) -> None:
    limit_s = context.drain_s - CONNECT_SETTINGS.connect_timeout_s
    overdue = [
        each for zone in context.zones for each in zone.subscriber.overdue(limit_s)
    ]
    assert not overdue, f"{overdue}; the process was late by {context.late_max_s:.2f} s"


@then("the router follows the store and its relays again")
def check_follows(context: Context) -> None:
    for zone in context.zones:
        router = zone.subscriber
        assert not router.watcher.is_disconnected
        configuration = router.store.values.get(protocol.CONFIG_KEY)
        if configuration is not None:
            assert router.configuration_revision == configuration.revision
        router.leave()
        latest = router.store.revision
        eventually(
            lambda router=router, latest=latest: router.watcher.revision >= latest
        )


@then("the router never took the store for lost on the way")
def check_no_outage(context: Context) -> None:
    assert not any(zone.outages for zone in context.zones)


@then("the view of the router was never complete beyond what its relays knew")
def check_complete(context: Context) -> None:
    assert not context.told_too_much, context.told_too_much


def reply_of(kind: str) -> Message:
    """Return a reply of a kind, which says nothing of what has changed."""
    match kind:
        case "a refusal":
            return Refused("not watching the store")
        case "a message of another kind":
            return ReportAnswer(True)
        case "changes that it doesn't hold":
            return ChangesNotHeld()
        case "old changes after a wait of an hour":
            gevent.sleep(0.1)
            old = StoreChange("servers/t-1", 1, None)
            return Changes(1, 0, (old,), 3_600_000, 0, 0)
        case _:
            gevent.sleep(60.0)
            raise AssertionError


@when("its relays reply with {kind}")
def reply_with(context: Context, kind: str) -> None:
    for zone in context.zones:
        for relay in zone.relays.values():
            relay.answer = lambda message: reply_of(kind)
    gevent.sleep(2.0)


@then("the router hears of a target that leaves within 1 s")
def check_hears(context: Context) -> None:
    for zone in context.zones:
        zone.subscriber.leave()
    for zone in context.zones:
        router = zone.subscriber
        latest = router.store.revision
        eventually(
            lambda router=router, latest=latest: router.watcher.revision >= latest, 1.0
        )


@then("the router knows all targets, and its view is not complete beyond now")
def check_unharmed(context: Context) -> None:
    for zone in context.zones:
        view = zone.subscriber.fleet_view
        assert len(view.targets) == TARGETS
        assert view.complete_at_s <= time.monotonic()


class SilentStore:
    """A store whose calls all fail."""

    entries_received_at_s = float("-inf")

    def recent_revision(self, key: str, timeout_s: float) -> int:
        """Fail as a call without a response does."""
        raise StoreFailed("no response")


@given("a router that lost the store and hears of it through a relay since")
def lose_store(context: Context) -> None:
    context.watcher = mock.Mock(is_relayed=False)
    context.probe = StoreProbe(SilentStore(), context.watcher, "chervilstall/vm-1")
    context.probe.step()
    context.watcher.interrupt.assert_called_once()
    context.watcher.is_relayed = True
    context.probe.step()


@when("it watches the store itself again, which is still silent")
def watch_again(context: Context) -> None:
    context.watcher.is_relayed = False
    context.probe.step()


@then("its probe interrupts the watch again")
def check_interrupted(context: Context) -> None:
    assert context.watcher.interrupt.call_count == 2


@then("its relays pause less after a change than it would")
def check_pauses(context: Context) -> None:
    for zone in context.zones:
        relay_choice = choose_among(zone.peers, ROUTERS - 1)
        assert relay_choice.is_relay
        assert relay_choice.watcher_count == RELAYS
        assert zone.choice.watcher_count == ROUTERS
