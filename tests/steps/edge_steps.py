"""Steps about the router on the platform."""

import http.client
import random
import time
from dataclasses import dataclass

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge import watch
from chervilstall.edge.splits import choose_service
from chervilstall.fleet.records import (
    LayerRange,
    Route,
    RouteKind,
    TargetIncarnation,
    WeightedService,
)
from chervilstall.ids import RequestId, ServiceName, TargetId
from chervilstall.standin.platform_fixtures import (
    API_KEY,
    CALLER_HOST,
    LAYERS,
    build_configuration,
    build_route,
)
from chervilstall.standin.platform_target import Behaviour, PlatformTarget
from tests.support.agent_fleet import eventually
from tests.support.platform import (
    ZONES,
    Platform,
    open_connection,
    raw_request,
    send,
)
from tests.support.router_harness import Response

PATHS = {"idempotent": "/lookup/a", "non_idempotent": "/hold/a"}


def start_platform(context: Context, config: dict | None = None) -> Platform:
    """Start a platform that ends with the scenario."""
    context.platform = Platform()
    context.stoppables.append(context.platform)
    context.platform.start(config)
    return context.platform


@given("a platform with lookups in both zones")
def lookups(context: Context) -> None:
    platform = start_platform(context)
    for zone in ZONES:
        platform.add_target(f"lookup-{zone}", "lookups", zone)
    context.router = platform.add_router()


@given("the target of the own zone would {behaviour}")
def own_target_would(context: Context, behaviour: str) -> None:
    target = context.platform.targets[f"lookup-{ZONES[0]}"]
    target.behaviour = Behaviour(behaviour)


@given("every target would {behaviour}")
def every_target_would(context: Context, behaviour: str) -> None:
    for target in context.platform.targets.values():
        target.behaviour = Behaviour(behaviour)


def avoided_targets(context: Context) -> list[str]:
    fleet_view = context.router.fleet_view
    return [
        name
        for name, each in fleet_view.targets.items()
        if fleet_view.is_suspected(each)
    ]


@then("no target is avoided")
def check_none_avoided(context: Context) -> None:
    assert not avoided_targets(context), avoided_targets(context)


@then("a target is avoided")
def check_some_avoided(context: Context) -> None:
    assert avoided_targets(context)


@given("a router with memory for {size:d} bytes of bodies")
def small_room(context: Context, size: int) -> None:
    context.router.app.bodies.bytes_max = size


@when("{count:d} requests with a {kind} body of {size:d} bytes are sent at once")
def send_bodies(context: Context, count: int, kind: str, size: int) -> None:
    def send_one(number: int) -> Response:
        whole = b"x" * size
        body = whole if kind == "whole" else iter([whole])
        return send(context.router, "/brief/x", body=body, request=f"r{number}")

    tasks = [gevent.spawn(send_one, number) for number in range(count)]
    context.responses = [task.get() for task in tasks]


@then("{served:d} of them reach a target and the others are told to come back")
def check_bodies(context: Context, served: int) -> None:
    reached = [each for each in context.responses if each.status == 504]
    refused = [each for each in context.responses if each.status == 503]
    assert len(reached) == served, context.responses
    assert len(reached) + len(refused) == len(context.responses), context.responses
    assert all("Retry-After" in each.headers for each in refused), refused


@then("all of the memory for bodies is free again")
def check_room(context: Context) -> None:
    eventually(lambda: context.router.app.bodies.used_bytes == 0)


@given("the target of the own zone has stopped")
def own_target_stopped(context: Context) -> None:
    context.platform.targets[f"lookup-{ZONES[0]}"].stop()


@given("the target of the own zone was replaced by another at its address")
def own_target_replaced(context: Context) -> None:
    context.platform.targets[f"lookup-{ZONES[0]}"].name = "somebody-else"


@when("a {kind:w} request is sent")
def send_kind(context: Context, kind: str) -> None:
    context.response = send(context.router, PATHS[kind])


@then("the answer is {status:d} and {runs:d} targets ran the request")
def check_answer(context: Context, status: int, runs: int) -> None:
    assert context.response.status == status, (
        context.response,
        context.platform.executed_request_ids(),
    )
    assert len(context.platform.executed_request_ids()) == runs, (
        context.platform.executed_request_ids()
    )
    if status == 200:
        assert context.response.body == b"answer to r1", context.response.body


@then("the answer says when to come back")
def check_return(context: Context) -> None:
    assert 0.0 < float(context.response.headers["Retry-After"]) <= 5.0 / 3.0


@when("a request with odd path, body and a forged workspace is sent")
def send_odd(context: Context) -> None:
    context.response = send(
        context.router,
        "/lookup/%7Ea%2Fb//c?x=1&&y=%20",
        body=b"\x00\xff body",
        Tenant="forged",
        X_Note="kept",
    )


@then("the target saw path, query, host and body unchanged")
def check_unchanged(context: Context) -> None:
    run = context.platform.targets[f"lookup-{ZONES[0]}"].log.runs[0]
    assert run.target == "/lookup/%7Ea%2Fb//c?x=1&&y=%20", run.target
    assert run.body == b"\x00\xff body"
    assert run.headers["host"] == CALLER_HOST
    assert run.headers["x-note"] == "kept"
    assert run.method == "POST"


@given("a route of priority {priority:d} and a workspace of priority {workspace}")
def set_priorities(context: Context, priority: int, workspace: str) -> None:
    config = build_configuration(version=2)
    config["routes"] = [
        build_route("/urgent/", "idempotent", "lookups", priority=priority)
    ]
    if workspace != "none":
        config["tenants"][0]["priority"] = int(workspace)
    context.platform.write_config(config)
    eventually(lambda: context.router.fleet_view.configuration.version == 2)


@when("a request is sent on that route")
def send_urgent(context: Context) -> None:
    context.response = send(context.router, "/urgent/a", Request_Priority="0")


@then("the target was told the priority {priority:d}")
def check_priority(context: Context, priority: int) -> None:
    assert context.response.status == 200, context.response
    runs = [run for each in context.platform.targets.values() for run in each.log.runs]
    assert [run.headers["request-priority"] for run in runs] == [str(priority)]


@then("it saw the workspace of the key and not the key")
def check_workspace(context: Context) -> None:
    run = context.platform.targets[f"lookup-{ZONES[0]}"].log.runs[0]
    assert run.headers["tenant"] == "depot"
    assert "credential" not in run.headers
    assert API_KEY not in str(run.headers)


@then("it was handed less time than the caller waits")
def check_deadline(context: Context) -> None:
    run = context.platform.targets[f"lookup-{ZONES[0]}"].log.runs[0]
    assert 4000 < int(run.headers["deadline-ms"]) <= 5000


@when("a request without a route is sent")
def send_no_route(context: Context) -> None:
    context.response = send(context.router, "/nowhere/a")


@when("a request with a wrong key is sent")
def send_wrong_key(context: Context) -> None:
    context.response = send(context.router, "/lookup/a", Credential="wrong")


@when("a body over the limit is sent")
def send_big_body(context: Context) -> None:
    context.response = send(context.router, "/lookup/a", body=b"x" * 6000)


@when("headers over the limit is sent")
def send_big_headers(context: Context) -> None:
    context.response = send(context.router, "/lookup/a", X_Big="x" * 3000)


@when("a request without a key is sent on a public route")
def send_public(context: Context) -> None:
    context.response = send(context.router, "/open/a", Credential="")


@when("a request is sent on a route with a timeout of 150 ms")
def send_brief(context: Context) -> None:
    started_s = time.monotonic()
    context.response = send(context.router, "/brief/a")
    context.elapsed_s = time.monotonic() - started_s


@then("the answer is {status:d} within {most_ms:d} ms")
def check_within(context: Context, status: int, most_ms: int) -> None:
    assert context.response.status == status, context.response
    assert context.elapsed_s * 1e3 < most_ms, context.elapsed_s


@given("a store that answers nobody")
def failing_store(context: Context) -> None:
    start_platform(context).store.state.error_status = 503


@when("a router starts and a request is sent")
def start_and_send(context: Context) -> None:
    context.router = context.platform.add_router(wait=False)
    context.response = send(context.router, "/lookup/a")


@given("a store that takes {delay_ms:d} ms for an answer")
def slow_store(context: Context, delay_ms: int) -> None:
    context.platform.store.state.delay_s = delay_ms / 1e3


@when("another request is sent")
def send_another(context: Context) -> None:
    started_s = time.monotonic()
    context.response = send(context.router, "/lookup/a", request="r2")
    context.elapsed_s = time.monotonic() - started_s


@then("the router is not ready")
@then("it is not ready at once")
def check_not_ready(context: Context) -> None:
    address = context.router.ready.bound_address
    connection = http.client.HTTPConnection(address.host, address.port, timeout=5)
    connection.request("GET", "/chervilstall/readyz")
    status = connection.getresponse().status
    connection.close()
    assert status == 503, status


@then("2000 requests are divided 90 to 10 within 3 in 100, each always alike")
def check_split(context: Context) -> None:
    parts = (
        WeightedService(ServiceName("many"), 90.0),
        WeightedService(ServiceName("few"), 10.0),
    )
    kind = RouteKind.IDEMPOTENT
    split = Route("r", "h", "/", kind, parts, 1.0, 1.0, 1.0, 1, 1, False, False)
    rng = random.Random(5)
    names = [RequestId(f"{rng.getrandbits(64):x}") for _ in range(2000)]
    chosen = [choose_service(split, name) for name in names]
    assert chosen == [choose_service(split, name) for name in names]
    share = chosen.count(ServiceName("few")) / len(names)
    assert 0.07 < share < 0.13, share


# Streams


def add_model(platform: Platform) -> None:
    """Add two parts of a model in each zone."""
    half = LAYERS // 2
    for zone in ZONES:
        platform.add_target(f"a-{zone}", "drafts", zone, LayerRange(0, half))
        platform.add_target(f"b-{zone}", "drafts", zone, LayerRange(half, LAYERS))


@given("a platform with a model in parts in both zones")
def model(context: Context) -> None:
    platform = start_platform(context)
    add_model(platform)
    context.router = platform.add_router()


@given("a platform whose drafts may not be resumed")
def model_without_resume(context: Context) -> None:
    draft = build_route("/draft/", "streaming", "drafts", resumable=False)
    platform = start_platform(context, build_configuration(routes=[draft]))
    add_model(platform)
    context.router = platform.add_router()


@given("the first targets of the own zone would {behaviour} after {events:d} events")
def first_would(context: Context, behaviour: str, events: int) -> None:
    target = context.platform.targets[f"a-{ZONES[0]}"]
    target.behaviour = Behaviour(behaviour)
    target.events_before_fault = events


@given("a second copy of the last part in the own zone")
def second_copy(context: Context) -> None:
    layers = LayerRange(LAYERS // 2, LAYERS)
    context.platform.add_target(f"c-{ZONES[0]}", "drafts", ZONES[0], layers)
    fleet_view = context.router.fleet_view
    eventually(lambda: len(fleet_view.targets) == 5)


@given(
    "only the own zone holds the first part, and it would break the stream after "
    "3 events"
)
def only_first(context: Context) -> None:
    first_would(context, "break the stream", 3)
    context.platform.store.state.remove(f"servers/a-{ZONES[1]}")
    context.router.planner_lease.stop()
    eventually(lambda: len(context.router.fleet_view.targets) == 3)


@given("the first part moves to another target {after_s:g} seconds later")
def first_moves(context: Context, after_s: float) -> None:
    platform = context.platform
    broken = platform.targets[f"a-{ZONES[0]}"]

    def move() -> None:
        eventually(lambda: broken.log.runs)
        gevent.sleep(0.05)
        broken.stop()
        platform.store.state.remove(f"servers/a-{ZONES[0]}")
        gevent.sleep(after_s)
        layers = LayerRange(0, LAYERS // 2)
        platform.add_target("a-new", "drafts", ZONES[0], layers)

    context.mover = gevent.spawn(move)


@given("two more first parts in the other zone that would refuse")
def refusing_firsts(context: Context) -> None:
    platform = context.platform
    # They come before the sound one in every order of equal paths.
    for name in ("a0", "a1"):
        layers = LayerRange(0, LAYERS // 2)
        target = platform.add_target(f"{name}", "drafts", ZONES[1], layers)
        target.behaviour = Behaviour.REFUSE
    fleet_view = context.router.fleet_view
    eventually(lambda: len(fleet_view.targets) == 6)
    sound = fleet_view.targets[f"a-{ZONES[1]}"]
    # A used target is chosen after unused ones.
    context.router.chooser.load.requests[sound.incarnation] += 20


@given("the first target stalls on the last part after {events:d} events")
def first_stalls(context: Context, events: int) -> None:
    platform = context.platform
    first = platform.targets[f"a-{ZONES[0]}"]
    first.behaviour = Behaviour.STALL_STREAM
    first.events_before_fault = events
    context.stalled_on = platform.targets[f"b-{ZONES[0]}"]
    first.stalled_on = str(context.stalled_on.address)
    # The path that the router prefers is the one that will stall.
    copy = context.router.fleet_view.targets.get(TargetId(f"c-{ZONES[0]}"))
    if copy is not None:
        context.router.chooser.load.note_full(copy.incarnation, 0.3)


@when("a draft of {events:d} events is asked for and a part of its path {changes}")
def change_under_draft(context: Context, events: int, changes: str) -> None:
    first = own_first(context)

    def change() -> None:
        eventually(lambda: first.log.runs)
        path = first.log.runs[0].headers["hop-count"]
        name = next(
            name
            for name, target in context.platform.targets.items()
            if path.endswith(f"{target.address}={LAYERS // 2}-{LAYERS}")
        )
        target = context.platform.targets[name]
        if changes == "leaves":
            context.platform.register(name, "drafts", ZONES[0], state="draining")
            return
        target.layers = LayerRange(LAYERS // 2, LAYERS - 1)
        context.platform.register(name, "drafts", ZONES[0])

    changing = gevent.spawn(change)
    ask_draft(context, events)
    changing.get()


@then("the stream {moves} that target")
def check_moves(context: Context, moves: str) -> None:
    orders = own_first(context).log.orders
    assert bool(orders) == (moves == "is led around"), orders


@given("the first target stalls on itself after {events:d} events")
def first_stalls_itself(context: Context, events: int) -> None:
    first = context.platform.targets[f"a-{ZONES[0]}"]
    first.behaviour = Behaviour.STALL_STREAM
    first.events_before_fault = events
    first.stalled_on = str(first.address)
    context.doubts = []
    context.router.fleet_view.on_suspicion = lambda *doubt: context.doubts.append(doubt)


@then("the first target is not suspected")
def check_no_doubt(context: Context) -> None:
    assert not context.doubts, context.doubts


@then("the metrics count 1 request by queue, first_event, gap and whole")
def check_measures(context: Context) -> None:
    text = context.router.exposition()
    for measure in ("queue", "first_event", "gap", "whole"):
        labels = f'measure="{measure}",workspace="depot",route="rdraft"'
        line = f"chervilstall_latency_seconds_count{{{labels}}} 1"
        assert line in text, text


@given("no repeats are left")
def no_repeats(context: Context) -> None:
    context.router.budget.try_spend = lambda service, is_resume=False: False


@when(
    "a draft of {events:d} events stands still for {pause_s:d} seconds after {after:d} "
    "events"
)
def draft_stands_still(context: Context, events: int, pause_s: int, after: int) -> None:
    targets = context.platform.targets
    for target in targets.values():
        target.behaviour = Behaviour.PAUSE_STREAM
        target.events_before_fault = after
        target.pause_s = float(pause_s)
    ask_draft(context, events)


def own_first(context: Context) -> PlatformTarget:
    """Return the target of the own zone that gets drafts first."""
    return context.platform.targets[f"a-{ZONES[0]}"]


@given("the first target of the own zone is full and lets a draft wait for 2 seconds")
def first_is_full(context: Context) -> None:
    target = own_first(context)
    target.queued = 3
    target.behaviour = Behaviour.PAUSE_STREAM
    target.events_before_fault = 0
    target.pause_s = 2.0
    context.marked_full = []
    note_full = context.router.chooser.load.note_full

    def noted(incarnation: TargetIncarnation, for_s: float) -> None:
        context.marked_full.append(incarnation.target_id)
        note_full(incarnation, for_s)

    context.router.chooser.load.note_full = noted


@then("new requests rather avoid the target that is full")
def check_marked_full(context: Context) -> None:
    assert own_first(context).name in context.marked_full, context.marked_full


@given("the first target of the own zone begins no draft")
def first_hangs(context: Context) -> None:
    target = own_first(context)
    target.behaviour = Behaviour.PAUSE_STREAM
    target.events_before_fault = 0
    target.pause_s = 30.0


@given("a second copy of the first part in the other zone")
def second_first(context: Context) -> None:
    layers = LayerRange(0, LAYERS // 2)
    context.platform.add_target(f"c-{ZONES[1]}", "drafts", ZONES[1], layers)
    eventually(lambda: len(context.router.fleet_view.targets) == 5)


@given("the first targets of the other zone begin no draft")
def other_firsts_hang(context: Context) -> None:
    for name in (f"a-{ZONES[1]}", f"c-{ZONES[1]}"):
        target = context.platform.targets[name]
        target.behaviour = Behaviour.PAUSE_STREAM
        target.events_before_fault = 0
        target.pause_s = 30.0


@dataclass
class HopelessAfter:
    """Sets the silence after which streams are moved, until it is stopped."""

    silence_s: float

    def __post_init__(self) -> None:
        self.before_s = watch.HOPELESS_S
        watch.HOPELESS_S = self.silence_s

    def stop(self) -> None:
        """Set what was set before."""
        watch.HOPELESS_S = self.before_s


@given("no stream is moved for its silence alone")
def never_hopeless(context: Context) -> None:
    context.stoppables.append(HopelessAfter(60.0))


@given("the first target of the own zone stops sending and is found to be silent")
def first_falls_silent(context: Context) -> None:
    target = own_first(context)
    target.behaviour = Behaviour.PAUSE_STREAM
    target.events_before_fault = 4
    target.pause_s = 30.0
    fleet_view = context.router.fleet_view

    def find_out() -> None:
        eventually(lambda: target.log.runs)
        gevent.sleep(0.3)
        first = fleet_view.targets[TargetId(target.name)]
        fleet_view.suspect(first, "no connection", shared=False)

    gevent.spawn(find_out)


@then("the hanging target is avoided")
def check_hanging_avoided(context: Context) -> None:
    assert avoided_targets(context) == [own_first(context).name]


@given("the first target of the own zone goes dark as it gets a draft")
def first_goes_dark(context: Context) -> None:
    target = own_first(context)
    first_hangs(context)

    def go_dark() -> None:
        eventually(lambda: target.log.runs)
        target.is_silent = True

    gevent.spawn(go_dark)


def other_zone(context: Context) -> list[str]:
    return [f"a-{ZONES[1]}", f"b-{ZONES[1]}"]


def doubt_other(context: Context, dark: list[str]) -> None:
    for name in dark:
        context.platform.targets[name].is_silent = True
    fleet_view = context.router.fleet_view
    fleet_view.suspect(fleet_view.targets[dark[0]], "test")


def is_avoided(context: Context, name: str) -> bool:
    fleet_view = context.router.fleet_view
    return fleet_view.is_suspected(fleet_view.targets[name])


@when("the other zone goes dark and one of its targets is doubted")
def zone_goes_dark(context: Context) -> None:
    doubt_other(context, other_zone(context))


@then("the whole zone is avoided")
def check_zone_avoided(context: Context) -> None:
    eventually(lambda: all(is_avoided(context, each) for each in other_zone(context)))


@when("the other zone answers again")
def zone_answers(context: Context) -> None:
    for name in other_zone(context):
        context.platform.targets[name].is_silent = False


@then("the whole zone is used")
def check_zone_used(context: Context) -> None:
    fleet_view = context.router.fleet_view
    eventually(lambda: not fleet_view.unreachable_zones)
    fleet_view.clear_suspicion(fleet_view.targets[f"a-{ZONES[1]}"])
    assert not any(is_avoided(context, each) for each in other_zone(context))


@when("one target of the other zone goes dark and is doubted")
def one_goes_dark(context: Context) -> None:
    doubt_other(context, other_zone(context)[:1])


@then("only that target is avoided a second later")
def check_one_avoided(context: Context) -> None:
    gevent.sleep(1.0)
    assert [is_avoided(context, each) for each in other_zone(context)] == [True, False]


@given("the own zone's targets refuse work for a moment")
def own_refuses(context: Context) -> None:
    fleet_view = context.router.fleet_view
    for name in (f"a-{ZONES[0]}", f"b-{ZONES[0]}"):
        fleet_view.suspect(fleet_view.targets[name], "test", for_s=1.0, shared=False)


@when("the other zone goes dark under a draft of {events:d} events")
def dark_under_draft(context: Context, events: int) -> None:
    draft = gevent.spawn(ask_draft, context, events)
    first = context.platform.targets[f"a-{ZONES[1]}"]
    eventually(lambda: first.log.runs)
    first.behaviour = Behaviour.STALL_STREAM
    fleet_view = context.router.fleet_view
    for name in (f"a-{ZONES[0]}", f"b-{ZONES[0]}"):
        fleet_view.clear_suspicion(fleet_view.targets[name])
    for name in other_zone(context):
        context.platform.targets[name].is_silent = True
    draft.join()


@given("nobody holds the last part")
def no_last_part(context: Context) -> None:
    for zone in ZONES:
        context.platform.store.state.remove(f"servers/b-{zone}")
    # The planner would place the part anew.
    context.router.planner_lease.stop()
    eventually(lambda: len(context.router.fleet_view.targets) == 2)


@when("a draft of {events:d} events is asked for")
def ask_draft(context: Context, events: int) -> None:
    try:
        context.response = send(context.router, "/draft/x", Token_Count=f"100,{events}")
    except http.client.IncompleteRead as error:
        context.response = Response(200, {}, error.partial)
        context.is_incomplete = True


@when("a draft of {events:d} events and {prompt:d} prompt tokens is asked for")
def ask_long_draft(context: Context, events: int, prompt: int) -> None:
    count = f"{prompt},{events}"
    context.response = send(context.router, "/draft/x", Token_Count=count)


@then("the first target was told {count:d} other paths")
def check_paths_told(context: Context, count: int) -> None:
    orders = own_first(context).log.orders
    assert len(orders) == count, orders


def event_numbers(body: bytes) -> list[int]:
    """Return the numbers of the events of a body."""
    lines = body.decode().splitlines()
    return [int(line.split(": ")[1]) for line in lines if line.startswith("id: ")]


@then("the events 1 to {last:d} arrive once and in order")
def check_events(context: Context, last: int) -> None:
    assert context.response.status == 200, context.response
    numbers = event_numbers(context.response.body)
    assert numbers == list(range(1, last + 1)), numbers


@then("the answer is incomplete after event {last:d}")
def check_incomplete(context: Context, last: int) -> None:
    assert context.is_incomplete
    assert event_numbers(context.response.body) == list(range(1, last + 1))


@then("the path covered every layer once and in order within one zone")
def check_path(context: Context) -> None:
    runs = [
        run for target in context.platform.targets.values() for run in target.log.runs
    ]
    parts = runs[0].headers["hop-count"].split(",")
    reached = 0
    for part in parts:
        first, end = part.split("=")[1].split("-")
        assert int(first) == reached, parts
        reached = int(end)
    assert reached == LAYERS, parts
    own = [str(context.platform.targets[f"{name}-{ZONES[0]}"].address) for name in "ab"]
    assert [part.split("=")[0] for part in parts] == own, parts


@then("targets ran it {runs:d} times")
def check_runs(context: Context, runs: int) -> None:
    assert len(context.platform.executed_request_ids()) == runs, (
        context.platform.executed_request_ids()
    )


@then("no more than {most:d} different targets ran it")
def check_different(context: Context, most: int) -> None:
    targets = context.platform.targets
    ran = [name for name, target in targets.items() if target.log.runs]
    assert len(ran) <= most, ran


@then("the first target was told another path")
def check_repath(context: Context) -> None:
    first = context.platform.targets[f"a-{ZONES[0]}"]
    orders = [order for order in first.log.orders if order["op"] == "repath"]
    assert orders and orders[0]["id"] == "r1", first.log.orders
    assert str(context.stalled_on.address) not in orders[0]["path"]
    assert len(context.platform.executed_request_ids()) == 1, "the stream was sent once"


@when("a caller leaves a draft of {events:d} events after the first")
def leave_draft(context: Context, events: int) -> None:
    head = raw_request("/draft/x").decode()
    text = head.replace("\r\n\r\n", f"\r\nToken-Count: 100,{events}\r\n\r\n")
    target = context.platform.targets[f"a-{ZONES[0]}"]
    target.events_before_fault = events
    connection = open_connection(context.router.caller_listener.bound_address)
    connection.sendall(text.encode())
    received = b""
    while b"id: 1" not in received:
        received += connection.recv(4096)
    connection.close()
    context.left_at_s = time.monotonic()


@then("its work at the target ends within {most_ms:d} ms")
def check_work_ends(context: Context, most_ms: int) -> None:
    target = context.platform.targets[f"a-{ZONES[0]}"]
    eventually(lambda: target.log.cancelled_streams == 1, most_ms / 1e3)


# Shutdown


@given("a kept connection")
def kept_connection(context: Context) -> None:
    context.connection = open_connection(context.router.caller_listener.bound_address)
    context.connection.sendall(raw_request("/lookup/a", "r0"))
    read_answer(context.connection)
    eventually(lambda: context.router.caller_listener.idle)


def read_answer(connection: object) -> bytes:
    """Read one answer with a length from a plain connection."""
    received = b""
    while b"\r\n\r\n" not in received:
        chunk = connection.recv(4096)
        assert chunk, f"the connection ended after {received!r}"
        received += chunk
    head, _, body = received.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += connection.recv(4096)
    return head + b"\r\n\r\n" + body


@when("a request arrives on it just before idle connections are closed")
def request_before_close(context: Context) -> None:
    # Neither call lets the listener's task run in between.
    context.connection.send(raw_request("/lookup/a", "r1"))
    context.router.caller_listener.close_idle()


@then("it is answered in full")
def check_answered(context: Context) -> None:
    assert read_answer(context.connection).endswith(b"answer to r1")


@when("idle connections are closed")
def close_idle(context: Context) -> None:
    context.router.caller_listener.close_idle()


@then("the connection ends within {most_ms:d} ms")
def check_ends(context: Context, most_ms: int) -> None:
    with gevent.Timeout(most_ms / 1e3):
        assert context.connection.recv(1) == b""


@when("the router is told to stop")
def stop_router(context: Context) -> None:
    context.stop_started_s = time.monotonic()
    context.stopping = gevent.spawn(context.router.drain_and_stop)
    gevent.sleep(0.05)


@then("a request on a new connection is answered in full and the connection closes")
def check_new_connection(context: Context) -> None:
    response = send(context.router, "/lookup/a")
    assert response.status == 200, response
    assert response.headers["Connection"] == "close", response.headers


@then("the router ends within its grace")
def check_ends_in_grace(context: Context) -> None:
    with gevent.Timeout(context.router.settings.bounds.grace_s):
        context.router.wait()


# Recovery


@given("a platform with a model and lookups")
def model_and_lookups(context: Context) -> None:
    platform = start_platform(context)
    add_model(platform)
    for zone in ZONES:
        platform.add_target(f"l-{zone}", "lookups", zone)


@given("a router that has given orders, sent requests and doubted targets")
def busy_router(context: Context) -> None:
    router = context.router = context.platform.add_router()
    context.targets_known = list(router.fleet_view.targets.values())
    assert send(router, "/lookup/x", request="l1").status == 200
    assert send(router, "/draft/x", request="d1").status == 200
    for target in router.fleet_view.targets.values():
        router.fleet_view.suspect(target, "test", shared=False)
        router.chooser.load.note_full(target.incarnation, 0.1)
        router.watch._ask(target, time.monotonic())
        router.watch.pace.ask(target)
        router.planner._orders_begun[target.incarnation] = 1
        router.planner._mark_dead(target)
    assert kept_of_targets(context)


def kept_of_targets(context: Context) -> list[object]:
    """Return every key by target that the router's parts hold."""
    router = context.router
    holders = (
        router.fleet_view,
        router.watch,
        router.watch.pace,
        router.planner,
        router.chooser.load,
        router.app.plain.chooser,
    )
    names = {target.id for target in context.targets_known}
    incarnations = {target.incarnation for target in context.targets_known}
    found: list[object] = []
    for holder in holders:
        for kept in vars(holder).values():
            if isinstance(kept, dict | set):
                found += [key for key in kept if key in names or key in incarnations]
    return found


@when("every target is gone")
def all_gone(context: Context) -> None:
    state = context.platform.store.state
    for name in context.platform.targets:
        state.remove(f"servers/{name}")
    eventually(lambda: not context.router.fleet_view.targets)
    # Questions that are under way end first.
    eventually(lambda: not context.router.watch._asking)
    context.router.forget_departed()


@then("the router keeps nothing of them")
def check_nothing_kept(context: Context) -> None:
    assert not kept_of_targets(context), kept_of_targets(context)


@given("a configuration that was acknowledged just before every router was killed")
def kill_all_routers(context: Context) -> None:
    platform = context.platform
    for _ in range(2):
        platform.add_router()
    leases = "chervilstall/leases/"
    eventually(
        lambda: any(key.startswith(leases) for key in platform.store.state.items)
    )
    platform.write_config(build_configuration(version=7))
    for router in platform.routers:
        # As a kill would: no lease is ended.
        router.stop()


@given("a store in which nothing else happened")
def calm_store(context: Context) -> None:
    assert not context.platform.store.state.is_silent


@given("a store in which a dead router still holds the planning")
def held_planning(context: Context) -> None:
    state = context.platform.store.state
    holders = [key for key in state.items if key.startswith("chervilstall/leases/")]
    assert holders, sorted(state.items)
    for lease in state.leases.values():
        lease.ends_at_s += 60.0


@given("a store in which the history was forgotten")
def forgotten(context: Context) -> None:
    context.platform.store.state.compact_history()


@when("a router starts with an empty memory")
def start_empty(context: Context) -> None:
    context.router = context.platform.add_router(wait=False)


@then("a draft and a lookup sent at once are served")
def check_served_at_once(context: Context) -> None:
    draft = send(context.router, "/draft/x", request="d1")
    lookup = send(context.router, "/lookup/x", request="l1")
    assert (draft.status, lookup.status) == (200, 200), (draft, lookup)


@then("the newest configuration is in force")
def check_newest(context: Context) -> None:
    assert context.router.fleet_view.configuration.version == 7
