"""The WSGI server that all HTTP listeners of the project use."""

import errno
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import closing
from socket import socket
from typing import Any

import gevent
import gevent.pool
import gevent.socket
from gevent.pywsgi import WSGIServer

from chervilstall.http_response import HttpResponse
from chervilstall.process_limits.connections import (
    Silence,
    SilentConnection,
    choose_to_close,
)
from chervilstall.settings.option import Address
from chervilstall.telemetry.events import EventLog
from chervilstall.waiting import is_readable
from chervilstall.wsgi_handler import (
    HEADERS_KEY,
    REQUEST_TARGET_KEY,
    RESET_ON_CLOSE,
    SOCKET_KEY,
    Application,
    Environ,
    Handler,
    default_bad_request_response,
    read_body,
)
from chervilstall.wsgi_head import HeaderTimeout

__all__ = [
    "HEADERS_KEY",
    "REQUEST_TARGET_KEY",
    "RESET_ON_CLOSE",
    "SOCKET_KEY",
    "Environ",
    "Handler",
    "Server",
    "read_body",
]

log = EventLog("listener")

SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
ACCEPT_PAUSE_S = 0.1
"""Pause of accepting while nothing can be closed for another connection."""

CLOSED_AT_ONCE_PART = 32
"""A listener at its limit closes one in so many of its connections at once."""

HEAD_MAX_BYTES = 65_536
"""Largest header of a request at a listener whose peers set no lower limit."""

QUIET_POLL_S = 0.05
QUIET_POLLS_MIN = 2
"""Polls without a request after which none is about to be read either."""

ACCEPT_MAX_S = 0.2
"""Longest time for accepting the connections that wait as a listener is closed."""

ACCEPT_POLL_S = 0.001


class NullLog:
    """Discards the server's access log; components write logs of their own."""

    def write(self, message: str) -> None:
        """Discard `message`."""


def _listener_and_host(address: Address | socket) -> tuple[Any, str]:
    """Return the listener argument for gevent's server, and the host."""
    match address:
        case Address(host, port):
            return (host, port), host
        case socket():
            listener = gevent.socket.socket(fileno=address.detach())
            listener.setblocking(False)
            return listener, listener.getsockname()[0]


class Server(WSGIServer):
    """A WSGI server that runs one task per connection.

    `address` may also be a socket that is already listening. `bad_request_response`
    builds the response to a request that the HTTP parser rejected, from its status.
    With port 0 the operating system chooses a port; read `bound_address` after
    `start`.
    """

    handler_class = Handler

    def __init__(
        self,
        address: Address | socket,
        application: Application,
        connections_max: int = 10_000,
        header_timeout_s: float = 10.0,
        idle_timeout_s: float = 120.0,
        bad_request_response: Callable[
            [int], HttpResponse
        ] = default_bad_request_response,
        **ssl_arguments: Any,
    ) -> None:
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.bad_request_response = bad_request_response
        self.connections = gevent.pool.Pool(connections_max)
        self.head_bytes_max = HEAD_MAX_BYTES
        self.idle: dict[Handler, None] = {}
        self.inside_head: dict[Handler, None] = {}
        self.lingering: dict[Handler, None] = {}
        self.counters: Counter[str] = Counter()
        self.evict_stalled: Callable[[int], int] = lambda count: 0
        self.is_closing_idle = False
        self._handshakes = 0
        self._is_awaiting_room = False
        listener, host = _listener_and_host(address)
        super().__init__(
            listener,
            application,
            log=NullLog(),
            error_log=NullLog(),
            spawn=self.connections,
            # Otherwise the server would look up the name of its own address in DNS.
            environ={"SERVER_NAME": host},
            **ssl_arguments,
        )
        # gevent asks this before each accept.
        self.full = self._make_room

    @property
    def bound_address(self) -> Address:
        """Return the address that the listener is bound to."""
        return Address(self.server_host, self.server_port)

    @property
    def busy_connections(self) -> int:
        """Return the number of connections that read, serve or have got a request."""
        unread = sum(handler.has_unread_bytes() for handler in self.idle)
        silent = len(self.idle) + self._handshakes
        return len(self.connections) - silent + unread

    def wrap_socket_and_handle(self, client_socket: Any, address: Any) -> Any:
        """Serve a TLS connection; until its handshake is over it asks for nothing."""
        self._handshakes += 1
        try:
            with gevent.Timeout(self.header_timeout_s, HeaderTimeout):
                tls_socket = self.wrap_socket(client_socket, **self.ssl_args)
        except (OSError, HeaderTimeout):
            client_socket.close()
            return None
        finally:
            self._handshakes -= 1
        with closing(tls_socket):
            return self.handle(tls_socket, address)

    def do_read(self) -> Any:
        """Accept a connection; pause where descriptors or memory do not suffice."""
        try:
            return super().do_read()
        except OSError as error:
            if error.errno not in SHORTAGES:
                raise
            self.counters["accepts_failed"] += 1
            log.routine("accept failed", listener=str(self.address), why=str(error))
            self._close_silent()
            self.stop_accepting()
            gevent.spawn_later(ACCEPT_PAUSE_S, self._start_accepting_if_started)
            return None

    def _make_room(self) -> bool:
        """Return whether no connection can be accepted now; close silent ones if so."""
        if not self.connections.full():
            return False
        if not self._close_silent() and not self._is_awaiting_room:
            self._is_awaiting_room = True
            gevent.spawn(self._await_room)
        return True

    def _await_room(self) -> None:
        """Close silent connections as soon as there are any, while no place is free."""
        while self.started and self.connections.full() and not self._close_silent():
            gevent.sleep(ACCEPT_PAUSE_S)
        self._is_awaiting_room = False

    def _close_silent(self) -> int:
        """Close some of the connections that run no request; return their number.

        Without any, requests whose clients have stalled are evicted.
        """
        count = max(1, self.connections.size // CLOSED_AT_ONCE_PART)
        chosen = choose_to_close(self._silent_connections(), count)
        if not chosen:
            evicted = self.evict_stalled(count)
            self.counters["stalled_evicted"] += evicted
            return evicted
        for each in chosen:
            self.counters[f"closed_{each.silence.value}"] += 1
            each.connection.disconnect()
        log.routine(
            "closed silent connections",
            listener=str(self.address),
            count=len(chosen),
            waited_for=chosen[0].silence.value,
            address=chosen[0].address,
            open=len(self.connections),
        )
        return len(chosen)

    def _silent_connections(self) -> Iterator[SilentConnection[Handler]]:
        for handler in self.lingering:
            yield handler.silent_connection(Silence.REFUSED)
        for handler in self.idle:
            if not handler.has_unread_bytes():
                yield handler.silent_connection(handler.idle_silence)
        for handler in self.inside_head:
            yield handler.silent_connection(Silence.HEAD)

    def wait_until_quiet(
        self, count_running: Callable[[], int], until_s: float
    ) -> bool:
        """Wait until no request runs or is being read; return whether that is so.

        `count_running` returns the number of requests that the application runs, and
        `until_s` is the monotonic time at which the wait ends at the latest.
        """
        quiet_polls = 0
        while quiet_polls < QUIET_POLLS_MIN and time.monotonic() < until_s:
            gevent.sleep(QUIET_POLL_S)
            is_busy = count_running() or self.busy_connections
            quiet_polls = 0 if is_busy else quiet_polls + 1
        return quiet_polls >= QUIET_POLLS_MIN

    def close_idle(self) -> None:
        """Close idle connections, and others as soon as they become idle.

        A new connection still gets a response to its first request.
        """
        self.is_closing_idle = True
        for handler in list(self.idle):
            if not handler.has_unread_bytes():
                handler.disconnect()

    def stop_listening(self) -> None:
        """Close the listener once every connection that waits there is accepted.

        The operating system would reset those that still wait, whose callers may have
        sent their requests already.
        """
        until_s = time.monotonic() + ACCEPT_MAX_S
        while self._has_waiting_connections() and time.monotonic() < until_s:
            gevent.sleep(ACCEPT_POLL_S)
        self.close()

    def _has_waiting_connections(self) -> bool:
        return not self.closed and is_readable(self.socket)

    def kill_connections(self) -> None:
        """Close the listener and terminate every open connection."""
        self.close()
        self.connections.kill(block=False)
