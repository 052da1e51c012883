"""Simulated accelerator: a fixed capacity that serves steps in order of priority.

A step occupies the accelerator for layers × tokens ÷ capacity seconds. Steps run by
priority, then in order of arrival. A more urgent step preempts the running one, which
later resumes with its remaining cost. The worker accumulates the cost of several steps
and sleeps once per slice, so that the rate is exact on average without a timer per
step.
"""

import heapq
import itertools
import time
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from chervilstall.target.contract import Priority

SLICE_S = 0.002
"""Cost that is accumulated before the worker sleeps."""


@dataclass(order=True)
class _Step:
    priority: int
    arrival: int
    cost_s: float = field(compare=False)
    done: Event = field(compare=False, default_factory=Event)


class Processor:
    """Queue and worker of one accelerator.

    `layer_tokens_per_s` is its capacity; with 0, steps complete at once. `busy_s` is
    the time that all steps so far have cost.
    """

    def __init__(self, layer_tokens_per_s: float) -> None:
        self.layer_tokens_per_s = layer_tokens_per_s
        self.busy_s = 0.0
        self.waiting: list[_Step] = []
        self._arrivals = itertools.count()
        self._wake = Event()
        self._preempt = Event()
        self._running: _Step | None = None
        self._worker = gevent.spawn(self._run_steps) if layer_tokens_per_s else None

    def run(self, layer_tokens: float, priority: Priority) -> None:
        """Wait until a step that costs `layer_tokens` (layers × tokens) has run."""
        if self._worker is None:
            return
        cost_s = layer_tokens / self.layer_tokens_per_s
        step = _Step(priority.value, next(self._arrivals), cost_s)
        heapq.heappush(self.waiting, step)
        self._wake.set()
        if self._running is not None and step.priority < self._running.priority:
            self._preempt.set()
        step.done.wait()

    def stop(self) -> None:
        """Stop the worker. Steps that still wait never complete."""
        if self._worker is not None:
            self._worker.kill(block=False)

    def _run_steps(self) -> None:
        busy_until_s = time.monotonic()
        while True:
            if not self.waiting:
                self._wake.clear()
                self._wake.wait()
                # Idle time isn't credited to later steps.
                busy_until_s = time.monotonic()
            # A timer that fired late is compensated, by one slice at most.
            busy_until_s = max(busy_until_s, time.monotonic() - SLICE_S)
            batch = []
            while self.waiting and busy_until_s < time.monotonic() + SLICE_S:
                step = heapq.heappop(self.waiting)
                busy_until_s += step.cost_s
                self.busy_s += step.cost_s
                batch.append(step)
            busy_until_s = self._wait_or_preempt(batch, busy_until_s)
            for step in batch:
                step.done.set()

    def _wait_or_preempt(self, steps: list[_Step], busy_until_s: float) -> float:
        """Wait until `busy_until_s`, or until a more urgent step arrives.

        On preemption the last of `steps` is taken out and queued again with its
        remaining cost. Returns the time, on the monotonic clock, until which the
        completed steps occupy the accelerator.
        """
        self._running = steps[-1]
        self._preempt.clear()
        is_preempted = self._preempt.wait(max(0.0, busy_until_s - time.monotonic()))
        self._running = None
        remaining_s = busy_until_s - time.monotonic()
        if not is_preempted or remaining_s <= 0.0:
            return busy_until_s
        preempted = steps.pop()
        preempted.cost_s = min(remaining_s, preempted.cost_s)
        self.busy_s -= preempted.cost_s
        heapq.heappush(self.waiting, preempted)
        return busy_until_s - preempted.cost_s
