"""`chervilstallctl`: reads and writes settings, and queries agents and routers."""

from chervilstall.commands import start

import difflib
import json
import os
import sys
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode

from geventhttpclient import HTTPClient

from chervilstall.commands.ctl_options import (
    TOKEN_VARIABLE,
    Put,
    Load,
    Get,
    Delete,
    List,
    Diff,
    History,
    Rollback,
    Check,
    Status,
    Drain,
    Explain,
    Where,
    Timeline,
    Bound,
    Histograms,
    State,
    CtlCommand,
)
from chervilstall.commands.exits import ExitCode
from chervilstall.commands.where import ask_where
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

CALL_TIMEOUT_S = 90.0
HTTP_CONFLICT = 409
HTTP_INVALID = 422


class CtlError(ChervilstallError):
    """An agent or router answered with an error; `status` is the HTTP status."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        lines = [body.get("message") or body.get("error") or "failed"]
        lines += body.get("mistakes", [])
        kind = ErrorKind.CONFLICT if status == HTTP_CONFLICT else ErrorKind.INTERNAL
        super().__init__(kind, "\n  ".join(lines))
        self.status = status


def call(address: str, method: str, path: str, body: str = "", **query: object) -> Any:
    """Call an agent or router and return the decoded response. Raises CtlError.

    Query parameters that are None or empty are left out.
    """
    host_port = parse_address(address)
    client = HTTPClient(
        host_port.host,
        host_port.port,
        network_timeout=CALL_TIMEOUT_S,
        disable_ipv6=True,
    )
    parameters = {
        name: value for name, value in query.items() if value not in (None, "")
    }
    uri = quote(path) + (f"?{urlencode(parameters)}" if parameters else "")
    headers = {"Authorization": f"Bearer {os.environ.get(TOKEN_VARIABLE, '')}"}
    response = client.request(method, uri, body=body, headers=headers)
    content = json.loads(response.read())
    client.close()
    if response.status_code != 200:
        raise CtlError(response.status_code, content)
    return content


def run_ctl(command: CtlCommand) -> ExitCode:
    """Run one action and map its error to an exit code."""
    try:
        return run_action(command)
    except CtlError as error:
        print(f"error: {error.message}", file=sys.stderr)
        if error.status == HTTP_CONFLICT:
            return ExitCode.CONFLICT
        if error.status == HTTP_INVALID:
            return ExitCode.INVALID_SETTINGS
        return ExitCode.FAILED


def run_action(command: CtlCommand) -> ExitCode:
    """Run one action. Raises CtlError."""
    agent = command.agent
    router = command.router
    match command.action:
        case Put() as put:
            return put_document(agent, put)
        case Load(file):
            return load_tree(agent, file)
        case Get(path, revision):
            print(fetch_document(agent, path, revision)["text"], end="")
        case Delete(path):
            change = new_change_id()
            uri = f"/v1/settings/{path}"
            start.print_json(call(agent, "DELETE", uri, change=change))
        case List(prefix):
            for path in call(agent, "GET", "/v1/settings", prefix=prefix)["paths"]:
                print(path)
        case Diff(path, file):
            print_diff(fetch_document(agent, path)["text"], file)
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
        case Where() as where:
            return ask_where(router, where)
        case Bound():
            start.print_json(call(router, "GET", "/bound"))
        case Histograms():
            for row in call(router, "GET", "/histograms"):
                start.print_json(row)
        case State():
            start.print_json(call(router, "GET", "/state"))
    return ExitCode.DONE


def read_logs(names: tuple[str, ...]) -> list[LogLine]:
    """Read and parse the lines of log files; `-` is standard input."""
    texts: list[str] = []
    for name in names:
        text = sys.stdin.read() if name == "-" else Path(name).read_text()
        texts.extend(text.splitlines())
    return parse_lines(texts)


def explain_from_logs(request: str, names: tuple[str, ...]) -> ExitCode:
    """Print a request's log lines and the line that explains its failure."""
    lines = read_logs(names)
    matches = request_lines(lines, request)
    if not matches:
        print(f"error: no log line mentions request {request}", file=sys.stderr)
        return ExitCode.FAILED
    for line in matches:
        print(line)
    cause = find_cause(lines, request)
    print(f"cause: {cause}" if cause is not None else "nothing failed")
    return ExitCode.DONE


def put_document(agent: str, put: Put) -> ExitCode:
    """Write a document and, with `--wait`, wait until it is in force.

    Returns FAILED where a zone has not confirmed the change by then.
    """
    text = sys.stdin.read() if put.file == "-" else Path(put.file).read_text()
    change = put.change or new_change_id()
    print(f"change {change}", file=sys.stderr)
    result = call(
        agent,
        "PUT",
        f"/v1/settings/{put.path}",
        text,
        base=put.base,
        change=change,
        wait_s=put.wait,
    )
    start.print_json(result)
    return ExitCode.FAILED if result.get("unconfirmed") else ExitCode.DONE


def load_tree(agent: str, file: Path) -> ExitCode:
    """Write a tree file's documents, each after the documents it refers to."""
    texts = read_tree_file(file.read_text(), file.name)
    kinds = ("models/", "targets/", "links/", "grant", "")
    pending = dict(texts)
    for kind in kinds:
        for path in sorted(pending):
            if path.startswith(kind) or (kind == "grant" and path.endswith("/grant")):
                call(agent, "PUT", f"/v1/settings/{path}", pending.pop(path))
    print(f"{len(texts)} documents accepted.")
    return ExitCode.DONE


def fetch_document(
    agent: str, path: str, revision: int | None = None
) -> dict[str, Any]:
    """Return a document's `text`, `path` and `revision`."""
    return call(agent, "GET", f"/v1/settings/{path}", revision=revision)


def print_diff(current: str, file: Path) -> None:
    """Print a unified diff from the current document to a file."""
    lines = difflib.unified_diff(
        current.splitlines(), file.read_text().splitlines(), "present", file.name
    )
    for line in lines:
        print(line.rstrip("\n"))


def roll_back(agent: str, path: str, revision: int) -> ExitCode:
    """Write the text of an earlier revision as a new change."""
    document = fetch_document(agent, path, revision)
    result = call(
        agent, "PUT", f"/v1/settings/{path}", document["text"], change=new_change_id()
    )
    start.print_json(result)
    return ExitCode.DONE


def drain_target(agent: str, target: str, undo: bool) -> ExitCode:
    """Set a target's `is_leaving`.

    Ends in a conflict where the document was changed since it was read.
    """
    path = f"targets/{target}"
    document = fetch_document(agent, path)
    lines = [
        line
        for line in document["text"].splitlines()
        if not line.startswith("is_leaving")
    ]
    lines.append(f"is_leaving = {'no' if undo else 'yes'}")
    result = call(
        agent,
        "PUT",
        f"/v1/settings/{path}",
        "\n".join(lines) + "\n",
        base=document["revision"],
        change=new_change_id(),
    )
    start.print_json(result)
    return ExitCode.DONE


def run() -> None:
    """Entry point."""
    start.run_command(CtlCommand, run_ctl)


if __name__ == "__main__":
    run()
