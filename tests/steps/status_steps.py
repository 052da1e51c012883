"""Steps for targets whose answers have a status that HTTP doesn't know."""

import time
from collections.abc import Iterable

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.http_response import StartResponse
from chervilstall.standin.platform_target import PlatformTarget
from chervilstall.standin.unframed import end_answer
from chervilstall.wsgi import HEADERS_KEY, SOCKET_KEY, Environ
from tests.steps.request_steps import PATHS
from tests.support.platform import send
from tests.support.platform_scenario import own_first, own_lookup

STAYS_OPEN_S = 5.0
"""Time for which the target keeps the connection open after its answer."""


def answer_oddly(target: PlatformTarget, status: str) -> None:
    """Let a target answer requests of callers with a status, signed and with a body."""
    usual = target.server.application

    def answer(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        fields = {name.lower(): value for name, value in environ[HEADERS_KEY]}
        if "attempt-id" not in fields:
            return usual(environ, start_response)
        lines = [f"HTTP/1.1 {status} Odd", f"Attempt-Id: {fields['attempt-id']}"]
        lines += ["Server-Signature: odd", "Content-Length: 5", "", "wrong"]
        environ[SOCKET_KEY].sendall("\r\n".join(lines).encode())
        gevent.sleep(STAYS_OPEN_S)
        raise end_answer(environ[SOCKET_KEY])

    target.server.application = answer


@given("the target of the own zone answers with status {status:w}")
def set_odd_lookup(context: Context, status: str) -> None:
    answer_oddly(own_lookup(context), status)


@given("the first target of the own zone answers with status {status:w}")
def set_odd_first(context: Context, status: str) -> None:
    answer_oddly(own_first(context), status)


@when("a {kind:w} request is sent, and timed")
def send_timed(context: Context, kind: str) -> None:
    began_at_s = time.monotonic()
    context.response = send(context.router, PATHS[kind])
    context.elapsed_s = time.monotonic() - began_at_s


@then("it came within {limit_s:d} s")
def check_elapsed(context: Context, limit_s: int) -> None:
    assert context.elapsed_s <= limit_s, context.elapsed_s
