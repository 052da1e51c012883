"""Steps for the load that routers report to each other, without a network."""

import random
from collections import Counter

from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.loads.keys import TargetKeys
from chervilstall.edge.loads.messages import LoadMessage
from chervilstall.edge.loads.receiver import LoadReceiver
from chervilstall.edge.loads.reporter import FULL_EVERY, LoadReporter
from chervilstall.fleet.records import TargetIncarnation
from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId, VmId
from chervilstall.paths import peer_loads
from chervilstall.paths.choice import PathChooser
from chervilstall.paths.peer_loads import (
    NO_LOAD,
    PeerLoads,
    RouterReport,
    TargetLoad,
)
from chervilstall.paths.records import Path, PathStage
from tests.support.clock import Clock
from tests.support.load_zone import LoadZone, ZoneCase
from tests.support.model_targets import LOCAL, make_target

CASES = {
    6: ZoneCase(2, 6, 29, 120.0),
    77: ZoneCase(26, 6, 35, 150.0),
    195: ZoneCase(65, 6, 70, 300.0),
    2100: ZoneCase(300, 6, 1043, 800.0),
}
"""Zones of 3, of 7 at 2,100 routers; fewer targets are played than a zone has."""

WINDOWS = 9
AGE_MAX_S = 2.0
INTERVAL_S = 0.4
DELAY_S = 0.01
TARGET = make_target("t", LOCAL, 0, 8)
PATH = Path((PathStage(TARGET, TARGET.layers),))
TOKENS = 640.0


@given("the model of one zone of a fleet of {routers:d} routers")
def start_model(context: Context, routers: int) -> None:
    context.zone = LoadZone(CASES[routers], seed=1)
    context.stoppables.append(context.zone)


@when("it has played for 12 s")
def play(context: Context) -> None:
    context.zone.run(12.0)


@then("in 5 samples the error of the estimated tokens is at most half of the guess's")
def check_errors(context: Context) -> None:
    for _ in range(5):
        context.zone.run(0.37)
        error, guess_error = context.zone.estimate_errors()
        assert error <= guess_error / 2, (error, guess_error)


@given("the model of one zone of a fleet of {routers:d} routers, with {seeds:d} seeds")
def note_case(context: Context, routers: int, seeds: int) -> None:
    context.case, context.seeds = CASES[routers], seeds


@when("a target is away for 2 s and comes back")
def restart_target(context: Context) -> None:
    context.shares = Counter()
    for seed in range(context.seeds):
        zone = LoadZone(context.case, seed)
        try:
            zone.run(12.0)
            zone.restart_target(2.0)
            first = int(zone.clock.now_s - zone.began_s)
            zone.run(float(WINDOWS))
        finally:
            zone.stop()
        for target in zone.targets:
            for window in range(WINDOWS):
                arrivals = zone.arrivals[target.incarnation, first + window]
                context.shares[target.id, window] += arrivals


@then("no target gets more than 1.5 times its steady share in any of 9 seconds")
def check_shares(context: Context) -> None:
    case = context.case
    steady = case.requests_per_s / case.targets * context.seeds
    place, most = max(context.shares.items(), key=lambda item: item[1])
    assert most <= 1.5 * steady, (place, most / steady)


@given("the model of a zone of 20 routers, half of whose targets are slow")
def start_mixed(context: Context) -> None:
    context.zone = LoadZone(ZoneCase(20, 6, 29, 150.0, is_mixed=True), seed=1)
    context.stoppables.append(context.zone)


@then("the fast targets are in use by at most 1.0 over 24 s, and the slow ones by 0.3")
def check_mixed(context: Context) -> None:
    zone, uses = context.zone, []
    for _ in range(24):
        zone.run(1.0)
        uses.append(zone.use("card"))
    assert max(uses) <= 1.0, uses
    assert zone.use("slow") >= 0.3, zone.use("slow")


class Pair:
    """A router that reports to another one, which has no load of its own."""

    def __init__(self, routers: int = 2) -> None:
        self.clock = Clock()
        fleet_view = FleetView(drain_s=2.0)
        fleet_view.update_target(TARGET)
        self.chooser = PathChooser(fleet_view, LOCAL, 1, routers)
        self.loads: PeerLoads = self.chooser.peer_loads
        self.keys = TargetKeys(fleet_view)
        self.receiver = LoadReceiver(VmId("b"), self.loads, self.keys)
        self.restart()
        for _ in range(2 * FULL_EVERY):
            self.deliver(self.report())
        assert self.loads.tokens(TARGET.incarnation) == TOKENS

    def restart(self) -> None:
        """Start the reporting router anew, with one request in flight."""
        sender = PathChooser(FleetView(drain_s=2.0), LOCAL)
        sender.load.add(PATH, TOKENS)
        self.sender = LoadReporter(VmId("a"), sender.load)

    def report(self) -> LoadMessage:
        """Return the next message, some time after the one before."""
        self.clock.now_s += INTERVAL_S
        return self.sender.next_message()

    def deliver(self, message: LoadMessage) -> None:
        """Let a message arrive at once, at a router whose loop runs."""
        self.clock.now_s += DELAY_S
        self.receiver.handle(message, self.clock.now_s - DELAY_S)

    def stop(self) -> None:
        """Restore the real clock."""
        self.clock.stop()


def start_pair(context: Context, routers: int) -> None:
    """Start a pair that is stopped after the scenario."""
    context.pair = Pair(routers)
    context.stoppables.append(context.pair)


@given("two routers that report to each other")
def start_two(context: Context) -> None:
    start_pair(context, 2)


@given("two routers of five that report to each other")
def start_two_of_five(context: Context) -> None:
    start_pair(context, 5)


@when("one of them {fault}")
def break_router(context: Context, fault: str) -> None:
    pair = context.pair
    context.last_at_s = pair.clock.now_s
    match fault:
        case "restarts and reports":
            pair.restart()
            pair.deliver(pair.report())
        case "is cut off and messages pile up":
            waiting = [pair.report() for _ in range(10)]
            pair.clock.now_s += AGE_MAX_S
            for message in waiting:
                pair.deliver(message)
        case "stands still with messages waiting":
            # The router that uses the figures reads on, its peer's last ones are late.
            message = pair.report()
            pair.clock.now_s += AGE_MAX_S
            pair.deliver(message)


@then("the other one uses its figures no longer than 2 s")
def check_expired(context: Context) -> None:
    pair = context.pair
    pair.clock.now_s = max(pair.clock.now_s, context.last_at_s + AGE_MAX_S)
    assert pair.loads.tokens(TARGET.incarnation) == 0.0
    assert pair.loads.requests(TARGET.incarnation) == 0.0


@then("it reports none until the first one reports again")
def check_reported_again(context: Context) -> None:
    pair = context.pair
    assert pair.loads.reporting_routers == 0
    assert pair.loads.age_s == 0.0
    for _ in range(FULL_EVERY):
        pair.deliver(pair.report())
    assert pair.loads.tokens(TARGET.incarnation) == TOKENS
    assert pair.loads.reporting_routers == 1


@then("the other one uses only the figures of the new run")
def check_new_run(context: Context) -> None:
    loads = context.pair.loads
    assert loads.tokens(TARGET.incarnation) == TOKENS
    assert loads.requests(TARGET.incarnation) == 1.0
    assert loads.reporting_routers == 1


@when("a message is lost")
def lose_message(context: Context) -> None:
    pair = context.pair
    assert pair.report().is_full
    pair.sender.load.add(PATH, TOKENS)
    assert not pair.report().is_full


@then("its figures aren't used until the next full copy")
def check_gap(context: Context) -> None:
    pair = context.pair
    message = pair.report()
    while not message.is_full:
        pair.deliver(message)
        assert pair.loads.tokens(TARGET.incarnation) == 0.0
        message = pair.report()
    pair.deliver(message)
    assert pair.loads.tokens(TARGET.incarnation) == 2 * TOKENS


@when("the loop of one stands still for 1 s and messages wait")
def stand_still(context: Context) -> None:
    pair = context.pair
    began_s = pair.clock.now_s
    message = pair.sender.next_message()
    pair.clock.now_s += 1.0
    pair.receiver.handle(message, began_s)


@then("the figures that it used next are at least 0.7 s old")
def check_old(context: Context) -> None:
    assert context.pair.loads.reporting_routers == 1
    assert 0.7 <= context.pair.loads.age_s <= AGE_MAX_S, context.pair.loads.age_s


@then("the load on a target is estimated as five halves of what is known")
def check_unseen(context: Context) -> None:
    chooser = context.pair.chooser
    assert chooser.estimated_tokens(TARGET.incarnation) == TOKENS * 5 / 2
    chooser.load.add(PATH, TOKENS)
    assert chooser.estimated_tokens(TARGET.incarnation) == 2 * TOKENS * 5 / 2


@given("a router that reports 0.4 s of queued prefill")
def report_prefill(context: Context) -> None:
    start_pair(context, 2)
    pair = context.pair
    pair.sender.load.add_prefill(TARGET.incarnation, 0.4)
    message = pair.sender.next_message()
    assert message.prefill == [40], message.prefill
    pair.deliver(message)
    context.reported_at_s = pair.clock.now_s - DELAY_S


@then("it counts as 0.3 s after 0.1 s, and as nothing after 0.5 s")
def check_prefill(context: Context) -> None:
    pair = context.pair
    for after_s, backlog_s in ((0.1, 0.3), (0.5, 0.0)):
        pair.clock.now_s = context.reported_at_s + after_s
        found_s = pair.loads.prefill_backlog_s(TARGET.incarnation)
        assert abs(found_s - backlog_s) < 0.02, (after_s, found_s)


def random_load(rng: random.Random) -> TargetLoad:
    """Return a load that may be none."""
    if rng.random() < 0.3:
        return NO_LOAD
    figures = [rng.randrange(10_000) for _ in range(4)]
    return TargetLoad(*figures)


@then("after 2,000 random reports the sums are those of the reports in use")
def check_sums(context: Context) -> None:
    rng = random.Random(5)
    clock = Clock()
    context.stoppables.append(clock)
    loads = PeerLoads()
    targets = [TargetIncarnation(TargetId(f"t{number}"), 1) for number in range(12)]
    expected: dict[VmId, tuple[float, dict[TargetIncarnation, TargetLoad]]] = {}
    for _ in range(2000):
        clock.now_s += rng.uniform(0.0, 0.3)
        vm = VmId(f"vm-{rng.randrange(9)}")
        named = {each: random_load(rng) for each in rng.sample(targets, 5)}
        oldest_s = clock.now_s - peer_loads.FRESH_S
        expected = {key: each for key, each in expected.items() if each[0] >= oldest_s}
        match rng.randrange(3):
            case 0:
                full = {each: load for each, load in named.items() if load != NO_LOAD}
                loads.replace(vm, RouterReport(clock.now_s, full))
                expected[vm] = clock.now_s, full
            case 1:
                loads.expire()
                loads.update(vm, clock.now_s, named)
                if vm in expected:
                    expected[vm] = clock.now_s, {**expected[vm][1], **named}
            case 2 if rng.random() < 0.2:
                loads.drop(vm)
                expected.pop(vm, None)
        for target in targets:
            known = [each[target] for _, each in expected.values() if target in each]
            assert loads.tokens(target) == sum(each.tokens for each in known)
            assert loads.requests(target) == sum(each.requests for each in known)
            assert loads.refusals(target) == sum(each.refusals for each in known)
    assert loads.reporting_routers == len(expected) > 0
