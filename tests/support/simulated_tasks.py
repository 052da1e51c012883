"""Tasks that run on a simulated clock, in place of gevent's."""

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

    def sleep(self, time_s: float) -> None:
        """Let the current task sleep."""
        self.run_in(time_s, getcurrent().switch)
        self._loop.switch()
