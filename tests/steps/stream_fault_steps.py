"""Steps that make the targets of a stream break, hang, fall silent or leave."""

from dataclasses import dataclass

import gevent
from behave import given, then
from behave.runner import Context

from chervilstall.edge.streams import monitor
from chervilstall.fleet.records import TargetIncarnation
from chervilstall.ids import TargetId
from chervilstall.standin.platform_target import Behaviour, PlatformTarget
from tests.support.agent_fleet import eventually
from tests.support.platform import ZONES
from tests.support.platform_scenario import (
    FIRST_PART,
    avoided_targets,
    first_targets,
    own_first,
    pause_stream,
)


@given("the first targets of the own zone would {behaviour} after {events:d} events")
def set_first_behaviour(context: Context, behaviour: str, events: int) -> None:
    target = own_first(context)
    target.behaviour = Behaviour(behaviour)
    target.events_before_fault = events


@given(
    "the first targets would break the stream after {events:d} events and lose their "
    "entries"
)
def break_and_unregister_firsts(context: Context, events: int) -> None:
    # Otherwise the planner would place the part on another target.
    context.router.planner_lease.stop()

    def unregister(target: PlatformTarget) -> None:
        eventually(lambda: target.log.runs)
        context.platform.store.state.remove(f"servers/{target.name}")

    for target in first_targets(context):
        target.behaviour = Behaviour.BREAK_STREAM
        target.events_before_fault = events
        gevent.spawn(unregister, target)


@given(
    "only the own zone holds the first part, and it would break the stream after "
    "3 events"
)
def keep_one_first(context: Context) -> None:
    set_first_behaviour(context, "break the stream", 3)
    context.platform.store.state.remove(f"servers/a-{ZONES[1]}")
    context.router.planner_lease.stop()
    eventually(lambda: len(context.router.fleet_view.targets) == 3)


@given("the first part moves to another target {after_s:g} seconds later")
def move_first_part(context: Context, after_s: float) -> None:
    platform = context.platform
    broken = own_first(context)

    def move() -> None:
        eventually(lambda: broken.log.runs)
        gevent.sleep(0.05)
        broken.stop()
        platform.store.state.remove(f"servers/{broken.name}")
        gevent.sleep(after_s)
        platform.add_target("a-new", "drafts", ZONES[0], FIRST_PART)

    context.move_task = gevent.spawn(move)


@given("no target holds the last part")
def remove_last_part(context: Context) -> None:
    for zone in ZONES:
        context.platform.store.state.remove(f"servers/b-{zone}")
    # Otherwise the planner would place the part on another target.
    context.router.planner_lease.stop()
    eventually(lambda: len(context.router.fleet_view.targets) == 2)


@given("two more first targets in the other zone that would refuse")
def add_refusing_firsts(context: Context) -> None:
    platform = context.platform
    # Their names sort before that of the serving target, among paths of equal cost.
    for name in ("a0", "a1"):
        target = platform.add_target(name, "drafts", ZONES[1], FIRST_PART)
        target.behaviour = Behaviour.REFUSE
    fleet_view = context.router.fleet_view
    eventually(lambda: len(fleet_view.targets) == 6)
    serving = fleet_view.targets[f"a-{ZONES[1]}"]
    # Load on the serving target makes the router choose it last.
    context.router.chooser.load.requests[serving.incarnation] += 20


@given("a second copy of the first part in the other zone")
def add_first_part_copy(context: Context) -> None:
    context.platform.add_target(f"c-{ZONES[1]}", "drafts", ZONES[1], FIRST_PART)
    eventually(lambda: len(context.router.fleet_view.targets) == 5)


@given("the first target of the own zone is full and queues a draft for 2 seconds")
def fill_first(context: Context) -> None:
    target = own_first(context)
    target.queued = 3
    pause_stream(target, 0, 2.0)
    context.marked_full = []
    note_full = context.router.chooser.load.note_full

    def record_full(incarnation: TargetIncarnation, for_s: float) -> None:
        context.marked_full.append(incarnation.target_id)
        note_full(incarnation, for_s)

    context.router.chooser.load.note_full = record_full


@then("new requests prefer other targets to the full one")
def check_full_avoided(context: Context) -> None:
    assert own_first(context).name in context.marked_full, context.marked_full


@given("the first target of the own zone hangs before the first event")
def hang_first(context: Context) -> None:
    target = own_first(context)
    pause_stream(target, 0, 30.0)


@given("the first targets of the other zone hang before the first event")
def hang_other_firsts(context: Context) -> None:
    for name in (f"a-{ZONES[1]}", f"c-{ZONES[1]}"):
        target = context.platform.targets[name]
        pause_stream(target, 0, 30.0)


@then("the hanging target is avoided")
def check_hanging_avoided(context: Context) -> None:
    assert avoided_targets(context) == [own_first(context).name]


@given("the first target of the own zone stops responding when it gets a draft")
def stop_first_responding(context: Context) -> None:
    target = own_first(context)
    hang_first(context)

    def stop_responding() -> None:
        eventually(lambda: target.log.runs)
        target.is_silent = True

    gevent.spawn(stop_responding)


@dataclass
class SilenceLimit:
    """Overrides the silence after which exchanges are ended, until it is stopped."""

    silence_s: float

    def __post_init__(self) -> None:
        self.before_s = monitor.SILENCE_MAX_S
        monitor.SILENCE_MAX_S = self.silence_s

    def stop(self) -> None:
        """Restore the previous limit."""
        monitor.SILENCE_MAX_S = self.before_s


@given("no stream is ended for its silence alone")
def disable_silence_limit(context: Context) -> None:
    context.stoppables.append(SilenceLimit(60.0))


@given(
    "the first target of the own zone stops sending and is suspected as unresponsive"
)
def silence_first(context: Context) -> None:
    target = own_first(context)
    pause_stream(target, 4, 30.0)
    fleet_view = context.router.fleet_view

    def suspect_first() -> None:
        eventually(lambda: target.log.runs)
        gevent.sleep(0.3)
        first = fleet_view.targets[TargetId(target.name)]
        fleet_view.suspect(first, "no connection", shared=False)

    gevent.spawn(suspect_first)


@given("every first target falls silent for {silence_s:g} seconds when it gets a draft")
def silence_firsts(context: Context, silence_s: float) -> None:
    def fall_silent(target: PlatformTarget) -> None:
        eventually(lambda: target.log.runs)
        target.is_silent = True
        gevent.sleep(silence_s)
        target.is_silent = False

    for target in first_targets(context):
        pause_stream(target, 0, silence_s)
        gevent.spawn(fall_silent, target)


@given("the first target of the other zone would {behaviour}")
def set_other_first_behaviour(context: Context, behaviour: str) -> None:
    other = context.platform.targets[f"a-{ZONES[1]}"]
    other.behaviour = Behaviour(behaviour)
