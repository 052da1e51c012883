"""`chervilstall-measure`: experiments, one JSON object a line."""

from chervilstall.commands import start

from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Annotated

import cappa
import gevent

from chervilstall.commands.exits import EXIT_HELP, ExitCode
from chervilstall.commands.signals import on_stop_signals
from chervilstall.measure.statistics import round_floats
from chervilstall.measure.control import run_configuration, run_control
from chervilstall.measure.effects import run_effects
from chervilstall.measure.overhead import run_overhead
from chervilstall.measure.recovery import run_recovery
from chervilstall.measure.scale import run_scale
from chervilstall.measure.throughput import run_throughput
from chervilstall.measure.urgent import run_urgent
from chervilstall.soak.run import run_soak

Seed = Annotated[int, cappa.Arg(long=True, help="Seed of everything random.")]
ShapeName = Annotated[str, cappa.Arg(long=True, help="parcels, seating or skewed.")]
CapacityFactor = Annotated[
    float, cappa.Arg(long=True, help="Factor on every capacity.")
]


@dataclass
class Throughput:
    """Token rate against the max-flow bound, beside the baselines."""

    seed: Seed = 1
    shape: ShapeName = "parcels"
    scale: CapacityFactor = 1.0


@dataclass
class Urgent:
    """Urgent latency with drafts saturating the engines, over that without."""

    seed: Seed = 1
    shape: ShapeName = "parcels"
    scale: CapacityFactor = 1.0


@dataclass
class Overhead:
    """The router's own cost against the target and a bare pass-through."""

    seed: Seed = 1


@dataclass
class Effects:
    """Single effects of non-idempotent requests under random faults."""

    seed: Seed = 1
    requests: Annotated[int, cappa.Arg(long=True, help="Requests sent.")] = 100_000


@dataclass
class Recovery:
    """Seconds until 95% of what the remaining hardware allows, per fault."""

    seed: Seed = 1
    shape: ShapeName = "seating"


@dataclass
class Control:
    """Cost of control per agent and the slopes over the number of agents."""

    seed: Seed = 1
    sizes: Annotated[str, cappa.Arg(long=True, help="Numbers of agents.")] = (
        "10,50,150,300"
    )


@dataclass
class Configuration:
    """Time until accepted changes are in force everywhere."""

    seed: Seed = 1
    nodes: Annotated[int, cappa.Arg(long=True, help="Number of agents.")] = 50
    changes: Annotated[int, cappa.Arg(long=True, help="Changes made.")] = 40


@dataclass
class Scale:
    """State and processor time of single parts at a size."""

    seed: Seed = 1
    nodes: Annotated[int, cappa.Arg(long=True, help="Members.")] = 2_100
    targets: Annotated[int, cappa.Arg(long=True, help="Targets.")] = 7_300
    workspaces: Annotated[int, cappa.Arg(long=True, help="Workspaces.")] = 530


@dataclass
class Soak:
    """Promises under random faults: routers as processes, one line a seed."""

    seed: Seed = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="Seeds run, from SEED on.")] = 1
    seconds: Annotated[float, cappa.Arg(long=True, help="Time with faults.")] = 20.0
    keep: Annotated[
        Path | None, cappa.Arg(long=True, help="Folder for logs of failed seeds.")
    ] = None


Action = (
    Throughput
    | Urgent
    | Overhead
    | Effects
    | Recovery
    | Control
    | Configuration
    | Scale
    | Soak
)


@cappa.command(
    name="chervilstall-measure",
    help="Run an experiment and print its figures.",
    description=EXIT_HELP,
)
@dataclass
class MeasureCommand:
    """Command line of the experiments."""

    action: cappa.Subcommands[Action]


def act(command: MeasureCommand) -> ExitCode:
    """Run one experiment."""
    match command.action:
        case Throughput(seed, shape, scale):
            figures = run_throughput(shape, seed, scale)
        case Urgent(seed, shape, scale):
            figures = run_urgent(shape, seed, scale)
        case Overhead(seed):
            figures = run_overhead(seed)
        case Effects(seed, requests):
            figures = run_effects(requests, seed)
        case Recovery(seed, shape):
            figures = run_recovery(shape, seed)
        case Control(seed, sizes):
            figures = run_control(seed, [int(size) for size in sizes.split(",")])
        case Configuration(seed, nodes, changes):
            figures = run_configuration(seed, nodes, changes)
        case Scale(seed, nodes, targets, workspaces):
            figures = run_scale(seed, nodes, targets, workspaces)
        case Soak():
            return run_seeds(command.action)
    start.print_json(round_floats(figures))
    return ExitCode.DONE


def run_seeds(soak: Soak) -> ExitCode:
    """Run the soak's seeds one after the other; fail where a promise broke."""
    # Told to stop, the run still ends the processes that it started.
    told_to_stop = SystemExit(int(ExitCode.UNFINISHED))
    on_stop_signals(partial(gevent.kill, gevent.getcurrent(), told_to_stop))
    is_kept = True
    for seed in range(soak.seed, soak.seed + soak.seeds):
        report = run_soak(seed, soak.seconds, soak.keep)
        start.print_json(report)
        is_kept = is_kept and not report["breaches"]
    return ExitCode.DONE if is_kept else ExitCode.FAILED


def run() -> None:
    """Entry point."""
    start.run_command(MeasureCommand, act)


if __name__ == "__main__":
    run()
