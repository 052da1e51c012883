"""Callers that send one request each at a chosen moment of a router's shutdown."""

import http.client
import random
import time
from dataclasses import dataclass, field

import gevent

from chervilstall.soak.fleet import RouterProcess
from chervilstall.soak.load_generator import LoadGenerator, new_connection
from chervilstall.soak.shutdown_invariants import LATE_REQUEST_S, STREAM_CUT_SHARE
from chervilstall.soak.shutdowns import Shutdown

VISITORS_PER_SHUTDOWN = 24
EARLY_CONNECTION_SHARE = 0.5
LEAD_S = 0.1
LAG_S = 0.2


@dataclass
class ShutdownVisitors:
    """Sends requests to routers that shut down.

    A third of the requests is sent close to the moment from which on none may be cut
    any more, a third in the last sixth of the grace period, and the rest at any moment
    of it. Half of the connections are opened some time before the request.
    """

    load: LoadGenerator
    rng: random.Random
    _tasks: list[gevent.Greenlet] = field(default_factory=list)

    def visit(self, router: RouterProcess, shutdown: Shutdown) -> None:
        """Start the visitors of one shutdown."""
        for _ in range(VISITORS_PER_SHUTDOWN):
            self._tasks.append(gevent.spawn(self._visit_once, router, shutdown))

    def join(self, timeout_s: float) -> None:
        """Wait until all visitors have got their responses."""
        gevent.joinall(self._tasks, timeout_s)

    def _draw_moment_s(self, grace_s: float) -> float:
        close_s = LATE_REQUEST_S + self.rng.uniform(-LEAD_S, LAG_S)
        end_s = self.rng.uniform(STREAM_CUT_SHARE * grace_s, grace_s)
        return self.rng.choice((close_s, end_s, self.rng.uniform(0.0, grace_s)))

    def _visit_once(self, router: RouterProcess, shutdown: Shutdown) -> None:
        send_s = connect_s = self._draw_moment_s(shutdown.grace_s)
        if self.rng.random() < EARLY_CONNECTION_SHARE:
            connect_s = self.rng.uniform(0.0, send_s)
        connection = new_connection(router.caller_address)
        try:
            _sleep_until(shutdown.started_at_s + connect_s)
            connection.connect()
            _sleep_until(shutdown.started_at_s + send_s)
            self.load.send_random(connection, router)
        except (OSError, http.client.HTTPException):
            # The recorded request is checked after the run; without a connection
            # none was sent.
            return
        finally:
            connection.close()


def _sleep_until(moment_s: float) -> None:
    gevent.sleep(max(0.0, moment_s - time.monotonic()))
