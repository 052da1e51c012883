"""Steps for the check of the stages of silent streams, with probes that are told."""

import time
from collections import Counter
from types import SimpleNamespace

import gevent
import gevent.socket
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.streams.connect_allowance import ConnectAllowance
from chervilstall.edge.streams.live_stream import EventInterval
from chervilstall.edge.streams.stage_check import CHECK_S, StageCheck
from chervilstall.paths.records import STAGES_MAX
from chervilstall.settings.option import Address
from chervilstall.target.listener_probe import ListenerState, probe_listener
from tests.steps.standstill_steps import native_sleep
from tests.support.agent_fleet import eventually
from tests.support.clock import Clock
from tests.support.full_listener import open_full_listener

HOST = "127.0.0.1"


class FakeListeners:
    """Answers connects as told; `delay_s` and `deaf_s` are by the name of a target."""

    def __init__(self, refusing: list[str], dark: list[str]) -> None:
        self.refusing, self.dark = refusing, dark
        self.probed: Counter[str] = Counter()
        self.delay_s: dict[str, float] = {}
        self.deaf_s: dict[str, float] = {}
        self.lost: set[str] = set()
        self.without_descriptors: set[str] = set()
        self.first_at_s: dict[str, float] = {}
        self.outage_s = 0.0

    def probe(self, target: SimpleNamespace, timeout_s: float) -> ListenerState:
        name = target.id
        self.probed[name] += 1
        now_s = time.monotonic()
        since_s = now_s - self.first_at_s.setdefault(name, now_s)
        is_cut_off = now_s - min(self.first_at_s.values()) < self.outage_s
        is_lost = name in self.lost and self.probed[name] == 1
        if name in self.refusing:
            return ListenerState.REFUSES
        if name in self.without_descriptors:
            return ListenerState.UNKNOWN
        delay_s = self.delay_s.get(name, 0.0)
        is_deaf = is_lost or is_cut_off or since_s < self.deaf_s.get(name, 0.0)
        if name in self.dark or is_deaf or delay_s > timeout_s:
            gevent.sleep(timeout_s)
            return ListenerState.SILENT
        gevent.sleep(delay_s)
        return ListenerState.ACCEPTS


def _names(text: str) -> list[str]:
    return [] if text == "nobody" else text.split(",")


def _create(context: Context, stages: str, refusing: str, dark: str) -> None:
    context.crashed, context.dark = [], []
    context.targets = {
        name: SimpleNamespace(id=name, zone="near") for name in _names(stages)
    }
    targets = list(context.targets.values())
    path = SimpleNamespace(
        stages=[SimpleNamespace(target=target) for target in targets],
        first=targets[0],
    )
    context.stream = SimpleNamespace(
        path=path, silent_since_s=time.monotonic(), interval=EventInterval()
    )
    context.listeners = FakeListeners(_names(refusing), _names(dark))
    context.event_times = SimpleNamespace(
        has_event_since=lambda target, since_s: False,
        latest_at_s=lambda target: float("-inf"),
    )
    context.check = StageCheck(
        context.event_times,
        lambda target: context.crashed.append(target.id),
        lambda target: context.dark.append(target.id),
        lambda: True,
        probe=context.listeners.probe,
    )


@given("a silent stream over stages {stages}, of which {refusing} refuse connections")
def set_refusing(context: Context, stages: str, refusing: str) -> None:
    _create(context, stages, refusing, "nobody")


@given("a silent stream over stages {stages}, of which {dark} answer no connection")
def set_dark(context: Context, stages: str, dark: str) -> None:
    _create(context, stages, "nobody", dark)


@given("connects to {names} get no answer the first time")
def lose_first(context: Context, names: str) -> None:
    context.listeners.lost = set(_names(names))


@given("connects to {names} get no answer in the first {deaf_ms:d} ms")
def fill_queue(context: Context, names: str, deaf_ms: int) -> None:
    context.listeners.deaf_s = dict.fromkeys(_names(names), deaf_ms / 1e3)


@given("no target answers in the first {outage_ms:d} ms, nor does a neighbour")
def cut_off(context: Context, outage_ms: int) -> None:
    context.listeners.outage_s = outage_ms / 1e3
    neighbour = SimpleNamespace(id="other", zone="near")
    context.check.neighbours = lambda target: [neighbour]


@given("connects to {names} are answered after {delay_ms:d} ms")
def delay_answers(context: Context, names: str, delay_ms: int) -> None:
    context.listeners.delay_s = dict.fromkeys(_names(names), delay_ms / 1e3)


@given("connects to {names} fail for want of descriptors")
def exhaust_descriptors(context: Context, names: str) -> None:
    context.listeners.without_descriptors = set(_names(names))


@given("events of other streams come through {name}")
def show_life(context: Context, name: str) -> None:
    context.event_times.has_event_since = lambda target, since_s: target.id == name


@given(
    "its last event came {own_ms:d} ms ago, and one through {name} {other_ms:d} ms ago"
)
def set_events(context: Context, own_ms: int, name: str, other_ms: int) -> None:
    now_s = time.monotonic()
    context.stream.silent_since_s = now_s - own_ms / 1e3
    latest_at_s = {name: now_s - other_ms / 1e3}
    context.event_times.latest_at_s = lambda target: latest_at_s.get(target.id, 0.0)


@given("{name} is in another zone, in which {neighbours}")
def move_zone(context: Context, name: str, neighbours: str) -> None:
    context.targets[name].zone = "far"
    other = SimpleNamespace(id="other", zone="far")
    match neighbours:
        case "a target accepts":
            context.check.neighbours = lambda target: [other]
        case "no target answers":
            context.listeners.dark.append("other")
            context.check.neighbours = lambda target: [other]


@given("stages aren't to be checked")
def disable(context: Context) -> None:
    context.check.is_in_force = lambda: False


@when("its stages are checked")
def check_stages(context: Context) -> None:
    context.check.check(context.stream)
    gevent.sleep(CHECK_S + 0.06)


@when("a and c accept again")
def end_refusals(context: Context) -> None:
    context.listeners.refusing = ["b"]


@when("its stages are checked, and the loop is held for {hold_ms:d} ms")
def check_while_held(context: Context, hold_ms: int) -> None:
    context.check.check(context.stream)
    gevent.sleep(0.01)
    native_sleep(hold_ms / 1e3)
    gevent.sleep(CHECK_S + 0.06)


@then("the targets {found} count as crashed")
def check_crashed(context: Context, found: str) -> None:
    eventually(lambda: sorted(context.crashed) == _names(found))


@then("the targets {found} count as dark")
def check_dark(context: Context, found: str) -> None:
    def is_found() -> bool:
        # As the monitor does: on a busy machine a check may conclude nothing.
        context.check.check(context.stream)
        return sorted(set(context.dark)) == _names(found)

    if found == "nobody":
        assert not context.dark, context.dark
        return
    eventually(is_found)


@then("each later stage was probed once")
def check_probed(context: Context) -> None:
    later = [stage.target.id for stage in context.stream.path.stages[1:]]
    assert [context.listeners.probed[name] for name in later] == [1] * len(later)


@then("nothing was probed")
def check_not_probed(context: Context) -> None:
    assert not context.listeners.probed, context.listeners.probed


@then("{one} was probed {count:d} times and {other} {other_count:d} times")
def check_counts(
    context: Context, one: str, count: int, other: str, other_count: int
) -> None:
    probed = context.listeners.probed
    assert (probed[one], probed[other]) == (count, other_count), probed


@given("an address at which a listener {behaves}")
def add_listener(context: Context, behaves: str) -> None:
    if behaves == "has a full queue":
        context.address = open_full_listener(context)
        return
    listener = gevent.socket.socket()
    context.add_cleanup(listener.close)
    listener.bind((HOST, 0))
    context.address = Address(HOST, listener.getsockname()[1])
    if behaves == "accepts":
        listener.listen()
    else:
        listener.close()


@then("a connect to it within {timeout_ms:d} ms shows that it {state}")
def check_state(context: Context, timeout_ms: int, state: str) -> None:
    found = probe_listener(context.address, timeout_ms / 1e3)
    assert found is ListenerState(state), found


@given(
    "{routers:d} routers whose streams over {targets:d} targets are all silent for "
    "{for_s:d} s"
)
def ask_for_checks(context: Context, routers: int, targets: int, for_s: int) -> None:
    clock = Clock()
    context.add_cleanup(clock.stop)
    allowance = ConnectAllowance(lambda: targets, lambda: routers)
    context.at_once = sum(allowance.take() for _ in range(100))
    taken = context.at_once
    # The monitor has forty turns a second; each asks for more than there can be.
    for _ in range(40 * for_s):
        clock.now_s += 0.025
        taken += sum(allowance.take() for _ in range(100))
    context.per_target_s = taken * routers / targets / for_s


@then("each target gets at most {checks:d} checks a second on average")
def check_cost(context: Context, checks: int) -> None:
    assert 4.0 < context.per_target_s <= checks, context.per_target_s


@then("a router can check the stages of a path at once")
def check_burst(context: Context) -> None:
    assert context.at_once == STAGES_MAX, context.at_once
