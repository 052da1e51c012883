"""Steps for the sums of load that zones tell each other, without a network."""

from collections import Counter

from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.loads.keys import TargetKeys
from chervilstall.edge.loads.messages import decode_message, encode_message
from chervilstall.edge.loads.receiver import LoadReceiver
from chervilstall.edge.loads.reporter import LoadReporter
from chervilstall.edge.loads.zones import SILENCE_S, ZoneSums
from chervilstall.fleet.view import FleetView
from chervilstall.ids import VmId, ZoneName
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.records import Path, PathStage
from chervilstall.platform.peers import Peer
from chervilstall.settings.option import Address
from tests.support.clock import Clock
from tests.support.model_targets import LOCAL, REMOTE, make_target

TARGET = make_target("t", REMOTE, 0, 8)
PATH = Path((PathStage(TARGET, TARGET.layers),))
TOKENS = 320.0
REQUESTS = 3


class SumRouter:
    """A router with the parts of the exchange that need no network."""

    def __init__(self, peer: Peer, zone_routers: int) -> None:
        fleet_view = FleetView(drain_s=2.0)
        fleet_view.update_target(TARGET)
        self.peer = peer
        self.chooser = PathChooser(fleet_view, peer.zone, 2, 5)
        self.chooser.zone_routers = zone_routers
        keys = TargetKeys(fleet_view)
        self.reporter = LoadReporter(peer.vm, self.chooser.load)
        self.receiver = LoadReceiver(peer.vm, self.chooser.peer_loads, keys)
        self.sums = ZoneSums(peer.vm, self.chooser, keys)

    def requests(self) -> float:
        """Return the requests that others put on the target."""
        return self.chooser.peer_loads.requests(TARGET.incarnation)


def make_peer(zone: ZoneName, number: int) -> Peer:
    """Return the entry of a router that exchanges load."""
    address = Address("10.0.0.1", 1000 + number)
    return Peer(VmId(f"{zone}-{number}"), zone, address, loads_address=address)


@given("a router that listens to one of 4 routers of another zone")
def start_zones(context: Context) -> None:
    context.clock = Clock()
    context.stoppables.append(context.clock)
    context.peers = [make_peer(LOCAL, 0)]
    context.peers += [make_peer(REMOTE, number) for number in range(4)]
    context.listener = SumRouter(context.peers[0], 1)
    context.others = [SumRouter(peer, 4) for peer in context.peers[1:]]
    for router in [context.listener, *context.others]:
        others = [peer for peer in context.peers if peer != router.peer]
        router.sums.update_sources(router.peer, others)


@when("these have 3 requests each at a target and report to each other")
def report_all(context: Context) -> None:
    for router in context.others:
        for _ in range(REQUESTS):
            router.chooser.load.add(PATH, TOKENS)
    for _ in range(4):
        context.clock.now_s += 0.3
        now_s = context.clock.now_s
        messages = [router.reporter.next_message() for router in context.others]
        for router in context.others:
            for message in messages:
                if message.vm != router.peer.vm:
                    router.receiver.handle(message, now_s)
        for sender in [context.listener, *context.others]:
            deliver_sums(context, sender, now_s)


def deliver_sums(context: Context, sender: SumRouter, now_s: float) -> None:
    """Deliver the sums of a router to all that listen to it."""
    sums = sender.sums.next_message(sender.reporter)
    if sums is None:
        return
    message = decode_message(encode_message(sums))
    for router in [context.listener, *context.others]:
        is_asked = sender.peer.vm in router.sums.sources
        assert router.sums.handle(message, now_s) == is_asked


@then("the router counts 12 requests there, of 4 routers")
def check_sums(context: Context) -> None:
    loads = context.listener.chooser.peer_loads
    assert context.listener.requests() == 12
    assert loads.tokens(TARGET.incarnation) == 12 * TOKENS
    assert loads.reporting_routers == 0
    assert loads.covered_routers == 4
    assert context.listener.chooser.estimated_tokens(TARGET.incarnation) == 12 * TOKENS


@then("it counts none 2 s after the last sums")
def check_sums_expired(context: Context) -> None:
    context.clock.now_s += 2.0
    assert context.listener.requests() == 0
    assert context.listener.chooser.peer_loads.covered_routers == 0


@then("none of the 4 counts more than the 9 requests of the others")
def check_counted_once(context: Context) -> None:
    for router in context.others:
        assert router.requests() == 9, router.requests()


@given("zones of 20, 30 and 10 routers")
def start_three_zones(context: Context) -> None:
    sizes = {"a": 20, "b": 30, "c": 10}
    context.peers = [
        make_peer(ZoneName(zone), number)
        for zone, size in sizes.items()
        for number in range(size)
    ]


@then("no router is listened to by more than 3 routers of another zone")
def check_pairs(context: Context) -> None:
    listeners: Counter[tuple[VmId, ZoneName]] = Counter()
    for peer in context.peers:
        router = SumRouter(peer, 1)
        others = [other for other in context.peers if other != peer]
        router.sums.update_sources(peer, others)
        zones = {source.zone for source in router.sums.sources.values()}
        assert zones == {ZoneName(name) for name in "abc"} - {peer.zone}
        listeners.update((vm, peer.zone) for vm in router.sums.sources)
    assert max(listeners.values()) <= 3, listeners.most_common(3)


@then("a router that hears nothing for 3 s listens to another one")
def check_passed_over(context: Context) -> None:
    clock = Clock()
    context.stoppables.append(clock)
    own, *others = context.peers
    router = SumRouter(own, 1)
    router.sums.update_sources(own, others)
    before = set(router.sums.sources)
    clock.now_s += SILENCE_S - 0.1
    router.sums.update_sources(own, others)
    assert set(router.sums.sources) == before
    clock.now_s += 0.2
    router.sums.update_sources(own, others)
    assert not before & set(router.sums.sources)
