"""The settings tree at one revision."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

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


@dataclass(frozen=True)
class Tree:
    """Documents by path, as text and parsed, at one revision.

    A tree is never changed; `with_changes` returns the next one and parses only what
    changed. Documents that do not parse are in `mistakes` and absent from
    `documents`; no such tree is ever accepted.

    >>> tree = Tree.build(Revision(1), {"models/m": "[model]\\nlayers=4\\nversions=v1"})
    >>> tree.models()["m"].layers
    4
    """

    revision: Revision = EMPTY_REVISION
    texts: Mapping[str, str] = field(default_factory=dict)
    documents: Mapping[str, Document] = field(default_factory=dict)
    mistakes: Mapping[str, SettingsErrorCollector] = field(default_factory=dict)

    @classmethod
    def build(cls, revision: Revision, texts: Mapping[str, str]) -> "Tree":
        """Parse a whole tree."""
        return cls().with_changes(revision, texts)

    def with_changes(
        self, revision: Revision, changes: Mapping[str, str | None]
    ) -> "Tree":
        """Return the tree after some paths were written, or removed with None."""
        texts = dict(self.texts)
        documents = dict(self.documents)
        mistakes = dict(self.mistakes)
        for path, text in changes.items():
            texts.pop(path, None)
            documents.pop(path, None)
            mistakes.pop(path, None)
            if text is None:
                continue
            texts[path] = text
            collector = SettingsErrorCollector(path)
            document = read_document(path, text, collector)
            if document is not None:
                documents[path] = document
            if collector.errors:
                mistakes[path] = collector
        return Tree(
            revision,
            MappingProxyType(texts),
            MappingProxyType(documents),
            MappingProxyType(mistakes),
        )

    def models(self) -> dict[ModelName, ModelDocument]:
        """Return the models by name."""
        found = {}
        for path, document in self.documents.items():
            if isinstance(document, ModelDocument):
                found[ModelName(path.split("/")[1])] = document
        return found

    def targets(self) -> dict[TargetId, TargetDocument]:
        """Return the targets by name."""
        found = {}
        for path, document in self.documents.items():
            if isinstance(document, TargetDocument):
                found[TargetId(path.split("/")[1])] = document
        return found

    def links(self) -> dict[tuple[str, str], LinkDocument]:
        """Return the links by their two zones."""
        found = {}
        for path, document in self.documents.items():
            if isinstance(document, LinkDocument):
                _, first, second = path.split("/")
                found[(first, second)] = document
        return found

    def grants(self) -> dict[WorkspaceName, GrantDocument]:
        """Return the grants by workspace."""
        found = {}
        for path, document in self.documents.items():
            if isinstance(document, GrantDocument):
                found[WorkspaceName(path.split("/")[1])] = document
        return found

    def pipelines(
        self,
    ) -> Iterator[tuple[WorkspaceName, PipelineName, PipelineDocument]]:
        """Yield every pipeline with its workspace and name."""
        for path, document in self.documents.items():
            if isinstance(document, PipelineDocument):
                parts = path.split("/")
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
        for path, document in self.documents.items():
            if isinstance(document, ServiceDocument):
                parts = path.split("/")
                yield WorkspaceName(parts[1]), ServiceName(parts[3]), document
