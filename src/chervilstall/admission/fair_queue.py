"""Start-time fair queueing of the requests of one class, by workspace.

Each workspace has a virtual time that grows by cost ÷ weight when one of its requests
starts, and the workspace with the lowest virtual time is next.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from gevent.event import Event

from chervilstall.ids import WorkspaceName

T = TypeVar("T")

RESERVE_TRIES = 8
"""Workspaces tried per start, as the next request of one may need a full target."""


@dataclass
class QueuedRequest(Generic[T]):
    """A queued request.

    `reserve` reserves capacity, or returns None if there is none. `ready` is for the
    owner of the queue, which sets it once the request has its reservation.
    """

    workspace: WorkspaceName
    weight: float
    cost: float
    reserve: Callable[[], T | None]
    queued_at_s: float
    reservation: T | None = None
    is_abandoned: bool = False
    ready: Event = field(default_factory=Event)


@dataclass
class _WorkspaceQueue:
    """Requests of one workspace; its virtual time is kept until `kept_until_s`."""

    requests: deque[QueuedRequest] = field(default_factory=deque)
    virtual_time: float = 0.0
    kept_until_s: float = float("-inf")


class FairQueue:
    """The queued requests of one class, by workspace.

    `length` counts the requests that wait. `_heap` holds the workspaces with queued
    requests, ordered by virtual time.
    """

    def __init__(self) -> None:
        self.length = 0
        self._workspaces: dict[WorkspaceName, _WorkspaceQueue] = {}
        self._heap: list[tuple[float, int, WorkspaceName]] = []
        self._entries = 0
        self._virtual_time = 0.0

    def requests(self) -> Iterator[QueuedRequest]:
        """Yield the queued requests, also those that were abandoned."""
        for queue in self._workspaces.values():
            yield from queue.requests

    def push(self, request: QueuedRequest) -> None:
        """Queue a request behind those of its workspace."""
        queue = self._workspaces.setdefault(request.workspace, _WorkspaceQueue())
        if not queue.requests:
            queue.virtual_time = self._start_time(queue, request.queued_at_s)
            self._push_workspace(request.workspace, queue)
        queue.requests.append(request)
        self.length += 1

    def abandon(self, request: QueuedRequest) -> None:
        """Take back a request that has no reservation."""
        request.is_abandoned = True
        self.length -= 1

    def keep_turn(self, workspace: WorkspaceName, now_s: float, until_s: float) -> None:
        """Keep a workspace's virtual time until `until_s`, though none of it waits.

        A request that returns by then has the place of the one that was refused.
        """
        queue = self._workspaces.setdefault(workspace, _WorkspaceQueue())
        if not any(not request.is_abandoned for request in queue.requests):
            queue.virtual_time = self._start_time(queue, now_s)
        queue.kept_until_s = until_s

    def cost_ahead(self, workspace: WorkspaceName, now_s: float) -> float:
        """Return the cost of what starts before a new request of a workspace."""
        own = self._workspaces.get(workspace, _WorkspaceQueue())
        start = self._start_time(own, now_s)
        ahead = 0.0
        for request in own.requests:
            if not request.is_abandoned:
                ahead += request.cost
                start += request.cost / request.weight
        for _, _, name in self._heap:
            if name == workspace:
                continue
            queue = self._workspaces[name]
            virtual_time = queue.virtual_time
            for request in queue.requests:
                if virtual_time >= start:
                    break
                if not request.is_abandoned:
                    ahead += request.cost
                    virtual_time += request.cost / request.weight
        return ahead

    def _start_time(self, queue: _WorkspaceQueue, now_s: float) -> float:
        if queue.requests or now_s < queue.kept_until_s:
            return queue.virtual_time
        return max(queue.virtual_time, self._virtual_time)

    def _push_workspace(self, name: WorkspaceName, queue: _WorkspaceQueue) -> None:
        # The number of the entry breaks ties, so that names are never compared.
        heapq.heappush(self._heap, (queue.virtual_time, self._entries, name))
        self._entries += 1

    def start_next(self) -> QueuedRequest | None:
        """Start the next request in fair order that can reserve capacity, or None."""
        tried: list[WorkspaceName] = []
        next_request = None
        while self._heap and len(tried) < RESERVE_TRIES:
            _, _, name = heapq.heappop(self._heap)
            queue = self._workspaces[name]
            self._drop_abandoned(queue)
            if not queue.requests:
                self._remove_unless_ahead(name, queue)
                continue
            request = queue.requests[0]
            reservation = request.reserve()
            tried.append(name)
            if reservation is None:
                continue
            request.reservation = reservation
            queue.requests.popleft()
            self.length -= 1
            self._virtual_time = max(self._virtual_time, queue.virtual_time)
            queue.virtual_time += request.cost / request.weight
            next_request = request
            break
        for name in tried:
            queue = self._workspaces[name]
            if queue.requests:
                self._push_workspace(name, queue)
        return next_request

    def _drop_abandoned(self, queue: _WorkspaceQueue) -> None:
        while queue.requests and queue.requests[0].is_abandoned:
            queue.requests.popleft()

    def _remove_unless_ahead(self, name: WorkspaceName, queue: _WorkspaceQueue) -> None:
        # A workspace ahead of the class's virtual time keeps its own, so that it gains
        # nothing by letting its queue run empty. One whose turn is kept stays, too.
        is_kept = queue.kept_until_s > float("-inf")
        if queue.virtual_time <= self._virtual_time and not is_kept:
            del self._workspaces[name]

    def prune(self, now_s: float) -> None:
        """Drop workspaces without requests whose turn is no longer kept."""
        for name, queue in list(self._workspaces.items()):
            if not queue.requests and now_s >= queue.kept_until_s:
                del self._workspaces[name]
