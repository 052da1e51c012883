"""Commands and options of `chervilstallctl`."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from chervilstall.commands.exits import EXIT_HELP

TOKEN_VARIABLE = "CHERVILSTALL_TOKEN"


@dataclass
class Put:
    """Write a document from a file, or from standard input with `-`."""

    path: str
    file: str
    base: Annotated[
        int | None, cappa.Arg(long=True, help="Revision that the change is based on.")
    ] = None
    change: Annotated[
        str, cappa.Arg(long=True, help="ID of an earlier attempt of this change.")
    ] = ""
    wait: Annotated[
        float, cappa.Arg(long=True, help="Seconds to wait until it is in force.")
    ] = 0.0


@dataclass
class Load:
    """Write every document of a tree file, referenced documents first."""

    file: Path


@dataclass
class Get:
    """Print a document."""

    path: str
    revision: Annotated[
        int | None, cappa.Arg(long=True, help="Retained revision to print.")
    ] = None


@dataclass
class Delete:
    """Delete a document."""

    path: str


@dataclass
class List:
    """List the paths below a prefix."""

    prefix: str = ""


@dataclass
class Diff:
    """Print a unified diff from the document at a path to a file."""

    path: str
    file: Path


@dataclass
class History:
    """Print the accepted changes, oldest first."""

    prefix: str = ""


@dataclass
class Rollback:
    """Restore the document of an earlier revision as a new change."""

    path: str
    revision: int


@dataclass
class Check:
    """Check a whole tree file without changing anything."""

    file: Path


@dataclass
class Status:
    """Print the revisions in force per zone, and the agent's members and roles."""


@dataclass
class Drain:
    """Stop sending new requests to a target, or start again with --undo."""

    target: str
    undo: Annotated[bool, cappa.Arg(long=True, help="End the drain.")] = False


@dataclass
class Explain:
    """Print how a request was routed.

    With log files (`-` for standard input), print the request's lines from all VMs
    and the line that explains its failure. Without, ask the router.
    """

    request: str
    logs: Annotated[tuple[str, ...], cappa.Arg(num_args=-1)] = ()


@dataclass
class Where:
    """Print where a request would go now, and why, without sending it.

    The router is asked on its listener for operators: the metrics address of
    chervilstall-edge, or the admin address of chervilstall-router.
    """

    path: Annotated[str, cappa.Arg(help="Path of the request.")]
    host: Annotated[
        str, cappa.Arg(long=True, help="Host of the request, for chervilstall-edge.")
    ] = ""
    model: Annotated[
        str,
        cappa.Arg(long=True, help="Model, for a completion at chervilstall-router."),
    ] = ""
    workspace: Annotated[
        str, cappa.Arg(long=True, help="Workspace that sends the request.")
    ] = ""
    prompt_tokens: Annotated[
        int, cappa.Arg(long=True, help="Size of the prompt in tokens.")
    ] = 0
    answer_tokens: Annotated[
        int, cappa.Arg(long=True, help="Expected size of the answer in tokens.")
    ] = 0
    priority: Annotated[
        int | None,
        cappa.Arg(long=True, help="Priority instead of that of route and workspace."),
    ] = None
    part: Annotated[
        list[str],
        cappa.Arg(long=True, help="Shared part of the prompt; may be repeated."),
    ] = field(default_factory=list)
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False


@dataclass
class Timeline:
    """Print how the VMs' view of the fleet changed around a time, from their logs."""

    at_s: Annotated[float, cappa.Arg(help="Unix time in seconds.")]
    logs: Annotated[tuple[str, ...], cappa.Arg(num_args=-1)] = ("-",)
    span: Annotated[float, cappa.Arg(long=True, help="Seconds on either side.")] = 5.0


@dataclass
class Bound:
    """Print the throughput bound of each model's hardware, and what limits it."""


@dataclass
class Histograms:
    """Print the latency histograms per workspace and request class."""


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
    | Where
    | Timeline
    | Bound
    | Histograms
    | State
)


@cappa.command(
    name="chervilstallctl",
    help="Read and write settings, and query agents and routers.",
    description=f"The token is read from {TOKEN_VARIABLE}.\n\n" + EXIT_HELP,
)
@dataclass
class CtlCommand:
    """Command-line arguments of the operators' tool."""

    action: cappa.Subcommands[Action]
    agent: Annotated[
        str, cappa.Arg(long=True, help="Address of an agent's listener for operators.")
    ] = "127.0.0.1:8092"
    router: Annotated[
        str, cappa.Arg(long=True, help="Address of a router's admin listener.")
    ] = "127.0.0.1:8081"
