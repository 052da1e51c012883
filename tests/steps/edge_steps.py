"""Steps that run a router against a stand-in store and stand-in targets."""

import http.client
import random
import time
from dataclasses import dataclass

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge import stream_monitor
from chervilstall.edge.traffic_split import choose_service
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
    """Start a platform that is stopped at the end of the scenario."""
    context.platform = Platform()
    context.stoppables.append(context.platform)
    context.platform.start(config)
    return context.platform


@given("a platform with lookups in both zones")
def start_lookups(context: Context) -> None:
    platform = start_platform(context)
    for zone in ZONES:
        platform.add_target(f"lookup-{zone}", "lookups", zone)
    context.router = platform.add_router()


@given("the target of the own zone would {behaviour}")
def set_own_target_behaviour(context: Context, behaviour: str) -> None:
    target = context.platform.targets[f"lookup-{ZONES[0]}"]
    target.behaviour = Behaviour(behaviour)


@given("every target would {behaviour}")
def set_every_target_behaviour(context: Context, behaviour: str) -> None:
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
def limit_body_memory(context: Context, size: int) -> None:
    context.router.app.body_memory.bytes_max = size


@when("{count:d} requests with a {kind} body of {size:d} bytes are sent at once")
def send_bodies(context: Context, count: int, kind: str, size: int) -> None:
    def send_one(number: int) -> Response:
        whole = b"x" * size
        body = whole if kind == "whole" else iter([whole])
        return send(context.router, "/brief/x", body=body, request=f"r{number}")

    tasks = [gevent.spawn(send_one, number) for number in range(count)]
    context.responses = [task.get() for task in tasks]


@then("{served:d} of them reach a target and the others are refused with Retry-After")
def check_bodies(context: Context, served: int) -> None:
    reached = [each for each in context.responses if each.status == 504]
    refused = [each for each in context.responses if each.status == 503]
    assert len(reached) == served, context.responses
    assert len(reached) + len(refused) == len(context.responses), context.responses
    assert all("Retry-After" in each.headers for each in refused), refused


@then("all of the memory for bodies is free again")
def check_body_memory_free(context: Context) -> None:
    eventually(lambda: context.router.app.body_memory.used_bytes == 0)


@given("the target of the own zone has stopped")
def stop_own_target(context: Context) -> None:
    context.platform.targets[f"lookup-{ZONES[0]}"].stop()


@given("the target of the own zone was replaced by another at its address")
def replace_own_target(context: Context) -> None:
    context.platform.targets[f"lookup-{ZONES[0]}"].name = "somebody-else"


@when("a {kind:w} request is sent")
def send_kind(context: Context, kind: str) -> None:
    context.response = send(context.router, PATHS[kind])


@then("the response is {status:d} and {runs:d} targets ran the request")
def check_response(context: Context, status: int, runs: int) -> None:
    assert context.response.status == status, (
        context.response,
        context.platform.executed_request_ids(),
    )
    assert len(context.platform.executed_request_ids()) == runs, (
        context.platform.executed_request_ids()
    )
    if status == 200:
        assert context.response.body == b"answer to r1", context.response.body


@then("the response has a Retry-After header")
def check_retry_after(context: Context) -> None:
    assert 0.0 < float(context.response.headers["Retry-After"]) <= 5.0 / 3.0


@when("a request with an encoded path, a binary body and a forged workspace is sent")
def send_unusual(context: Context) -> None:
    context.response = send(
        context.router,
        "/lookup/%7Ea%2Fb//c?x=1&&y=%20",
        body=b"\x00\xff body",
        Tenant="forged",
        X_Note="kept",
    )


@then("the target received path, query, host and body unchanged")
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
def send_on_priority_route(context: Context) -> None:
    context.response = send(context.router, "/urgent/a", Request_Priority="0")


@then("the target received the priority {priority:d}")
def check_priority(context: Context, priority: int) -> None:
    assert context.response.status == 200, context.response
    runs = [run for each in context.platform.targets.values() for run in each.log.runs]
    assert [run.headers["request-priority"] for run in runs] == [str(priority)]


@then("it received the workspace of the key and not the key")
def check_workspace(context: Context) -> None:
    run = context.platform.targets[f"lookup-{ZONES[0]}"].log.runs[0]
    assert run.headers["tenant"] == "depot"
    assert "credential" not in run.headers
    assert API_KEY not in str(run.headers)


@then("its deadline is shorter than the caller's")
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
def send_with_short_timeout(context: Context) -> None:
    started_s = time.monotonic()
    context.response = send(context.router, "/brief/a")
    context.elapsed_s = time.monotonic() - started_s


@then("the response is {status:d} within {max_ms:d} ms")
def check_within(context: Context, status: int, max_ms: int) -> None:
    assert context.response.status == status, context.response
    assert context.elapsed_s * 1e3 < max_ms, context.elapsed_s


@given("a store that answers nobody")
def fail_store(context: Context) -> None:
    start_platform(context).store.state.error_status = 503


@when("a router starts and a request is sent")
def start_and_send(context: Context) -> None:
    context.router = context.platform.add_router(wait=False)
    context.response = send(context.router, "/lookup/a")


@given("a store that takes {delay_ms:d} ms to respond")
def delay_store(context: Context, delay_ms: int) -> None:
    context.platform.store.state.delay_s = delay_ms / 1e3


@when("another request is sent")
def send_again(context: Context) -> None:
    started_s = time.monotonic()
    context.response = send(context.router, "/lookup/a", request="r2")
    context.elapsed_s = time.monotonic() - started_s


@then("the router is not ready")
@then("it becomes unready at once")
def check_not_ready(context: Context) -> None:
    address = context.router.readiness_listener.bound_address
    connection = http.client.HTTPConnection(address.host, address.port, timeout=5)
    connection.request("GET", "/chervilstall/readyz")
    status = connection.getresponse().status
    connection.close()
    assert status == 503, status


@then("2000 requests are divided 90 to 10 within 3 in 100, and always in the same way")
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
    """Add a target for each half of a model's layers in each zone."""
    half = LAYERS // 2
    for zone in ZONES:
        platform.add_target(f"a-{zone}", "drafts", zone, LayerRange(0, half))
        platform.add_target(f"b-{zone}", "drafts", zone, LayerRange(half, LAYERS))


@given("a platform with a model in parts in both zones")
def start_model(context: Context) -> None:
    platform = start_platform(context)
    add_model(platform)
    context.router = platform.add_router()


@given("a platform whose drafts are not resumable")
def add_model_not_resumable(context: Context) -> None:
    draft = build_route("/draft/", "streaming", "drafts", resumable=False)
    platform = start_platform(context, build_configuration(routes=[draft]))
    add_model(platform)
    context.router = platform.add_router()


@given("the first targets of the own zone would {behaviour} after {events:d} events")
def set_first_behaviour(context: Context, behaviour: str, events: int) -> None:
    target = context.platform.targets[f"a-{ZONES[0]}"]
    target.behaviour = Behaviour(behaviour)
    target.events_before_fault = events


@given("a second copy of the last part in the own zone")
def add_last_part_copy(context: Context) -> None:
    layers = LayerRange(LAYERS // 2, LAYERS)
    context.platform.add_target(f"c-{ZONES[0]}", "drafts", ZONES[0], layers)
    fleet_view = context.router.fleet_view
    eventually(lambda: len(fleet_view.targets) == 5)


@given(
    "only the own zone holds the first part, and it would break the stream after "
    "3 events"
)
def keep_one_first(context: Context) -> None:
    set_first_behaviour(context, "break the stream", 3)
    context.platform.store.state.remove(f"servers/a-{ZONES[1]}")
    context.router.planner_lease.stop()
    eventually(lambda: len(context.router.fleet_view.targets) == 3)


@given("the first part moves to another target {after_s:g} seconds later")
def move_first_part(context: Context, after_s: float) -> None:
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

    context.move_task = gevent.spawn(move)


@given("two more first targets in the other zone that would refuse")
def add_refusing_firsts(context: Context) -> None:
    platform = context.platform
    # Their names sort before that of the serving target, among paths of equal cost.
    for name in ("a0", "a1"):
        layers = LayerRange(0, LAYERS // 2)
        target = platform.add_target(f"{name}", "drafts", ZONES[1], layers)
        target.behaviour = Behaviour.REFUSE
    fleet_view = context.router.fleet_view
    eventually(lambda: len(fleet_view.targets) == 6)
    serving = fleet_view.targets[f"a-{ZONES[1]}"]
    # Load on the serving target makes the router choose it last.
    context.router.chooser.load.requests[serving.incarnation] += 20


@given("the first target stalls on the last part after {events:d} events")
def stall_first(context: Context, events: int) -> None:
    platform = context.platform
    first = platform.targets[f"a-{ZONES[0]}"]
    first.behaviour = Behaviour.STALL_STREAM
    first.events_before_fault = events
    context.stalled_on = platform.targets[f"b-{ZONES[0]}"]
    first.stalled_on = str(context.stalled_on.address)
    # Makes the router prefer the path that stalls over the copy of the last part.
    copy = context.router.fleet_view.targets.get(TargetId(f"c-{ZONES[0]}"))
    if copy is not None:
        context.router.chooser.load.note_full(copy.incarnation, 0.3)


@when("a draft of {events:d} events is asked for and a part of its path {changes}")
def change_during_draft(context: Context, events: int, changes: str) -> None:
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
    send_draft(context, events)
    changing.get()


@then("the stream {moves} that target")
def check_rerouted(context: Context, moves: str) -> None:
    orders = own_first(context).log.orders
    assert bool(orders) == (moves == "is rerouted around"), orders


@given("the first target stalls on itself after {events:d} events")
def stall_first_on_itself(context: Context, events: int) -> None:
    first = context.platform.targets[f"a-{ZONES[0]}"]
    first.behaviour = Behaviour.STALL_STREAM
    first.events_before_fault = events
    first.stalled_on = str(first.address)
    context.suspicions = []
    context.router.fleet_view.on_suspicion = lambda *suspicion: (
        context.suspicions.append(suspicion)
    )


@then("the first target is not suspected")
def check_not_suspected(context: Context) -> None:
    assert not context.suspicions, context.suspicions


@then("the metrics count 1 request by queue, first_event, gap and whole")
def check_metrics(context: Context) -> None:
    text = context.router.metrics_text()
    for measure in ("queue", "first_event", "gap", "whole"):
        labels = f'measure="{measure}",workspace="depot",route="rdraft"'
        line = f"chervilstall_latency_seconds_count{{{labels}}} 1"
        assert line in text, text


@given("the retry budget is used up")
def exhaust_retry_budget(context: Context) -> None:
    context.router.budget.try_reserve = lambda service, is_resume=False: False


@when(
    "a draft of {events:d} events pauses for {pause_s:d} seconds after {after:d} events"
)
def pause_draft(context: Context, events: int, pause_s: int, after: int) -> None:
    targets = context.platform.targets
    for target in targets.values():
        target.behaviour = Behaviour.PAUSE_STREAM
        target.events_before_fault = after
        target.pause_s = float(pause_s)
    send_draft(context, events)


def own_first(context: Context) -> PlatformTarget:
    """Return the target in the own zone that holds the first part of the model."""
    return context.platform.targets[f"a-{ZONES[0]}"]


@given("the first target of the own zone is full and queues a draft for 2 seconds")
def fill_first(context: Context) -> None:
    target = own_first(context)
    target.queued = 3
    target.behaviour = Behaviour.PAUSE_STREAM
    target.events_before_fault = 0
    target.pause_s = 2.0
    context.marked_full = []
    note_full = context.router.chooser.load.note_full

    def record_full(incarnation: TargetIncarnation, for_s: float) -> None:
        context.marked_full.append(incarnation.target_id)
        note_full(incarnation, for_s)

    context.router.chooser.load.note_full = record_full


@then("new requests prefer other targets to the full one")
def check_full_avoided(context: Context) -> None:
    assert own_first(context).name in context.marked_full, context.marked_full


@given("the first target of the own zone hangs before the first event")
def hang_first(context: Context) -> None:
    target = own_first(context)
    target.behaviour = Behaviour.PAUSE_STREAM
    target.events_before_fault = 0
    target.pause_s = 30.0


@given("a second copy of the first part in the other zone")
def add_first_part_copy(context: Context) -> None:
    layers = LayerRange(0, LAYERS // 2)
    context.platform.add_target(f"c-{ZONES[1]}", "drafts", ZONES[1], layers)
    eventually(lambda: len(context.router.fleet_view.targets) == 5)


@given("the first targets of the other zone hang before the first event")
def hang_other_firsts(context: Context) -> None:
    for name in (f"a-{ZONES[1]}", f"c-{ZONES[1]}"):
        target = context.platform.targets[name]
        target.behaviour = Behaviour.PAUSE_STREAM
        target.events_before_fault = 0
        target.pause_s = 30.0


@dataclass
class SilenceLimit:
    """Overrides the silence after which exchanges are ended, until it is stopped."""

    silence_s: float

    def __post_init__(self) -> None:
        self.before_s = stream_monitor.SILENCE_MAX_S
        stream_monitor.SILENCE_MAX_S = self.silence_s

    def stop(self) -> None:
        """Restore the previous limit."""
        stream_monitor.SILENCE_MAX_S = self.before_s


@given("no stream is ended for its silence alone")
def disable_silence_limit(context: Context) -> None:
    context.stoppables.append(SilenceLimit(60.0))


@given(
    "the first target of the own zone stops sending and is suspected as unresponsive"
)
def silence_first(context: Context) -> None:
    target = own_first(context)
    target.behaviour = Behaviour.PAUSE_STREAM
    target.events_before_fault = 4
    target.pause_s = 30.0
    fleet_view = context.router.fleet_view

    def suspect_first() -> None:
        eventually(lambda: target.log.runs)
        gevent.sleep(0.3)
        first = fleet_view.targets[TargetId(target.name)]
        fleet_view.suspect(first, "no connection", shared=False)

    gevent.spawn(suspect_first)


@then("the hanging target is avoided")
def check_hanging_avoided(context: Context) -> None:
    assert avoided_targets(context) == [own_first(context).name]


@given("the first target of the own zone stops responding when it gets a draft")
def stop_first_responding(context: Context) -> None:
    target = own_first(context)
    hang_first(context)

    def stop_responding() -> None:
        eventually(lambda: target.log.runs)
        target.is_silent = True

    gevent.spawn(stop_responding)


def first_targets(context: Context) -> list[PlatformTarget]:
    """Return every target that holds the first part of the model."""
    targets = context.platform.targets.values()
    return [target for target in targets if target.layers.first == 0]


@given("every first target falls silent for {silence_s:g} seconds when it gets a draft")
def silence_firsts(context: Context, silence_s: float) -> None:
    def fall_silent(target: PlatformTarget) -> None:
        eventually(lambda: target.log.runs)
        target.is_silent = True
        gevent.sleep(silence_s)
        target.is_silent = False

    for target in first_targets(context):
        target.behaviour = Behaviour.PAUSE_STREAM
        target.events_before_fault = 0
        target.pause_s = silence_s
        gevent.spawn(fall_silent, target)


@given(
    "the first targets would break the stream after {events:d} events and lose their "
    "entries"
)
def break_and_unregister_firsts(context: Context, events: int) -> None:
    # Otherwise the planner would place the part on another target.
    context.router.planner_lease.stop()

    def unregister(target: PlatformTarget) -> None:
        eventually(lambda: target.log.runs)
        context.platform.store.state.remove(f"servers/{target.name}")

    for target in first_targets(context):
        target.behaviour = Behaviour.BREAK_STREAM
        target.events_before_fault = events
        gevent.spawn(unregister, target)


def other_zone_targets(context: Context) -> list[str]:
    return [f"a-{ZONES[1]}", f"b-{ZONES[1]}"]


def suspect_unresponsive(context: Context, names: list[str]) -> None:
    for name in names:
        context.platform.targets[name].is_silent = True
    fleet_view = context.router.fleet_view
    fleet_view.suspect(fleet_view.targets[names[0]], "test")


def is_avoided(context: Context, name: str) -> bool:
    fleet_view = context.router.fleet_view
    return fleet_view.is_suspected(fleet_view.targets[name])


@when("the other zone stops responding and one of its targets is suspected")
def stop_other_zone(context: Context) -> None:
    suspect_unresponsive(context, other_zone_targets(context))


@then("the whole zone is avoided")
def check_zone_avoided(context: Context) -> None:
    eventually(
        lambda: all(is_avoided(context, each) for each in other_zone_targets(context))
    )


@when("the other zone responds again")
def resume_other_zone(context: Context) -> None:
    for name in other_zone_targets(context):
        context.platform.targets[name].is_silent = False


@then("the whole zone is used")
def check_zone_used(context: Context) -> None:
    fleet_view = context.router.fleet_view
    eventually(lambda: not fleet_view.unreachable_zones)
    fleet_view.clear_suspicion(fleet_view.targets[f"a-{ZONES[1]}"])
    assert not any(is_avoided(context, each) for each in other_zone_targets(context))


@when("one target of the other zone stops responding and is suspected")
def stop_one_target(context: Context) -> None:
    suspect_unresponsive(context, other_zone_targets(context)[:1])


@then("only that target is avoided a second later")
def check_one_avoided(context: Context) -> None:
    gevent.sleep(1.0)
    assert [is_avoided(context, each) for each in other_zone_targets(context)] == [
        True,
        False,
    ]


@given("the own zone's targets are suspected for a moment")
def suspect_own_zone(context: Context) -> None:
    fleet_view = context.router.fleet_view
    for name in (f"a-{ZONES[0]}", f"b-{ZONES[0]}"):
        fleet_view.suspect(fleet_view.targets[name], "test", for_s=1.0, shared=False)


@when("the other zone stops responding during a draft of {events:d} events")
def stop_zone_during_draft(context: Context, events: int) -> None:
    draft = gevent.spawn(send_draft, context, events)
    first = context.platform.targets[f"a-{ZONES[1]}"]
    eventually(lambda: first.log.runs)
    first.behaviour = Behaviour.STALL_STREAM
    fleet_view = context.router.fleet_view
    for name in (f"a-{ZONES[0]}", f"b-{ZONES[0]}"):
        fleet_view.clear_suspicion(fleet_view.targets[name])
    for name in other_zone_targets(context):
        context.platform.targets[name].is_silent = True
    draft.join()


@given("no target holds the last part")
def remove_last_part(context: Context) -> None:
    for zone in ZONES:
        context.platform.store.state.remove(f"servers/b-{zone}")
    # Otherwise the planner would place the part on another target.
    context.router.planner_lease.stop()
    eventually(lambda: len(context.router.fleet_view.targets) == 2)


@when("a draft of {events:d} events is asked for")
def send_draft(context: Context, events: int) -> None:
    try:
        context.response = send(context.router, "/draft/x", Token_Count=f"100,{events}")
    except http.client.IncompleteRead as error:
        context.response = Response(200, {}, error.partial)
        context.is_incomplete = True


@when("a draft of {events:d} events and {prompt:d} prompt tokens is asked for")
def send_long_draft(context: Context, events: int, prompt: int) -> None:
    count = f"{prompt},{events}"
    context.response = send(context.router, "/draft/x", Token_Count=count)


@then("the first target was given {count:d} other paths")
def check_reroute_count(context: Context, count: int) -> None:
    orders = own_first(context).log.orders
    assert len(orders) == count, orders


def event_numbers(body: bytes) -> list[int]:
    """Return the event numbers in a stream's body."""
    lines = body.decode().splitlines()
    return [int(line.split(": ")[1]) for line in lines if line.startswith("id: ")]


@then("the events 1 to {last:d} arrive once and in order")
def check_events(context: Context, last: int) -> None:
    assert context.response.status == 200, context.response
    numbers = event_numbers(context.response.body)
    assert numbers == list(range(1, last + 1)), numbers


@then("the response is cut off after event {last:d}")
def check_cut_off(context: Context, last: int) -> None:
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


@then("the request ran {runs:d} times")
def check_runs(context: Context, runs: int) -> None:
    assert len(context.platform.executed_request_ids()) == runs, (
        context.platform.executed_request_ids()
    )


@then("at most {targets_max:d} different targets ran the request")
def check_target_count(context: Context, targets_max: int) -> None:
    targets = context.platform.targets
    ran = [name for name, target in targets.items() if target.log.runs]
    assert len(ran) <= targets_max, ran


@then("the first target was given another path")
def check_rerouted_path(context: Context) -> None:
    first = context.platform.targets[f"a-{ZONES[0]}"]
    orders = [order for order in first.log.orders if order["op"] == "repath"]
    assert orders and orders[0]["id"] == "r1", first.log.orders
    assert str(context.stalled_on.address) not in orders[0]["path"]
    assert len(context.platform.executed_request_ids()) == 1, (
        "the stream was sent more than once"
    )


@when("a caller disconnects from a draft of {events:d} events after the first")
def disconnect_from_draft(context: Context, events: int) -> None:
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


@then("the target stops working on it within {max_ms:d} ms")
def check_work_stops(context: Context, max_ms: int) -> None:
    target = context.platform.targets[f"a-{ZONES[0]}"]
    eventually(lambda: target.log.cancelled_streams == 1, max_ms / 1e3)


# Shutdown


@given("an idle keep-alive connection")
def open_idle_connection(context: Context) -> None:
    context.connection = open_connection(context.router.caller_listener.bound_address)
    context.connection.sendall(raw_request("/lookup/a", "r0"))
    read_response(context.connection)
    eventually(lambda: context.router.caller_listener.idle)


def read_response(connection: object) -> bytes:
    """Read one response with a Content-Length from a socket."""
    received = b""
    while b"\r\n\r\n" not in received:
        chunk = connection.recv(4096)
        assert chunk, f"the connection was closed after {received!r}"
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
    # Neither call yields, so the listener's task doesn't run between them.
    context.connection.send(raw_request("/lookup/a", "r1"))
    context.router.caller_listener.close_idle()


@then("the full response arrives")
def check_full_response(context: Context) -> None:
    assert read_response(context.connection).endswith(b"answer to r1")


@when("idle connections are closed")
def close_idle(context: Context) -> None:
    context.router.caller_listener.close_idle()


@then("the connection ends within {max_ms:d} ms")
def check_connection_closed(context: Context, max_ms: int) -> None:
    with gevent.Timeout(max_ms / 1e3):
        assert context.connection.recv(1) == b""


@when("the router is told to stop")
def stop_router(context: Context) -> None:
    context.stop_started_s = time.monotonic()
    context.stopping = gevent.spawn(context.router.drain_and_stop)
    gevent.sleep(0.05)


@then("a request on a new connection gets a full response that closes the connection")
def check_new_connection(context: Context) -> None:
    response = send(context.router, "/lookup/a")
    assert response.status == 200, response
    assert response.headers["Connection"] == "close", response.headers


@then("the router stops within its grace period")
def check_stopped_in_grace(context: Context) -> None:
    with gevent.Timeout(context.router.settings.bounds.grace_s):
        context.router.wait()


# Recovery


@given("a platform with a model and lookups")
def start_model_and_lookups(context: Context) -> None:
    platform = start_platform(context)
    add_model(platform)
    for zone in ZONES:
        platform.add_target(f"l-{zone}", "lookups", zone)


@given("a router that has given orders, sent requests and suspected targets")
def use_router(context: Context) -> None:
    router = context.router = context.platform.add_router()
    context.known_targets = list(router.fleet_view.targets.values())
    assert send(router, "/lookup/x", request="l1").status == 200
    assert send(router, "/draft/x", request="d1").status == 200
    for target in router.fleet_view.targets.values():
        router.fleet_view.suspect(target, "test", shared=False)
        router.chooser.load.note_full(target.incarnation, 0.1)
        router.stream_monitor._query(target, time.monotonic())
        router.stream_monitor.slow_detector.query(target)
        router.planner._orders_begun[target.incarnation] = 1
        router.planner._mark_dead(target)
    assert state_of_targets(context)


def state_of_targets(context: Context) -> list[object]:
    """Return every key of a known target in the state of the router's parts."""
    router = context.router
    holders = (
        router.fleet_view,
        router.stream_monitor,
        router.stream_monitor.slow_detector,
        router.planner,
        router.chooser.load,
        router.app.plain_relay.chooser,
    )
    names = {target.id for target in context.known_targets}
    incarnations = {target.incarnation for target in context.known_targets}
    found: list[object] = []
    for holder in holders:
        for state in vars(holder).values():
            if isinstance(state, dict | set):
                found += [key for key in state if key in names or key in incarnations]
    return found


@when("every target has left")
def remove_all_targets(context: Context) -> None:
    state = context.platform.store.state
    for name in context.platform.targets:
        state.remove(f"servers/{name}")
    eventually(lambda: not context.router.fleet_view.targets)
    # Lets queries in progress finish, since they would add state again.
    eventually(lambda: not context.router.stream_monitor._querying)
    context.router.prune_departed_targets()


@then("the router has no state of them left")
def check_no_state(context: Context) -> None:
    assert not state_of_targets(context), state_of_targets(context)


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
        # Like a kill, this ends no lease.
        router.stop()


@given("a store in which nothing else happened")
def leave_store_alone(context: Context) -> None:
    assert not context.platform.store.state.is_silent


@given("a store in which a dead router still holds the planner lease")
def hold_planner_lease(context: Context) -> None:
    state = context.platform.store.state
    holders = [key for key in state.items if key.startswith("chervilstall/leases/")]
    assert holders, sorted(state.items)
    for lease in state.leases.values():
        lease.ends_at_s += 60.0


@given("a store in which the history was dropped")
def drop_history(context: Context) -> None:
    context.platform.store.state.compact_history()


@when("a router starts without any state")
def start_without_state(context: Context) -> None:
    context.router = context.platform.add_router(wait=False)


@then("a draft and a lookup sent at once are served")
def check_served_at_once(context: Context) -> None:
    draft = send(context.router, "/draft/x", request="d1")
    lookup = send(context.router, "/lookup/x", request="l1")
    assert (draft.status, lookup.status) == (200, 200), (draft, lookup)


@then("the newest configuration is in force")
def check_newest_configuration(context: Context) -> None:
    assert context.router.fleet_view.configuration.version == 7
