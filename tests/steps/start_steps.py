"""Steps about how the router on the platform starts as a program."""

import http.client
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.commands.listening import bind_listener
from chervilstall.settings.option import Address
from chervilstall.standin.platform_fixtures import build_node_file
from tests.support.agent_fleet import eventually
from tests.support.platform import Platform, open_connection, raw_request
from tests.support.router_harness import ANY_PORT, HOST

SETTINGS_VARIABLE = "CHERVILSTALL_NODE_FILE"
LOADED = "import sys; {first}; print(*sys.modules); {then}; print(*sys.modules)"
END_WITHIN_S = 20.0


def free_address() -> Address:
    """Return an address that nothing listens on."""
    probe = bind_listener(ANY_PORT)
    host, port = probe.getsockname()
    probe.close()
    return Address(host, port)


class Program:
    """The router as a program, with its settings file."""

    def __init__(self, platform: Platform) -> None:
        self.callers = free_address()
        self.ready = Address(self.callers.host, self.callers.port + 1)
        folder = tempfile.TemporaryDirectory()
        self._folder = folder
        path = Path(folder.name) / "node.json"
        settings = build_node_file(
            "vm-1",
            HOST,
            "ba-hall",
            self.callers.port,
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
        """Return whether the program says that it is ready."""
        connection = http.client.HTTPConnection(self.ready.host, self.ready.port)
        try:
            connection.request("GET", "/chervilstall/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def can_connect(self) -> bool:
        """Return whether the program takes connections of callers."""
        try:
            open_connection(self.callers).close()
        except OSError:
            return False
        return True

    def ask(self, path: str, request: str) -> bytes:
        """Send a request and return the first line of its answer."""
        connection = open_connection(self.callers)
        connection.sendall(raw_request(path, request))
        return first_line(connection)

    def stop(self) -> None:
        """End the program at once."""
        self.process.kill()
        self.process.wait()
        self._folder.cleanup()


def first_line(connection: object) -> bytes:
    """Read the first line of an answer and close the connection."""
    with connection, connection.makefile("rb") as stream:  # type: ignore[attr-defined]
        return stream.readline()


@given("a listener that is bound before its router exists")
def bind_early(context: Context) -> None:
    context.listener = bind_listener(ANY_PORT)


@when("a caller sends a request to it")
def send_early(context: Context) -> None:
    address = Address(*context.listener.getsockname())
    context.connection = open_connection(address)
    context.connection.sendall(raw_request("/lookup/a"))


@when("the router of the listener starts")
def start_late(context: Context) -> None:
    context.router = context.platform.add_router(callers=context.listener)


@then("the caller is answered with status {status:d}")
def check_status(context: Context, status: int) -> None:
    line = first_line(context.connection)
    assert line.split()[1:2] == [str(status).encode()], line


@when("the modules of the router are loaded in a process of their own")
def load_modules(context: Context) -> None:
    code = LOADED.format(
        first="import chervilstall.commands.edge",
        then="import chervilstall.commands.signals, chervilstall.edge.server",
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    context.early, context.loaded = (
        set(line.split()) for line in done.stdout.splitlines()
    )


@then('none of "{names}" is loaded')
def check_not_loaded(context: Context, names: str) -> None:
    found = context.loaded & set(names.split())
    assert not found, found


@then('the listener can be bound before "{name}" is loaded')
def check_loaded_later(context: Context, name: str) -> None:
    assert name not in context.early
    assert name in context.loaded
    assert "chervilstall.commands.listening" in context.early


@given("the router runs as a program of its own")
def run_program(context: Context) -> None:
    context.program = Program(context.platform)
    context.stoppables.append(context.program)
    eventually(context.program.is_ready, 30.0)


@when("a request that hangs and an idempotent request are sent at once")
def send_side_by_side(context: Context) -> None:
    ask: Callable[[str, str], bytes] = context.program.ask
    tasks = [
        gevent.spawn(ask, "/hold/a", "r1"),
        gevent.spawn(ask, "/lookup/a", "r2"),
    ]
    context.lines = [task.get() for task in tasks]


@then("both are answered, the second by another target")
def check_side_by_side(context: Context) -> None:
    statuses = [line.split()[1] for line in context.lines]
    assert statuses == [b"504", b"200"], context.lines


@then("the program ends with code {code:d} when it is told to stop")
def check_end(context: Context, code: int) -> None:
    context.program.process.terminate()
    assert context.program.process.wait(END_WITHIN_S) == code


@when("the router as a program is told to reload as soon as callers can connect")
def reload_early(context: Context) -> None:
    context.program = Program(context.platform)
    context.stoppables.append(context.program)
    eventually(context.program.can_connect, 30.0)
    context.program.process.send_signal(signal.SIGHUP)


@then("the program becomes ready")
def check_becomes_ready(context: Context) -> None:
    eventually(context.program.is_ready, 30.0)
