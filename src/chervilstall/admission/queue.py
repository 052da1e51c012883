"""The router's queue: classes by urgency, workspaces by weight.

Inside a class, workspaces share by start-time fair queueing: each has a virtual time
that grows by cost ÷ weight as its requests start, and the workspace with the lowest
goes first. Between classes, urgent goes first; a share of the concurrency is kept for
urgent requests, and while drafts wait another share is kept from standard and urgent
ones, so drafts wait but always proceed.
"""

import heapq
import itertools
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from gevent.event import Event

from chervilstall.admission.classes import CLASS_ORDER
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import WorkspaceName
from chervilstall.settings.documents import RequestClass
from chervilstall.settings.processes import AdmissionSettings

T = TypeVar("T")

PLACE_TRIES = 8
WAIT_SMOOTHING = 0.05
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 30.0


@dataclass
class Ticket(Generic[T]):
    """A waiting request. `place` takes room at targets or returns None."""

    workspace: WorkspaceName
    request_class: RequestClass
    weight: float
    cost: float
    place: Callable[[], T | None]
    queued_at_s: float
    placement: T | None = None
    is_abandoned: bool = False
    ready: Event = field(default_factory=Event)


@dataclass
class _WorkspaceQueue:
    tickets: deque[Ticket] = field(default_factory=deque)
    virtual_time: float = 0.0


class _ClassQueue:
    """Waiting requests of one class, workspace by workspace."""

    def __init__(self) -> None:
        self.length = 0
        self.running = 0
        self.wait_s = 0.0
        self._workspaces: dict[WorkspaceName, _WorkspaceQueue] = {}
        self._heap: list[tuple[float, int, WorkspaceName]] = []
        self._order = itertools.count()
        self._virtual_time = 0.0

    def push(self, ticket: Ticket) -> None:
        queue = self._workspaces.setdefault(ticket.workspace, _WorkspaceQueue())
        if not queue.tickets:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
            self._push_workspace(ticket.workspace, queue)
        queue.tickets.append(ticket)
        self.length += 1

    def _push_workspace(self, name: WorkspaceName, queue: _WorkspaceQueue) -> None:
        heapq.heappush(self._heap, (queue.virtual_time, next(self._order), name))

    def start_next(self) -> Ticket | None:
        """Start the fairest ticket whose placement succeeds, or return None."""
        passed: list[WorkspaceName] = []
        started = None
        while self._heap and len(passed) < PLACE_TRIES:
            _, _, name = heapq.heappop(self._heap)
            queue = self._workspaces[name]
            self._drop_abandoned(queue)
            if not queue.tickets:
                self._forget_if_idle(name, queue)
                continue
            ticket = queue.tickets[0]
            placement = ticket.place()
            passed.append(name)
            if placement is None:
                continue
            ticket.placement = placement
            queue.tickets.popleft()
            self.length -= 1
            self._virtual_time = max(self._virtual_time, queue.virtual_time)
            queue.virtual_time += ticket.cost / ticket.weight
            started = ticket
            break
        for name in passed:
            queue = self._workspaces[name]
            if queue.tickets:
                self._push_workspace(name, queue)
        return started

    def _drop_abandoned(self, queue: _WorkspaceQueue) -> None:
        while queue.tickets and queue.tickets[0].is_abandoned:
            queue.tickets.popleft()

    def _forget_if_idle(self, name: WorkspaceName, queue: _WorkspaceQueue) -> None:
        # An idle workspace ahead of the class keeps its virtual time, so that
        # leaving and coming back does not earn it an extra turn.
        if queue.virtual_time <= self._virtual_time:
            del self._workspaces[name]


class AdmissionQueue:
    """Admits requests to targets under one router's concurrency.

    Every request ends in exactly one of: a placement (give it back with `finish`),
    an OVERLOADED error at once where the queue is full, or a DEADLINE_NOT_RUN error.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self._queues = {name: _ClassQueue() for name in CLASS_ORDER}
        self._is_pumping = False

    def waiting(self, request_class: RequestClass) -> int:
        """Return how many requests of a class wait."""
        return self._queues[request_class].length

    def running(self, request_class: RequestClass) -> int:
        """Return how many requests of a class run."""
        return self._queues[request_class].running

    def acquire(
        self,
        workspace: WorkspaceName,
        request_class: RequestClass,
        weight: float,
        cost: float,
        place: Callable[[], T | None],
        deadline_s: float,
    ) -> T:
        """Wait for a placement until `deadline_s`, in monotonic seconds."""
        queue = self._queues[request_class]
        if queue.length >= self.settings.queue_length:
            raise self._overloaded(queue, request_class)
        now_s = time.monotonic()
        if queue.length and now_s + queue.wait_s > deadline_s:
            raise ChervilstallError(
                ErrorKind.DEADLINE_NOT_RUN,
                f"requests of this class wait {queue.wait_s:.1f} s now",
            )
        placement = self._start_at_once(request_class, place)
        if placement is not None:
            return placement
        ticket: Ticket[T] = Ticket(workspace, request_class, weight, cost, place, now_s)
        queue.push(ticket)
        self.dispatch()
        self._wait(ticket, queue, deadline_s)
        if ticket.placement is None:
            raise ChervilstallError(
                ErrorKind.DEADLINE_NOT_RUN, "no target had room before the deadline"
            )
        return ticket.placement

    def _start_at_once(
        self, request_class: RequestClass, place: Callable[[], T | None]
    ) -> T | None:
        """Place a request past an empty queue, where nothing more urgent waits."""
        for name, queue in self._queues.items():
            if queue.length:
                return None
            if name is request_class:
                break
        if not self._has_room(request_class):
            return None
        placement = place()
        if placement is not None:
            self._queues[request_class].running += 1
        return placement

    def _wait(self, ticket: Ticket, queue: _ClassQueue, deadline_s: float) -> None:
        try:
            ticket.ready.wait(max(0.0, deadline_s - time.monotonic()))
        finally:
            if ticket.placement is None:
                ticket.is_abandoned = True
                queue.length -= 1
        waited_s = time.monotonic() - ticket.queued_at_s
        queue.wait_s += (waited_s - queue.wait_s) * WAIT_SMOOTHING

    def _overloaded(
        self, queue: _ClassQueue, request_class: RequestClass
    ) -> ChervilstallError:
        retry_after_s = min(max(queue.wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        return ChervilstallError(
            ErrorKind.OVERLOADED,
            f"the queue of {request_class.value} requests is full",
            retry_after_s,
        )

    def finish(self, request_class: RequestClass) -> None:
        """Note that a placed request ended; its room must be released before."""
        self._queues[request_class].running -= 1
        self.dispatch()

    def dispatch(self) -> None:
        """Start waiting requests while there is room for them."""
        is_idle = not any(queue.length for queue in self._queues.values())
        if self._is_pumping or is_idle:
            return
        self._is_pumping = True
        try:
            for request_class in CLASS_ORDER:
                self._pump_class(request_class)
        finally:
            self._is_pumping = False

    def _pump_class(self, request_class: RequestClass) -> None:
        queue = self._queues[request_class]
        while queue.length and self._has_room(request_class):
            ticket = queue.start_next()
            if ticket is None:
                return
            queue.running += 1
            ticket.ready.set()

    def _has_room(self, request_class: RequestClass) -> bool:
        total = self.settings.concurrency
        drafts = self._queues[RequestClass.DRAFT]
        running = sum(queue.running for queue in self._queues.values())
        if running >= total:
            return False
        urgent = self._queues[RequestClass.URGENT].running
        others = running - urgent
        reserve = int(total * self.settings.urgent_reserve_share)
        floor = max(1, int(total * self.settings.draft_floor_share))
        kept_for_drafts = max(0, floor - drafts.running) if drafts.length else 0
        match request_class:
            case RequestClass.URGENT:
                return running < total - kept_for_drafts
            case RequestClass.STANDARD:
                return others < total - reserve - kept_for_drafts
            case RequestClass.DRAFT:
                return others < max(floor, total - reserve)
