"""Startup shared by all programs except the router on the platform.

Importing this module monkey-patches the standard library for gevent, so programs
import it before anything else.
"""

from gevent import monkey

monkey.patch_all()

from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, NoReturn, TypeVar

import cappa
import msgspec

from chervilstall.commands.exits import ExitCode, run_and_exit
from chervilstall.settings.ini import read_sections
from chervilstall.telemetry.logs import start_logging

T = TypeVar("T")
CheckOnly = Annotated[bool, cappa.Arg(long=True, help="Check the settings and exit.")]


def run_command(command: type[T], action: Callable[[T], ExitCode]) -> NoReturn:
    """Parse the command line, run `action` on it, and exit with its code."""
    parsed = cappa.parse(command, backend=cappa.backend)
    run_and_exit(lambda: action(parsed))


def report_valid_settings() -> ExitCode:
    """Say that the settings are valid, for a program that only checks them."""
    print("The settings are valid.")
    return ExitCode.DONE


def print_json(value: object) -> None:
    """Print a value as one line of JSON."""
    print(msgspec.json.encode(value).decode(), flush=True)


def read_process_file(path: Path, classes: dict[str, type]) -> dict[str, Any]:
    """Read a program's settings file and start logging at its level.

    `classes` maps section names to settings classes. Returns the settings by section,
    without `log`. Raises InvalidSettings.
    """
    sections = read_sections(path.read_text(), path.name, classes)
    start_logging(sections.pop("log"))
    return sections
