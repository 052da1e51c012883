"""Steps for the memory that the bodies of the gateway's callers take together."""

import dataclasses

from behave import given, then, when
from behave.runner import Context

from chervilstall.gateway.app import CHAT_PATH
from chervilstall.standin.engine import EngineOptions
from tests.steps.start_steps import read_status_line
from tests.support.agent_fleet import eventually
from tests.support.platform import open_connection
from tests.support.router_harness import TOKEN, RouterHarness, short_timeout_settings


@given("a gateway with memory for {size:d} bytes of bodies")
def start_gateway(context: Context, size: int) -> None:
    settings = short_timeout_settings()
    listen = dataclasses.replace(
        settings.listen, bodies_max_bytes=size, body_timeout_s=5.0
    )
    context.router_harness = RouterHarness(
        dataclasses.replace(settings, listen=listen), EngineOptions(load_lag_s=0.0)
    )
    context.stoppables.append(context.router_harness)


@when("{count:d} callers send {sent:d} of {length:d} bytes and stop")
def send_short(context: Context, count: int, sent: int, length: int) -> None:
    address = context.router_harness.router.server.caller_address
    head = (
        f"POST {CHAT_PATH} HTTP/1.1\r\nHost: gateway\r\n"
        f"Authorization: Bearer {TOKEN}\r\nContent-Length: {length}\r\n\r\n"
    )
    context.stopped = []
    for _ in range(count):
        connection = open_connection(address)
        connection.sendall(head.encode() + b"x" * sent)
        context.stopped.append(connection)


@then("at least {count:d} of them get 503, and at most {size:d} bytes are held")
def check_refused(context: Context, count: int, size: int) -> None:
    for connection in context.stopped[:count]:
        line = read_status_line(connection)
        assert line.split()[1:2] == [b"503"], line
    memory = context.router_harness.router.runtime.client_memory
    assert 0 < memory.used_bytes <= size, memory.used_bytes


@then("the gateway's memory for bodies is free again")
def check_free(context: Context) -> None:
    for connection in context.stopped:
        connection.close()
    memory = context.router_harness.router.runtime.client_memory
    eventually(lambda: memory.used_bytes == 0)
