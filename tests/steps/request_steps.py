"""Steps that send plain requests to a router, and check what the targets received."""

import os
import random
import time

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.traffic_split import choose_service
from chervilstall.fleet.records import Route, RouteKind, WeightedService
from chervilstall.ids import RequestId, ServiceName
from chervilstall.standin.platform_fixtures import (
    API_KEY,
    CALLER_HOST,
    build_configuration,
    build_route,
)
from tests.support.agent_fleet import eventually
from tests.support.platform import send
from tests.support.platform_scenario import own_lookup
from tests.support.router_harness import Response

PATHS = {"idempotent": "/lookup/a", "non_idempotent": "/hold/a"}


@when("a {kind:w} request is sent")
def send_kind(context: Context, kind: str) -> None:
    context.response = send(context.router, PATHS[kind])


@when("a router starts and a request is sent")
def start_and_send(context: Context) -> None:
    context.router = context.platform.add_router(wait=False)
    context.response = send(context.router, "/lookup/a")


@when("another request is sent")
def send_again(context: Context) -> None:
    started_s = time.monotonic()
    context.response = send(context.router, "/lookup/a", request="r2")
    context.elapsed_s = time.monotonic() - started_s


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
    run = own_lookup(context).log.runs[0]
    assert run.target == "/lookup/%7Ea%2Fb//c?x=1&&y=%20", run.target
    assert run.body == b"\x00\xff body"
    assert run.headers["host"] == CALLER_HOST
    assert run.headers["x-note"] == "kept"
    assert run.method == "POST"


@then("it received the workspace of the key and not the key")
def check_workspace(context: Context) -> None:
    run = own_lookup(context).log.runs[0]
    assert run.headers["tenant"] == "depot"
    assert "credential" not in run.headers
    assert API_KEY not in str(run.headers)


@then("its deadline is shorter than the caller's")
def check_deadline(context: Context) -> None:
    run = own_lookup(context).log.runs[0]
    assert 4000 < int(run.headers["deadline-ms"]) <= 5000


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


@given("a router with memory for {size:d} bytes of bodies")
def limit_body_memory(context: Context, size: int) -> None:
    memory = context.router.app.client_memory
    memory.bytes_max, memory.reserve_bytes = size, 0


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
    eventually(lambda: context.router.app.client_memory.used_bytes == 0)


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


@given("{count:d} more files are open in the router's process")
def open_files(context: Context, count: int) -> None:
    descriptors = [os.open(os.devnull, os.O_RDONLY) for _ in range(count)]
    for descriptor in descriptors:
        context.add_cleanup(os.close, descriptor)
