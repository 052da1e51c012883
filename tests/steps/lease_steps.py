"""Steps about leases, on a clock that the scenario moves."""

from unittest import mock

from behave import given, then, when
from behave.runner import Context
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from chervilstall.errors import ChervilstallError
from chervilstall.lease.holder import LeaseHolder, LeaseState
from chervilstall.settings.leases import LeaseSettings
from chervilstall.standin.faults import FaultKind
from chervilstall.standin.store import MemoryStore

SETTINGS = LeaseSettings(ttl_s=6.0, margin_s=1.0)


class Clock:
    """A clock that both the store and the holders read."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


class ClockedStore(MemoryStore):
    """A store whose leases run on the scenario's clock."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock
        self.answer_delay_s = 0.0

    def acquire_lease(self, *arguments, **named):
        with mock.patch("chervilstall.standin.store.time.monotonic", self.clock):
            record = super().acquire_lease(*arguments, **named)
        self.clock.now_s += self.answer_delay_s
        return record


def new_holder(store: ClockedStore, name: str) -> LeaseHolder:
    return LeaseHolder(store, "role", name, SETTINGS, store.clock)


@given("a lease of 6 seconds held with a margin of 1 second")
def hold_lease(context: Context) -> None:
    context.clock = Clock()
    context.store = ClockedStore(context.clock)
    context.holder = new_holder(context.store, "first")
    assert context.holder.step() is LeaseState.HELD
    context.epoch = context.holder.check().epoch


@when("{seconds:d} seconds pass")
def pass_time(context: Context, seconds: int) -> None:
    context.clock.now_s += seconds


@when("4 seconds pass with renewals")
def pass_renewing(context: Context) -> None:
    for _ in range(4):
        context.clock.now_s += 1.0
        context.holder.step()


@when("8 seconds pass in a pause")
def pause(context: Context) -> None:
    context.clock.now_s += 8.0


@when("a renewal is lost after it took effect")
def lose_renewal(context: Context) -> None:
    context.clock.now_s += 2.0
    context.store.faults.arm(FaultKind.LOSE_ANSWER)
    context.holder.step()
    context.clock.now_s += 2.0


@when("renewals fail for {seconds:d} seconds")
def fail_renewals(context: Context, seconds: int) -> None:
    context.store.faults.arm(FaultKind.OUTAGE, times=seconds)
    for _ in range(seconds):
        context.clock.now_s += 1.0
        context.holder.step()


@when("a renewal takes {seconds:d} seconds to answer")
def slow_renewal(context: Context, seconds: int) -> None:
    context.store.answer_delay_s = float(seconds)
    context.holder.step()


@when("another takes the lease during a pause of {seconds:d} seconds")
def lose_lease(context: Context, seconds: int) -> None:
    context.clock.now_s += seconds
    other = new_holder(context.store, "second")
    assert other.step() is LeaseState.HELD
    context.holder.step()


@then("the holder is {state:w}")
def check_state(context: Context, state: str) -> None:
    assert context.holder.state() is LeaseState(state), context.holder.state()
    if state == "held":
        assert context.holder.check().epoch == context.epoch
        return
    try:
        context.holder.check()
    except ChervilstallError as error:
        assert error.kind.value == "lease_lost"
        return
    raise AssertionError("a lost lease passed its check")


@when("the lease lapses and is taken again")
def lapse(context: Context) -> None:
    context.clock.now_s += 8.0
    assert context.holder.step() is LeaseState.HELD


@then("the epoch is higher and the loss was counted")
def check_epoch(context: Context) -> None:
    assert context.holder.check().epoch > context.epoch
    assert context.holder.losses == 1


class LeaseMachine(RuleBasedStateMachine):
    """Three holders, any of them late, paused or without an answer."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.store = ClockedStore(self.clock)
        self.holders = [new_holder(self.store, f"h{number}") for number in range(3)]

    @rule(index=st.integers(0, 2))
    def renew(self, index: int) -> None:
        """One holder makes its call."""
        self.holders[index].step()

    @rule(seconds=st.floats(0.1, 4.0))
    def wait(self, seconds: float) -> None:
        """Time passes for all."""
        self.clock.now_s += seconds

    @rule(kind=st.sampled_from([FaultKind.LOSE_ANSWER, FaultKind.OUTAGE]))
    def disturb(self, kind: FaultKind) -> None:
        """The next call fails."""
        self.store.faults.arm(kind)

    @rule(seconds=st.floats(0.0, 7.0))
    def delay(self, seconds: float) -> None:
        """Answers take this long from now on."""
        self.store.answer_delay_s = seconds

    @invariant()
    def at_most_one_acts(self) -> None:
        """No two holders pass their check at one moment."""
        held = [item for item in self.holders if item.state() is LeaseState.HELD]
        assert len(held) <= 1, [item.holder for item in held]


@then("the lease machine holds for every sequence tried")
def run_lease_machine(context: Context) -> None:
    options = settings(
        max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
    )
    run_state_machine_as_test(LeaseMachine, settings=options)
