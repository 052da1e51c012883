"""How every program ends: its exit code, and what it prints of a failure."""

import enum
import sys
from collections.abc import Callable
from typing import NoReturn

from chervilstall.errors import ChervilstallError
from chervilstall.settings.problems import InvalidSettings

EXIT_HELP = """\
Exit codes: 0 done, 1 failed, 2 wrong command line, 3 invalid settings, 4 refused by
a conflict, 5 stopped with requests unfinished.
"""


class ExitCode(enum.IntEnum):
    """Exit codes of every program."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID_SETTINGS = 3
    CONFLICT = 4
    UNFINISHED = 5


def exit_after(act: Callable[[], ExitCode]) -> NoReturn:
    """Act, print what went wrong, and exit with the result."""
    try:
        code = act()
    except InvalidSettings as errors:
        print_mistakes(errors)
        code = ExitCode.INVALID_SETTINGS
    except (ChervilstallError, OSError) as error:
        print(f"error: {error}", file=sys.stderr)
        code = ExitCode.FAILED
    sys.stdout.flush()
    sys.exit(int(code))


def print_mistakes(errors: InvalidSettings) -> None:
    """Print every settings mistake, one a line."""
    for mistake in errors.exceptions:
        print(f"error: {mistake}", file=sys.stderr)
