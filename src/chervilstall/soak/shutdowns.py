"""Shutdowns of routers in series, with signals and requests at awkward moments."""

import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from chervilstall.soak.fleet import RouterProcess

SERIES_INTERVAL_S = 0.25
RESTART_TIMEOUT_S = 10.0
RELOAD_SHARE = 0.5
SECOND_SIGNAL_SHARE = 0.5


@dataclass
class Shutdown:
    """One shutdown of a router, from SIGTERM until its process had exited.

    Times are monotonic seconds; `ended_at_s` is infinite while the process runs. A
    process that was killed at the end of its grace period has no exit code.
    """

    router: str
    started_at_s: float
    grace_s: float
    ended_at_s: float = float("inf")
    exit_code: int | None = None


@dataclass
class ShutdownInjector:
    """Shuts routers down and starts them again.

    As on the platform, a process that has not exited after its grace period is killed.
    `on_shutdown` is called with the router and the start of each shutdown.
    """

    rng: random.Random
    shutdowns: list[Shutdown] = field(default_factory=list)
    on_shutdown: Callable[[RouterProcess, Shutdown], object] = lambda router, stop: None

    def run_series(self, routers: list[RouterProcess], duration_s: float) -> None:
        """Shut all routers down, one each quarter of a second, and restart them.

        Series follow one another until `duration_s` is over. Returns when every
        router has been started again.
        """
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            tasks = []
            for router in self.rng.sample(routers, len(routers)):
                tasks.append(gevent.spawn(self._restart, router))
                gevent.sleep(SERIES_INTERVAL_S)
            for task in gevent.joinall(tasks):
                task.get()

    def _restart(self, router: RouterProcess) -> None:
        self.shut_down(router, self._draw_signals(router))
        router.start()
        router.wait_until_ready(RESTART_TIMEOUT_S)

    def _draw_signals(self, router: RouterProcess) -> list[gevent.Greenlet]:
        """Send SIGHUP and a second SIGTERM at random moments of the grace period."""
        tasks = []
        if self.rng.random() < RELOAD_SHARE:
            tasks.append(gevent.spawn(self._reload_later, router))
        if self.rng.random() < SECOND_SIGNAL_SHARE:
            delay_s = self.rng.uniform(0.0, router.grace_s)
            tasks.append(gevent.spawn_later(delay_s, router.signal, signal.SIGTERM))
        return tasks

    def _reload_later(self, router: RouterProcess) -> None:
        gevent.sleep(self.rng.uniform(0.0, router.grace_s))
        router.write_settings(retry_extra=self.rng.choice((100.0, 200.0)))
        router.signal(signal.SIGHUP)

    def shut_down(
        self, router: RouterProcess, signal_tasks: list[gevent.Greenlet]
    ) -> None:
        """Send SIGTERM and wait for the exit.

        `signal_tasks` send further signals; they end with the process, so that they
        do not reach its successor. The shutdown of a router that is not ready, or
        that shuts down already, is not recorded.
        """
        is_recorded = router.is_ready()
        router.signal(signal.SIGTERM)
        shutdown = Shutdown(router.name, time.monotonic(), router.grace_s)
        if is_recorded:
            self.shutdowns.append(shutdown)
            self.on_shutdown(router, shutdown)
        try:
            shutdown.exit_code = router.wait_for_exit(router.grace_s)
        finally:
            shutdown.ended_at_s = time.monotonic()
            gevent.killall(signal_tasks)
