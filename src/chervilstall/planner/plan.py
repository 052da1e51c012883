"""Planning of the next steps that make targets match the settings.

After each step, every pipeline that was covered before is still covered: targets that
have its model loaded can run all of its layers. Steps are idempotent and may be
repeated. Planners that overlap cannot undo each other's steps, because a change of
the settings is rejected unless they are still at the head it was planned on, and
orders are fenced.
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
class LoadModel:
    """Order a target to load the model that its document declares."""

    target: TargetId
    document: TargetDocument


@dataclass(frozen=True)
class AssignVersion:
    """Change the version in a target's document."""

    target: TargetId
    version: str


@dataclass(frozen=True)
class ServeVersion:
    """Serve a pipeline from its next version."""

    workspace: WorkspaceName
    pipeline: PipelineName
    version: str


Step = Union[LoadModel, AssignVersion, ServeVersion]


def matches_document(state: TargetState, document: TargetDocument) -> bool:
    """Return whether a target has loaded what its document declares.

    Additional adapters are allowed.
    """
    loaded = (state.model, state.version, state.first_layer, state.end_layer)
    wanted = (
        document.model,
        document.version,
        document.first_layer,
        document.end_layer,
    )
    return loaded == wanted and set(document.adapters) <= set(state.adapters)


def plan_steps(tree: Tree, states: Mapping[TargetId, TargetState]) -> list[Step]:
    """Return the steps that may be taken now, load orders first.

    `states` holds the targets that answered; a target without an entry covers no
    layers and receives no order.
    """
    steps: list[Step] = []
    steps += _load_steps(tree, states)
    for pipeline in tree.pipelines():
        if pipeline[2].next_version:
            steps += _rollout_steps(tree, states, pipeline)
    return steps


def _engines(tree: Tree) -> dict[TargetId, TargetDocument]:
    engines = {}
    for name, document in tree.targets().items():
        if document.kind is TargetKind.ENGINE and not document.is_leaving:
            engines[name] = document
    return engines


def _load_steps(tree: Tree, states: Mapping[TargetId, TargetState]) -> list[Step]:
    steps: list[Step] = []
    unavailable: set[TargetId] = {
        name for name, state in states.items() if state.is_loading
    }
    for name, document in _engines(tree).items():
        state = states.get(name)
        if state is None or state.is_loading or matches_document(state, document):
            continue
        if not keeps_coverage(tree, states, unavailable | {name}):
            continue
        unavailable.add(name)
        steps.append(LoadModel(name, document))
    return steps


def _rollout_steps(
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
    pending = [
        target
        for target, assigned in _engines(tree).items()
        if assigned.version == wanted.version
        and target in states
        and not matches_document(states[target], assigned)
    ]
    if pending:
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
    """Return the target to switch to the next version, or None.

    It provides the first layer that the next version lacks, reaches furthest from
    there, and is not needed to cover the present version.
    """
    layers = tree.models()[served.model].layers
    gap = first_uncovered_layer(assigned_ranges(tree, wanted), layers)
    best: tuple[int, TargetId] | None = None
    for name, document in _engines(tree).items():
        if name not in states or not serves_pipeline(document, served):
            continue
        is_useful = gap is not None and document.first_layer <= gap < document.end_layer
        if not is_useful or not keeps_coverage(tree, states, {name}):
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
    excluded: frozenset[TargetId] | set[TargetId] = frozenset(),
) -> list[tuple[int, int]]:
    """Return the layer ranges that targets have loaded for a pipeline."""
    ranges = []
    for name, state in states.items():
        if name in excluded or state.is_loading or state.is_leaving:
            continue
        if (state.model, state.version) != (pipeline.model, pipeline.version):
            continue
        if pipeline.adapter and pipeline.adapter not in state.adapters:
            continue
        ranges.append((state.first_layer, state.end_layer))
    return ranges


def assigned_ranges(tree: Tree, pipeline: PipelineDocument) -> list[tuple[int, int]]:
    """Return the layer ranges that target documents assign to a pipeline."""
    ranges = []
    for document in _engines(tree).values():
        if serves_pipeline(document, pipeline):
            ranges.append((document.first_layer, document.end_layer))
    return ranges


def keeps_coverage(
    tree: Tree, states: Mapping[TargetId, TargetState], excluded: set[TargetId]
) -> bool:
    """Return whether all pipelines covered now stay covered without some targets."""
    models = tree.models()
    for _, _, pipeline in tree.pipelines():
        layers = models[pipeline.model].layers
        if first_uncovered_layer(held_ranges(states, pipeline), layers) is not None:
            continue
        if (
            first_uncovered_layer(held_ranges(states, pipeline, excluded), layers)
            is not None
        ):
            return False
    return True
