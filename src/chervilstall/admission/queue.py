"""The router's admission queue: classes by urgency, workspaces by weight.

Inside a class, workspaces share by start-time fair queueing. Between classes, the more
urgent one goes first. Part of the concurrency is reserved for urgent requests. While
drafts wait, another part is reserved for them, so that they make progress under any
load.
"""

import time
from collections.abc import Callable
from typing import TypeVar

from chervilstall.admission.classes import CLASSES_BY_URGENCY
from chervilstall.admission.fair_queue import FairQueue, QueuedRequest
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import WorkspaceName
from chervilstall.settings.documents import RequestClass
from chervilstall.settings.processes import AdmissionSettings

T = TypeVar("T")

WAIT_SMOOTHING = 0.05
"""Weight of a new sample in the moving average of the time in the queue."""

RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 30.0


class _ClassQueue(FairQueue):
    """The queued requests of one class, and the number of those that run.

    `wait_s` is a moving average of the time in the queue.
    """

    def __init__(self) -> None:
        super().__init__()
        self.running = 0
        self.wait_s = 0.0


class AdmissionQueue:
    """Admits requests to targets within the router's concurrency.

    `acquire` ends in exactly one of: a reservation, whose end the caller reports with
    `finish`; an OVERLOADED error, immediately if the queue is full; or a
    DEADLINE_NOT_RUN error.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self._queues = {name: _ClassQueue() for name in CLASSES_BY_URGENCY}
        self._is_dispatching = False

    def waiting(self, request_class: RequestClass) -> int:
        """Return the number of queued requests of a class."""
        return self._queues[request_class].length

    def running(self, request_class: RequestClass) -> int:
        """Return the number of running requests of a class."""
        return self._queues[request_class].running

    def mean_wait_s(self, request_class: RequestClass) -> float:
        """Return the moving average of the time in the queue of a class."""
        return self._queues[request_class].wait_s

    def check(self, request_class: RequestClass, deadline_s: float) -> None:
        """Raise ChervilstallError if a request would be refused without a wait."""
        queue = self._queues[request_class]
        if queue.length >= self.settings.queue_length:
            raise self._overloaded(queue, request_class)
        if queue.length and time.monotonic() + queue.wait_s > deadline_s:
            raise ChervilstallError(
                ErrorKind.DEADLINE_NOT_RUN,
                f"the mean wait, {queue.wait_s:.1f} s, exceeds the deadline",
            )

    def may_start_immediately(self, request_class: RequestClass) -> bool:
        """Return whether a request has its turn now, if a target has capacity."""
        for name, queue in self._queues.items():
            if queue.length:
                return False
            if name is request_class:
                break
        return self._has_room(request_class)

    def acquire(
        self,
        workspace: WorkspaceName,
        request_class: RequestClass,
        weight: float,
        cost: float,
        reserve: Callable[[], T | None],
        deadline_s: float,
    ) -> T:
        """Wait for a reservation until `deadline_s`, in monotonic seconds.

        `cost` is the request's size for fair queueing, such as its expected tokens.
        `reserve` may be called many times, also from other tasks; it returns None if
        the targets have no capacity.

        Raises ChervilstallError: OVERLOADED if the queue is full, DEADLINE_NOT_RUN if
        the deadline passes, or would pass at the current mean wait.
        """
        self.check(request_class, deadline_s)
        queue = self._queues[request_class]
        reservation = self._start_immediately(request_class, reserve)
        if reservation is not None:
            return reservation
        request: QueuedRequest[T] = QueuedRequest(
            workspace, weight, cost, reserve, time.monotonic()
        )
        queue.push(request)
        self.dispatch()
        self._wait(request, queue, deadline_s)
        if request.reservation is None:
            raise ChervilstallError(
                ErrorKind.DEADLINE_NOT_RUN, "no target had capacity before the deadline"
            )
        return request.reservation

    def _start_immediately(
        self, request_class: RequestClass, reserve: Callable[[], T | None]
    ) -> T | None:
        """Start a request directly if none of its class or a more urgent one waits."""
        if not self.may_start_immediately(request_class):
            return None
        reservation = reserve()
        if reservation is not None:
            self._queues[request_class].running += 1
        return reservation

    def _wait(
        self, request: QueuedRequest, queue: _ClassQueue, deadline_s: float
    ) -> None:
        try:
            request.ready.wait(max(0.0, deadline_s - time.monotonic()))
        finally:
            if request.reservation is None:
                queue.abandon(request)
        waited_s = time.monotonic() - request.queued_at_s
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
        """Record the end of an admitted request, after its reservation was released."""
        self._queues[request_class].running -= 1
        self.dispatch()

    def dispatch(self) -> None:
        """Start queued requests as long as there is capacity for them."""
        is_idle = not any(queue.length for queue in self._queues.values())
        if self._is_dispatching or is_idle:
            return
        self._is_dispatching = True
        try:
            for request_class in CLASSES_BY_URGENCY:
                self._dispatch_class(request_class)
        finally:
            self._is_dispatching = False

    def _dispatch_class(self, request_class: RequestClass) -> None:
        queue = self._queues[request_class]
        while queue.length and self._has_room(request_class):
            request = queue.start_next()
            if request is None:
                return
            queue.running += 1
            request.ready.set()

    def _has_room(self, request_class: RequestClass) -> bool:
        total = self.settings.concurrency
        drafts = self._queues[RequestClass.DRAFT]
        running = sum(queue.running for queue in self._queues.values())
        if running >= total:
            return False
        urgent = self._queues[RequestClass.URGENT].running
        others = running - urgent
        urgent_reserve = int(total * self.settings.urgent_reserve_share)
        draft_floor = max(1, int(total * self.settings.draft_floor_share))
        draft_reserve = max(0, draft_floor - drafts.running) if drafts.length else 0
        match request_class:
            case RequestClass.URGENT:
                return running < total - draft_reserve
            case RequestClass.STANDARD:
                return others < total - urgent_reserve - draft_reserve
            case RequestClass.DRAFT:
                return others < max(draft_floor, total - urgent_reserve)
