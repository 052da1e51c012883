"""Steps for the decisions of the quarantine, on a clock of their own."""

from dataclasses import dataclass, field

from behave import given, then, when
from behave.runner import Context

from chervilstall.ids import CrashId, PartId, ServiceName
from chervilstall.quarantine.identity import REQUEST_PREFIX
from chervilstall.quarantine.prompts import PromptQuarantine
from chervilstall.quarantine.records import (
    AnswerStage,
    ClaimTrial,
    Clear,
    CrashReport,
    LostRequest,
    PartKey,
    QuarantineAction,
    QuarantineEntry,
)
from tests.support.clock import Clock

SERVICE = ServiceName("drafts")
OTHER_SERVICE = ServiceName("summaries")
OTHER_PART = PartId("of another prompt")
BEGUN_ANSWERS = 12
REQUEST_INTERVAL_S = 10


@dataclass
class QuarantineRun:
    """A quarantine, its clock, and the actions that it asked for."""

    clock: Clock
    actions: list[QuarantineAction] = field(default_factory=list)
    crashes: int = 0

    def __post_init__(self) -> None:
        self.quarantine = PromptQuarantine(self.actions.append)
        self.began_at_s = self.clock.now_s

    def refused(self, text: str, service: ServiceName = SERVICE) -> PartId | None:
        """Return the part because of which a request is refused, or None."""
        return self.quarantine.refused_part(service, parts_of(text))


def parts_of(text: str) -> tuple[PartId, ...]:
    """Return the parts that a step names, separated by spaces."""
    return tuple(PartId(part) for part in text.split())


@given("a quarantine")
def create_quarantine(context: Context) -> None:
    clock = Clock()
    context.add_cleanup(clock.stop)
    context.run = QuarantineRun(clock)


@when('targets crash at {first_s:g}, {second_s:g} and {third_s:g} seconds on "{text}"')
def crash_targets(
    context: Context, first_s: float, second_s: float, third_s: float, text: str
) -> None:
    run = context.run
    for at_s in (first_s, second_s, third_s):
        run.clock.now_s = run.began_at_s + at_s
        run.crashes += 1
        crash = CrashId(f"t{run.crashes}@0")
        run.quarantine.record_crash(CrashReport(crash, SERVICE, parts_of(text)))


@when(
    "one target crashes at {first_s:g}, {second_s:g} and {third_s:g} seconds on "
    '"{text}" under the entry of its first start'
)
def crash_one_target(
    context: Context, first_s: float, second_s: float, third_s: float, text: str
) -> None:
    run = context.run
    for at_s in (first_s, second_s, third_s):
        run.clock.now_s = run.began_at_s + at_s
        report = CrashReport(CrashId("t@1"), SERVICE, parts_of(text))
        run.quarantine.record_crash(run.quarantine.with_begun_parts(report))


@when(
    'one target\'s crash at 1 second on "{text}" is noticed at {first_s:g}, '
    "{second_s:g} and {third_s:g} seconds"
)
def notice_late(
    context: Context, text: str, first_s: float, second_s: float, third_s: float
) -> None:
    run = context.run
    for at_s in (first_s, second_s, third_s):
        run.clock.now_s = run.began_at_s + at_s
        # An entry without a start: each start of the target has an id of its own.
        report = CrashReport(CrashId("t@0"), SERVICE, parts_of(text))
        run.quarantine.record_crash(run.quarantine.with_begun_parts(report))


@when(
    "one target crashes at {first_s:g} and {second_s:g} seconds on "
    '"{text}", each reported by both entries'
)
def report_twice(context: Context, first_s: float, second_s: float, text: str) -> None:
    run = context.run
    for at_s, entry in ((first_s, 1), (second_s, 2)):
        run.clock.now_s = run.began_at_s + at_s
        for crash in (CrashId(f"t@{entry}"), CrashId(f"t@{entry - 1}+2")):
            run.clock.now_s += 0.4
            run.quarantine.record_crash(CrashReport(crash, SERVICE, parts_of(text)))


@when(
    'targets crash on unsettled answers with "{text}" at {first_s:g}, {second_s:g}, '
    "{third_s:g} and {fourth_s:g} seconds"
)
def crash_unsettled(
    context: Context,
    text: str,
    first_s: float,
    second_s: float,
    third_s: float,
    fourth_s: float,
) -> None:
    run = context.run
    for at_s in (first_s, second_s, third_s, fourth_s):
        run.clock.now_s = run.began_at_s + at_s
        run.crashes += 1
        digest = PartId(f"{REQUEST_PREFIX}{run.crashes}")
        report = CrashReport(
            CrashId(f"t{run.crashes}@0"),
            SERVICE,
            (),
            unsettled=(LostRequest(digest, parts_of(text)),),
        )
        run.quarantine.record_crash(run.quarantine.with_begun_parts(report))


@when('answers with "{text}" settle')
def settle_answers(context: Context, text: str) -> None:
    begin_answers(context, text)


@when('answers with "{text}" begin without settling')
def begin_unsettled(context: Context, text: str) -> None:
    parts = parts_of(text)
    context.run.quarantine.record_begun(SERVICE, parts, (AnswerStage.BEGUN,))


@when('answers with "{text}" begin')
def begin_answers(context: Context, text: str) -> None:
    for _ in range(BEGUN_ANSWERS):
        context.run.quarantine.record_begun(SERVICE, (OTHER_PART, *parts_of(text)))


@when('answers with "" begin')
def begin_no_answers(context: Context) -> None:
    assert not context.run.actions


@then('{after_s:g} seconds later "{refused}" is refused and "{taken}" is not')
def check_refused(context: Context, after_s: float, refused: str, taken: str) -> None:
    context.run.clock.now_s += after_s
    assert context.run.refused(refused) == refused
    assert context.run.refused(taken) is None


@when(
    '{after_s:g} seconds later another router puts "{part}" under quarantine for '
    "crashes of the last {age_s:g} seconds"
)
def quarantine_elsewhere(
    context: Context, after_s: float, part: str, age_s: float
) -> None:
    context.run.clock.now_s += after_s
    crashes = tuple(CrashId(f"elsewhere{number}@0") for number in range(3))
    entry = QuarantineEntry(PartKey(SERVICE, PartId(part)), age_s, crashes)
    context.run.quarantine.apply_entry(entry)


@then('{after_s:g} seconds later "{text}" is served')
def check_served(context: Context, after_s: float, text: str) -> None:
    context.run.clock.now_s += after_s
    assert context.run.refused(text) is None, context.run.actions


@then("{after_s:g} seconds later nothing is refused")
def check_nothing_refused(context: Context, after_s: float) -> None:
    context.run.clock.now_s += after_s
    assert context.run.refused("shared rare") is None, context.run.actions


@when(
    '{after_s:g} seconds later requests with "{text}" are refused and a trial of '
    '"{part}" is granted'
)
def grant_trial(context: Context, after_s: float, text: str, part: str) -> None:
    run = context.run
    run.clock.now_s += after_s
    assert run.refused(text) is not None
    claims = [each for each in run.actions if isinstance(each, ClaimTrial)]
    (entry,) = [each.entry for each in claims if each.entry.key.part == part]
    run.quarantine.apply_entry(entry)
    run.quarantine.grant_trial(entry.key)


@then('a request with "{text}" is refused')
def check_one_refused(context: Context, text: str) -> None:
    assert context.run.refused(text) is not None


@then('a request with "{text}" is let through once')
def check_let_through(context: Context, text: str) -> None:
    assert context.run.refused(text) is None
    assert context.run.refused(text) == text


@when(
    "another router writes its entry again each {interval_s:d} seconds for "
    "{duration_s:d} seconds"
)
def keep_entry(context: Context, interval_s: int, duration_s: int) -> None:
    run = context.run
    (entry,) = run.quarantine.entries
    for _ in range(duration_s // interval_s):
        run.clock.now_s += interval_s
        run.quarantine.expire()
        run.quarantine.apply_entry(entry)


@then('"{part}" was released')
def check_released(context: Context, part: str) -> None:
    assert Clear(PartKey(SERVICE, PartId(part))) in context.run.actions


@then("nothing was released")
def check_not_freed(context: Context) -> None:
    assert not [each for each in context.run.actions if isinstance(each, Clear)]


@when("answers with {count:d} parts begin")
def begin_with_many(context: Context, count: int) -> None:
    context.fillers = tuple(PartId(f"a{number}") for number in range(count))
    context.run.quarantine.record_begun(SERVICE, context.fillers)


@then('a report of these and of "{part}" names "{named}"')
def check_report(context: Context, part: str, named: str) -> None:
    parts = (*context.fillers, PartId(part))
    report = CrashReport(CrashId("t@0"), SERVICE, parts)
    known = context.run.quarantine.with_begun_parts(report)
    assert named in known.parts and len(known.parts) < len(parts)
    assert PartKey(SERVICE, PartId(named)).part not in known.begun_parts


@when('an answer of another service with "{text}" begins')
def begin_at_other_service(context: Context, text: str) -> None:
    context.run.quarantine.record_begun(OTHER_SERVICE, parts_of(text))


@then('{after_s:g} seconds later "{text}" is refused at another service')
def check_refused_at_other(context: Context, after_s: float, text: str) -> None:
    context.run.clock.now_s += after_s
    assert context.run.refused(text, OTHER_SERVICE) == text


@then('{after_s:g} seconds later "{text}" is served at another service')
def check_served_at_other(context: Context, after_s: float, text: str) -> None:
    context.run.clock.now_s += after_s
    assert context.run.refused(text, OTHER_SERVICE) is None


@then('{after_s:g} seconds later one trial of "{text}" is granted there')
def check_one_trial_at_other(context: Context, after_s: float, text: str) -> None:
    run = context.run
    run.clock.now_s += after_s
    assert run.refused(text, OTHER_SERVICE) == text
    claims = [each for each in run.actions if isinstance(each, ClaimTrial)]
    (entry,) = [each.entry for each in claims if each.entry.key.service != SERVICE]
    run.quarantine.apply_entry(entry)
    run.quarantine.grant_trial(entry.key)
    assert run.refused(text, OTHER_SERVICE) is None
    assert run.refused(text, OTHER_SERVICE) == text


@when('another router claims the trial of "{part}" there and ends')
def lose_trial(context: Context, part: str) -> None:
    key = PartKey(OTHER_SERVICE, PartId(part))
    context.run.quarantine.apply_entry(QuarantineEntry(key, 0.0, trials=1))


@then(
    'within {within_s:d} seconds of requests another trial of "{part}" is asked for '
    "there"
)
def check_another_trial(context: Context, within_s: int, part: str) -> None:
    run = context.run
    run.actions.clear()
    for _ in range(within_s // REQUEST_INTERVAL_S):
        run.clock.now_s += REQUEST_INTERVAL_S
        run.quarantine.expire()
        run.refused(part, OTHER_SERVICE)
    claims = [each for each in run.actions if isinstance(each, ClaimTrial)]
    assert [each for each in claims if each.entry.key.service == OTHER_SERVICE]
