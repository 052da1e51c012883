"""Steps for the detection of a shortage of room, on a clock that is told."""

from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.room.shortage import RecentRefusals, ShortageDetector

STEP_S = 0.5


@given(
    "targets that refused {refusals:d} of {requests:d} requests within the last second"
)
def set_refusals(context: Context, refusals: int, requests: int) -> None:
    context.now_s = 100.0
    context.recent = RecentRefusals(requests, refusals)
    context.shortage = ShortageDetector(lambda: context.recent, lambda: context.now_s)
    context.is_present = context.shortage.is_present()


def _pass_time(context: Context, seconds: float, is_holding_back: bool) -> None:
    context.recent = RecentRefusals(100, 0)
    for _ in range(int(seconds / STEP_S)):
        context.now_s += STEP_S
        context.is_present = context.shortage.is_present()
        if is_holding_back and context.is_present:
            context.shortage.note_held_back()


@when("targets refuse nothing for {seconds:d} s while requests are held back")
def hold_back(context: Context, seconds: int) -> None:
    _pass_time(context, seconds, is_holding_back=True)


@when("targets refuse nothing for {seconds:d} s")
def refuse_nothing(context: Context, seconds: int) -> None:
    _pass_time(context, seconds, is_holding_back=False)


@then("there {presence} a shortage")
def check_presence(context: Context, presence: str) -> None:
    assert context.is_present == (presence == "is"), context.now_s
