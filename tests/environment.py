"""behave hooks: gevent monkey patching and cleanup after each scenario."""

from gevent import monkey

monkey.patch_all()

from absl import logging
from behave.model import Scenario
from behave.runner import Context

logging.use_absl_handler()
logging.set_stderrthreshold(logging.FATAL)
logging.set_verbosity(logging.ERROR)


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Set the list of objects that are stopped after the scenario."""
    context.stoppables = []


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Stop what the scenario started, in reverse order."""
    for stoppable in reversed(context.stoppables):
        stoppable.stop()
