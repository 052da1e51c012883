"""Steps for streams that leave draining targets, decided without a network."""

import random
from dataclasses import dataclass, field

from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.streams.planned_moves import (
    MOVE_SHARE,
    MoveDecision,
    MoveOutlook,
    MoveSchedule,
)
from chervilstall.ids import RequestId

DRAIN_S = 3.0
STEP_S = 0.025
GAP_S = 0.07
PAUSE_MAX_S = 0.25
STAGES = 12
LEAVING = 6
HOLDERS = 2
"""Targets that hold the layers of a leaving one beside it."""

PREFILL_S = 800 / 164_000 * 8.2 * 7 / 80
"""Prefill of a mean prompt through 7 of 80 layers on the slowest accelerator."""


@dataclass
class Release:
    """Streams of many routers that leave targets, and the queues that they meet."""

    routers: int
    streams: int
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    pauses_s: list[float] = field(default_factory=list)
    last_at_s: float = 0.0

    def run(self, schedules: list[MoveSchedule] | None) -> None:
        waiting = [(index, index % self.routers) for index in range(self.streams)]
        busy_until_s = [0.0] * (LEAVING * HOLDERS)
        now_s = 0.0
        while waiting:
            staying = []
            for index, router in waiting:
                holder = self.rng.randrange(len(busy_until_s))
                wait_s = max(0.0, busy_until_s[holder] - now_s) + PREFILL_S
                if schedules is not None and not self._moves(
                    schedules[router], index, now_s
                ):
                    staying.append((index, router))
                    continue
                busy_until_s[holder] = now_s + wait_s
                self.pauses_s.append(GAP_S + wait_s)
                self.last_at_s = now_s
            waiting = staying
            now_s += STEP_S

    def _moves(self, schedule: MoveSchedule, index: int, now_s: float) -> bool:
        # A router doesn't see the prompts that others queue, only its own.
        pause_s = GAP_S + PREFILL_S
        outlook = MoveOutlook(now_s, MOVE_SHARE * DRAIN_S, None, pause_s, PAUSE_MAX_S)
        decision = schedule.decide(RequestId(f"r{index}"), outlook)
        return decision is MoveDecision.MOVE


@given(
    "{routers:d} routers with {rate:d} streams each s that last {duration:d} s, "
    "on paths over {targets:d} targets"
)
def set_release(
    context: Context, routers: int, rate: int, duration: int, targets: int
) -> None:
    per_target = rate * duration * STAGES // targets
    context.release = Release(routers, per_target * LEAVING)


@when("six targets drain at once, and streams leave them as the schedule decides")
def run_scheduled(context: Context) -> None:
    release = context.release
    release.run([MoveSchedule(random.Random(i)) for i in range(release.routers)])


@when("six targets drain at once, and streams leave them at once")
def run_at_once(context: Context) -> None:
    context.release.run(None)


@then("no stream pauses for longer than 250 ms")
def check_pauses(context: Context) -> None:
    assert max(context.release.pauses_s) <= PAUSE_MAX_S, max(context.release.pauses_s)


@then("every stream has left 0.8 of the drain bound after the targets began to drain")
def check_left(context: Context) -> None:
    assert context.release.last_at_s <= MOVE_SHARE * DRAIN_S + STEP_S


@then("more than one stream in ten pauses for longer than 250 ms")
def check_harm(context: Context) -> None:
    pauses_s = context.release.pauses_s
    late = sum(pause_s > PAUSE_MAX_S for pause_s in pauses_s)
    assert late > len(pauses_s) / 10, (late, len(pauses_s))


@given("a target that drains for {since_s:g} s of 3 s")
def set_draining(context: Context, since_s: float) -> None:
    context.schedule = MoveSchedule(random.Random(1))
    context.latest_s = MOVE_SHARE * DRAIN_S - since_s


def _decide(context: Context, now_s: float, end_s: float | None, pause_s: float):
    outlook = MoveOutlook(now_s, context.latest_s, end_s, pause_s, PAUSE_MAX_S)
    return context.schedule.decide(RequestId("r1"), outlook)


@when("a stream is expected to end after {end_s:g} s")
def expect_end(context: Context, end_s: float) -> None:
    context.decision = _decide(context, 0.0, end_s, GAP_S)


@when("a stream's move would pause it for 400 ms")
def expect_pause(context: Context) -> None:
    steps = int(context.latest_s / STEP_S)
    context.early = {
        _decide(context, step * STEP_S, None, 0.4) for step in range(steps)
    }
    context.decision = _decide(context, context.latest_s, None, 0.4)


@then("the decision is to {decision}")
def check_decision(context: Context, decision: str) -> None:
    if decision == "wait until the latest moment, and to move then":
        assert context.early == {MoveDecision.WAIT}, context.early
        decision = "move"
    assert context.decision is MoveDecision(decision), context.decision
