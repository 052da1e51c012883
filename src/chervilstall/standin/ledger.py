"""Ledger of what the stand-in targets ran, and checks of its contents."""

from collections import defaultdict
from dataclasses import dataclass, field

from chervilstall.ids import AttemptNumber, RequestId, TargetId

AttemptKey = tuple[RequestId, AttemptNumber]


@dataclass(frozen=True)
class LayerRun:
    """The layers `[first_layer, end_layer)` that a target ran for one position."""

    request: RequestId
    attempt: AttemptNumber
    position: int
    target: TargetId
    first_layer: int
    end_layer: int


@dataclass(frozen=True)
class ServiceRun:
    """One execution of a call at a plain service.

    `operation` identifies what the caller asked for. Two runs of one operation that
    isn't repeatable are a duplicate effect, even if their request ids differ.
    """

    request: RequestId
    attempt: int
    operation: str
    is_repeatable: bool


@dataclass
class Ledger:
    """Everything that the stand-in targets ran, in order.

    `start_positions` holds the first position of each attempt, `layer_run_counts` the
    number of layers that each target ran, `operation_counts` the runs per operation.
    """

    layer_runs: list[LayerRun] = field(default_factory=list)
    service_runs: list[ServiceRun] = field(default_factory=list)
    start_positions: dict[AttemptKey, int] = field(default_factory=dict)
    layer_run_counts: dict[str, int] = field(default_factory=dict)
    prompts: dict[RequestId, str] = field(default_factory=dict)

    operation_counts: dict[str, int] = field(default_factory=dict)

    def add_service_run(self, run: ServiceRun) -> None:
        """Record one execution of a call at a plain service."""
        self.service_runs.append(run)
        self.operation_counts[run.operation] = (
            self.operation_counts.get(run.operation, 0) + 1
        )

    def has_operation(self, operation: str) -> bool:
        """Return whether an operation ran at least once."""
        return operation in self.operation_counts

    def count_runs(self, operation: str) -> int:
        """Return how often an operation ran."""
        return self.operation_counts.get(operation, 0)

    def count_starts(self, prompt: str) -> int:
        """Return how many attempts for a prompt generated from its first token."""
        count = 0
        for (request, _), position in self.start_positions.items():
            count += position == 0 and self.prompts.get(request) == prompt
        return count


def check_layers(ledger: Ledger, layers: int) -> list[str]:
    """Return a message for each violation of "each layer once per token, in order".

    Within an attempt, positions are consecutive and the layer ranges of each position
    cover [0, layers) in order without gap or overlap. Only the last position of an
    attempt may be incomplete.

    >>> check_layers(Ledger(), 32)
    []
    """
    attempts: dict[AttemptKey, list[LayerRun]] = defaultdict(list)
    for run in ledger.layer_runs:
        attempts[(run.request, run.attempt)].append(run)
    breaches: list[str] = []
    for key, runs in attempts.items():
        breaches += _check_attempt_layers(key, runs, layers)
    return breaches


def _check_attempt_layers(
    key: AttemptKey, runs: list[LayerRun], layers: int
) -> list[str]:
    breaches = []
    position = runs[0].position
    next_layer = 0
    for run in runs:
        if run.position != position:
            if next_layer != layers:
                breaches.append(f"{key}: position {position} ends at {next_layer}")
            if run.position != position + 1:
                breaches.append(f"{key}: position {run.position} after {position}")
            position = run.position
            next_layer = 0
        if run.first_layer != next_layer:
            breaches.append(
                f"{key}: position {position} runs {run.first_layer}, due {next_layer}"
            )
        next_layer = run.end_layer
    return breaches


def check_single_effects(ledger: Ledger) -> list[str]:
    """Return a message for each non-repeatable operation that ran more than once."""
    counts: dict[str, int] = defaultdict(int)
    for run in ledger.service_runs:
        if run.is_repeatable:
            continue
        counts[run.operation] += 1
    return [f"{name} ran {count} times" for name, count in counts.items() if count > 1]
