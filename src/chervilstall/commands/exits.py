"""Exit codes of the programs, and how they report errors."""

import enum
import sys
from collections.abc import Callable
from typing import NoReturn

from chervilstall.errors import ChervilstallError
from chervilstall.settings.problems import InvalidSettings

EXIT_HELP = """\
Exit codes: 0 done, 1 failed, 2 invalid command line, 3 invalid settings, 4 conflicting
change, 5 stopped with requests unfinished, 6 unknown route or name, 7 no answer from
a router.
"""


class ExitCode(enum.IntEnum):
    """Exit codes of every program."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID_SETTINGS = 3
    CONFLICT = 4
    UNFINISHED = 5
    NOT_FOUND = 6
    NO_ANSWER = 7


def run_and_exit(action: Callable[[], ExitCode]) -> NoReturn:
    """Run `action`, print its error if it raises one, and exit with its code."""
    try:
        code = action()
    except InvalidSettings as errors:
        print_settings_errors(errors)
        code = ExitCode.INVALID_SETTINGS
    except (ChervilstallError, OSError) as error:
        print(f"error: {error}", file=sys.stderr)
        code = ExitCode.FAILED
    sys.stdout.flush()
    sys.exit(int(code))


def print_settings_errors(errors: InvalidSettings) -> None:
    """Print each settings error on a line of its own."""
    for error in errors.exceptions:
        print(f"error: {error}", file=sys.stderr)
