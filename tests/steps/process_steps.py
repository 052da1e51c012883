"""Steps that run the fleet's programs as processes."""

import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import gevent
from behave import given, then, when
from behave.runner import Context
from geventhttpclient import HTTPClient

from tests.support.agent_fleet import eventually
from tests.support.programs import ROOT, run_program
from tests.support.router_harness import HOST

EXIT_AFTER_SIGNAL_S = 1.0


def start_process(context: Context, name: str, text: str) -> list[str]:
    """Start a program with an INI file; return the addresses in its first two lines."""
    context.started = getattr(context, "started", 0) + 1
    path = context.folder / f"{name}-{context.started}.ini"
    path.write_text(text)
    command = [sys.executable, "-m", f"chervilstall.commands.{name}", str(path)]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True, cwd=ROOT
    )

    class Stopper:
        def stop(self) -> None:
            process.kill()
            process.wait()

    context.stoppables.append(Stopper())
    context.processes = [*getattr(context, "processes", []), process]
    return [process.stdout.readline().split()[-1].rstrip(".") for _ in range(2)]


@given("a store, three agents and a router as processes")
def start_processes(context: Context) -> None:
    context.folder = Path(tempfile.mkdtemp())
    tree = context.folder / "tree.ini"
    text = (ROOT / "tests/support/tree.ini").read_text().replace("127.0.0.1", HOST)
    tree.write_text(text)
    context.tree = context.folder / "bound.ini"
    ports = [20_000 + os.getpid() % 20_000 + number for number in range(3)]
    zones = ("za-hall", "ke-hall", "ba-hall")
    vms = "".join(
        f"[vm vm-{n}]\nzone = {zone}\npeer = {HOST}:{ports[n]}\n"
        for n, zone in enumerate(zones)
    )
    store, _ = start_process(
        context,
        "standin",
        f"[standin]\nstore = {HOST}:0\ntree = {tree}\nwrite_tree = {context.tree}\n"
        + vms,
    )
    digest = hashlib.sha256(b"operator").hexdigest()
    context.agents = []
    for number, zone in enumerate(zones):
        listen = f"{HOST}:{ports[number]}"
        addresses = start_process(
            context,
            "agent",
            f"[vm]\nvm = vm-{number}\nzone = {zone}\n[store]\naddress = {store}\n"
            f"[peer]\nlisten = {listen}\nprobe_interval_s = 0.2\n"
            f"[operators]\nlisten = {HOST}:0\ntoken_sha256 = {digest}\n"
            "[lease]\nttl_s = 1.5\nmargin_s = 0.3\nslots = 3\n",
        )
        context.agents.append(addresses)
    context.callers, context.admin = start_process(
        context,
        "router",
        f"[vm]\nvm = vm-0\nzone = za-hall\n[agent]\naddress = {HOST}:{ports[0]}\n"
        f"[listen]\ncallers = {HOST}:0\nadmin = {HOST}:0\ndrain_wait_s = 0.1\n",
    )


def run_ctl(context: Context, *arguments: str):
    agent = ("--agent", context.agents[1][1], "--router", context.admin)
    return run_program("ctl", *agent, *arguments, CHERVILSTALL_TOKEN="operator")


@when("a tree is loaded with the operators' tool")
def load_tree(context: Context) -> None:
    eventually(context.tree.exists)
    result = run_ctl(context, "load", str(context.tree))
    assert result.returncode == 0, result


@then("a hold and a streamed draft are answered, and a change is in force")
def check_processes(context: Context) -> None:
    host, _, port = context.callers.rpartition(":")

    def send(path: str, body: dict) -> bytes:
        client = HTTPClient(host, int(port), network_timeout=10.0)
        headers = {
            "Authorization": "Bearer counters-token",
            "Idempotency-Key": f"k{body}".replace(" ", ""),
        }
        response = client.post(path, body=json.dumps(body), headers=headers)
        answer = response.read()
        client.close()
        return answer if response.status_code == 200 else b""

    eventually(lambda: send("/services/holds/seats", {"seat": 1}), 20.0)
    message = {"role": "user", "content": "claim"}
    draft = {"model": "claims", "messages": [message], "stream": True, "max_tokens": 4}
    assert b"[DONE]" in send("/v1/chat/completions", draft)
    document = context.folder / "plans.ini"
    document.write_text("[pipeline]\nmodel = small\nversion = v1\n")
    path = "workspaces/desks/pipelines/plans"
    result = run_ctl(context, "put", path, str(document), "--wait", "15")
    assert result.returncode == 0, result
    assert json.loads(result.stdout)["unconfirmed"] == [], result
    assert run_ctl(context, "status").returncode == 0
    assert "bound_tokens_per_s" in run_ctl(context, "bound").stdout
    drained = run_ctl(context, "drain", "low-1")
    assert drained.returncode == 0, drained
    stale = run_ctl(context, "put", path, str(document), "--base", "1")
    assert stale.returncode == 4, stale
    router = context.processes[-1]
    router.terminate()
    assert router.wait(20) == 0


@when("each agent and the router receive SIGHUP")
def send_reload_signals(context: Context) -> None:
    # The first process is the stand-in of the platform.
    for process in context.processes[1:]:
        process.send_signal(signal.SIGHUP)


@then("all of them are still running")
def check_running(context: Context) -> None:
    gevent.sleep(EXIT_AFTER_SIGNAL_S)
    exits = [process.poll() for process in context.processes[1:]]
    assert len(exits) == 4 and not any(code is not None for code in exits), exits
