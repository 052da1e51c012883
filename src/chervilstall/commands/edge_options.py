"""The command line of `chervilstall-edge`.

It stands apart from the program because loading the parser would make up much of the
time that a start without arguments takes.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from chervilstall.commands.exits import EXIT_HELP
from chervilstall.platform.protocol import NODE_FILE_VARIABLE


@cappa.command(
    name="chervilstall-edge",
    help="Route callers' requests to model pipelines and plain services on the "
    "platform.",
    description=EXIT_HELP,
)
@dataclass
class EdgeCommand:
    """Command line of the router on the platform."""

    settings: Annotated[
        Path | None,
        cappa.Arg(help=f"Settings file; else the one that {NODE_FILE_VARIABLE} names."),
    ] = None
    check: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings and exit.")
    ] = False


def parse_command() -> EdgeCommand:
    """Parse the command line."""
    return cappa.parse(EdgeCommand, backend=cappa.backend)
