"""`chervilstall-router`: routes callers' requests to pipelines and services."""

from chervilstall.commands import start

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import gevent

from chervilstall.commands.exits import EXIT_HELP, ExitCode
from chervilstall.commands.signals import ignore_reload_signal, on_stop_signals
from chervilstall.gateway.agent_link import AgentLink
from chervilstall.gateway.runtime import RouterRuntime, RouterSettings
from chervilstall.gateway.server import RouterServer
from chervilstall.settings.processes import ROUTER_SECTIONS, LogSettings
from chervilstall.standin.embedded import read_embedded_settings, start_embedded
from chervilstall.telemetry.logs import start_logging


@cappa.command(
    name="chervilstall-router",
    help="Route callers' requests to model pipelines and plain services.",
    description=EXIT_HELP,
)
@dataclass
class RouterCommand:
    """Command-line arguments of the router."""

    settings: Annotated[Path, cappa.Arg(help="INI file with the router's sections.")]
    embedded: Annotated[
        bool,
        cappa.Arg(long=True, help="Run simulated targets and store in this process."),
    ] = False
    check: start.CheckOnly = False


def run_router(command: RouterCommand) -> ExitCode:
    """Run the router until SIGTERM or SIGINT."""
    if command.embedded:
        return run_embedded(command)
    return run_with_agent(command)


def run_with_agent(command: RouterCommand) -> ExitCode:
    """Run a router that gets its settings from the agent of its VM."""
    sections = start.read_process_file(command.settings, ROUTER_SECTIONS)
    link_settings = sections.pop("agent")
    settings = RouterSettings(**sections)
    if command.check:
        return start.report_valid_settings()
    link = AgentLink(link_settings, settings.vm)
    runtime = RouterRuntime(settings, link, link)
    link.on_tree(runtime.apply_tree)
    server = RouterServer(runtime)
    server.start()
    poller = gevent.spawn(link.poll_settings)
    code = serve_until_stopped(server)
    poller.kill(block=False)
    link.stop()
    return code


def run_embedded(command: RouterCommand) -> ExitCode:
    """Run a router with simulated targets and an in-memory store of its own."""
    settings, texts, options = read_embedded_settings(command.settings)
    if command.check:
        return start.report_valid_settings()
    start_logging(LogSettings())
    router = start_embedded(settings, texts, options)
    code = serve_until_stopped(router.server)
    router.stop()
    return code


def serve_until_stopped(server: RouterServer) -> ExitCode:
    """Serve until a stop signal and drain.

    Returns UNFINISHED where a running request was cut off.
    """
    drain_results: list[bool] = []
    on_stop_signals(lambda: drain_results.append(server.drain_and_stop()))
    ignore_reload_signal()
    print(f"Serving callers on {server.caller_address}.", flush=True)
    print(f"Serving operators on {server.admin_address}.", flush=True)
    server.wait()
    return ExitCode.DONE if all(drain_results) else ExitCode.UNFINISHED


def run() -> None:
    """Entry point."""
    start.run_command(RouterCommand, run_router)


if __name__ == "__main__":
    run()
