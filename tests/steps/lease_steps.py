"""Steps for leases, on a clock that the scenarios advance."""

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
    """A settable clock that the store and all holders read."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


class ClockedStore(MemoryStore):
    """A store whose leases expire by the scenario's clock.

    Each answer arrives `answer_delay_s` seconds after the lease was acquired.
    """

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
def acquire_lease(context: Context) -> None:
    context.clock = Clock()
    context.store = ClockedStore(context.clock)
    context.holder = new_holder(context.store, "first")
    assert context.holder.step() is LeaseState.HELD
    context.epoch = context.holder.check().epoch


@when("{seconds:d} seconds pass")
def pass_time(context: Context, seconds: int) -> None:
    context.clock.now_s += seconds


@when("4 seconds pass with renewals")
def pass_time_with_renewals(context: Context) -> None:
    for _ in range(4):
        context.clock.now_s += 1.0
        context.holder.step()


@when("the holder is paused for 8 seconds")
def pause_holder(context: Context) -> None:
    context.clock.now_s += 8.0


@when("the answer to a renewal is lost")
def lose_renewal_answer(context: Context) -> None:
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


@when("a renewal is answered after {seconds:d} seconds")
def delay_renewal_answer(context: Context, seconds: int) -> None:
    context.store.answer_delay_s = float(seconds)
    context.holder.step()


@when("another holder acquires the lease during a {seconds:d} second pause")
def lose_lease_to_other(context: Context, seconds: int) -> None:
    context.clock.now_s += seconds
    other = new_holder(context.store, "second")
    assert other.step() is LeaseState.HELD
    context.holder.step()


@then("the state of the lease is {state:w}")
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
    raise AssertionError("check() passed although the lease is not held")


@when("the lease expires and is acquired again")
def reacquire(context: Context) -> None:
    context.clock.now_s += 8.0
    assert context.holder.step() is LeaseState.HELD


@then("the epoch is higher and the loss was counted")
def check_epoch(context: Context) -> None:
    assert context.holder.check().epoch > context.epoch
    assert context.holder.losses == 1


class LeaseMachine(RuleBasedStateMachine):
    """Three holders compete for a lease while calls fail or are answered late.

    At most one of them may consider the lease held at any time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.store = ClockedStore(self.clock)
        self.holders = [new_holder(self.store, f"h{number}") for number in range(3)]

    @rule(index=st.integers(0, 2))
    def renew(self, index: int) -> None:
        """Let one holder acquire or renew."""
        self.holders[index].step()

    @rule(seconds=st.floats(0.1, 4.0))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.clock.now_s += seconds

    @rule(kind=st.sampled_from([FaultKind.LOSE_ANSWER, FaultKind.OUTAGE]))
    def disturb(self, kind: FaultKind) -> None:
        """Make the next store call fail or lose its answer."""
        self.store.faults.arm(kind)

    @rule(seconds=st.floats(0.0, 7.0))
    def delay(self, seconds: float) -> None:
        """Delay all answers from now on."""
        self.store.answer_delay_s = seconds

    @invariant()
    def at_most_one_acts(self) -> None:
        """Check that no two holders hold the lease at the same time."""
        held = [item for item in self.holders if item.state() is LeaseState.HELD]
        assert len(held) <= 1, [item.holder for item in held]


@then("the lease state machine holds for every generated sequence")
def run_lease_machine(context: Context) -> None:
    options = settings(
        max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
    )
    run_state_machine_as_test(LeaseMachine, settings=options)
