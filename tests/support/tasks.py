"""Tasks that end with their scenario."""

import dataclasses

import gevent


@dataclasses.dataclass
class TaskStopper:
    """Kills a task at the end of a scenario."""

    task: gevent.Greenlet

    def stop(self) -> None:
        """Kill the task."""
        self.task.kill()
