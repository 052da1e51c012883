"""What every program does first but the router on the platform.

Importing this module patches the standard library for gevent, so programs import it
before anything else.
"""

from gevent import monkey

monkey.patch_all()

from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import cappa
import msgspec

from chervilstall.commands.exits import ExitCode, exit_after
from chervilstall.settings.ini import read_sections
from chervilstall.telemetry.logs import start_logging

T = TypeVar("T")


def run_command(command: type[T], act: Callable[[T], ExitCode]) -> NoReturn:
    """Parse the command line, act, and exit with the result."""
    parsed = cappa.parse(command, backend=cappa.backend)
    exit_after(lambda: act(parsed))


def print_json(value: object) -> None:
    """Print one JSON object on one line."""
    print(msgspec.json.encode(value).decode(), flush=True)


def read_process_file(path: Path, classes: dict[str, type]) -> dict[str, Any]:
    """Read a process file and start logging as it says."""
    sections = read_sections(path.read_text(), path.name, classes)
    start_logging(sections.pop("log"))
    return sections
