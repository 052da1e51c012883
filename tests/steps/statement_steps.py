"""Steps for what targets said, and whose entries expire, return or are older copies."""

import dataclasses
import time
import tracemalloc

from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.limits.notices import TargetNotices
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.fleet.records import Target, TargetReadiness
from chervilstall.fleet.statements import TargetStatements
from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId, VmId
from chervilstall.platform.headers import ResponseHead
from tests.support.clock import Clock
from tests.support.model_targets import LOCAL, make_target

PAST_DRAIN_S = 4.0
PASSED_ON = ResponseHead(200, (), True, False, True, False, False, "")
"""An answer to this request, signed, of which the rest doesn't matter here."""

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
        context.fleet_view.note_leaving(context.target.incarnation, by="response")
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


@when("{count:d} other entries expire with its own and come back")
def expire_all(context: Context, count: int) -> None:
    fleet_view: FleetView = context.fleet_view
    others = [
        dataclasses.replace(context.target, id=TargetId(f"other-{number}"))
        for number in range(count)
    ]
    for target in others:
        fleet_view.update_target(target)
    expire_and_return(context)
    for target in others:
        fleet_view.remove_target(target.id)
        fleet_view.update_target(dataclasses.replace(target, revision=2))
        fleet_view.remove_target(target.id)
    fleet_view.remove_target(context.target.id)
    write_entry(context)


@when(
    "{count:d} other entries of targets that name limits expire with its own and come "
    "back"
)
def expire_all_with_limits(context: Context, count: int) -> None:
    fleet_view: FleetView = context.fleet_view
    others = [
        dataclasses.replace(context.target, id=TargetId(f"other-{number}"))
        for number in range(count)
    ]
    fleet_view.remove_target(context.target.id)
    for target in others:
        fleet_view.update_target(target)
        fleet_view.statements.note_limit(target, 10.0)
    for target in others:
        fleet_view.remove_target(target.id)
    advance(context, PAST_DRAIN_S)
    write_entry(context)


def say_over_another_router(context: Context) -> None:
    """Let an answer that says that the target leaves come over another router."""
    limiter = TargetRateLimiter(VmId("vm-1"), LOCAL)
    head = dataclasses.replace(PASSED_ON, is_leaving=True)
    notices = TargetNotices(context.fleet_view, limiter)
    notices.record_passed_on(context.target.incarnation, head, time.monotonic())


@when("its answer comes just before its entry expires and is ready again")
def answer_before_expiry(context: Context) -> None:
    say_leaving(context, "answer")
    expire_and_return(context)


@when("its answer comes just after its entry expired and it is ready again")
def answer_after_expiry(context: Context) -> None:
    advance(context, 0.0)
    context.fleet_view.remove_target(context.target.id)
    say_leaving(context, "answer")
    advance(context, PAST_DRAIN_S)
    write_entry(context)


@when("its answer comes over another router after its entry expired and came back")
def answer_over_router_after(context: Context) -> None:
    advance(context, 0.0)
    expire_and_return(context)
    say_over_another_router(context)
    advance(context, PAST_DRAIN_S)


@when("its answer comes over another router between its expiry and its return")
def answer_over_router_between(context: Context) -> None:
    advance(context, 0.0)
    context.fleet_view.remove_target(context.target.id)
    say_over_another_router(context)
    advance(context, PAST_DRAIN_S)
    write_entry(context)


@when("its entry comes back ready and then draining")
def return_ready_first(context: Context) -> None:
    say_leaving(context, "answer")
    expire_and_return(context)
    write_entry(context, state=TargetReadiness.DRAINING)


@when("its entry comes back while all entries are read anew")
def return_in_reading(context: Context) -> None:
    say_leaving(context, "answer")
    context.fleet_view.remove_target(context.target.id)
    advance(context, PAST_DRAIN_S)
    context.fleet_view.note_outage()
    write_entry(context)
    context.fleet_view.retain_targets([context.target.id])


@when("its entry comes back with the revision that it had")
def return_with_revision(context: Context) -> None:
    say_leaving(context, "answer")
    context.fleet_view.remove_target(context.target.id)
    advance(context, PAST_DRAIN_S)
    context.fleet_view.update_target(context.target)


@when("its entry changes and names no start any more")
def lose_start(context: Context) -> None:
    say_leaving(context, "answer")
    advance(context, PAST_DRAIN_S)
    write_entry(context, started_at_ms=0)


@when("its entry comes back and names no start any more")
def return_without_start(context: Context) -> None:
    say_leaving(context, "answer")
    context.fleet_view.remove_target(context.target.id)
    advance(context, PAST_DRAIN_S)
    write_entry(context, started_at_ms=0)


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


@when(
    "each of {count:d} targets names a limit, wants a pause, leaves and is replaced "
    "{times:d} times"
)
def replace_targets(context: Context, count: int, times: int) -> None:
    base = make_target("a", LOCAL, 0, 8)
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    before_bytes, _ = tracemalloc.get_traced_memory()
    context.statements = TargetStatements()
    for turn in range(times + 1):
        for number in range(count):
            target_id = TargetId(f"target-{turn}-of-zone-{number}")
            target = dataclasses.replace(base, id=target_id)
            context.statements.apply_to(target, 0.0)
            context.statements.note_limit(target, 1.0 + number)
            context.statements.note_pause(target, 2.0 + number)
            context.statements.note_leaving(target.incarnation, 3.0 + number)
            if turn < times:
                context.statements.note_gone(target)
    after_bytes, _ = tracemalloc.get_traced_memory()
    context.kept_bytes = after_bytes - before_bytes


@then("at most {count:d} statements are kept, in at most {size_mb:d} MB")
def check_bounded(context: Context, count: int, size_mb: int) -> None:
    assert len(context.statements) <= count, len(context.statements)
    assert context.kept_bytes <= size_mb * 1_000_000, context.kept_bytes
