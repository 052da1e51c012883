"""A router in a process of its own, on a VM with limits on memory and descriptors."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

from chervilstall.settings.option import Address
from chervilstall.standin.platform_fixtures import build_node_file
from tests.steps.start_steps import SETTINGS_VARIABLE, RouterProcess, free_address
from tests.support.platform import PORTS_PER_ROUTER, Platform
from tests.support.router_harness import HOST

METRICS_PORT = 9464


class LimitedRouter(RouterProcess):
    """A router process whose node file names the limits of its VM."""

    def __init__(self, platform: Platform, **limits: int) -> None:
        self.caller_address = free_address()
        port = self.caller_address.port
        self.ready_address = Address(HOST, port + 1)
        peer_port = port + 2
        self.addresses = {
            "callers": self.caller_address,
            "peers": Address(HOST, peer_port),
            "metrics": Address(HOST, METRICS_PORT),
            "readiness": self.ready_address,
        }
        self._folder = tempfile.TemporaryDirectory()
        path = Path(self._folder.name) / "node.json"
        path.write_bytes(self._settings(platform, port, peer_port, limits))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "chervilstall.commands.edge"],
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    @staticmethod
    def _settings(
        platform: Platform, port: int, peer_port: int, limits: dict[str, int]
    ) -> bytes:
        content = build_node_file(
            "vm-1", HOST, "ba-hall", port, str(platform.store.address), grace_s=4.0
        )
        node = json.loads(content)
        node["internal-ports"] = [peer_port, peer_port + PORTS_PER_ROUTER - 1]
        node["limits"] = {name.replace("_", "-"): limits[name] for name in limits}
        return json.dumps(node).encode()

    @property
    def memory_peak_bytes(self) -> int:
        """Return the largest resident memory that the process has had."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        return int(fields["VmHWM"].split()[0]) * 1024

    @property
    def descriptors(self) -> int:
        """Return the number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))
