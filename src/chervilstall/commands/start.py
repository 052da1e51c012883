"""What every program does first.

Importing this module patches the standard library for gevent, so programs import it
before anything else.
"""

from gevent import monkey

monkey.patch_all()

import enum
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import cappa
import gevent
import msgspec

from chervilstall.errors import ChervilstallError
from chervilstall.settings.ini import SettingsErrors, read_sections
from chervilstall.telemetry.logs import start_logging

T = TypeVar("T")

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


def run_command(command: type[T], act: Callable[[T], ExitCode]) -> None:
    """Parse the command line, act, and exit with the result."""
    parsed = cappa.parse(command, backend=cappa.backend)
    try:
        code = act(parsed)
    except SettingsErrors as errors:
        print_mistakes(errors)
        code = ExitCode.INVALID_SETTINGS
    except ChervilstallError as error:
        print(f"error: {error}", file=sys.stderr)
        code = ExitCode.FAILED
    except OSError as error:
        print(f"error: {error}", file=sys.stderr)
        code = ExitCode.FAILED
    sys.stdout.flush()
    sys.exit(int(code))


def print_mistakes(errors: SettingsErrors) -> None:
    """Print every settings mistake, one a line."""
    for mistake in errors.exceptions:
        print(f"error: {mistake}", file=sys.stderr)


def print_json(value: object) -> None:
    """Print one JSON object on one line."""
    print(msgspec.json.encode(value).decode(), flush=True)


def read_process_file(path: Path, classes: dict[str, type]) -> dict[str, Any]:
    """Read a process file and start logging as it says."""
    sections = read_sections(path.read_text(), path.name, classes)
    start_logging(sections.pop("log"))
    return sections


def on_stop_signals(handler: Callable[[], object]) -> None:
    """Call `handler` in a task of its own at each SIGTERM and SIGINT."""
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, gevent.spawn, handler)


def on_reload_signal(handler: Callable[[], object]) -> None:
    """Call `handler` in a task of its own at each SIGHUP."""
    gevent.signal_handler(signal.SIGHUP, gevent.spawn, handler)
