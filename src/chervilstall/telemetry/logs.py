"""Logging: short sentences behind a fixed prefix for each part.

A message names identities, never tokens, keys or prompt text.
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
    """Logs for one part, with its prefix and, where there is one, a request.

    >>> log = ComponentLog("gateway")
    >>> log.format("Answered %s.", ("ok",), request="r1")
    'gateway: r1: Answered ok.'
    """

    def __init__(self, part: str) -> None:
        self.part = part

    def format(self, message: str, arguments: tuple, request: str = "") -> str:
        """Return the line without time and level."""
        text = message % arguments if arguments else message
        subject = f"{request}: " if request else ""
        return f"{self.part}: {subject}{text}"

    def debug(self, message: str, *arguments: object, request: str = "") -> None:
        """Log what helps a developer."""
        if logging.level_debug():
            logging.debug(self.format(message, arguments, request))

    def info(self, message: str, *arguments: object, request: str = "") -> None:
        """Log what happened."""
        if logging.level_info():
            logging.info(self.format(message, arguments, request))

    def warning(self, message: str, *arguments: object, request: str = "") -> None:
        """Log what an operator may want to look at."""
        logging.warning(self.format(message, arguments, request))

    def error(self, message: str, *arguments: object, request: str = "") -> None:
        """Log what needs an operator."""
        logging.error(self.format(message, arguments, request))


def start_logging(settings: LogSettings) -> None:
    """Send logs to standard error at the level of the settings."""
    logging.use_absl_handler()
    logging.set_stderrthreshold(ABSL_LEVELS[settings.level])
    logging.set_verbosity(ABSL_LEVELS[settings.level])
