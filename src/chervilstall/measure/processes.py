"""Helper processes of an experiment, terminated by process id.

Only experiments start processes; the router, the agent and the other programs do not.
"""

import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import IO

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    text = Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES


@dataclass
class HelperProcess:
    """A helper whose first line of output holds its addresses, separated by spaces."""

    process: "subprocess.Popen[str]"
    addresses: list[str]

    @property
    def stdout_pipe(self) -> IO[str]:
        """Return the pipe from the standard output of the helper."""
        assert self.process.stdout is not None
        return self.process.stdout

    @property
    def stdin_pipe(self) -> IO[str]:
        """Return the pipe to the standard input of the helper."""
        assert self.process.stdin is not None
        return self.process.stdin

    def query(self, command: str) -> str:
        """Send one line to the helper and return its one-line reply."""
        self.stdin_pipe.write(command + "\n")
        self.stdin_pipe.flush()
        return self.stdout_pipe.readline().strip()

    def cpu_s(self) -> float:
        """Return the user and system processor time used so far, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)
        values = fields[1].split()
        return (int(values[11]) + int(values[12])) / TICKS_PER_S

    def rss_bytes(self) -> int:
        """Return the resident memory in bytes."""
        return resident_bytes(self.process.pid)

    def stop(self) -> None:
        """Terminate the helper; kill it if it does not exit within 5 seconds."""
        self.process.terminate()
        try:
            self.process.wait(timeout=5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def start_helper(name: str, *arguments: str) -> HelperProcess:
    """Start `python -m chervilstall.measure.helpers NAME` and read its first line."""
    command = [sys.executable, "-m", "chervilstall.measure.helpers", name, *arguments]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stdin=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    return HelperProcess(process, process.stdout.readline().split())
