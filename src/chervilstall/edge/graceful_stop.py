"""The end of a router's listeners and requests, within its grace period."""

import time
from dataclasses import dataclass

from chervilstall.edge.app import EdgeApplication
from chervilstall.edge.draining import DrainSchedule
from chervilstall.telemetry.events import EventLog
from chervilstall.waiting import sleep_until
from chervilstall.wsgi import Server

log = EventLog("router")

LISTENER_CLOSE_LEAD_S = 0.6
"""Time before the last answers at which new connections are no longer accepted."""

LAST_ANSWERS_S = 0.15
"""Shortest time for the final answers to requests that cannot end."""


@dataclass
class GracefulStop:
    """Lets an application that drains finish its requests, step by step."""

    app: EdgeApplication
    listener: Server

    def run(self, schedule: DrainSchedule) -> None:
        """Return once all requests have ended, or at the end of the schedule."""
        sleep_until(schedule.streams_until_s)
        log.info("streams refused from now on", after_s=schedule.elapsed_s)
        self.listener.close_idle()
        self._wait_until_quiet(schedule.answers_until_s - LISTENER_CLOSE_LEAD_S)
        self.listener.stop_listening()
        self._wait_until_quiet(schedule.answers_until_s)
        self.app.answer_all()
        # A loop that stood still may be past the end already.
        end_s = max(schedule.end_s, time.monotonic() + LAST_ANSWERS_S)
        self._wait_until_quiet(end_s)
        self.app.log_unfinished()
        log.info(
            "stopped",
            unfinished=self.app.running_requests,
            after_s=schedule.elapsed_s,
        )

    def _wait_until_quiet(self, until_s: float) -> None:
        self.listener.wait_until_quiet(lambda: self.app.running_requests, until_s)
