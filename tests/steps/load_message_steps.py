"""Steps for messages about load: sizes, coding and who sends them to whom."""

import random
import zlib

import msgspec
from behave import given, then
from behave.runner import Context

from chervilstall.edge.loads.keys import TargetKeys
from chervilstall.edge.loads.messages import (
    CONTENT_MAX_BYTES,
    FORMAT,
    MESSAGE_MAX_BYTES,
    TOKENS_UNIT,
    LoadMessage,
    decode_message,
    encode_message,
)
from chervilstall.edge.loads.neighbours import (
    INTERVAL_MAX_S,
    NEIGHBOURS_MAX,
    choose_neighbours,
)
from chervilstall.edge.loads.receiver import LoadReceiver
from chervilstall.edge.loads.reporter import LoadReporter
from chervilstall.fleet.view import FleetView
from chervilstall.ids import VmId, WorkspaceName, ZoneName
from chervilstall.paths.load import LoadTracker
from chervilstall.paths.peer_loads import DemandClass, PeerLoads
from chervilstall.paths.records import Path, PathStage
from chervilstall.platform.peers import Peer, decode_peer, encode_peer, peer_key
from chervilstall.settings.option import Address
from tests.support.clock import Clock
from tests.support.load_sizes import RouterCase, measure
from tests.support.model_targets import LOCAL, REMOTE, make_target

BYTES_PER_S_ALLOWED = 14_000


@given(
    "{zones:d} zones of {routers:d} routers and {targets:d} targets,"
    " {rate:g} requests/s each"
)
def measure_router(
    context: Context, zones: int, routers: int, targets: int, rate: float
) -> None:
    context.traffic = measure(RouterCase(zones, routers, targets, rate))


@then(
    "its messages take at most 14,000 bytes/s, and each at most a quarter of the bound"
)
def check_traffic(context: Context) -> None:
    traffic = context.traffic
    bytes_per_s = traffic.bytes_per_s + traffic.sums_bytes_per_s_max
    assert bytes_per_s <= BYTES_PER_S_ALLOWED, (bytes_per_s, traffic)
    assert traffic.largest_bytes <= MESSAGE_MAX_BYTES / 4, traffic


@then("it has at least {neighbours:d} neighbours and reports at least every 1.4 s")
def check_interval(context: Context, neighbours: int) -> None:
    assert context.traffic.neighbours >= neighbours, context.traffic
    assert context.traffic.interval_s <= INTERVAL_MAX_S, context.traffic


@then("200 random reports are read as they were sent")
def check_round_trips(context: Context) -> None:
    rng = random.Random(3)
    clock = Clock()
    context.stoppables.append(clock)
    targets = [make_target(f"t{number}", LOCAL, 0, 8) for number in range(60)]
    fleet_view = FleetView(drain_s=2.0)
    for target in targets:
        fleet_view.update_target(target)
    load, loads = LoadTracker(), PeerLoads()
    reporter = LoadReporter(VmId("a"), load)
    receiver = LoadReceiver(VmId("b"), loads, TargetKeys(fleet_view))
    running: list[tuple[Path, float]] = []
    for _ in range(200):
        clock.now_s += 0.3
        for _ in range(rng.randrange(30)):
            stages = [PathStage(each, each.layers) for each in rng.sample(targets, 3)]
            tokens = float(rng.randrange(10, 3000))
            running.append((Path(tuple(stages)), tokens))
            load.add(*running[-1])
            load.add_prefill(stages[0].target.incarnation, rng.random() / 10)
            load.refusals.add(stages[1].target.incarnation)
            workspace = rng.choice([None, WorkspaceName("w"), WorkspaceName("v")])
            load.demand.add(DemandClass(rng.randrange(3), workspace))
        for _ in range(rng.randrange(len(running) + 1)):
            load.remove(*running.pop(rng.randrange(len(running))))
        sent = reporter.current_loads()
        receiver.handle(
            decode_message(encode_message(reporter.next_message())), clock.now_s
        )
        assert loads.reports[VmId("a")].loads == sent
        for target in targets:
            own = load.tokens.get(target.incarnation, 0.0)
            found = loads.tokens(target.incarnation)
            assert abs(found - own) <= TOKENS_UNIT / 2 + 1e-6, (found, own)
    clock.now_s += 1.0
    receiver.handle(decode_message(encode_message(reporter.next_message())), 0.0)
    assert loads.demand() == load.demand.counts()


def a_message(rng: random.Random) -> LoadMessage:
    """Return a message that can be read."""
    entries = rng.randrange(80)
    figures = [[rng.randrange(300) for _ in range(entries)] for _ in range(5)]
    return LoadMessage(FORMAT, "vm", 1, 2, 3, True, *figures, None)


@then("20,000 random or changed messages are refused or read, and nothing else")
def check_odd_messages(context: Context) -> None:
    rng = random.Random(7)
    read = refused = 0
    for number in range(20_000):
        data = bytearray(encode_message(a_message(rng)))
        if number % 4 == 0:
            data = bytearray(rng.randbytes(rng.randrange(200)))
            data[:1] = rng.choice([b"m", b"z", b"", b"?"])
        elif number % 4 == 1:
            data = data[: rng.randrange(len(data))]
        else:
            for _ in range(rng.randrange(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
        receiver = LoadReceiver(
            VmId("b"), PeerLoads(), TargetKeys(FleetView(drain_s=2.0))
        )
        try:
            receiver.handle(decode_message(bytes(data)), 0.0)
            read += 1
        except ValueError as error:
            assert str(error)
            refused += 1
    assert read > 100 and refused > 5000, (read, refused)


def is_refused(data: bytes) -> bool:
    """Return whether a message is refused."""
    try:
        decode_message(data)
    except ValueError:
        return True
    return False


@then("a message that grows beyond its bound once decompressed is refused")
def check_bomb(context: Context) -> None:
    data = b"z" + zlib.compress(bytes(100 * CONTENT_MAX_BYTES), 9)
    assert len(data) < MESSAGE_MAX_BYTES
    assert is_refused(data)


@then("a message larger than the bound is refused")
def check_large(context: Context) -> None:
    message = a_message(random.Random(1))
    padding = b"\0" * MESSAGE_MAX_BYTES
    assert is_refused(b"m" + msgspec.msgpack.encode(message) + padding)


@then("a message of another format is refused")
def check_format(context: Context) -> None:
    message = a_message(random.Random(1))
    other = msgspec.structs.replace(message, format=FORMAT + 1)
    assert not is_refused(encode_message(message))
    assert is_refused(encode_message(other))


def a_peer(number: int, zone: ZoneName, can_report: bool = True) -> Peer:
    """Return the entry of a router."""
    address = Address("10.0.0.1", 1000 + number)
    vm = VmId(f"{zone}-{number}-{can_report}")
    return Peer(vm, zone, address, loads_address=address if can_report else None)


@given("{routers:d} routers of a zone, and others of another zone and an older version")
def start_ring(context: Context, routers: int) -> None:
    context.ring = [a_peer(number, LOCAL) for number in range(routers)]
    others = [a_peer(number, REMOTE) for number in range(30)]
    others += [a_peer(number, LOCAL, can_report=False) for number in range(10)]
    context.peers = context.ring + others


@then("each has {count:d} neighbours, of its zone and able to report, and is theirs")
def check_ring(context: Context, count: int) -> None:
    neighbours = {
        peer.vm: choose_neighbours(peer, context.peers, NEIGHBOURS_MAX)
        for peer in context.ring
    }
    for vm, chosen in neighbours.items():
        assert len(chosen) == count, (vm, len(chosen))
        for other in chosen:
            assert vm in neighbours[other], (vm, other)


@then("entries of routers with, without and with a bad address for load are read")
def check_entries(context: Context) -> None:
    vm = VmId("vm")
    with_it, without = a_peer(1, LOCAL), a_peer(1, LOCAL, can_report=False)
    for peer in (with_it, without):
        found = decode_peer(peer_key(peer.vm), encode_peer(peer))
        assert found == peer, found
    assert b"loads" not in encode_peer(without)
    entry = msgspec.json.decode(encode_peer(with_it))
    for bad in ("nowhere", "10.0.0.1:x", "10.0.0.1:99999"):
        content = msgspec.json.encode({**entry, "loads": bad})
        found = decode_peer(peer_key(vm), content)
        assert found is not None and found.loads_address is None
        assert found.address == with_it.address
