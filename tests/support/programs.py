"""Runs the project's programs in tests."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent


def run_program(name: str, *arguments: str, **environment: str):
    """Run a program to its end, with additional environment variables."""
    command = [sys.executable, "-m", f"chervilstall.commands.{name}", *arguments]
    return subprocess.run(
        command,
        capture_output=True,
        text=True,
        timeout=60,
        cwd=ROOT,
        env={**os.environ, **environment},
    )
