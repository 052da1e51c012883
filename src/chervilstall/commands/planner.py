"""`chervilstall-planner`: places models, versions and adapters on targets."""

from chervilstall.commands import start

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from chervilstall.commands.exits import EXIT_HELP, ExitCode
from chervilstall.commands.signals import ignore_reload_signal, on_stop_signals
from chervilstall.planner.runtime import Planner, PlannerProcessSettings
from chervilstall.settings.agents import PLANNER_SECTIONS
from chervilstall.store.client import HttpStore


@cappa.command(
    name="chervilstall-planner",
    help="Load onto targets what the settings say, while holding the planner's lease.",
    description=EXIT_HELP,
)
@dataclass
class PlannerCommand:
    """Command-line arguments of the planner."""

    settings: Annotated[Path, cappa.Arg(help="INI file with the planner's sections.")]
    check: start.CheckOnly = False


def run_planner(command: PlannerCommand) -> ExitCode:
    """Run the planner until SIGTERM or SIGINT."""
    sections = start.read_process_file(command.settings, PLANNER_SECTIONS)
    settings = PlannerProcessSettings(**sections)
    if command.check:
        return start.report_valid_settings()
    planner = Planner(settings, HttpStore(settings.store))
    on_stop_signals(planner.stop)
    ignore_reload_signal()
    print("Waiting for the planner's lease.", flush=True)
    planner.run()
    return ExitCode.DONE


def run() -> None:
    """Entry point."""
    start.run_command(PlannerCommand, run_planner)


if __name__ == "__main__":
    run()
