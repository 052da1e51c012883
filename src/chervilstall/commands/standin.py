"""`chervilstall-standin`: a simulated platform with a store and targets."""

from chervilstall.commands import start

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import gevent
from gevent.event import Event

from chervilstall.commands.exits import EXIT_HELP, ExitCode
from chervilstall.commands.signals import on_stop_signals
from chervilstall.configuration.treefile import document_text, read_tree_file
from chervilstall.ids import VmId, ZoneName
from chervilstall.settings.ini import parse_ini, read_section
from chervilstall.settings.problems import SettingsErrorCollector
from chervilstall.settings.option import Address, option
from chervilstall.settings.processes import NAME_PATTERN
from chervilstall.standin.target_cluster import TargetCluster
from chervilstall.standin.store import MemoryStore
from chervilstall.standin.store_server import StoreServer
from chervilstall.store.contract import VmRecord


@dataclass(frozen=True)
class StandinSettings:
    """Section `standin`."""

    store: Address = option("Listener of the store.", Address("127.0.0.1", 8070))
    tree: str = option("Tree file whose targets are simulated; empty for none.", "")
    write_tree: str = option(
        "File for the tree with the targets' bound addresses; empty for none.", ""
    )
    reads_per_s: float = option(
        "Rate limit of reads; 0 for no limit.", 0.0, unit="calls/s", minimum=0.0
    )
    writes_per_s: float = option(
        "Rate limit of writes; 0 for no limit.", 0.0, unit="calls/s", minimum=0.0
    )


@dataclass(frozen=True)
class StandinVm:
    """Section `vm NAME`: an entry of the VM list."""

    zone: ZoneName = option("Availability zone.", pattern=NAME_PATTERN)
    peer: Address = option("Peer address of the VM's agent.")


@cappa.command(
    name="chervilstall-standin",
    help="Simulate the platform's store, VM list, engines and services.",
    description=EXIT_HELP,
)
@dataclass
class StandinCommand:
    """Command-line arguments of the stand-in."""

    settings: Annotated[Path, cappa.Arg(help="INI file with [standin] and [vm NAME].")]
    check: start.CheckOnly = False


def read_settings(path: Path) -> tuple[StandinSettings, list[VmRecord]]:
    """Read the stand-in's settings file. Raises InvalidSettings."""
    collector = SettingsErrorCollector(path.name)
    settings = StandinSettings()
    vm_list = []
    for name, texts in parse_ini(path.read_text(), collector).items():
        kind, _, vm = name.partition(" ")
        if name == "standin":
            settings = read_section(StandinSettings, name, texts, collector) or settings
        elif kind == "vm" and vm:
            entry = read_section(StandinVm, name, texts, collector)
            if entry is not None:
                peer = entry.peer
                vm_list.append(VmRecord(VmId(vm), entry.zone, peer.host, peer.port))
        else:
            collector.add(name, "", "", "unknown section; allowed: standin, vm NAME")
    collector.raise_collected()
    return settings, vm_list


def run_standin(command: StandinCommand) -> ExitCode:
    """Serve until SIGTERM or SIGINT."""
    settings, vm_list = read_settings(command.settings)
    if command.check:
        return start.report_valid_settings()
    store = MemoryStore(settings.reads_per_s, settings.writes_per_s)
    for record in vm_list:
        store.set_vm(record)
    server = StoreServer(store, settings.store)
    print(f"Serving the store on {server.address}.", flush=True)
    target_cluster = None
    if settings.tree:
        texts = read_tree_file(Path(settings.tree).read_text(), settings.tree)
        target_cluster = TargetCluster(texts)
        print(f"Serving {len(target_cluster.engines)} engines.", flush=True)
        if settings.write_tree:
            Path(settings.write_tree).write_text(tree_text(target_cluster.texts))
    stopped = Event()
    on_stop_signals(stopped.set)
    stopped.wait()
    server.stop()
    if target_cluster is not None:
        target_cluster.stop()
    gevent.sleep(0)
    return ExitCode.DONE


def tree_text(texts: dict[str, str]) -> str:
    """Return the text of a tree file with the documents of `texts`, by path."""
    parts = []
    for path, text in texts.items():
        for options in parse_ini(text, SettingsErrorCollector(path)).values():
            parts.append(document_text(path, options))
    return "\n".join(parts)


def run() -> None:
    """Entry point."""
    start.run_command(StandinCommand, run_standin)


if __name__ == "__main__":
    run()
