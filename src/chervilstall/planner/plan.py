"""What to do next to bring targets to what the settings say.

The plan is made of small steps, each of which leaves every served pipeline with an
exact cover by targets that hold its model now. A step that finds its work done does
nothing, so steps may be repeated, and planners that overlap can't undo each other:
settings change only at the head they were planned on, and orders are fenced.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Union

from chervilstall.configuration.check import first_uncovered_layer, serves_pipeline
from chervilstall.configuration.tree import Tree
from chervilstall.ids import PipelineName, TargetId, WorkspaceName
from chervilstall.settings.documents import (
    PipelineDocument,
    TargetDocument,
    TargetKind,
)
from chervilstall.target.contract import TargetState

Pipeline = tuple[WorkspaceName, PipelineName, PipelineDocument]


@dataclass(frozen=True)
class GiveOrder:
    """Have a target load what its document says."""

    target: TargetId
    document: TargetDocument


@dataclass(frozen=True)
class AssignVersion:
    """Change a target's document to another version."""

    target: TargetId
    version: str


@dataclass(frozen=True)
class ServeVersion:
    """Make a pipeline's next version its served one."""

    workspace: WorkspaceName
    pipeline: PipelineName
    version: str


Step = Union[GiveOrder, AssignVersion, ServeVersion]


def holds_document(state: TargetState, document: TargetDocument) -> bool:
    """Return whether a target holds exactly what its document says."""
    held = (state.model, state.version, state.first_layer, state.end_layer)
    wanted = (
        document.model,
        document.version,
        document.first_layer,
        document.end_layer,
    )
    return held == wanted and set(document.adapters) <= set(state.adapters)


def plan_steps(tree: Tree, states: Mapping[TargetId, TargetState]) -> list[Step]:
    """Return the steps that may be taken now, in order of need.

    `states` holds the targets that answered; a silent target covers nothing and gets
    no order.
    """
    steps: list[Step] = []
    steps += _orders(tree, states)
    for pipeline in tree.pipelines():
        if pipeline[2].next_version:
            steps += _roll_out(tree, states, pipeline)
    return steps


def _engines(tree: Tree) -> dict[TargetId, TargetDocument]:
    engines = {}
    for name, document in tree.targets().items():
        if document.kind is TargetKind.ENGINE and not document.is_leaving:
            engines[name] = document
    return engines


def _orders(tree: Tree, states: Mapping[TargetId, TargetState]) -> list[Step]:
    steps: list[Step] = []
    reloading: set[TargetId] = {
        name for name, state in states.items() if state.is_loading
    }
    for name, document in _engines(tree).items():
        state = states.get(name)
        if state is None or state.is_loading or holds_document(state, document):
            continue
        if not keeps_covers(tree, states, reloading | {name}):
            continue
        reloading.add(name)
        steps.append(GiveOrder(name, document))
    return steps


def _roll_out(
    tree: Tree, states: Mapping[TargetId, TargetState], pipeline: Pipeline
) -> list[Step]:
    workspace, name, document = pipeline
    wanted = _with_version(document, document.next_version)
    layers = tree.models()[document.model].layers
    if first_uncovered_layer(held_ranges(states, wanted), layers) is None:
        if first_uncovered_layer(assigned_ranges(tree, wanted), layers) is None:
            return [ServeVersion(workspace, name, document.next_version)]
    if any(state.is_loading for state in states.values()):
        return []
    unfinished = [
        target
        for target, item in _engines(tree).items()
        if item.version == wanted.version
        and target in states
        and not holds_document(states[target], item)
    ]
    if unfinished:
        return []
    candidate = _next_candidate(tree, states, document, wanted)
    if candidate is None:
        return []
    return [AssignVersion(candidate, wanted.version)]


def _next_candidate(
    tree: Tree,
    states: Mapping[TargetId, TargetState],
    served: PipelineDocument,
    wanted: PipelineDocument,
) -> TargetId | None:
    """Return the target that adds the first missing layer and can be spared."""
    layers = tree.models()[served.model].layers
    gap = first_uncovered_layer(assigned_ranges(tree, wanted), layers)
    best: tuple[int, TargetId] | None = None
    for name, document in _engines(tree).items():
        if name not in states or not serves_pipeline(document, served):
            continue
        is_useful = gap is not None and document.first_layer <= gap < document.end_layer
        if not is_useful or not keeps_covers(tree, states, {name}):
            continue
        reach = document.end_layer
        if best is None or reach > best[0]:
            best = (reach, name)
    return best[1] if best else None


def _with_version(document: PipelineDocument, version: str) -> PipelineDocument:
    return PipelineDocument(
        model=document.model, version=version, adapter=document.adapter
    )


def held_ranges(
    states: Mapping[TargetId, TargetState],
    pipeline: PipelineDocument,
    without: frozenset[TargetId] | set[TargetId] = frozenset(),
) -> list[tuple[int, int]]:
    """Return the layers that targets hold now for a pipeline."""
    ranges = []
    for name, state in states.items():
        if name in without or state.is_loading or state.is_leaving:
            continue
        if (state.model, state.version) != (pipeline.model, pipeline.version):
            continue
        if pipeline.adapter and pipeline.adapter not in state.adapters:
            continue
        ranges.append((state.first_layer, state.end_layer))
    return ranges


def assigned_ranges(tree: Tree, pipeline: PipelineDocument) -> list[tuple[int, int]]:
    """Return the layers that documents assign for a pipeline."""
    ranges = []
    for document in _engines(tree).values():
        if serves_pipeline(document, pipeline):
            ranges.append((document.first_layer, document.end_layer))
    return ranges


def keeps_covers(
    tree: Tree, states: Mapping[TargetId, TargetState], without: set[TargetId]
) -> bool:
    """Return whether every pipeline that is covered now stays so without targets."""
    models = tree.models()
    for _, _, pipeline in tree.pipelines():
        layers = models[pipeline.model].layers
        if first_uncovered_layer(held_ranges(states, pipeline), layers) is not None:
            continue
        if (
            first_uncovered_layer(held_ranges(states, pipeline, without), layers)
            is not None
        ):
            return False
    return True
