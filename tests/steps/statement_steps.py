"""Steps for what targets said, and whose entries expire, return or are older copies."""

import dataclasses
import time

from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.fleet.records import Target, TargetReadiness
from chervilstall.fleet.view import FleetView
from chervilstall.ids import VmId
from tests.support.clock import Clock
from tests.support.model_targets import LOCAL

PAST_DRAIN_S = 4.0
REVISIONS_APART = 100


def advance(context: Context, by_s: float) -> None:
    """Let time pass on a clock that stands still from then on."""
    if "clock" not in context:
        now_s = time.monotonic()
        context.clock = Clock()
        context.clock.now_s = now_s
        context.stoppables.append(context.clock)
    context.clock.now_s += by_s
    context.fleet_view.note_complete(context.clock.now_s)


def write_entry(context: Context, **changes: object) -> None:
    """Let the view hear of another version of the target's entry."""
    context.revision = getattr(context, "revision", 1) + REVISIONS_APART
    entry = dataclasses.replace(context.target, revision=context.revision, **changes)
    context.fleet_view.update_target(entry)


def known_target(context: Context) -> Target | None:
    """Return the target as the view has it now, or None."""
    fleet_view: FleetView = context.fleet_view
    return fleet_view.targets.get(context.target.id)


@given("the target says in its {source} that it leaves")
@when("the target says in its {source} that it leaves")
def say_leaving(context: Context, source: str) -> None:
    advance(context, 0.0)
    if source == "answer":
        context.fleet_view.note_leaving(context.target)
    else:
        write_entry(context, state=TargetReadiness.DRAINING)


@given("the target's entry has counted {count:d} heartbeats")
def count_heartbeats(context: Context, count: int) -> None:
    context.target = dataclasses.replace(context.target, heartbeats=count)
    write_entry(context)


@when("its entry expires and comes back 4 s later")
def expire_and_return(context: Context) -> None:
    context.fleet_view.remove_target(context.target.id)
    advance(context, PAST_DRAIN_S)
    write_entry(context)


@when("its entry expires 500 times and comes back each time")
def expire_repeatedly(context: Context) -> None:
    for _ in range(500):
        expire_and_return(context)


def return_from_copy(context: Context, entry: Target) -> None:
    """Let the store lose some seconds, with an entry as it was at revision 1."""
    fleet_view: FleetView = context.fleet_view
    fleet_view.forget_revisions()
    fleet_view.update_target(dataclasses.replace(entry, revision=1))
    fleet_view.retain_targets([entry.id])


@when("its entry expires and the store returns from a copy")
def expire_and_restore(context: Context) -> None:
    context.fleet_view.remove_target(context.target.id)
    advance(context, PAST_DRAIN_S)
    return_from_copy(context, context.target)
    write_entry(context)


@when("its entry is ready again in a copy of an unknown era")
def restore_unnoticed(context: Context) -> None:
    advance(context, PAST_DRAIN_S)
    write_entry(context)


@given("the target starts again under the same id")
@when("the target starts again under the same id")
def start_again(context: Context) -> None:
    context.earlier = context.target
    started_at_ms = context.target.started_at_ms + 1
    context.target = dataclasses.replace(context.target, started_at_ms=started_at_ms)
    write_entry(context)


@when("the store returns from a copy with the entry of the earlier start")
def restore_earlier_start(context: Context) -> None:
    return_from_copy(context, context.earlier)


@when("the store returns from a copy that holds the entry")
def restore_gone(context: Context) -> None:
    advance(context, PAST_DRAIN_S)
    return_from_copy(context, context.target)


@when("the target writes its entry again")
def write_again(context: Context) -> None:
    write_entry(context)


@then("the target gets no work")
def check_no_work(context: Context) -> None:
    target = known_target(context)
    assert target is not None
    assert not context.fleet_view.is_usable(target), target
    assert not context.fleet_view.ready_targets(target.service)


@then("the target gets work")
def check_work(context: Context) -> None:
    target = known_target(context)
    assert target is not None
    assert target.started_at_ms == context.target.started_at_ms
    assert context.fleet_view.ready_targets(target.service) == [target]


@given(
    "the target has named a limit of {per_s:g} a second and a pause of {pause_s:g} s"
)
def name_limit(context: Context, per_s: float, pause_s: float) -> None:
    statements = getattr(context.fleet_view, "statements", None)
    given_statements = {} if statements is None else {"statements": statements}
    context.limiter = TargetRateLimiter(VmId("vm-1"), LOCAL, **given_statements)
    context.limiter.apply_limit(context.target, per_s)
    context.limiter.record_pause(context.target, pause_s)
    context.limit_per_s = per_s


@when("the state of departed targets is dropped")
def prune(context: Context) -> None:
    context.limiter.prune(set())


@then("the limit and the pause still hold")
def check_limit_kept(context: Context) -> None:
    limiter: TargetRateLimiter = context.limiter
    assert limiter.limit_per_s(context.target) == context.limit_per_s
    assert not limiter.may_send(context.target)
    assert limiter.exhausted_targets() == {context.target.id}


@then("neither holds")
def check_none_holds(context: Context) -> None:
    limiter: TargetRateLimiter = context.limiter
    assert limiter.limit_per_s(context.target) is None
    assert limiter.may_send(context.target)
    assert not limiter.exhausted_targets()
