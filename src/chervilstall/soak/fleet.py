"""Fleet of the soak test: store and targets in this process, routers in their own."""

import http.client
import os
import random
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent
from gevent.lock import Semaphore

from chervilstall.fleet.records import NO_LAYERS, LayerRange
from chervilstall.platform.protocol import NODE_FILE_VARIABLE, READY_PATH
from chervilstall.settings.option import Address
from chervilstall.soak.cut_links import RouterLinks, RouterStoreView
from chervilstall.soak.links import LinkProxy
from chervilstall.soak.subnets import subnet_host
from chervilstall.soak.targets import LONG_DRAFT_PREFIX, PacedTarget, SoakTarget
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

ZONES = ("ba-hall", "za-hall")
ROUTER_NAME_PREFIX = "vm-"
CALLER_PORT = 8200
GRACE_S = 4.0
EXIT_TIMEOUT_S = 8.0
READY_TIMEOUT_S = 1.0
READY_POLL_S = 0.05
LONG_DRAFT_TIMEOUT_MS = 60_000
LONG_GAP_MS = 1500


@dataclass
class RouterProcess:
    """A router in a process of its own, with its settings file and link to the store.

    The settings file and the log are in `directory`. `target_links` are its links to
    the targets. The process runs from `earlier_sources` at its first start, if they are
    given, and from the present sources when it starts again.
    """

    name: str
    zone: str
    host: str
    link: LinkProxy
    target_links: RouterLinks
    directory: Path
    grace_s: float = GRACE_S
    earlier_sources: Path | None = None
    process: subprocess.Popen[bytes] | None = None
    _start_lock: Semaphore = field(default_factory=Semaphore)

    @property
    def caller_address(self) -> Address:
        """Return the address that callers connect to."""
        return Address(self.host, CALLER_PORT)

    def start(self, retry_extra: float = 200.0) -> None:
        """Start the process unless it is running.

        The lock prevents two processes when two faults end at the same time and both
        restart the router.
        """
        with self._start_lock:
            if self.is_running:
                return
            self.write_settings(retry_extra)
            self._spawn()

    def _spawn(self) -> None:
        path = self.directory / f"{self.name}.json"
        environment = {**os.environ, NODE_FILE_VARIABLE: str(path)}
        if self.earlier_sources is not None and self.process is None:
            environment["PYTHONPATH"] = str(self.earlier_sources)
        with open(self.directory / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "chervilstall.commands.edge"],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def write_settings(self, retry_extra: float) -> None:
        """Write the settings file; a running process reloads it when it changes."""
        content = build_node_file(
            self.name,
            self.host,
            self.zone,
            CALLER_PORT,
            str(self.link.address),
            grace_s=self.grace_s,
            retry_min_extra=retry_extra,
        )
        (self.directory / f"{self.name}.json").write_bytes(content)

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running and self.process is not None:
            self.process.send_signal(signal_number)

    def is_ready(self) -> bool:
        """Return whether the router's readiness endpoint reports ready."""
        connection = http.client.HTTPConnection(
            self.host, CALLER_PORT + 1, timeout=READY_TIMEOUT_S
        )
        try:
            connection.request("GET", READY_PATH)
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_until_ready(self, timeout_s: float) -> bool:
        """Wait until the router is ready, and return whether it was in time."""
        with gevent.Timeout(timeout_s, False):
            while not self.is_ready():
                gevent.sleep(READY_POLL_S)
            return True
        return False

    def wait_for_exit(self, timeout_s: float = EXIT_TIMEOUT_S) -> int | None:
        """Wait for the process to exit; kill it after `timeout_s`.

        Return its exit code, or None if it was killed here or never started.
        """
        if self.process is None:
            return None
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return None


@dataclass
class SoakFleet:
    """Store, targets and routers of one soak run, all on loopback addresses.

    `subnet` selects the second and third octet of the addresses, so that concurrent
    runs don't share addresses. `latency_objective_ms` is that of all routes, if any.
    With `earlier_sources` the routers are upgraded from these, each as it starts again.
    """

    subnet: int
    rng: random.Random
    grace_s: float = GRACE_S
    latency_objective_ms: int | None = None
    earlier_sources: Path | None = None
    store: PlatformStoreServer = field(init=False)
    routers: list[RouterProcess] = field(default_factory=list)
    targets: list[SoakTarget] = field(default_factory=list)
    _store_views: list[RouterStoreView] = field(default_factory=list)
    version: int = 1
    _directory: tempfile.TemporaryDirectory = field(
        default_factory=tempfile.TemporaryDirectory
    )

    def host(self, number: int) -> str:
        """Return the loopback address of this run with `number` as its last octet."""
        return subnet_host(self.subnet, number)

    def start(self, router_count: int) -> None:
        """Start the store, targets and routers."""
        self.store = PlatformStoreServer(Address(self.host(1), 0))
        self.store.start()
        write_configuration(self.store.state, self._build_configuration())
        middle = LAYERS // 2
        for zone in ZONES:
            self._add_target(f"lookup-{zone}", "lookups", zone, NO_LAYERS)
            for replica in ("a", "b"):
                first, last = LayerRange(0, middle), LayerRange(middle, LAYERS)
                self._add_target(f"first-{replica}-{zone}", "drafts", zone, first)
                self._add_target(f"last-{replica}-{zone}", "drafts", zone, last)
        for number in range(router_count):
            zone = ZONES[number % len(ZONES)]
            target_links = RouterLinks(self.host(5))
            view = RouterStoreView(self.store.state, target_links)
            view.start()
            self._store_views.append(view)
            link = LinkProxy(view.address, Address(self.host(2), 0))
            link.start()
            router = RouterProcess(
                f"{ROUTER_NAME_PREFIX}{number + 1}",
                zone,
                self.host(10 + number),
                link,
                target_links,
                Path(self._directory.name),
                self.grace_s,
                self.earlier_sources,
            )
            self.routers.append(router)
            router.start()

    def _add_target(
        self, name: str, service: str, zone: str, layers: LayerRange
    ) -> None:
        server = PacedTarget(name, Address(self.host(3), 0))
        server.layers = layers
        server.start()
        link = LinkProxy(server.address, Address(self.host(4), 0))
        link.start()
        target = SoakTarget(name, service, zone, server, link)
        self.targets.append(target)
        self.register(target)

    def register(self, target: SoakTarget, state: str = "ready") -> None:
        """Write a target's entry to the store, with the address of its link proxy."""
        write_target_entry(
            self.store.state,
            target.name,
            target.service,
            str(target.link.address),
            target.zone,
            target.server.layers,
            state,
            target.starts,
        )

    def unregister(self, target: SoakTarget) -> None:
        """Remove a target's entry from the store."""
        remove_target_entry(self.store.state, target.name)

    def _build_configuration(self) -> dict[str, Any]:
        config = build_configuration(self.version)
        limits = {"timeout-ms": LONG_DRAFT_TIMEOUT_MS, "gap-target-ms": LONG_GAP_MS}
        route = build_route(LONG_DRAFT_PREFIX, "streaming", "drafts", **limits)
        config["routes"].append(route)
        if self.latency_objective_ms is not None:
            for route in config["routes"]:
                route["target-latency-ms"] = self.latency_objective_ms
        return config

    def change_configuration(self) -> int:
        """Write the next configuration version and return its number.

        Each version has a route of its own, by which routers that apply it are found.
        """
        self.version += 1
        config = self._build_configuration()
        new_route = build_route(f"/v{self.version}/", "idempotent", "lookups")
        config["routes"].append(new_route)
        write_configuration(self.store.state, config)
        return self.version

    def wait_until_ready(self, timeout_s: float) -> list[str]:
        """Wait until every router is ready; return the names of those that are not."""
        tasks = [
            gevent.spawn(router.wait_until_ready, timeout_s) for router in self.routers
        ]
        gevent.joinall(tasks)
        return [
            router.name
            for router, task in zip(self.routers, tasks, strict=True)
            if not task.value
        ]

    def executions(self) -> list[tuple[str, str]]:
        """Return request id and target name of every executed request."""
        return [
            (run.request, target.name)
            for target in self.targets
            for run in target.server.log.runs
        ]

    def log_text(self, router: RouterProcess) -> str:
        """Return the log output of a router."""
        path = Path(self._directory.name) / f"{router.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def stop(self) -> None:
        """Kill the router processes and stop the proxies, targets and store."""
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
            router.wait_for_exit()
            router.link.stop()
            router.target_links.stop()
        for target in self.targets:
            target.link.stop()
            target.server.stop()
        for view in self._store_views:
            view.stop()
        self.store.stop()
        self._directory.cleanup()
