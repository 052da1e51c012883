"""Steps for listeners that run out of descriptors or connections."""

import errno
from typing import Any

from behave import given, then, when
from behave.runner import Context

from chervilstall.http_response import json_response
from chervilstall.process_limits.connections import (
    Silence,
    SilentConnection,
    choose_to_close,
)
from chervilstall.wsgi import Server
from tests.steps.start_steps import read_status_line
from tests.support.platform import open_connection, raw_request
from tests.support.router_harness import ANY_PORT


class FailingListener:
    """A listening socket whose next accepts fail for lack of descriptors."""

    def __init__(self, listener: Any, failures: int) -> None:
        self._listener = listener
        self._failures = failures

    def _accept(self) -> Any:
        if self._failures:
            self._failures -= 1
            raise OSError(errno.EMFILE, "too many open files")
        return self._listener._accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)


class StoppableServer(Server):
    """A listener that the test stops at its end."""

    def stop(self, timeout: float | None = None) -> None:
        """Close all connections."""
        self.kill_connections()


@given("a listener whose next {count:d} accepts fail for lack of descriptors")
def start_failing(context: Context, count: int) -> None:
    def serve(environ: Any, start_response: Any) -> list[bytes]:
        return json_response(200, {}).start(start_response)

    context.listener = StoppableServer(ANY_PORT, serve)
    context.listener.start()
    context.listener.socket = FailingListener(context.listener.socket, count)
    context.stoppables.append(context.listener)


@when("a client connects to the listener and sends a request")
def send_request(context: Context) -> None:
    context.connection = open_connection(context.listener.bound_address)
    context.connection.sendall(raw_request("/"))


@then("the listener answers it, and has counted {count:d} failures")
def check_answer(context: Context, count: int) -> None:
    line = read_status_line(context.connection)
    assert line.split()[1:2] == [b"200"], line
    assert context.listener.counters["accepts_failed"] == count


def names_closed(count: int, *silent: tuple[str, Silence, str]) -> list[str]:
    """Return the names of the connections that are closed first."""
    connections = [SilentConnection(*each) for each in silent]
    return [each.connection for each in choose_to_close(connections, count)]


@then("refused connections are closed before silent, idle and half-open ones")
def check_order(context: Context) -> None:
    closed = names_closed(
        4,
        ("head", Silence.HEAD, "a"),
        ("idle", Silence.NEXT_REQUEST, "a"),
        ("silent", Silence.FIRST_BYTE, "a"),
        ("refused", Silence.REFUSED, "a"),
    )
    assert closed == ["refused", "silent", "idle", "head"], closed


@then("of two addresses the one with more connections is closed first")
def check_addresses(context: Context) -> None:
    closed = names_closed(
        2,
        ("b1", Silence.FIRST_BYTE, "b"),
        ("a1", Silence.FIRST_BYTE, "a"),
        ("a2", Silence.FIRST_BYTE, "a"),
    )
    assert closed == ["a1", "a2"], closed
