"""`chervilstall-edge`: the router on a VM of the platform."""

from chervilstall.commands import start

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import gevent

from chervilstall.commands.start import ExitCode
from chervilstall.edge.server import EdgeServer
from chervilstall.platform.names import SETTINGS_VARIABLE
from chervilstall.platform.node import read_node
from chervilstall.telemetry.events import writer


@cappa.command(
    name="chervilstall-edge",
    help="Route callers' requests to model pipelines and plain services on the "
    "platform.",
    description=start.EXIT_HELP,
)
@dataclass
class EdgeCommand:
    """Command line of the router on the platform."""

    settings: Annotated[
        Path | None,
        cappa.Arg(help=f"Settings file; else the one that {SETTINGS_VARIABLE} names."),
    ] = None
    check: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings and exit.")
    ] = False


def act(command: EdgeCommand) -> ExitCode:
    """Run the router until it is told to stop."""
    path = command.settings or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    settings = read_node(path)
    if command.check:
        print("The settings are valid.")
        return ExitCode.DONE
    writer.common["vm"] = settings.vm
    gevent.spawn(writer.run)
    server = EdgeServer(settings, path)
    server.start()
    start.on_stop_signals(server.drain_and_stop)
    start.on_reload_signal(server.reload)
    server.wait()
    writer.flush()
    return ExitCode.DONE


def run() -> None:
    """Entry point."""
    start.run_command(EdgeCommand, act)


if __name__ == "__main__":
    run()
