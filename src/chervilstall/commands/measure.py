"""`chervilstall-measure`: runs experiments and prints their results as JSON lines."""

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
from chervilstall.soak.fleet import GRACE_S
from chervilstall.soak.run import FaultMix, SoakOptions, run_soak

Seed = Annotated[int, cappa.Arg(long=True, help="Seed of all random choices.")]
ShapeName = Annotated[str, cappa.Arg(long=True, help="parcels, seating or skewed.")]
CapacityFactor = Annotated[
    float, cappa.Arg(long=True, help="Factor applied to every capacity.")
]


@dataclass
class Throughput:
    """Token rate as a share of the max-flow bound, compared with the baselines."""

    seed: Seed = 1
    shape: ShapeName = "parcels"
    scale: CapacityFactor = 1.0


@dataclass
class Urgent:
    """Urgent latency while drafts saturate the engines, relative to no drafts."""

    seed: Seed = 1
    shape: ShapeName = "parcels"
    scale: CapacityFactor = 1.0


@dataclass
class Overhead:
    """The router's overhead compared with a direct call and a plain proxy."""

    seed: Seed = 1


@dataclass
class Effects:
    """How often non-idempotent requests take effect under random faults."""

    seed: Seed = 1
    requests: Annotated[int, cappa.Arg(long=True, help="Requests sent.")] = 100_000


@dataclass
class Recovery:
    """Seconds from each fault to 95% of the remaining hardware's throughput."""

    seed: Seed = 1
    shape: ShapeName = "seating"


@dataclass
class Control:
    """Control-plane cost per agent, and its slope over the number of agents."""

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
    """Memory and CPU time of single components at a given fleet size."""

    seed: Seed = 1
    nodes: Annotated[int, cappa.Arg(long=True, help="Members.")] = 2_100
    targets: Annotated[int, cappa.Arg(long=True, help="Targets.")] = 7_300
    workspaces: Annotated[int, cappa.Arg(long=True, help="Workspaces.")] = 530


@dataclass
class Soak:
    """Check the guarantees under random faults on router processes, per seed."""

    seed: Seed = 1
    seeds: Annotated[
        int, cappa.Arg(long=True, help="Seeds to run, starting at --seed.")
    ] = 1
    seconds: Annotated[float, cappa.Arg(long=True, help="Seconds with faults.")] = 20.0
    mix: Annotated[
        FaultMix,
        cappa.Arg(
            long=True, help="Faults: random, cuts, endless, shutdowns, or both kinds."
        ),
    ] = FaultMix.RANDOM
    routers: Annotated[int, cappa.Arg(long=True, help="Router processes.")] = 4
    callers: Annotated[int, cappa.Arg(long=True, help="Callers per router.")] = 3
    grace: Annotated[
        float, cappa.Arg(long=True, help="Grace period of the routers in seconds.")
    ] = GRACE_S
    keep: Annotated[
        Path | None, cappa.Arg(long=True, help="Folder for logs of failed seeds.")
    ] = None
    earlier_sources: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            help="Folder with an earlier version of the package, from which each "
            "router is upgraded as it starts again.",
        ),
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
    help="Run an experiment and print its results.",
    description=EXIT_HELP,
)
@dataclass
class MeasureCommand:
    """Command-line arguments of the experiments."""

    action: cappa.Subcommands[Action]


def run_experiment(command: MeasureCommand) -> ExitCode:
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
    """Run the soak test's seeds in turn; fail if any run broke a guarantee."""
    # Raising SystemExit in this greenlet lets the run end the processes that it
    # started before the program exits on a signal.
    stop_exception = SystemExit(int(ExitCode.UNFINISHED))
    on_stop_signals(partial(gevent.kill, gevent.getcurrent(), stop_exception))
    options = SoakOptions(
        soak.seconds,
        soak.mix,
        soak.routers,
        soak.callers,
        soak.grace,
        soak.earlier_sources,
    )
    has_passed = True
    for seed in range(soak.seed, soak.seed + soak.seeds):
        report = run_soak(seed, options, soak.keep)
        start.print_json(report)
        has_passed = has_passed and not report["breaches"]
    return ExitCode.DONE if has_passed else ExitCode.FAILED


def run() -> None:
    """Entry point."""
    start.run_command(MeasureCommand, run_experiment)


if __name__ == "__main__":
    run()
