"""Tasks that repeat for the life of a process."""

from collections.abc import Callable

import gevent

from chervilstall.telemetry.logs import ComponentLog

RESTART_S = 0.5


def run_forever(log: ComponentLog, step: Callable[[], object]) -> None:
    """Run `step` again and again; an unforeseen error is logged, not the end of it.

    `step` does its own waiting. A task that ends by an error would otherwise leave
    its part standing still without a sign.
    """
    while True:
        try:
            step()
        except Exception as error:
            log.error("A task failed with %r and goes on.", error)
            gevent.sleep(RESTART_S)
