"""`chervilstall-planner`: places models, versions and adapters on targets."""

from chervilstall.commands import start

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from chervilstall.commands.exits import EXIT_HELP, ExitCode
from chervilstall.commands.signals import on_stop_signals
from chervilstall.planner.runtime import Planner, PlannerProcessSettings
from chervilstall.settings.agents import PLANNER_SECTIONS
from chervilstall.store.client import HttpStore


@cappa.command(
    name="chervilstall-planner",
    help="Bring targets to what the settings say; one lease holder acts.",
    description=EXIT_HELP,
)
@dataclass
class PlannerCommand:
    """Command line of the planner."""

    settings: Annotated[Path, cappa.Arg(help="INI file with the planner's sections.")]
    check: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings and exit.")
    ] = False


def act(command: PlannerCommand) -> ExitCode:
    """Run the planner until it is told to stop."""
    sections = start.read_process_file(command.settings, PLANNER_SECTIONS)
    settings = PlannerProcessSettings(**sections)
    if command.check:
        print("The settings are valid.")
        return ExitCode.DONE
    planner = Planner(settings, HttpStore(settings.store))
    on_stop_signals(planner.stop)
    print("Contending for the planner's lease.", flush=True)
    planner.run()
    return ExitCode.DONE


def run() -> None:
    """Entry point."""
    start.run_command(PlannerCommand, act)


if __name__ == "__main__":
    run()
