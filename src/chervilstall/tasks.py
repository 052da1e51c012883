"""Background tasks that run until the process ends."""

from collections.abc import Callable

import gevent

from chervilstall.telemetry.logs import ComponentLog

RETRY_DELAY_S = 0.5


def run_forever(log: ComponentLog, step: Callable[[], object]) -> None:
    """Run `step` in an endless loop; an unexpected exception is logged.

    `step` waits by itself. Without the loop, an exception would end the task and its
    component would stop working without a visible error.
    """
    while True:
        try:
            step()
        except Exception as error:
            log.error("Background task failed with %r; restarting it.", error)
            gevent.sleep(RETRY_DELAY_S)
