"""Validates a whole settings tree as it would be after a change.

Besides the syntax and bounds of each document: references resolve, workspaces stay
within their grants, and the layers of every pipeline are covered by targets that are
not leaving.
"""

from collections.abc import Collection, Mapping

from chervilstall.configuration.tree import Tree
from chervilstall.ids import ModelName
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
    """Raise InvalidSettings with every error in the tree, if there are any."""
    collector = SettingsErrorCollector("tree")
    errors: list[SettingsError] = []
    for document_collector in tree.errors.values():
        errors += document_collector.errors
    _check_targets(tree, collector)
    _check_pipelines(tree, collector)
    _check_services(tree, collector)
    errors += collector.errors
    if errors:
        raise InvalidSettings("invalid settings tree", errors)


def _check_targets(tree: Tree, collector: SettingsErrorCollector) -> None:
    models = tree.models()
    for name, target in tree.targets().items():
        path = f"targets/{name}"
        if target.kind is TargetKind.SERVICE:
            if not target.service:
                collector.add(
                    path, "service", "", "required for a target of kind service"
                )
            continue
        model = _find_model(models, path, target.model, collector)
        if model is None:
            continue
        _check_version(model, path, "version", target.version, collector)
        if not target.first_layer < target.end_layer <= model.layers:
            value = f"{target.first_layer}..{target.end_layer}"
            collector.add(path, "end_layer", value, f"a range within 0..{model.layers}")


def _find_model(
    models: Mapping[ModelName, ModelDocument],
    path: str,
    name: ModelName,
    collector: SettingsErrorCollector,
) -> ModelDocument | None:
    """Return the model that a document names; collect an error if there is none."""
    model = models.get(name)
    if model is None:
        hint = nearest_name_hint(name, models)
        collector.add(path, "model", name, "unknown model" + hint)
    return model


def _check_version(
    model: ModelDocument,
    path: str,
    option: str,
    version: str,
    collector: SettingsErrorCollector,
) -> bool:
    """Return whether a model has a version; collect an error if not."""
    if version in model.versions:
        return True
    allowed = "one of " + ", ".join(model.versions)
    collector.add(path, option, version, allowed)
    return False


def _check_pipelines(tree: Tree, collector: SettingsErrorCollector) -> None:
    models = tree.models()
    grants = tree.grants()
    totals: dict[str, float] = {}
    coverage = _CoverageCache(list(tree.targets().values()))
    for workspace, name, pipeline in tree.pipelines():
        path = f"workspaces/{workspace}/pipelines/{name}"
        grant = grants.get(workspace)
        if grant is None:
            collector.add(path, "workspace", workspace, "the workspace has no grant")
            continue
        _check_grant(path, pipeline, grant, collector)
        totals[workspace] = totals.get(workspace, 0.0) + pipeline.requests_per_s
        model = _find_model(models, path, pipeline.model, collector)
        if model is not None:
            _check_coverage(coverage, path, pipeline, model, collector)
    for workspace_name, requests_per_s in totals.items():
        limit = grants[workspace_name].requests_per_s  # type: ignore[index]
        if requests_per_s > limit:
            path = f"workspaces/{workspace_name}"
            value = f"{requests_per_s:g} in total"
            collector.add(path, "requests_per_s", value, f"at most {limit:g} granted")


def _check_grant(
    path: str,
    pipeline: PipelineDocument,
    grant: GrantDocument,
    collector: SettingsErrorCollector,
) -> None:
    if pipeline.request_class is RequestClass.URGENT and not grant.urgent_allowed:
        collector.add(path, "request_class", "urgent", "not granted to this workspace")


class _CoverageCache:
    """Caches the first uncovered layer per model, version and adapter.

    Many pipelines serve the same combination.
    """

    def __init__(self, targets: list[TargetDocument]) -> None:
        self._targets = targets
        self._first_uncovered: dict[tuple[str, str, str], int | None] = {}

    def first_uncovered(self, pipeline: PipelineDocument, layers: int) -> int | None:
        key = (pipeline.model, pipeline.version, pipeline.adapter)
        if key not in self._first_uncovered:
            ranges = serving_ranges(self._targets, pipeline)
            self._first_uncovered[key] = first_uncovered_layer(ranges, layers)
        return self._first_uncovered[key]


def _check_coverage(
    coverage: _CoverageCache,
    path: str,
    pipeline: PipelineDocument,
    model: ModelDocument,
    collector: SettingsErrorCollector,
) -> None:
    if not _check_version(model, path, "version", pipeline.version, collector):
        return
    if pipeline.next_version:
        _check_version(model, path, "next_version", pipeline.next_version, collector)
    uncovered_layer = coverage.first_uncovered(pipeline, model.layers)
    if uncovered_layer is not None:
        collector.add(
            path, "model", pipeline.model, f"no target holds layer {uncovered_layer}"
        )


def serving_ranges(
    targets: Collection[TargetDocument], pipeline: PipelineDocument
) -> list[tuple[int, int]]:
    """Return the [first, end) layer ranges of the targets that can serve a pipeline."""
    ranges = []
    for target in targets:
        if serves_pipeline(target, pipeline):
            ranges.append((target.first_layer, target.end_layer))
    return ranges


def serves_pipeline(target: TargetDocument, pipeline: PipelineDocument) -> bool:
    """Return whether a target has a pipeline's model, version and adapter.

    A target that is leaving does not count.
    """
    if target.kind is not TargetKind.ENGINE or target.is_leaving:
        return False
    if (target.model, target.version) != (pipeline.model, pipeline.version):
        return False
    return not pipeline.adapter or pipeline.adapter in target.adapters


def first_uncovered_layer(ranges: list[tuple[int, int]], layers: int) -> int | None:
    """Return the first layer of [0, layers) that no range covers, or None.

    A target may run only some of the layers that it holds. Ranges that cover every
    layer can therefore always be divided so that each layer runs on one target.

    >>> first_uncovered_layer([(0, 8), (6, 12)], 16)
    12
    """
    covered_end = 0
    for first, end in sorted(ranges):
        if first > covered_end:
            break
        covered_end = max(covered_end, end)
    return covered_end if covered_end < layers else None


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
                path,
                "service",
                service.service,
                "no target provides this service" + hint,
            )
