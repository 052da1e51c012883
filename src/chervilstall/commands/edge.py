"""`chervilstall-edge`: the router on a VM of the platform.

While a router starts, callers of its VM wait or are turned away, so starting is kept
short. The listener for callers is bound before most of the program is loaded, and the
parser of the command line is loaded only where there are arguments. Nothing is
patched: the router uses gevent's own sockets, which spares the search for plug-ins.
"""

import gc

# Nothing that a start makes is garbage; `tune_garbage_collector` ends this.
gc.disable()

import os
import signal
import sys
from pathlib import Path

from chervilstall.commands.exits import ExitCode, exit_after
from chervilstall.commands.listening import bind_listener
from chervilstall.platform.protocol import NODE_FILE_VARIABLE
from chervilstall.platform.node import read_node


def serve(path: Path) -> ExitCode:
    """Run the router until it is told to stop."""
    # A reload asked for now would end the process; the settings are read anyway, and
    # a later change of the file is noticed without a signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = read_node(path)
    listener = bind_listener(settings.frontend_address)

    # Loaded only now, because callers can connect meanwhile.
    import gevent

    from chervilstall.commands.signals import on_reload_signal, on_stop_signals
    from chervilstall.edge.server import EdgeServer
    from chervilstall.telemetry.events import writer

    writer.common_fields["vm"] = settings.vm
    gevent.spawn(writer.run)
    server = EdgeServer(settings, path, listener=listener)
    server.start()
    on_stop_signals(server.drain_and_stop)
    on_reload_signal(server.reload)
    server.wait()
    writer.flush()
    return ExitCode.DONE


def check(path: Path) -> ExitCode:
    """Check the settings."""
    read_node(path)
    print("The settings are valid.")
    return ExitCode.DONE


def run() -> None:
    """Entry point."""
    path = Path(os.environ.get(NODE_FILE_VARIABLE, ""))
    act = serve
    if len(sys.argv) > 1:
        from chervilstall.commands.edge_options import parse_command

        command = parse_command()
        path = command.settings or path
        act = check if command.check else serve
    exit_after(lambda: act(path))


if __name__ == "__main__":
    run()
