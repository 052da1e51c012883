"""`chervilstall-edge`: the router on a VM of the platform.

While the router starts, callers of its VM wait or have their connections refused, so
startup has to be short. The caller listener is bound before most modules are imported,
and the argument parser is imported only where there are arguments. The standard
library is not monkey-patched: the router uses gevent's own sockets, which saves the
plug-in lookup that patching does.
"""

import gc
import signal

# Until the reload handler is installed, SIGHUP would end the process. Ignoring it loses
# nothing: the settings are read later, and a change of the file after that is noticed
# without a signal.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Objects created at startup are long-lived, so collections would only slow it down.
# `tune_garbage_collector` enables collection again once the router has started.
gc.disable()

import os
import sys
from pathlib import Path

from chervilstall.commands.exits import ExitCode, run_and_exit
from chervilstall.commands.listening import bind_listener
from chervilstall.platform.protocol import NODE_FILE_VARIABLE
from chervilstall.platform.node import read_node
from chervilstall.settings.edge import OPTIONS_VARIABLE, read_edge_settings


def serve(path: Path, options: Path | None) -> ExitCode:
    """Run the router until SIGTERM or SIGINT."""
    settings = read_node(path)
    edge_settings = read_edge_settings(options)
    listener = bind_listener(settings.frontend_address)

    # Imported after binding, so that callers can already connect.
    import gevent

    from chervilstall.commands.signals import on_reload_signal, on_timed_stop_signals
    from chervilstall.edge.server import EdgeServer
    from chervilstall.telemetry.events import writer

    writer.common_fields["vm"] = settings.vm
    gevent.spawn(writer.run)
    server = EdgeServer(settings, path, listener=listener, edge_settings=edge_settings)
    server.start()
    on_timed_stop_signals(server.drain_and_stop)
    on_reload_signal(server.reload)
    server.wait()
    writer.flush()
    return ExitCode.DONE


def check(path: Path, options: Path | None) -> ExitCode:
    """Check the settings and exit."""
    read_node(path)
    read_edge_settings(options)
    print("The settings are valid.")
    return ExitCode.DONE


def run() -> None:
    """Entry point."""
    path = Path(os.environ.get(NODE_FILE_VARIABLE, ""))
    options_name = os.environ.get(OPTIONS_VARIABLE, "")
    options = Path(options_name) if options_name else None
    action = serve
    if len(sys.argv) > 1:
        from chervilstall.commands.edge_options import parse_command

        command = parse_command()
        path = command.settings or path
        options = command.options or options
        action = check if command.check else serve
    run_and_exit(lambda: action(path, options))


if __name__ == "__main__":
    run()
