"""behave hooks: gevent monkey patching, cleanup and logs of each scenario."""

from gevent import monkey

monkey.patch_all()

import json
import os

from absl import logging
from behave.model import Scenario
from behave.model_type import Status
from behave.runner import Context

from chervilstall.telemetry.events import writer

logging.use_absl_handler()
logging.set_stderrthreshold(logging.FATAL)
logging.set_verbosity(logging.ERROR)


LOG_LINES_MAX = 200


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Set the list of objects that are stopped after the scenario."""
    context.stoppables = []
    writer._lines.clear()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Stop what the scenario started, in reverse order; keep the log of a failure."""
    log_path = os.environ.get("CHERVILSTALL_TEST_LOG")
    if scenario.status is Status.failed and log_path:
        keep_log(log_path, scenario.name)
    for stoppable in reversed(context.stoppables):
        stoppable.stop()


def keep_log(path: str, scenario: str) -> None:
    """Append the last lines that the scenario's programs logged, as one JSON line."""
    lines = [line.decode().strip() for line in list(writer._lines)[-LOG_LINES_MAX:]]
    with open(path, "a") as file:
        file.write(json.dumps({"scenario": scenario, "lines": lines}) + "\n")
