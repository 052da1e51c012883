"""The fleet under test: store and targets here, routers as processes of their own."""

import http.client
import os
import random
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import gevent
from gevent.lock import Semaphore

from chervilstall.fleet.records import NO_LAYERS, LayerRange
from chervilstall.platform.protocol import NODE_FILE_VARIABLE, READY_PATH
from chervilstall.settings.option import Address
from chervilstall.soak.links import Link
from chervilstall.standin.platform_fixtures import (
    LAYERS,
    build_configuration,
    build_node_file,
    build_route,
    remove_target_entry,
    write_configuration,
    write_target_entry,
)
from chervilstall.standin.platform_store import PlatformStoreServer
from chervilstall.standin.platform_target import PlatformTarget

ZONES = ("ba-hall", "za-hall")
CALLERS_PORT = 8200
GRACE_S = 4.0
PROCESS_END_S = 8.0
READY_TIMEOUT_S = 1.0


@dataclass
class RouterProcess:
    """One router as a process, with its settings file and its link to the store."""

    name: str
    zone: str
    host: str
    link: Link
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    _starting: Semaphore = field(default_factory=Semaphore)

    @property
    def callers(self) -> Address:
        """Return the address for callers."""
        return Address(self.host, CALLERS_PORT)

    def start(self, retry_extra: float = 200.0) -> None:
        """Start the process unless it runs; its log is kept in the folder.

        Two faults may end with a start at once, and only one process may come of it.
        """
        with self._starting:
            if self.is_running:
                return
            self.write_settings(retry_extra)
            self._spawn()

    def _spawn(self) -> None:
        path = self.folder / f"{self.name}.json"
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "chervilstall.commands.edge"],
                env={**os.environ, NODE_FILE_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
            )

    def write_settings(self, retry_extra: float) -> None:
        """Write the settings file, which the process reads again by itself."""
        content = build_node_file(
            self.name,
            self.host,
            self.zone,
            CALLERS_PORT,
            str(self.link.address),
            grace_s=GRACE_S,
            retry_min_extra=retry_extra,
        )
        (self.folder / f"{self.name}.json").write_bytes(content)

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running and self.process is not None:
            self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the router says that it is ready."""
        connection = http.client.HTTPConnection(
            self.host, CALLERS_PORT + 1, timeout=READY_TIMEOUT_S
        )
        try:
            connection.request("GET", READY_PATH)
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_end(self) -> int | None:
        """Wait until the process has ended; kill it where it does not."""
        if self.process is None:
            return None
        try:
            return self.process.wait(PROCESS_END_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return None


@dataclass
class SoakTarget:
    """A stand-in of a target behind its link."""

    name: str
    service: str
    zone: str
    server: PlatformTarget
    link: Link


@dataclass
class SoakFleet:
    """Everything that one run of the soak starts, all on loopback addresses.

    `net` is the third number of the addresses, so that runs do not meet.
    """

    net: int
    rng: random.Random
    store: PlatformStoreServer = field(init=False)
    routers: list[RouterProcess] = field(default_factory=list)
    targets: list[SoakTarget] = field(default_factory=list)
    version: int = 1
    _folder: tempfile.TemporaryDirectory = field(
        default_factory=tempfile.TemporaryDirectory
    )

    def host(self, number: int) -> str:
        """Return a loopback address of this run."""
        return f"127.{100 + self.net // 250}.{1 + self.net % 250}.{number}"

    def start(self, routers_per_zone: int) -> None:
        """Start the store, targets and routers."""
        self.store = PlatformStoreServer(Address(self.host(1), 0))
        self.store.start()
        write_configuration(self.store.state, build_configuration())
        half = LAYERS // 2
        for zone in ZONES:
            self._add_target(f"lookup-{zone}", "lookups", zone, NO_LAYERS)
            for copy in ("a", "b"):
                first, last = LayerRange(0, half), LayerRange(half, LAYERS)
                self._add_target(f"first-{copy}-{zone}", "drafts", zone, first)
                self._add_target(f"last-{copy}-{zone}", "drafts", zone, last)
        for number in range(routers_per_zone * len(ZONES)):
            zone = ZONES[number % len(ZONES)]
            link = Link(self.store.address, Address(self.host(2), 0))
            link.start()
            router = RouterProcess(
                f"vm-{number + 1}",
                zone,
                self.host(10 + number),
                link,
                Path(self._folder.name),
            )
            self.routers.append(router)
            router.start()

    def _add_target(
        self, name: str, service: str, zone: str, layers: LayerRange
    ) -> None:
        server = PlatformTarget(name, Address(self.host(3), 0))
        server.layers = layers
        server.start()
        link = Link(server.address, Address(self.host(4), 0))
        link.start()
        target = SoakTarget(name, service, zone, server, link)
        self.targets.append(target)
        self.register(target)

    def register(self, target: SoakTarget, state: str = "ready") -> None:
        """Write a target's entry, which names its link."""
        write_target_entry(
            self.store.state,
            target.name,
            target.service,
            str(target.link.address),
            target.zone,
            target.server.layers,
            state,
        )

    def unregister(self, target: SoakTarget) -> None:
        """Remove a target's entry."""
        remove_target_entry(self.store.state, target.name)

    def change_configuration(self) -> int:
        """Write the next version, which adds a route of its own; return its number."""
        self.version += 1
        config = build_configuration(self.version)
        added = build_route(f"/v{self.version}/", "idempotent", "lookups")
        config["routes"].append(added)
        write_configuration(self.store.state, config)
        return self.version

    def wait_ready(self, timeout_s: float) -> list[str]:
        """Wait until every router is ready; return the names of those that are not."""
        missing = list(self.routers)
        with gevent.Timeout(timeout_s, False):
            while missing:
                missing = [each for each in missing if not each.is_ready()]
                gevent.sleep(0.05)
        return [each.name for each in missing]

    def runs(self) -> list[tuple[str, str]]:
        """Return request and target of every run."""
        return [
            (run.request, target.name)
            for target in self.targets
            for run in target.server.log.runs
        ]

    def log_text(self, router: RouterProcess) -> str:
        """Return what a router has logged."""
        path = Path(self._folder.name) / f"{router.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def stop(self) -> None:
        """End every process by its id, and everything that was started here."""
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
            router.wait_end()
            router.link.stop()
        for target in self.targets:
            target.link.stop()
            target.server.stop()
        self.store.stop()
        self._folder.cleanup()
