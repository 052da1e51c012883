"""Text logs: short sentences with a fixed prefix for each component.

Messages contain identifiers, but never tokens, keys or text of prompts.
"""

from absl import logging

from chervilstall.settings.processes import LogLevel, LogSettings

ABSL_LEVELS = {
    LogLevel.DEBUG: logging.DEBUG,
    LogLevel.INFO: logging.INFO,
    LogLevel.WARNING: logging.WARNING,
    LogLevel.ERROR: logging.ERROR,
}


class ComponentLog:
    """Log of one component; lines start with its name and an optional request ID.

    >>> log = ComponentLog("gateway")
    >>> log.format("Answered %s.", ("ok",), request="r1")
    'gateway: r1: Answered ok.'
    """

    def __init__(self, component: str) -> None:
        self.component = component

    def format(self, message: str, arguments: tuple, request: str = "") -> str:
        """Return a line, without time and level."""
        text = message % arguments if arguments else message
        subject = f"{request}: " if request else ""
        return f"{self.component}: {subject}{text}"

    def debug(self, message: str, *arguments: object, request: str = "") -> None:
        """Log a detail that helps in debugging."""
        if logging.level_debug():
            logging.debug(self.format(message, arguments, request))

    def info(self, message: str, *arguments: object, request: str = "") -> None:
        """Log a normal event."""
        if logging.level_info():
            logging.info(self.format(message, arguments, request))

    def warning(self, message: str, *arguments: object, request: str = "") -> None:
        """Log an event that an operator may want to look into."""
        logging.warning(self.format(message, arguments, request))

    def error(self, message: str, *arguments: object, request: str = "") -> None:
        """Log an error that an operator has to act on."""
        logging.error(self.format(message, arguments, request))


def start_logging(settings: LogSettings) -> None:
    """Write logs to standard error, from the level of the settings on."""
    logging.use_absl_handler()
    logging.set_stderrthreshold(ABSL_LEVELS[settings.level])
    logging.set_verbosity(ABSL_LEVELS[settings.level])
