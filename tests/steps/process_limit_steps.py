"""Steps with crowds that try to take up the memory and descriptors of a router."""

import http.client
import re
import socket
from collections.abc import Iterable, Iterator

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.fleet.records import LayerRange
from chervilstall.http_response import StartResponse, status_line
from chervilstall.standin.platform_fixtures import (
    LAYERS,
    build_configuration,
    build_request_headers,
    build_route,
)
from chervilstall.standin.unframed import end_answer, send_head
from chervilstall.wsgi import HEADERS_KEY, SOCKET_KEY, Environ
from tests.steps.start_steps import read_status_line
from tests.support.agent_fleet import eventually
from tests.support.crowd import CROWDS, LAST_CHUNK, Crowd, request_line
from tests.support.limited_router import LimitedRouter
from tests.support.platform import Platform, open_connection

MEGABYTE = 1_000_000
LONG_ANSWER = b"x" * 3_500_000
EVENTS = 60
SETTLE_S = 2.0
"""Time in which the crowd's targets, which run in this process, fill all buffers."""

EVENT_BYTES = 200_000
TRAILERS = b"X-Field: value\r\n" * 1_000
TRAILERS_MAX_BYTES = 60_000_000
LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 4_194_304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15_000,
}
LONG = b"X-Long: " + b"x" * 17_000
SMALL_BODY = b"small" * 200


def add_long_target(platform: Platform, name: str, service: str) -> None:
    """Add a target whose answers and events are long."""
    layers = LayerRange(0, LAYERS) if service == "drafts" else None
    target = platform.add_target(name, service, "ba-hall", layers)

    def answer(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        headers = {key.lower(): value for key, value in environ[HEADERS_KEY]}
        if "attempt-id" not in headers:
            return target(environ, start_response)
        fields = [("Attempt-Id", headers["attempt-id"]), ("Server-Signature", "long")]
        if service == "trailers":
            send_head(environ[SOCKET_KEY], [*fields, ("Transfer-Encoding", "chunked")])
            raise send_trailers(environ[SOCKET_KEY])
        if service == "endless":
            start_response(status_line(200), fields)
            return endless()
        if service != "drafts":
            start_response(status_line(200), fields)
            return [LONG_ANSWER]
        fields.append(("Content-Type", "text/event-stream"))
        start_response(status_line(200), fields)
        return events()

    def endless() -> Iterator[bytes]:
        while True:
            yield b"x" * 16_384

    def events() -> Iterator[bytes]:
        for number in range(1, EVENTS + 1):
            yield b"id: %d\ndata: " % number + b"x" * EVENT_BYTES + b"\n\n"

    target.server.application = answer


def send_trailers(connection: socket.socket) -> OSError:
    """Send a body and header lines behind it until the caller closes."""
    try:
        connection.sendall(b"2\r\nok\r\n0\r\n")
        for _ in range(TRAILERS_MAX_BYTES // len(TRAILERS)):
            connection.sendall(TRAILERS)
    except OSError:
        # The router gives the answer up.
        return end_answer(connection)
    return end_answer(connection)


@given("a platform with targets for a crowd")
def start_platform(context: Context) -> None:
    config = build_configuration(limits=LIMITS)
    # The crowd's answers are long, and no time is checked.
    config["routes"] = [{**each, "timeout-ms": 20_000} for each in config["routes"]]
    for name in ("long", "endless", "trailers"):
        times = {"timeout-ms": 20_000}
        config["routes"].append(build_route(f"/{name}/", "idempotent", name, **times))
        config["services"].append({"name": name, "health-path": "/healthz"})
    context.platform = Platform()
    context.platform.start(config)
    context.stoppables.append(context.platform)
    context.platform.add_target("lookup-1", "lookups", "ba-hall")
    add_long_target(context.platform, "long-1", "long")
    add_long_target(context.platform, "endless-1", "endless")
    add_long_target(context.platform, "trailers-1", "trailers")
    add_long_target(context.platform, "draft-1", "drafts")


def start_router(context: Context, **limits: int) -> None:
    """Start a router process on a VM with the given limits."""
    context.limited_router = LimitedRouter(context.platform, **limits)
    context.stoppables.append(context.limited_router)
    eventually(context.limited_router.is_ready, 30.0)


@given("a router process on a VM with {memory_mb:d} MB")
def start_with_memory(context: Context, memory_mb: int) -> None:
    start_router(context, memory_mb=memory_mb, max_fds=4100)


@given("a router process on a VM with {memory_mb:d} MB and {count:d} descriptors")
def start_with_descriptors(context: Context, memory_mb: int, count: int) -> None:
    start_router(context, memory_mb=memory_mb, max_fds=count)


def start_crowd(context: Context, listener: str) -> Crowd:
    """Return a crowd at one of the router's listeners."""
    crowd = Crowd(context.limited_router.addresses[listener])
    context.stoppables.append(crowd)
    return crowd


@when("{count:d} clients send {crowd} to its {listener} listener")
def send_crowd(context: Context, count: int, crowd: str, listener: str) -> None:
    start_crowd(context, listener).send_all(count, CROWDS[crowd])


OPEN_HEADS = {
    "18900 bytes of headers": request_line() + b"X-Fill: aaaaaaaaaa\r\n" * 90 + LONG,
    "101 header lines": request_line() + b"X-Fill: a\r\n" * 101,
    "a long request line": b"GET /" + b"x" * 9000,
    "5 empty lines": b"\r\n" * 5,
    "half a request line": b"GET /loo",
    "1 empty line": b"\r\n",
}


@when("a client sends {head} and leaves the head open")
def send_open_head(context: Context, head: str) -> None:
    context.connection = open_connection(context.limited_router.caller_address)
    context.connection.sendall(OPEN_HEADS[head])


@then("it gets status {status:d}")
def check_open_head(context: Context, status: int) -> None:
    line = read_status_line(context.connection)
    assert line.split()[1:2] == [str(status).encode()], line


@when("{count:d} clients request {path} and read slowly")
def read_crowd(context: Context, count: int, path: str) -> None:
    context.crowd = start_crowd(context, "callers")
    context.crowd.read_slowly(count, path)
    gevent.sleep(SETTLE_S)


def is_false_end(answer: bytes) -> bool:
    """Return whether an answer looks complete although a part of it is missing."""
    head, _, body = answer.partition(b"\r\n\r\n")
    if b" 200 " not in head:
        return False
    if b"chunked" in head.lower():
        return body.endswith(LAST_CHUNK) and body.count(b"id: ") != EVENTS
    length = re.search(rb"content-length: (\d+)", head.lower())
    return length is None or int(length[1]) != len(LONG_ANSWER)


@then("no answer that was cut looks complete")
def check_cut_answers(context: Context) -> None:
    crowd = context.crowd
    tasks = [gevent.spawn(crowd.read_rest, each) for each in crowd.connections]
    gevent.joinall(tasks)
    false_ends = [task.value[:300] for task in tasks if is_false_end(task.value)]
    assert not false_ends, false_ends


@then("the process lives, within {memory_mb:d} MB")
def check_memory(context: Context, memory_mb: int) -> None:
    router = context.limited_router
    assert router.process.poll() is None, router.process.returncode
    peak_bytes = router.memory_peak_bytes
    assert peak_bytes <= memory_mb * MEGABYTE, peak_bytes


@then("the process has at most {count:d} descriptors")
def check_descriptors(context: Context, count: int) -> None:
    descriptors = context.limited_router.descriptors
    assert descriptors <= count, descriptors


def request(context: Context, body: bytes | Iterable[bytes]) -> tuple[int, bytes]:
    """Send an ordinary request and return the status and body of its answer."""
    address = context.limited_router.caller_address
    connection = http.client.HTTPConnection(address.host, address.port, timeout=20)
    try:
        headers = build_request_headers("ordinary", 10.0)
        connection.request("POST", "/lookup/a", body=body, headers=headers)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


@then("an ordinary request is answered")
def check_answered(context: Context) -> None:
    answer = request(context, SMALL_BODY)
    assert answer == (200, b"answer to ordinary"), answer


@then("an ordinary request with a chunked body is answered")
def check_chunked_answered(context: Context) -> None:
    answer = request(context, iter([SMALL_BODY]))
    assert answer == (200, b"answer to ordinary"), answer


@then("the process is ready")
def check_ready(context: Context) -> None:
    eventually(context.limited_router.is_ready, 10.0)
