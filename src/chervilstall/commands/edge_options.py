"""Command line of `chervilstall-edge`.

A module of its own, because importing the argument parser would make up much of the
startup time of a router without arguments.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from chervilstall.commands.exits import EXIT_HELP
from chervilstall.platform.protocol import NODE_FILE_VARIABLE
from chervilstall.settings.edge import OPTIONS_VARIABLE


@cappa.command(
    name="chervilstall-edge",
    help="Route callers' requests to model pipelines and plain services on the "
    "platform.",
    description=EXIT_HELP,
)
@dataclass
class EdgeCommand:
    """Command-line arguments of the router on the platform."""

    settings: Annotated[
        Path | None,
        cappa.Arg(help=f"Settings file; defaults to ${NODE_FILE_VARIABLE}."),
    ] = None
    options: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            help=f"INI file of options; defaults to ${OPTIONS_VARIABLE}, if set.",
        ),
    ] = None
    check: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings and exit.")
    ] = False


def parse_command() -> EdgeCommand:
    """Parse the command line."""
    return cappa.parse(EdgeCommand, backend=cappa.backend)
