"""Steps for the question where a request would go, at the edge router."""

import contextlib
import io
import json
import random
import time
from collections import deque
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from unittest import mock

import gevent
import msgspec
from behave import given, then, when
from behave.runner import Context

from chervilstall.commands.ctl import run_ctl
from chervilstall.commands.ctl_options import CtlCommand, Where
from chervilstall.edge.draining import DrainSchedule
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.server import EdgeServer
from chervilstall.edge.streams.relay import StreamRelay
from chervilstall.edge.where.endpoint import WhereEndpoint
from chervilstall.errors import ChervilstallError
from chervilstall.fleet.records import LayerRange, Target, TargetReadiness
from chervilstall.http_response import HttpResponse
from chervilstall.ids import PartId, ServiceName, TargetId, VmId, ZoneName
from chervilstall.paths.peer_loads import FRESH_S, RouterReport, TargetLoad
from chervilstall.platform.config import decode_configuration
from chervilstall.quarantine.records import PartKey
from chervilstall.settings.edge import (
    AdmissionByRoomSettings,
    EdgeSettings,
    FeatureMode,
    LoadExchangeSettings,
)
from chervilstall.settings.option import Address
from chervilstall.standin.platform_fixtures import (
    CALLER_HOST,
    LAYERS,
    WORKSPACE,
    build_configuration,
    build_route,
)
from chervilstall.telemetry.events import writer
from chervilstall.where_answer import WhereAnswer, WhereQuestion, parse_question
from tests.support.platform import Platform, send
from tests.support.state import describe_state

OWN_ZONE, OTHER_ZONE = ZoneName("ba-hall"), ZoneName("za-hall")
STREAM_TOKENS = 39_000
"""A copy of the model holds 40,000 tokens, so that each has room for one stream."""

PART = "part-7"
STREAM = WhereQuestion(
    CALLER_HOST,
    "/draft/x",
    workspace=WORKSPACE,
    prompt_tokens=STREAM_TOKENS - 100,
    answer_tokens=100,
    parts=(PART,),
)
PLAIN = WhereQuestion(CALLER_HOST, "/lookup/x", workspace=WORKSPACE)
QUESTIONS = {"a stream": STREAM, "a plain request": PLAIN}


def make_target(
    name: str, zone: str, first: int, end: int, service: str = "drafts"
) -> Target:
    """Return a ready target of the stand-ins' configuration."""
    return Target(
        TargetId(name),
        1,
        ServiceName(service),
        Address("127.0.0.1", 1),
        ZoneName(zone),
        TargetReadiness.READY,
        "card",
        LayerRange(first, end),
        revision=1,
    )


def build_router(config: dict | None) -> EdgeServer:
    """Return a router that is not started, with all optional decisions in force."""
    platform = Platform()
    settings = EdgeSettings(
        admission=AdmissionByRoomSettings(mode=FeatureMode.ON),
        load_exchange=LoadExchangeSettings(
            mode=FeatureMode.ON, guides_paths=FeatureMode.ON
        ),
    )
    router = EdgeServer(
        platform.node_settings(), Path("/nonexistent"), 0, edge_settings=settings
    )
    platform.store.stop()
    if config is not None:
        configuration = decode_configuration(json.dumps(config).encode())
        router.fleet_view.apply_configuration(configuration, 1)
        router.fleet_view.retain_targets([])
    router.chooser.rng = random.Random(7)
    return router


@given("a router that knows two copies of a model in its zone and one in another")
def make_router(context: Context) -> None:
    config = build_configuration()
    stream = build_route("/draft/", "streaming", "drafts", **{"target-latency-ms": 4e3})
    config["routes"] = [*config["routes"][:-1], stream]
    context.router = build_router(config)
    context.endpoint = WhereEndpoint(
        context.router.app, context.router.settings.vm, OWN_ZONE
    )
    for name, zone in (("a", OWN_ZONE), ("b", OWN_ZONE), ("z", OTHER_ZONE)):
        context.router.fleet_view.update_target(make_target(name, zone, 0, 4))
        context.router.fleet_view.update_target(make_target(name * 2, zone, 4, 8))
    context.held = ExitStack()
    context.waiting = []


@given("a plain service with three targets")
def add_plain_targets(context: Context) -> None:
    for name, zone in (("p", OWN_ZONE), ("q", OWN_ZONE), ("r", OTHER_ZONE)):
        target = make_target(name, zone, 0, 0, "lookups")
        context.router.fleet_view.update_target(target)


@given("nothing else")
def add_nothing(context: Context) -> None:
    pass


@given("reports of other routers, one of them overdue")
def add_reports(context: Context) -> None:
    peer_loads = context.router.chooser.peer_loads
    targets = context.router.fleet_view.targets
    now_s = time.monotonic()
    loads = {
        targets[TargetId(name)].incarnation: TargetLoad(tokens, 3, 40, 0)
        for name, tokens in (("a", 9_000), ("bb", 2_000), ("z", 500))
    }
    peer_loads.replace(VmId("fresh"), RouterReport(now_s - 0.2, loads))
    peer_loads.replace(VmId("old"), RouterReport(now_s - FRESH_S - 0.1, dict(loads)))


@given("a pause that has ended and a limit with old sends")
def add_limits(context: Context) -> None:
    limiter = context.router.rate_limiter
    targets = context.router.fleet_view.targets
    for paused, limited in (("a", "b"), ("p", "q")):
        limiter.record_pause(targets[TargetId(paused)], -1.0)
        limiter.apply_limit(targets[TargetId(limited)], 5.0)
        sends_s = deque([time.monotonic() - 10.0])
        limiter._sends_s[targets[TargetId(limited)].incarnation] = sends_s


def new_request(context: Context, question: WhereQuestion) -> EdgeRequest:
    configuration = context.router.fleet_view.configuration
    return context.endpoint._describe(configuration, question)[0]


@given("streams that fill the room")
def fill_room(context: Context) -> None:
    gate = context.router.app.room_gate
    # The room of the other zone counts as well, so three streams fill it.
    for _ in range(3):
        context.held.enter_context(gate.hold(new_request(context, STREAM)))
    gate.rooms[ServiceName("drafts")].ledger.hold_s = 10.0
    gate.shortage._until_s = time.monotonic() + 60.0


@given("streams that fill the room and end soon")
def fill_room_briefly(context: Context) -> None:
    fill_room(context)
    room = context.router.app.room_gate.rooms[ServiceName("drafts")]
    room.ledger.hold_s = 0.05


@given("streams that fill the room and targets that refuse others")
def fill_room_and_refuse(context: Context) -> None:
    fill_room(context)
    scale = context.router.app.room_gate.rooms[ServiceName("drafts")].scale
    scale.short_part = 0.5
    scale._stepped_at_s = float("-inf")


@given("streams that fill the room and one that waits")
def fill_room_and_wait(context: Context) -> None:
    fill_room_briefly(context)
    gate = context.router.app.room_gate

    def wait_for_room() -> None:
        with contextlib.suppress(ChervilstallError):
            with gate.hold(new_request(context, STREAM)):
                pass

    context.waiting.append(gevent.spawn(wait_for_room))
    gevent.sleep(0.01)
    use = gate.rooms[ServiceName("drafts")].ledger.classes
    assert sum(each.queue.length for each in use.values()) == 1


@given("targets of the model that can't be used, one for each reason")
def add_unusable(context: Context) -> None:
    view, limiter = context.router.fleet_view, context.router.rate_limiter
    far = ("cut", ZoneName("ke-hall"))
    names = ("draining", "empty", "gone", "limited", "paused", "refusing", "silent")
    for name, zone in (far, *((name, OWN_ZONE) for name in names)):
        view.update_target(make_target(name, zone, 0, 0 if name == "empty" else 4))
    targets = {name: view.targets[TargetId(name)] for name in (far[0], *names)}
    view.mark_zone_unreachable(far[1])
    view.suspect(targets["silent"], "test")
    for name in ("draining", "gone"):
        view.note_leaving(targets[name].incarnation, by="test")
    leaving = view.statements.leaving
    incarnation = targets["gone"].incarnation
    leaving[incarnation] = replace(leaving[incarnation], since_s=time.monotonic() - 99)
    limiter.record_pause(targets["paused"], 30.0)
    limiter.apply_limit(targets["limited"], 0.0)
    for _ in range(3):
        limiter.record_send(targets["limited"])
    context.router.chooser.load.note_full(targets["refusing"].incarnation, 60.0)


@given("{count:d} more targets that are suspected")
def add_suspected(context: Context, count: int) -> None:
    view = context.router.fleet_view
    for number in range(count):
        target = make_target(f"t{number}", OWN_ZONE, 0, 4)
        view.update_target(target)
        view.suspect(target, "test", shared=False)


@given("a model without its last layers")
def remove_layers(context: Context) -> None:
    for name in ("aa", "bb", "zz"):
        context.router.fleet_view.remove_target(TargetId(name))


@given("a part under quarantine")
def add_quarantine(context: Context) -> None:
    key = PartKey(ServiceName("drafts"), PartId(PART))
    context.router.quarantine._quarantined[key] = mock.Mock()


@given("a stop in progress")
def begin_stop(context: Context) -> None:
    context.router.app.drain = DrainSchedule.begin(time.monotonic() - 100.0, 60.0)


@given("no free descriptor")
def use_descriptors(context: Context) -> None:
    context.router.app.requests_max = 0


def router_state(context: Context) -> list:
    return [
        describe_state(context.router),
        random.getstate(),
        len(writer._lines),
    ]


def ask(context: Context, query: str) -> HttpResponse:
    context.response = context.endpoint.respond(query)
    if context.response.status == 200:
        context.answer = msgspec.json.decode(context.response.body, type=WhereAnswer)
    return context.response


@when("it is asked for {name}")
def ask_for(context: Context, name: str) -> None:
    context.question = QUESTIONS[name]
    assert parse_question(context.question.encode()) == context.question
    context.state = router_state(context)
    response = ask(context, context.question.encode())
    context.state_after = router_state(context)
    assert response.status == 200, response.body


@then("its state is as before")
def check_state(context: Context) -> None:
    assert context.state == context.state_after, find_change(
        context.state, context.state_after
    )


def find_change(before: object, after: object, way: str = "") -> str:
    """Return where two states differ first."""
    if isinstance(before, (list, tuple)) and isinstance(after, (list, tuple)):
        for number, (one, other) in enumerate(zip(before, after)):
            if one != other:
                name = one[0] if isinstance(one, tuple) and one else number
                return find_change(one, other, f"{way}.{name}")
        return f"{way}: {len(before)} and {len(after)} items"
    return f"{way}: {before!r} and {after!r}"


@then("the real decision for the same request changes it")
def check_real_decision(context: Context) -> None:
    request = new_request(context, context.question)
    if request.service.pipeline is None:
        context.router.app.plain_relay.chooser.choose(request.service, set())
    else:
        with contextlib.suppress(ChervilstallError):
            with context.router.app.room_gate.hold(request):
                StreamRelay(context.router.app.stream_context, request).paths.choose()
    assert router_state(context) != context.state_after
    for task in context.waiting:
        task.kill()


@then("4 paths are named, the first one as the real choice makes it")
def check_first_path(context: Context) -> None:
    request = new_request(context, context.question)
    chooser = replace(context.router.chooser, rng=None)
    paths = StreamRelay(context.router.app.stream_context, request).paths
    paths.chooser = chooser
    chosen = [stage.target.id for stage in paths.choose().stages]
    named = [[stage.target for stage in path.stages] for path in context.answer.paths]
    assert len(named) == 4, named
    assert named[0] == chosen, (named, chosen)
    assert len({tuple(each) for each in named}) == 4, named


@then("the parts of each cost add up to it, and the paths after the first are in order")
def check_sums(context: Context) -> None:
    paths = context.answer.paths
    for path in paths:
        total = sum(part.value for part in path.parts)
        assert abs(total - path.cost) < 0.002, path
        assert abs(sum(stage.cost for stage in path.stages) - path.cost) < 0.01, path
        names = {part.name for part in path.parts}
        assert {"random", "prefill_backlog", "memory_use", "hop"} <= names, names
        ages = {part.name: part.age_s for part in path.parts}
        assert 0.2 <= ages["memory_use"] < FRESH_S, ages
    costs = [path.cost for path in paths]
    assert costs[1:] == sorted(costs[1:]), costs


@then("the excluded targets are")
def check_excluded(context: Context) -> None:
    found = {(each.target, each.reason, each.scope) for each in context.answer.excluded}
    expected = {tuple(row.cells) for row in context.table}
    assert found == expected, found ^ expected


@then("{named:d} excluded targets are named and {more:d} are counted")
def check_bound(context: Context, named: int, more: int) -> None:
    assert len(context.answer.excluded) == named, len(context.answer.excluded)
    assert context.answer.excluded_more == more, context.answer.excluded_more


@then("the request is {outcome}, as the real one is")
def check_outcome(context: Context, outcome: str) -> None:
    admission = context.answer.admission
    outcome, _, kind = outcome.partition(" with ")
    assert admission.outcome == outcome, admission
    request = new_request(context, context.question)
    began_at_s = time.monotonic()
    try:
        with context.router.app.room_gate.hold(request):
            assert StreamRelay(context.router.app.stream_context, request)._next_path()
        assert outcome == "admitted", outcome
    except ChervilstallError as error:
        assert error.kind.name == (kind or "OVERLOADED"), error
        low_s, high_s = admission.retry_after_s
        assert low_s - 0.05 <= error.retry_after_s <= high_s + 0.05, (admission, error)
        waited_s = time.monotonic() - began_at_s
        assert (waited_s > 0.5) == (outcome == "waits"), waited_s


@then('the request is refused with status {status:d} because of "{reason}"')
def check_refused(context: Context, status: int, reason: str) -> None:
    admission = context.answer.admission
    assert admission.outcome == "refused" and admission.status == status, admission
    assert reason in admission.reason, admission


@then('a note says "{note}"')
def check_note(context: Context, note: str) -> None:
    assert note in context.answer.notes, context.answer.notes
    assert not context.answer.paths


@when('it is asked "{query}"')
def ask_query(context: Context, query: str) -> None:
    ask(context, query)


@when("it is asked a question of 1 MB")
def ask_large(context: Context) -> None:
    ask(context, "host=" + "x" * 1_000_000)


@when("a router without a configuration is asked for a stream")
def ask_early(context: Context) -> None:
    router = build_router(None)
    context.endpoint = WhereEndpoint(router.app, router.settings.vm, OWN_ZONE)
    ask(context, STREAM.encode())


@then('the status is {status:d} and the error says "{text}"')
def check_error(context: Context, status: int, text: str) -> None:
    assert context.response.status == status, context.response
    assert text in json.loads(context.response.body)["error"], context.response.body


# The operators' tool


@given("a running router with a model of two parts")
def start_router(context: Context) -> None:
    context.platform = Platform()
    context.stoppables.append(context.platform)
    context.platform.start()
    context.platform.add_target("one", "drafts", OWN_ZONE, LayerRange(0, 5))
    context.platform.add_target("two", "drafts", OWN_ZONE, LayerRange(5, LAYERS))
    context.running = context.platform.add_router(OWN_ZONE)
    context.address = str(context.running.listeners.metrics.bound_address)


def run_where(address: str, where: Where) -> tuple[int, str, str]:
    """Run the tool; return its exit code and what it printed."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = run_ctl(CtlCommand(where, router=address))
    return int(code), out.getvalue(), err.getvalue()


@when("the tool asks it on its metrics address for a stream")
def ask_with_tool(context: Context) -> None:
    context.where = Where("/draft/x", CALLER_HOST, workspace=WORKSPACE)
    code, context.printed, errors = run_where(context.address, context.where)
    assert code == 0, errors


@then("it prints the chosen path, on which the next stream goes")
def check_tool(context: Context) -> None:
    lines = context.printed.splitlines()
    assert "admitted: it is sent at once" in lines, lines
    start = next(n for n, line in enumerate(lines) if line.startswith("chosen path"))
    assert lines[start + 1].startswith("  one (ba-hall) layers 0..5:"), lines
    assert lines[start + 2].startswith("  two (ba-hall) layers 5..8:"), lines
    response = send(context.running, "/draft/x")
    assert response.status == 200, response
    assert len(context.platform.targets["one"].log.runs) == 1
    assert not context.platform.targets["two"].log.runs


@then("with --json it prints the same answer as JSON")
def check_json(context: Context) -> None:
    _, text, _ = run_where(context.address, replace(context.where, json=True))
    answer = msgspec.json.decode(text, type=WhereAnswer)
    assert [stage.target for stage in answer.paths[0].stages] == ["one", "two"]
    assert answer.route == "rdraft" and answer.service == "drafts", answer


@then("the tool ends with these exit codes")
def check_codes(context: Context) -> None:
    import cappa

    for row in context.table:
        arguments = ["--router", context.address, "where", *row["arguments"].split()]
        command = cappa.parse(CtlCommand, argv=arguments)
        code, _, errors = run_where(context.address, command.action)
        assert code == int(row["code"]), (row["arguments"], code, errors)
        assert bool(errors.startswith("error: ")) == bool(code), errors


@then("it ends with exit code 7 where no router answers")
def check_no_answer(context: Context) -> None:
    context.running.stop()
    code, _, errors = run_where(context.address, context.where)
    assert code == 7 and "doesn't answer" in errors, (code, errors)


@when("two questions come at the same time")
def ask_twice(context: Context) -> None:
    query = STREAM.encode()
    tasks = [gevent.spawn(context.endpoint.respond, query) for _ in range(2)]
    gevent.joinall(tasks)
    context.statuses = sorted(task.value.status for task in tasks)


@then("one of the two answers is a refusal with status 429")
def check_one_refused(context: Context) -> None:
    assert context.statuses == [200, 429], context.statuses


@then("the next question is answered")
def check_next(context: Context) -> None:
    assert ask(context, STREAM.encode()).status == 200
