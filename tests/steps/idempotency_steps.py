"""Steps for the homes of idempotency keys, and a state machine that tests them."""

import time

import gevent
from behave import given, then, when
from behave.runner import Context
from gevent.monkey import get_original
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from chervilstall.errors import ChervilstallError
from chervilstall.idempotency.home import HomeState, SlotHome
from chervilstall.idempotency.log import LogFenced
from chervilstall.ids import Epoch, RequestId, SlotName
from chervilstall.peer.claims import (
    Claimed,
    ClaimRequest,
    Outcome,
    OutcomeReport,
    Repeated,
)
from chervilstall.settings.agents import IdempotencySettings
from chervilstall.standin.faults import FOREVER, FaultKind
from chervilstall.standin.store import MemoryStore

FAST_SETTINGS = IdempotencySettings(commit_interval_s=0.002, claim_timeout_s=0.4)
SLOT = SlotName("000")
BLOCK = get_original("time", "sleep")
"""Blocks the whole process, unlike the patched function."""

OUTCOME = Outcome(200, "application/json", b"{}")


def claim_request(key: str, request: str, **changes: object) -> ClaimRequest:
    """Return a claim, by default a later attempt.

    Its path lets first attempts run without a durable claim.
    """
    values: dict = dict(
        key=key,
        body="body",
        request=RequestId(request),
        is_first=False,
        allows_hole=True,
        wait_s=0.3,
    )
    values.update(changes)
    return ClaimRequest(**values)


def open_home(
    context: Context, epoch: int, home_settings: IdempotencySettings = FAST_SETTINGS
) -> SlotHome:
    """Open a home on the scenario's store and serve it in a task."""
    home = SlotHome(context.store, SLOT, Epoch(epoch), home_settings)
    while home.state is HomeState.OPENING:
        try:
            home.open()
        except ChervilstallError:
            gevent.sleep(0.01)
    task = gevent.spawn(home.serve)
    context.add_cleanup(task.kill)
    return home


@given("the home of a slot with a finished key and an unfinished key")
def start_home(context: Context) -> None:
    context.store = MemoryStore()
    context.home = open_home(context, 1)
    context.old_home = context.home
    for key in ("finished", "unfinished"):
        answer = context.home.claim(claim_request(key, key, is_first=True))
        assert isinstance(answer, Claimed), answer
    report = OutcomeReport("finished", RequestId("finished"), OUTCOME)
    assert context.home.report(report)
    gevent.sleep(0.05)


@when("nothing happens")
def do_nothing(context: Context) -> None:
    assert context.home.state is HomeState.SERVING


@when("a new home takes over a closed log")
def take_over_closed(context: Context) -> None:
    context.home.close()
    context.home = open_home(context, 2)


@when("a new home takes over an unclosed log")
def take_over(context: Context) -> None:
    context.home = open_home(context, 2)


@when("the store loses its next answers")
def lose_answers(context: Context) -> None:
    context.store.faults.arm(FaultKind.LOSE_ANSWER, times=2)


@when("the store becomes unreachable")
def make_store_unreachable(context: Context) -> None:
    context.store.faults.arm(FaultKind.OUTAGE, times=FOREVER)


@when("a new home takes over during stale reads")
def take_over_during_stale_reads(context: Context) -> None:
    context.store.keep_stale_copy()
    answer = context.home.claim(claim_request("late", "late", is_first=True))
    assert isinstance(answer, Claimed)
    context.store.faults.arm(FaultKind.STALE_READS, times=3)
    context.home = open_home(context, 2)
    late = context.home.claim(claim_request("late", "again"))
    assert type(late).__name__ == "InDoubt", late


@then('a retry of the finished key is answered "{kind}"')
def check_finished(context: Context, kind: str) -> None:
    answer = context.home.claim(claim_request("finished", "again"))
    assert type(answer).__name__ == kind, answer
    assert isinstance(answer, Repeated) and answer.outcome == OUTCOME


@then('a retry of the unfinished key is answered "{kind}"')
def check_unfinished(context: Context, kind: str) -> None:
    answer = context.home.claim(claim_request("unfinished", "again"))
    assert type(answer).__name__ == kind, answer


@then('a first attempt of a new key is answered "{kind}"')
def check_first_attempt(context: Context, kind: str) -> None:
    answer = context.home.claim(claim_request("new", "new", is_first=True, wait_s=1.0))
    assert type(answer).__name__ == kind, answer


@then('a later attempt of an unknown key is answered "{kind}"')
def check_later_attempt(context: Context, kind: str) -> None:
    answer = context.home.claim(claim_request("unknown", "unknown"))
    assert type(answer).__name__ == kind, answer


@then('the old home answers a new key "{kind}"')
def check_replaced_home(context: Context, kind: str) -> None:
    answer = context.old_home.claim(claim_request("other", "other", allows_hole=False))
    assert type(answer).__name__ == kind, answer


@then('the finished key with a different body is answered "{kind}"')
def check_mismatch(context: Context, kind: str) -> None:
    answer = context.home.claim(claim_request("finished", "again", body="other"))
    assert type(answer).__name__ == kind, answer


@then("the unfinished key can be claimed after its request is reported not run")
def check_freed(context: Context) -> None:
    report = OutcomeReport("unfinished", RequestId("unfinished"), None)
    assert context.home.report(report)
    answer = context.home.claim(claim_request("unfinished", "again"))
    assert isinstance(answer, Claimed), answer


@given("a home that commits every {interval_ms:d} milliseconds")
def open_slow_home(context: Context, interval_ms: int) -> None:
    context.store = MemoryStore()
    home_settings = IdempotencySettings(commit_interval_s=interval_ms / 1e3)
    context.home = open_home(context, 1, home_settings)


@when("{low:d} and then {high:d} claims per second run for {seconds:d} second each")
def run_claims(context: Context, low: int, high: int, seconds: int) -> None:
    context.writes = []
    context.intervals = []
    for rate in (low, high):
        before = context.store.calls.writes
        intervals: list[float] = []
        counting = gevent.spawn(
            count_intervals, context.home.settings.commit_interval_s, intervals
        )
        tasks = []
        for number in range(rate * seconds):
            request = claim_request(
                f"{rate}-{number}", f"{rate}-{number}", is_first=True
            )
            delay_s = number / rate
            tasks.append(gevent.spawn_later(delay_s, context.home.claim, request))
        gevent.joinall(tasks, raise_error=True)
        assert all(isinstance(task.value, Claimed) for task in tasks)
        counting.kill()
        context.writes.append(context.store.calls.writes - before)
        context.intervals.append(len(intervals))


def count_intervals(interval_s: float, began_at_s: list[float]) -> None:
    """Note each interval that a task gets in which it only sleeps.

    There are fewer in a second in which the process stands still, as for the home.
    """
    while True:
        began_at_s.append(time.monotonic())
        gevent.sleep(interval_s)


@then("the two numbers of writes per interval differ by less than half")
def check_writes_per_interval(context: Context) -> None:
    shares = [
        writes / intervals
        for writes, intervals in zip(context.writes, context.intervals)
    ]
    seen = (context.writes, context.intervals)
    assert context.writes[0] > 5 and shares[1] < shares[0] * 1.5, seen


@then("in neither time it writes more often than it commits")
def check_writes(context: Context) -> None:
    for writes, intervals in zip(context.writes, context.intervals):
        assert writes <= intervals + 1, (context.writes, context.intervals)


@given("a home with a retention of {seconds:d} second")
def open_home_with_retention(context: Context, seconds: int) -> None:
    context.store = MemoryStore()
    context.now_s = time.time()
    home_settings = IdempotencySettings(commit_interval_s=0.002, retention_s=seconds)
    context.home = SlotHome(
        context.store, SLOT, Epoch(1), home_settings, lambda: context.now_s
    )
    context.home.open()
    context.add_cleanup(gevent.spawn(context.home.serve).kill)


@when("claims are made more than {seconds:d} seconds apart and the log is cleaned")
def make_claims_expire(context: Context, seconds: int) -> None:
    for number in range(4):
        assert isinstance(
            context.home.claim(claim_request(f"k{number}", f"k{number}")), Claimed
        )
        context.now_s += seconds * 2
    context.home._clean_if_due()


@then("only recent segments remain in the store")
def check_cleaned(context: Context) -> None:
    remaining = context.store.list_entries("claims/")
    assert 1 <= len(remaining) <= 2, [entry.key for entry in remaining]
    assert context.home.key_count <= 2


class ClaimMachine(RuleBasedStateMachine):
    """Homes compete for a slot in a store that loses answers and serves stale reads.

    No key may be granted to two requests.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = MemoryStore()
        self.homes: list[SlotHome] = []
        self.tasks: list[gevent.Greenlet] = []
        self.granted: dict[str, str] = {}
        self.request_count = 0
        self.open_home()

    @rule()
    def open_home(self) -> None:
        """Open a home; the previous one may not know yet that it lost the slot."""
        home = SlotHome(self.store, SLOT, Epoch(len(self.homes) + 1), FAST_SETTINGS)
        try:
            home.open()
        except (ChervilstallError, LogFenced):
            return
        self.homes.append(home)
        self.tasks.append(gevent.spawn(home.serve))

    @rule(
        key=st.sampled_from(["a", "b", "c"]),
        uses_old_home=st.booleans(),
        finishes=st.booleans(),
    )
    def claim(self, key: str, uses_old_home: bool, finishes: bool) -> None:
        """Claim a key at the newest home or at the one before it."""
        if not self.homes:
            return
        index = -2 if uses_old_home and len(self.homes) > 1 else -1
        home = self.homes[index]
        self.request_count += 1
        request = f"r{self.request_count}"
        answer = home.claim(claim_request(key, request, allows_hole=False, wait_s=0.05))
        if not isinstance(answer, Claimed):
            return
        assert key not in self.granted, f"{key} was granted twice"
        self.granted[key] = request
        if finishes:
            home.report(OutcomeReport(key, RequestId(request), OUTCOME))

    @rule(kind=st.sampled_from([FaultKind.LOSE_ANSWER, FaultKind.STALE_READS]))
    def disturb(self, kind: FaultKind) -> None:
        """Make the next store calls lose their answers or read stale data."""
        self.store.keep_stale_copy()
        self.store.faults.arm(kind, times=2)

    def teardown(self) -> None:
        """Stop all homes."""
        gevent.killall(self.tasks)


@then("the claim state machine holds for every generated sequence")
def run_claim_machine(context: Context) -> None:
    run_state_machine_as_test(
        ClaimMachine,
        settings=settings(
            max_examples=40,
            stateful_step_count=15,
            deadline=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        ),
    )


# Bounds


@when("its event loop stands still for {stall_s:g} s while claims come")
def stall_beside_claims(context: Context, stall_s: float) -> None:
    slow_settings = IdempotencySettings(commit_interval_s=0.05, claim_timeout_s=0.3)
    home = open_home(context, 2, slow_settings)

    def claim(number: int) -> None:
        home.claim(claim_request(f"k{number}", f"r{number}", is_first=True))

    context.claims = [
        gevent.spawn_later(number / 30.0, claim, number) for number in range(30)
    ]
    context.add_cleanup(gevent.killall, context.claims)
    gevent.sleep(0.3)
    BLOCK(stall_s)


@when("its event loop stands still while a repeat waits, the outcome and a repeat come")
def stall_beside_outcome(context: Context) -> None:
    home = context.home
    report = OutcomeReport("unfinished", RequestId("unfinished"), OUTCOME)

    def repeat(number: int) -> None:
        home.claim(claim_request("unfinished", f"again{number}", wait_s=0.1))

    # All are due while the loop stands still, so one turn runs them in this order.
    first_repeat = gevent.spawn(repeat, 1)
    gevent.spawn_later(0.08, home.report, report)
    late_repeat = gevent.spawn_later(0.09, repeat, 2)
    context.claims = [first_repeat, late_repeat]
    context.add_cleanup(gevent.killall, context.claims)
    gevent.sleep(0.05)
    BLOCK(0.2)


@then("each claim is answered within {bound_s:g} s")
def check_claims_answered(context: Context, bound_s: float) -> None:
    gevent.joinall(context.claims, timeout=1.0 + bound_s)
    late = [n for n, task in enumerate(context.claims) if not task.ready()]
    assert not late, f"claims {late} were not answered"
