"""Steps that start the router as a separate process."""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import gevent
from behave import given, then, when
from behave.runner import Context
from gevent.monkey import get_original

from chervilstall.commands.listening import bind_listener
from chervilstall.edge.server import EdgeServer
from chervilstall.platform.config import decode_configuration
from chervilstall.settings.option import Address
from chervilstall.standin.platform_fixtures import build_configuration, build_node_file
from chervilstall.wsgi import HEADERS_KEY, REQUEST_TARGET_KEY
from tests.support.agent_fleet import eventually
from tests.support.platform import Platform, open_connection, raw_request
from tests.support.router_harness import ANY_PORT, HOST

SETTINGS_VARIABLE = "CHERVILSTALL_NODE_FILE"
PRINT_MODULES = "import sys; {first}; print(*sys.modules); {then}; print(*sys.modules)"
EXIT_TIMEOUT_S = 20.0
BLOCK = get_original("time", "sleep")
"""Blocks the whole process, unlike the patched function."""


def free_address() -> Address:
    """Return an address that nothing listens on."""
    probe = bind_listener(ANY_PORT)
    host, port = probe.getsockname()
    probe.close()
    return Address(host, port)


class RouterProcess:
    """The router in a process of its own, with its settings file."""

    def __init__(self, platform: Platform) -> None:
        self.caller_address = free_address()
        self.ready_address = Address(
            self.caller_address.host, self.caller_address.port + 1
        )
        folder = tempfile.TemporaryDirectory()
        self._folder = folder
        path = Path(folder.name) / "node.json"
        settings = build_node_file(
            "vm-1",
            HOST,
            "ba-hall",
            self.caller_address.port,
            str(platform.store.address),
            grace_s=4.0,
            retry_min_extra=40,
        )
        path.write_bytes(settings)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "chervilstall.commands.edge"],
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            stdout=subprocess.DEVNULL,
        )

    def is_ready(self) -> bool:
        """Return whether the process reports that it is ready."""
        connection = http.client.HTTPConnection(
            self.ready_address.host, self.ready_address.port
        )
        try:
            connection.request("GET", "/chervilstall/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def can_connect(self) -> bool:
        """Return whether the process accepts connections of callers."""
        try:
            open_connection(self.caller_address).close()
        except OSError:
            return False
        return True

    def send(self, path: str, request: str) -> bytes:
        """Send a request and return the status line of its response."""
        connection = open_connection(self.caller_address)
        connection.sendall(raw_request(path, request))
        return read_status_line(connection)

    def stop(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()
        self._folder.cleanup()


def read_status_line(connection: object) -> bytes:
    """Read the status line of a response and close the connection."""
    with connection, connection.makefile("rb") as stream:  # type: ignore[attr-defined]
        return stream.readline()


@given("a listener that is bound before its router exists")
def bind_listener_early(context: Context) -> None:
    context.listener = bind_listener(ANY_PORT)


@when("a caller sends a request to it")
def send_before_start(context: Context) -> None:
    address = Address(*context.listener.getsockname())
    context.connection = open_connection(address)
    context.connection.sendall(raw_request("/lookup/a"))


@when("{count:d} callers send requests to it and leave")
def send_and_leave(context: Context, count: int) -> None:
    address = Address(*context.listener.getsockname())
    for number in range(count):
        connection = open_connection(address)
        connection.sendall(raw_request("/lookup/a", f"left-{number}"))
        connection.close()
    context.connection = open_connection(address)
    context.connection.sendall(raw_request("/lookup/a", "later"))


@then("a later request is answered, and none of theirs ran")
def check_none_ran(context: Context) -> None:
    check_status(context, 200)
    ran = context.platform.executed_request_ids()
    assert ran == ["later"], ran


@when("the router of the listener starts")
def start_on_listener(context: Context) -> None:
    context.router = context.platform.add_router(callers=context.listener)


@then("the caller gets status {status:d}")
def check_status(context: Context, status: int) -> None:
    line = read_status_line(context.connection)
    assert line.split()[1:2] == [str(status).encode()], line


@when("the modules of the router are imported in a separate process")
def import_modules(context: Context) -> None:
    code = PRINT_MODULES.format(
        first="import chervilstall.commands.edge",
        then="import chervilstall.commands.signals, chervilstall.edge.server",
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    context.imported_early, context.imported = (
        set(line.split()) for line in done.stdout.splitlines()
    )


@then('none of "{names}" is imported')
def check_not_imported(context: Context, names: str) -> None:
    found = context.imported & set(names.split())
    assert not found, found


@then('the listener can be bound before "{name}" is imported')
def check_imported_later(context: Context, name: str) -> None:
    assert name not in context.imported_early
    assert name in context.imported
    assert "chervilstall.commands.listening" in context.imported_early


@given("the router runs in a separate process")
def run_process(context: Context) -> None:
    context.router_process = RouterProcess(context.platform)
    context.stoppables.append(context.router_process)
    eventually(context.router_process.is_ready, 30.0)


@when("a request that hangs and an idempotent request are sent at once")
def send_concurrently(context: Context) -> None:
    send: Callable[[str, str], bytes] = context.router_process.send
    tasks = [
        gevent.spawn(send, "/hold/a", "r1"),
        gevent.spawn(send, "/lookup/a", "r2"),
    ]
    context.status_lines = [task.get() for task in tasks]


@then("the first times out and another target serves the second")
def check_concurrent(context: Context) -> None:
    statuses = [line.split()[1] for line in context.status_lines]
    assert statuses == [b"504", b"200"], context.status_lines


@then("the process exits with code {code:d} on SIGTERM")
def check_exit(context: Context, code: int) -> None:
    context.router_process.process.terminate()
    assert context.router_process.process.wait(EXIT_TIMEOUT_S) == code


@when("a router process receives SIGHUP as soon as callers can connect")
def send_early_reload(context: Context) -> None:
    context.router_process = RouterProcess(context.platform)
    context.stoppables.append(context.router_process)
    eventually(context.router_process.can_connect, 30.0)
    context.router_process.process.send_signal(signal.SIGHUP)


@then("the process becomes ready")
def check_becomes_ready(context: Context) -> None:
    eventually(context.router_process.is_ready, 30.0)


@given("a router that has not read the store")
def create_router(context: Context) -> None:
    settings = context.platform.node_settings()
    context.router = EdgeServer(settings, Path("/nonexistent"), 0)


@when("its event loop stands still while a request waits, it reads, a request comes")
def stall_beside_first_read(context: Context) -> None:
    app, view = context.router.app, context.router.fleet_view
    configuration = decode_configuration(json.dumps(build_configuration()).encode())
    app.startup_wait_until_s = time.monotonic() + 0.1

    def finish_reading() -> None:
        view.apply_configuration(configuration, 1)
        view.retain_targets(())

    def request() -> str:
        statuses: list[str] = []
        environ = {HEADERS_KEY: [], REQUEST_TARGET_KEY: "/unknown"}
        b"".join(app(environ, lambda status, headers: statuses.append(status)))
        return statuses[0]

    # All are due while the loop stands still, so one turn runs them in this order.
    waiting = gevent.spawn(request)
    gevent.spawn_later(0.08, finish_reading)
    late = gevent.spawn_later(0.09, request)
    context.requests = [waiting, late]
    context.add_cleanup(gevent.killall, context.requests)
    gevent.sleep(0.05)
    BLOCK(0.2)


@then("each request to the router is answered with status {status:d}")
def check_each_status(context: Context, status: int) -> None:
    gevent.joinall(context.requests, timeout=2.0)
    found = [task.value for task in context.requests]
    assert all(line and line.startswith(f"{status} ") for line in found), found
