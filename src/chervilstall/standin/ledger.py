"""Ledgers of what ran at the targets, and the checker that reads them."""

from collections import defaultdict
from dataclasses import dataclass, field

from chervilstall.ids import AttemptNumber, RequestId, TargetId

AttemptKey = tuple[RequestId, AttemptNumber]


@dataclass(frozen=True)
class LayerRun:
    """Layers that one target ran for one position of one attempt."""

    request: RequestId
    attempt: AttemptNumber
    position: int
    target: TargetId
    first_layer: int
    end_layer: int


@dataclass(frozen=True)
class ServiceRun:
    """One execution at a plain service.

    `operation` names the caller's intent; two runs of one operation are a double
    effect even if they carry different request identities.
    """

    request: RequestId
    attempt: int
    operation: str
    is_repeatable: bool


@dataclass
class Ledger:
    """Everything that ran, in order."""

    layer_runs: list[LayerRun] = field(default_factory=list)
    service_runs: list[ServiceRun] = field(default_factory=list)
    starts: dict[AttemptKey, int] = field(default_factory=dict)
    layer_counts: dict[str, int] = field(default_factory=dict)
    prompts: dict[RequestId, str] = field(default_factory=dict)

    operations: dict[str, int] = field(default_factory=dict)

    def add_service_run(self, run: ServiceRun) -> None:
        """Record one execution at a plain service."""
        self.service_runs.append(run)
        self.operations[run.operation] = self.operations.get(run.operation, 0) + 1

    def has_operation(self, operation: str) -> bool:
        """Return whether an operation ran."""
        return operation in self.operations

    def count_runs(self, operation: str) -> int:
        """Return how often an operation ran."""
        return self.operations.get(operation, 0)

    def count_starts(self, prompt: str) -> int:
        """Return how often generation for a prompt started from its beginning."""
        count = 0
        for (request, _), position in self.starts.items():
            count += position == 0 and self.prompts.get(request) == prompt
        return count


def check_layers(ledger: Ledger, layers: int) -> list[str]:
    """Return every breach of "each layer once per token, in order".

    Within an attempt, positions are consecutive and the layers of each position tile
    [0, layers) in order. Only the last position of an attempt may be unfinished.

    >>> check_layers(Ledger(), 32)
    []
    """
    attempts: dict[AttemptKey, list[LayerRun]] = defaultdict(list)
    for run in ledger.layer_runs:
        attempts[(run.request, run.attempt)].append(run)
    breaches: list[str] = []
    for key, runs in attempts.items():
        breaches += _check_attempt(key, runs, layers)
    return breaches


def _check_attempt(key: AttemptKey, runs: list[LayerRun], layers: int) -> list[str]:
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
    """Return every operation that ran more than once though it may not."""
    counts: dict[str, int] = defaultdict(int)
    for run in ledger.service_runs:
        if run.is_repeatable:
            continue
        counts[run.operation] += 1
    return [f"{name} ran {count} times" for name, count in counts.items() if count > 1]
