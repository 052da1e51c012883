"""The settings tree at one revision."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TypeVar

from chervilstall.ids import (
    ModelName,
    PipelineName,
    Revision,
    ServiceName,
    TargetId,
    WorkspaceName,
)
from chervilstall.settings.documents import (
    Document,
    GrantDocument,
    LinkDocument,
    ModelDocument,
    PipelineDocument,
    ServiceDocument,
    TargetDocument,
    read_document,
)
from chervilstall.settings.problems import SettingsErrorCollector

EMPTY_REVISION = Revision(0)
D = TypeVar("D", bound=Document)


@dataclass(frozen=True)
class Tree:
    """Documents by path, both as text and parsed, at one revision.

    A tree is immutable; `with_changes` returns a new one and parses only the documents
    that changed. A document that can't be parsed appears in `errors` instead of
    `documents`; a tree with errors is never accepted.

    >>> tree = Tree.build(Revision(1), {"models/m": "[model]\\nlayers=4\\nversions=v1"})
    >>> tree.models()["m"].layers
    4
    """

    revision: Revision = EMPTY_REVISION
    texts: Mapping[str, str] = field(default_factory=dict)
    documents: Mapping[str, Document] = field(default_factory=dict)
    errors: Mapping[str, SettingsErrorCollector] = field(default_factory=dict)

    @classmethod
    def build(cls, revision: Revision, texts: Mapping[str, str]) -> "Tree":
        """Return a tree with all documents parsed from their texts."""
        return cls().with_changes(revision, texts)

    def with_changes(
        self, revision: Revision, changes: Mapping[str, str | None]
    ) -> "Tree":
        """Return the tree with new texts at some paths; None removes a path."""
        texts = dict(self.texts)
        documents = dict(self.documents)
        errors = dict(self.errors)
        for path, text in changes.items():
            texts.pop(path, None)
            documents.pop(path, None)
            errors.pop(path, None)
            if text is None:
                continue
            texts[path] = text
            collector = SettingsErrorCollector(path)
            document = read_document(path, text, collector)
            if document is not None:
                documents[path] = document
            if collector.errors:
                errors[path] = collector
        return Tree(
            revision,
            MappingProxyType(texts),
            MappingProxyType(documents),
            MappingProxyType(errors),
        )

    def _documents_of(self, kind: type[D]) -> Iterator[tuple[list[str], D]]:
        """Yield every document of a kind with the parts of its path."""
        for path, document in self.documents.items():
            if isinstance(document, kind):
                yield path.split("/"), document

    def models(self) -> dict[ModelName, ModelDocument]:
        """Return the models by name."""
        documents = self._documents_of(ModelDocument)
        return {ModelName(parts[1]): document for parts, document in documents}

    def targets(self) -> dict[TargetId, TargetDocument]:
        """Return the targets by name."""
        documents = self._documents_of(TargetDocument)
        return {TargetId(parts[1]): document for parts, document in documents}

    def links(self) -> dict[tuple[str, str], LinkDocument]:
        """Return the links by their two zones."""
        documents = self._documents_of(LinkDocument)
        return {(parts[1], parts[2]): document for parts, document in documents}

    def grants(self) -> dict[WorkspaceName, GrantDocument]:
        """Return the grants by workspace."""
        documents = self._documents_of(GrantDocument)
        return {WorkspaceName(parts[1]): document for parts, document in documents}

    def pipelines(
        self,
    ) -> Iterator[tuple[WorkspaceName, PipelineName, PipelineDocument]]:
        """Yield every pipeline with its workspace and name."""
        for parts, document in self._documents_of(PipelineDocument):
            yield WorkspaceName(parts[1]), PipelineName(parts[3]), document

    def pipeline(self, workspace: WorkspaceName, name: str) -> PipelineDocument | None:
        """Return one pipeline of a workspace, or None."""
        document = self.documents.get(f"workspaces/{workspace}/pipelines/{name}")
        return document if isinstance(document, PipelineDocument) else None

    def service(self, workspace: WorkspaceName, name: str) -> ServiceDocument | None:
        """Return one service of a workspace, or None."""
        document = self.documents.get(f"workspaces/{workspace}/services/{name}")
        return document if isinstance(document, ServiceDocument) else None

    def services(
        self,
    ) -> Iterator[tuple[WorkspaceName, ServiceName, ServiceDocument]]:
        """Yield every service with its workspace and name."""
        for parts, document in self._documents_of(ServiceDocument):
            yield WorkspaceName(parts[1]), ServiceName(parts[3]), document
