"""Checks of a whole settings tree, made at the head it would be accepted on.

Beside each document's own syntax and bounds: references resolve, teams stay inside
their grants, and every pipeline's layers are covered exactly by targets that stay.
"""

from collections.abc import Collection

from chervilstall.configuration.tree import Tree
from chervilstall.settings.documents import (
    GrantDocument,
    ModelDocument,
    PipelineDocument,
    RequestClass,
    TargetDocument,
    TargetKind,
)
from chervilstall.settings.ini import nearest_name_hint
from chervilstall.settings.problems import (
    InvalidSettings,
    SettingsError,
    SettingsErrorCollector,
)


def check_tree(tree: Tree) -> None:
    """Raise InvalidSettings with every mistake of the tree, or return."""
    collector = SettingsErrorCollector("tree")
    mistakes: list[SettingsError] = []
    for document_log in tree.mistakes.values():
        mistakes += document_log.errors
    _check_targets(tree, collector)
    _check_pipelines(tree, collector)
    _check_services(tree, collector)
    mistakes += collector.errors
    if mistakes:
        raise InvalidSettings("the tree is not valid", mistakes)


def _check_targets(tree: Tree, collector: SettingsErrorCollector) -> None:
    models = tree.models()
    for name, target in tree.targets().items():
        path = f"targets/{name}"
        if target.kind is TargetKind.SERVICE:
            if not target.service:
                collector.add(path, "service", "", "required for a service")
            continue
        model = models.get(target.model)
        if model is None:
            hint = nearest_name_hint(target.model, models)
            collector.add(path, "model", target.model, "no such model" + hint)
            continue
        if target.version not in model.versions:
            allowed = "one of " + ", ".join(model.versions)
            collector.add(path, "version", target.version, allowed)
        if not target.first_layer < target.end_layer <= model.layers:
            value = f"{target.first_layer}..{target.end_layer}"
            collector.add(path, "end_layer", value, f"a range inside 0..{model.layers}")


def _check_pipelines(tree: Tree, collector: SettingsErrorCollector) -> None:
    models = tree.models()
    grants = tree.grants()
    granted: dict[str, float] = {}
    covers = _Covers(list(tree.targets().values()))
    for workspace, name, pipeline in tree.pipelines():
        path = f"workspaces/{workspace}/pipelines/{name}"
        grant = grants.get(workspace)
        if grant is None:
            collector.add(path, "workspace", workspace, "the workspace has no grant")
            continue
        _check_grant(path, pipeline, grant, collector)
        granted[workspace] = granted.get(workspace, 0.0) + pipeline.requests_per_s
        model = models.get(pipeline.model)
        if model is None:
            hint = nearest_name_hint(pipeline.model, models)
            collector.add(path, "model", pipeline.model, "no such model" + hint)
            continue
        _check_cover(covers, path, pipeline, model, collector)
    for workspace_name, requests_per_s in granted.items():
        limit = grants[workspace_name].requests_per_s  # type: ignore[index]
        if requests_per_s > limit:
            path = f"workspaces/{workspace_name}"
            value = f"{requests_per_s:g} in sum"
            collector.add(path, "requests_per_s", value, f"at most {limit:g} granted")


def _check_grant(
    path: str,
    pipeline: PipelineDocument,
    grant: GrantDocument,
    collector: SettingsErrorCollector,
) -> None:
    if pipeline.request_class is RequestClass.URGENT and not grant.urgent_allowed:
        collector.add(path, "request_class", "urgent", "not granted to this workspace")


class _Covers:
    """First uncovered layer by what is served, since many pipelines share it."""

    def __init__(self, targets: list[TargetDocument]) -> None:
        self._targets = targets
        self._gaps: dict[tuple[str, str, str], int | None] = {}

    def gap(self, pipeline: PipelineDocument, layers: int) -> int | None:
        key = (pipeline.model, pipeline.version, pipeline.adapter)
        if key not in self._gaps:
            ranges = holding_ranges(self._targets, pipeline)
            self._gaps[key] = first_uncovered_layer(ranges, layers)
        return self._gaps[key]


def _check_cover(
    covers: _Covers,
    path: str,
    pipeline: PipelineDocument,
    model: ModelDocument,
    collector: SettingsErrorCollector,
) -> None:
    if pipeline.version not in model.versions:
        allowed = "one of " + ", ".join(model.versions)
        collector.add(path, "version", pipeline.version, allowed)
        return
    if pipeline.next_version and pipeline.next_version not in model.versions:
        allowed = "one of " + ", ".join(model.versions)
        collector.add(path, "next_version", pipeline.next_version, allowed)
    gap = covers.gap(pipeline, model.layers)
    if gap is not None:
        collector.add(path, "model", pipeline.model, f"no target holds layer {gap}")


def holding_ranges(
    targets: Collection[TargetDocument], pipeline: PipelineDocument
) -> list[tuple[int, int]]:
    """Return the layer ranges of targets that hold what a pipeline serves."""
    ranges = []
    for target in targets:
        if serves_pipeline(target, pipeline):
            ranges.append((target.first_layer, target.end_layer))
    return ranges


def serves_pipeline(target: TargetDocument, pipeline: PipelineDocument) -> bool:
    """Return whether a staying target holds a pipeline's model and adapter."""
    if target.kind is not TargetKind.ENGINE or target.is_leaving:
        return False
    if (target.model, target.version) != (pipeline.model, pipeline.version):
        return False
    return not pipeline.adapter or pipeline.adapter in target.adapters


def first_uncovered_layer(ranges: list[tuple[int, int]], layers: int) -> int | None:
    """Return the first layer of [0, layers) that no range covers, or None.

    A target may run part of what it holds, so a union that reaches every layer can
    always be cut into an exact tiling.

    >>> first_uncovered_layer([(0, 8), (6, 12)], 16)
    12
    """
    reached = 0
    for first, end in sorted(ranges):
        if first > reached:
            break
        reached = max(reached, end)
    return reached if reached < layers else None


def _check_services(tree: Tree, collector: SettingsErrorCollector) -> None:
    served = {target.service for target in tree.targets().values()}
    grants = tree.grants()
    for workspace, name, service in tree.services():
        path = f"workspaces/{workspace}/services/{name}"
        if workspace not in grants:
            collector.add(path, "workspace", workspace, "the workspace has no grant")
        if service.service not in served:
            hint = nearest_name_hint(service.service, served)
            collector.add(
                path, "service", service.service, "no target serves it" + hint
            )
