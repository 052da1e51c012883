"""`chervilstall-agent`: replicates settings, tracks membership and holds roles."""

from chervilstall.commands import start

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from chervilstall.agent.operators import OperatorServer
from chervilstall.agent.runtime import AgentRuntime, AgentSettings
from chervilstall.commands.exits import EXIT_HELP, ExitCode
from chervilstall.commands.signals import ignore_reload_signal, on_stop_signals
from chervilstall.peer.keys import create_keys
from chervilstall.settings.agents import AGENT_SECTIONS
from chervilstall.store.client import HttpStore


@cappa.command(
    name="chervilstall-agent",
    help="Run a VM's agent: settings, membership, roles, idempotency and limits.",
    description=EXIT_HELP,
)
@dataclass
class AgentCommand:
    """Command-line arguments of the agent."""

    settings: Annotated[Path, cappa.Arg(help="INI file with the agent's sections.")]
    check: start.CheckOnly = False
    create_keys: Annotated[
        bool,
        cappa.Arg(
            long="--create-keys",
            help="Write a new CurveZMQ key pair into [peer] curve_directory and exit.",
        ),
    ] = False


def run_agent(command: AgentCommand) -> ExitCode:
    """Run the agent until SIGTERM or SIGINT."""
    sections = start.read_process_file(command.settings, AGENT_SECTIONS)
    settings = AgentSettings(**sections)
    if command.check:
        return start.report_valid_settings()
    if command.create_keys:
        create_keys(Path(settings.peer.curve_directory))
        return ExitCode.DONE
    store = HttpStore(settings.store)
    agent = AgentRuntime(settings, store, store)
    agent.start()
    operator_server = OperatorServer(agent)
    operator_server.start()
    on_stop_signals(agent.drain_and_stop)
    ignore_reload_signal()
    print(f"Serving peers on {agent.server.address}.", flush=True)
    print(f"Serving operators on {operator_server.server.bound_address}.", flush=True)
    agent.wait()
    operator_server.stop()
    return ExitCode.DONE


def run() -> None:
    """Entry point."""
    start.run_command(AgentCommand, run_agent)


if __name__ == "__main__":
    run()
