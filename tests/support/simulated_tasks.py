"""Tasks and events that run on a simulated clock, in place of gevent's."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from greenlet import getcurrent, greenlet


@dataclass
class SimulatedTasks:
    """Spawns tasks and lets them sleep, as the functions of gevent's module do.

    `run_in` runs an action a number of seconds later, in the task that creates this
    object.
    """

    run_in: Callable[[float, Callable[[], Any]], None]
    _loop: greenlet = field(default_factory=getcurrent)

    def spawn(self, function: Callable[..., object], *arguments: object) -> None:
        """Start a task with the next event."""
        task = greenlet(lambda: function(*arguments), parent=self._loop)
        self.run_in(0.0, task.switch)

    def spawn_later(
        self, delay_s: float, function: Callable[..., object], *arguments: object
    ) -> None:
        """Start a task a number of seconds later."""
        self.run_in(delay_s, lambda: self.spawn(function, *arguments))

    def sleep(self, time_s: float) -> None:
        """Let the current task sleep."""
        self.run_in(time_s, getcurrent().switch)
        self.pause()

    def pause(self) -> None:
        """Let the other tasks run until someone switches to the current one."""
        self._loop.switch()


@dataclass
class SimulatedEvent:
    """An event for which one task waits at a time."""

    tasks: SimulatedTasks
    _is_set: bool = False
    _waiting: greenlet | None = None
    _waits: int = 0

    def set(self) -> None:
        """Set the event, and wake the task that waits for it."""
        self._is_set = True
        number = self._waits
        self.tasks.run_in(0.0, lambda: self._wake(number))

    def clear(self) -> None:
        """Let waits wait again."""
        self._is_set = False

    def wait(self, timeout_s: float) -> bool:
        """Wait until the event is set, or for a time; return whether it is set."""
        if not self._is_set:
            self._waits += 1
            number, self._waiting = self._waits, getcurrent()
            self.tasks.run_in(timeout_s, lambda: self._wake(number))
            self.tasks.pause()
        return self._is_set

    def _wake(self, number: int) -> None:
        waiting = self._waiting
        if waiting is not None and number == self._waits:
            self._waiting = None
            waiting.switch()
