"""Which requests reuse connections to targets, and how many connections are kept.

Idempotent requests and resumable streams may: where a kept connection fails, they may
be sent again. Any other request has a connection of its own.
"""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from geventhttpclient import HTTPClient

from chervilstall.edge.exchange_failures import ExchangeFailure
from chervilstall.edge.request import EdgeRequest
from chervilstall.fleet.records import Target, TargetIncarnation, TargetReadiness
from chervilstall.fleet.view import FleetView
from chervilstall.platform.headers import ResponseHead
from chervilstall.settings.option import Address
from chervilstall.target.idle_connections import (
    REQUESTS_MAX,
    IdleConnections,
    TargetConnection,
)
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

IDLE_MAX_S = 30.0
"""Longest time that a connection stays idle, also if its target names a longer one.

A router of a large fleet sends a target a request only every few seconds.
"""

KEEP_ALIVE_MARGIN_S = 1.0
"""Time before the end that a target names, from which a connection isn't used.

It covers the network delay of a request and scheduling delays of both processes.
"""

IDLE_PER_TARGET_MAX = 8
"""Idle connections to a target whose service has no limit on connections."""

KEPT_SHARE = 0.5
"""Share of the connections that a target accepts that routers may keep or reuse.

The rest is for reports, probes, and requests with a connection of their own.
"""

IDLE_SHARE = 0.25
"""Share of the descriptors for requests at targets that idle connections may take."""

HANG_FAILURES = (ExchangeFailure.CLOSED, ExchangeFailure.TIMEOUT)
"""Failures of a kept connection without an answer after which the idle ones to the same
target are closed as well.
"""

UNNAMED_REFUSAL_S = 60.0
"""Time without kept connections to a target after its refusal that named no request.

Over a kept connection, such a refusal could be a late one of an earlier request.
"""


def carried_one_answer(head: ResponseHead, response: Any) -> bool:
    """Return whether a connection carried one complete answer and nothing else.

    The end of the answer was stated, by a length or by chunks. After a refusal or an
    error the connection isn't used again: a server that answers early may not have read
    all of the request, and may take the rest for another one.
    """
    if not (head.matches_request and head.is_signed and 200 <= head.status < 300):
        return False
    if ("content-length" in response) == ("transfer-encoding" in response):
        return False
    return bool(response.message_complete and not response.has_trailing_bytes)


@dataclass
class TargetConnections:
    """Gives requests their connections to targets, and keeps those that may be kept.

    `router_count` returns the number of routers that share the connections that a
    target accepts. `requests_max` is the number of descriptors for connections to
    targets, and `running` returns the number of running requests, each of which may
    need one. `opened` counts new connections and `reused` uses of kept ones; `in_use`
    counts those of running exchanges by address. `is_stopping` is true from the start
    of the router's drain on.
    """

    fleet_view: FleetView
    router_count: Callable[[], int]
    is_in_force: Callable[[], bool] = lambda: False
    requests_max: int = 1
    running: Callable[[], int] = lambda: 0
    opened: int = 0
    reused: int = 0
    idle: IdleConnections = field(default_factory=IdleConnections)
    in_use: Counter[Address] = field(default_factory=Counter)
    is_stopping: bool = False
    _distrusted_until_s: dict[TargetIncarnation, float] = field(default_factory=dict)

    def source(
        self, request: EdgeRequest, target: Target, attempts_left: int
    ) -> "ConnectionSource":
        """Return where an exchange of a request with a target gets its connection.

        `attempts_left` is the number of attempts that the request may still make,
        including this exchange.
        """
        return ConnectionSource(self, request, target, attempts_left)

    @property
    def keeps_any(self) -> bool:
        """Return whether the router keeps connections for requests at all."""
        return self.is_in_force() and not self.is_stopping

    def stop_keeping(self) -> None:
        """Close the idle connections and keep none from now on, as the router stops."""
        self.is_stopping = True
        self.idle.limit(0)

    def may_keep(self, request: EdgeRequest, target: Target) -> bool:
        """Return whether a request may leave its connection to a later one."""
        if not request.route.is_retryable or not self.keeps_any:
            return False
        return self.is_trusted(target.address, target.incarnation)

    def is_trusted(self, address: Address, incarnation: TargetIncarnation) -> bool:
        """Return whether a target takes new work and no failure of it is known."""
        target = self.fleet_view.targets.get(incarnation.target_id)
        if target is None or target.incarnation != incarnation:
            return False
        if target.address != address or target.state is not TargetReadiness.READY:
            return False
        if self._distrusted_until_s.get(incarnation, 0.0) > time.monotonic():
            return False
        return not self.fleet_view.is_suspected(target)

    def idle_max(self, address: Address, incarnation: TargetIncarnation) -> int:
        """Return how many connections of this router to a target may be kept open.

        Those of all routers together stay within `KEPT_SHARE` of what the target
        accepts; where that is less than one for each router, none is kept.
        """
        if not self.keeps_any or not self.is_trusted(address, incarnation):
            return 0
        target = self.fleet_view.targets[incarnation.target_id]
        configuration = self.fleet_view.configuration
        service = configuration and configuration.services.get(target.service)
        if not service or service.connections_max <= 0:
            return IDLE_PER_TARGET_MAX
        return int(KEPT_SHARE * service.connections_max) // max(1, self.router_count())

    def idle_room(self, address: Address, incarnation: TargetIncarnation) -> int:
        """Return how many idle connections may be kept beside those in use."""
        return self.idle_max(address, incarnation) - self.in_use[address]

    def make_room(self) -> None:
        """Close idle connections whose descriptors running requests may need."""
        bound = int(self.requests_max * IDLE_SHARE)
        self.idle.limit(min(bound, self.requests_max - self.running()))

    def note_unnamed_refusal(self, target: Target) -> None:
        """Record that a target refuses without naming the request."""
        if not self.keeps_any:
            return
        now_s, incarnation = time.monotonic(), target.incarnation
        if self._distrusted_until_s.get(incarnation, 0.0) <= now_s:
            log.info("connections not kept", target=target.id, why="unnamed refusal")
        self._distrusted_until_s[incarnation] = now_s + UNNAMED_REFUSAL_S

    def expire(self) -> None:
        """Close idle connections that can't be used any more; called twice a second."""
        self.idle.expire(self.idle_room)
        self.make_room()
        now_s = time.monotonic()
        for incarnation, until_s in list(self._distrusted_until_s.items()):
            if until_s <= now_s:
                del self._distrusted_until_s[incarnation]


class ConnectionSource:
    """The connection of one exchange with a target, taken, opened and given back."""

    def __init__(
        self,
        connections: TargetConnections,
        request: EdgeRequest,
        target: Target,
        attempts_left: int,
    ) -> None:
        self._connections = connections
        self._request = request
        self._target = target
        self._attempts_left = attempts_left
        self._connection: TargetConnection | None = None
        self._is_reuse = False

    def take_kept(self) -> HTTPClient | None:
        """Return the client of a kept connection, None if there is none to use.

        A kept connection may fail as the request arrives, so that none is used for the
        last attempt of a request.
        """
        connections, target = self._connections, self._target
        if self._request.avoids_kept_connections or self._attempts_left < 2:
            return None
        if not self.may_keep:
            return None
        connection = connections.idle.take(
            target.address, target.incarnation, self._request.request_id
        )
        if connection is None:
            return None
        self._is_reuse = True
        return self._begin(connection)

    @property
    def may_keep(self) -> bool:
        """Return whether a new connection may be left to a later request."""
        return self._connections.may_keep(self._request, self._target)

    def adopt(self, client: HTTPClient) -> None:
        """Record the client of a new connection, before it is opened."""
        target = self._target
        self._connections.make_room()
        self._connections.opened += 1
        self._begin(TargetConnection(client, target.address, target.incarnation))
        room = self._connections.idle_room(target.address, target.incarnation)
        self._connections.idle.limit_to(target.address, room)

    def _begin(self, connection: TargetConnection) -> HTTPClient:
        self._connection = connection
        connection.requests.add(hash(self._request.request_id))
        self._connections.in_use[connection.address] += 1
        return connection.client

    def note_not_sent(self) -> None:
        """Record that a kept connection had ended before anything was sent over it."""
        self._is_reuse = False
        log.routine(
            "kept connection had ended",
            request=self._request.request_id,
            target=self._target.id,
        )
        self.close()

    def note_failure(
        self, failure: ExchangeFailure, was_kept: bool, is_unacknowledged: bool
    ) -> None:
        """Record that the exchange failed, or was silent until its caller left.

        `was_kept` says whether no answer came over a kept connection, and
        `is_unacknowledged` whether the target's system has not acknowledged what was
        sent. Idle connections to the target are closed only where these show that they
        may have failed in the same way; other failures leave them sound.
        """
        connections, target = self._connections, self._target
        has_hung = was_kept and failure in HANG_FAILURES
        dropped = 0
        if has_hung or is_unacknowledged:
            dropped = connections.idle.drop(target.address)
        if not was_kept:
            return
        self._request.avoids_kept_connections = True
        log.info(
            "kept connection failed",
            request=self._request.request_id,
            target=target.id,
            why=failure.value,
            closed_beside=dropped,
        )

    def note_unnamed_refusal(self) -> None:
        """Record that the target refused without naming the request."""
        self._connections.note_unnamed_refusal(self._target)

    def keep(self, keep_alive_s: float | None) -> bool:
        """Keep the connection after a complete answer, if the bounds allow it.

        `keep_alive_s` is the idle time that the target names. Returns whether the
        connection was kept; the caller closes it otherwise.
        """
        connections, connection = self._connections, self._connection
        assert connection is not None
        if len(connection.requests) >= REQUESTS_MAX:
            return False
        idle_s = IDLE_MAX_S
        if keep_alive_s is not None:
            idle_s = min(idle_s, keep_alive_s - KEEP_ALIVE_MARGIN_S)
        if idle_s <= 0.0 or not self.may_keep:
            return False
        address = connection.address
        # This connection still counts as in use, so that `room` leaves a place for it.
        room = connections.idle_room(address, connection.incarnation)
        if connections.idle.count(address) > room:
            return False
        self._end()
        connections.idle.keep(connection, idle_s)
        connections.make_room()
        return True

    def close(self) -> None:
        """Close the connection, if it was not kept."""
        if self._connection is not None:
            self._connection.close()
            self._end()

    def _end(self) -> None:
        assert self._connection is not None
        self._connections.reused += self._is_reuse
        in_use = self._connections.in_use
        in_use[self._connection.address] -= 1
        if in_use[self._connection.address] <= 0:
            del in_use[self._connection.address]
        self._connection = None
