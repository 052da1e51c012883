"""`chervilstallctl`: reads and writes settings, and asks why and where."""

from chervilstall.commands import start

import difflib
import json
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote, urlencode

import cappa
from geventhttpclient import HTTPClient

from chervilstall.commands.exits import EXIT_HELP, ExitCode
from chervilstall.configuration.treefile import read_tree_file
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import new_change_id
from chervilstall.settings.option import parse_address
from chervilstall.telemetry.log_reader import (
    LogLine,
    find_cause,
    request_lines,
    parse_lines,
    timeline,
)

TOKEN_VARIABLE = "CHERVILSTALL_TOKEN"
TIMEOUT_S = 90.0
HTTP_CONFLICT = 409
HTTP_INVALID = 422


class CtlFailed(ChervilstallError):
    """A call was answered with an error; `status` is its HTTP status."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        lines = [body.get("message") or body.get("error") or "failed"]
        lines += body.get("mistakes", [])
        kind = ErrorKind.CONFLICT if status == HTTP_CONFLICT else ErrorKind.INTERNAL
        super().__init__(kind, "\n  ".join(lines))
        self.status = status


@dataclass
class Put:
    """Write a document; `-` reads it from standard input."""

    path: str
    file: str
    base: Annotated[int | None, cappa.Arg(long=True, help="Revision read.")] = None
    change: Annotated[str, cappa.Arg(long=True, help="Change identity to reuse.")] = ""
    wait: Annotated[
        float, cappa.Arg(long=True, help="Seconds to wait until it is in force.")
    ] = 0.0


@dataclass
class Load:
    """Write every document of a tree file, those that others refer to first."""

    file: Path


@dataclass
class Get:
    """Print a document."""

    path: str
    revision: Annotated[int | None, cappa.Arg(long=True, help="Kept revision.")] = None


@dataclass
class Delete:
    """Remove a document."""

    path: str


@dataclass
class List:
    """List the paths below a prefix."""

    prefix: str = ""


@dataclass
class Diff:
    """Compare a file with the document at a path."""

    path: str
    file: Path


@dataclass
class History:
    """Print the accepted changes, oldest first."""

    prefix: str = ""


@dataclass
class Rollback:
    """Write a path's text of an earlier revision as a new change."""

    path: str
    revision: int


@dataclass
class Check:
    """Check a tree file as a whole, changing nothing."""

    file: Path


@dataclass
class Status:
    """Print what is in force where, and the agent's members and roles."""


@dataclass
class Drain:
    """Mark a target as leaving, or as staying again with --undo."""

    target: str
    undo: Annotated[bool, cappa.Arg(long=True, help="Let it stay.")] = False


@dataclass
class Explain:
    """Print why a request went where it did.

    With log files, `-` for standard input, print its lines over all VMs and the line
    that explains its failure; else ask the router.
    """

    request: str
    logs: Annotated[tuple[str, ...], cappa.Arg(num_args=-1)] = ()


@dataclass
class Timeline:
    """Print what VMs came to believe around a moment, from their logs."""

    at_s: Annotated[float, cappa.Arg(help="Unix time in seconds.")]
    logs: Annotated[tuple[str, ...], cappa.Arg(num_args=-1)] = ("-",)
    span: Annotated[float, cappa.Arg(long=True, help="Seconds on either side.")] = 5.0


@dataclass
class Bound:
    """Print the hardware bound of each model, and what limits it."""


@dataclass
class Histograms:
    """Print the histograms per workspace and class."""


@dataclass
class State:
    """Print a router's state."""


Action = (
    Put
    | Load
    | Get
    | Delete
    | List
    | Diff
    | History
    | Rollback
    | Check
    | Status
    | Drain
    | Explain
    | Timeline
    | Bound
    | Histograms
    | State
)


@cappa.command(
    name="chervilstallctl",
    help="Read and write settings, and ask routers why and where.",
    description=f"The token is read from {TOKEN_VARIABLE}.\n\n" + EXIT_HELP,
)
@dataclass
class CtlCommand:
    """Command line of the operators' tool."""

    action: cappa.Subcommands[Action]
    agent: Annotated[
        str, cappa.Arg(long=True, help="An agent's operators' address.")
    ] = "127.0.0.1:8092"
    router: Annotated[str, cappa.Arg(long=True, help="A router's admin address.")] = (
        "127.0.0.1:8081"
    )


def call(address: str, method: str, path: str, body: str = "", **query: object) -> Any:
    """Call an agent or router and return the decoded answer. Raises CtlFailed."""
    host_port = parse_address(address)
    client = HTTPClient(
        host_port.host, host_port.port, network_timeout=TIMEOUT_S, disable_ipv6=True
    )
    given = {name: value for name, value in query.items() if value not in (None, "")}
    uri = quote(path) + (f"?{urlencode(given)}" if given else "")
    headers = {"Authorization": f"Bearer {os.environ.get(TOKEN_VARIABLE, '')}"}
    response = client.request(method, uri, body=body, headers=headers)
    answer = json.loads(response.read())
    client.close()
    if response.status_code != 200:
        raise CtlFailed(response.status_code, answer)
    return answer


def act(command: CtlCommand) -> ExitCode:
    """Run one action."""
    try:
        return run_action(command)
    except CtlFailed as failure:
        print(f"error: {failure.message}", file=sys.stderr)
        if failure.status == HTTP_CONFLICT:
            return ExitCode.CONFLICT
        if failure.status == HTTP_INVALID:
            return ExitCode.INVALID_SETTINGS
        return ExitCode.FAILED


def run_action(command: CtlCommand) -> ExitCode:
    """Run one action. Raises CtlFailed."""
    agent = command.agent
    router = command.router
    match command.action:
        case Put() as put:
            return put_document(agent, put)
        case Load(file):
            return load_tree(agent, file)
        case Get(path, revision):
            print(read_document(agent, path, revision)["text"], end="")
        case Delete(path):
            change = new_change_id()
            uri = f"/v1/settings/{path}"
            start.print_json(call(agent, "DELETE", uri, change=change))
        case List(prefix):
            for path in call(agent, "GET", "/v1/settings", prefix=prefix)["paths"]:
                print(path)
        case Diff(path, file):
            print_diff(read_document(agent, path)["text"], file)
        case History(prefix):
            for change in call(agent, "GET", "/v1/history"):
                if change["path"].startswith(prefix):
                    start.print_json(change)
        case Rollback(path, revision):
            return roll_back(agent, path, revision)
        case Check(file):
            start.print_json(call(agent, "POST", "/v1/check", file.read_text()))
        case Status():
            start.print_json(call(agent, "GET", "/v1/status"))
        case Drain(target, undo):
            return drain_target(agent, target, undo)
        case Explain(request, logs) if logs:
            return explain_from_logs(request, logs)
        case Timeline(at_s, logs, span):
            for line in timeline(read_logs(logs), at_s, span):
                print(line)
        case Explain(request):
            start.print_json(call(router, "GET", f"/explain/{request}"))
        case Bound():
            start.print_json(call(router, "GET", "/bound"))
        case Histograms():
            for row in call(router, "GET", "/histograms"):
                start.print_json(row)
        case State():
            start.print_json(call(router, "GET", "/state"))
    return ExitCode.DONE


def read_logs(names: tuple[str, ...]) -> list[LogLine]:
    """Read the lines of log files; `-` is standard input."""
    texts: list[str] = []
    for name in names:
        text = sys.stdin.read() if name == "-" else Path(name).read_text()
        texts.extend(text.splitlines())
    return parse_lines(texts)


def explain_from_logs(request: str, names: tuple[str, ...]) -> ExitCode:
    """Print a request's lines and its cause."""
    lines = read_logs(names)
    found = request_lines(lines, request)
    if not found:
        print(f"error: no line names the request {request}", file=sys.stderr)
        return ExitCode.FAILED
    for line in found:
        print(line)
    cause = find_cause(lines, request)
    print(f"cause: {cause}" if cause is not None else "nothing failed")
    return ExitCode.DONE


def put_document(agent: str, put: Put) -> ExitCode:
    """Write a document and, where asked, wait until it is in force."""
    text = sys.stdin.read() if put.file == "-" else Path(put.file).read_text()
    change = put.change or new_change_id()
    print(f"change {change}", file=sys.stderr)
    answer = call(
        agent,
        "PUT",
        f"/v1/settings/{put.path}",
        text,
        base=put.base,
        change=change,
        wait_s=put.wait,
    )
    start.print_json(answer)
    return ExitCode.FAILED if answer.get("unconfirmed") else ExitCode.DONE


def load_tree(agent: str, file: Path) -> ExitCode:
    """Write a tree file's documents in the order in which they refer to each other."""
    texts = read_tree_file(file.read_text(), file.name)
    order = ("models/", "targets/", "links/", "grant", "")
    pending = dict(texts)
    for mark in order:
        for path in sorted(pending):
            if path.startswith(mark) or (mark == "grant" and path.endswith("/grant")):
                call(agent, "PUT", f"/v1/settings/{path}", pending.pop(path))
    print(f"{len(texts)} documents accepted.")
    return ExitCode.DONE


def read_document(agent: str, path: str, revision: int | None = None) -> dict[str, Any]:
    """Return a document, its path and revision."""
    return call(agent, "GET", f"/v1/settings/{path}", revision=revision)


def print_diff(present: str, file: Path) -> None:
    """Print a unified diff from the present document to a file."""
    lines = difflib.unified_diff(
        present.splitlines(), file.read_text().splitlines(), "present", file.name
    )
    for line in lines:
        print(line.rstrip("\n"))


def roll_back(agent: str, path: str, revision: int) -> ExitCode:
    """Write the text of an earlier revision as a new change."""
    document = read_document(agent, path, revision)
    answer = call(
        agent, "PUT", f"/v1/settings/{path}", document["text"], change=new_change_id()
    )
    start.print_json(answer)
    return ExitCode.DONE


def drain_target(agent: str, target: str, undo: bool) -> ExitCode:
    """Set a target's `is_leaving`, refusing to overwrite a change made meanwhile."""
    path = f"targets/{target}"
    document = read_document(agent, path)
    lines = [
        line
        for line in document["text"].splitlines()
        if not line.startswith("is_leaving")
    ]
    lines.append(f"is_leaving = {'no' if undo else 'yes'}")
    answer = call(
        agent,
        "PUT",
        f"/v1/settings/{path}",
        "\n".join(lines) + "\n",
        base=document["revision"],
        change=new_change_id(),
    )
    start.print_json(answer)
    return ExitCode.DONE


def run() -> None:
    """Entry point."""
    start.run_command(CtlCommand, act)


if __name__ == "__main__":
    run()
