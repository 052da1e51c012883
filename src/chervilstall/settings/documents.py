"""The documents that operators and teams write under paths.

Each path pattern has one document class; a document is INI text with one section of
that class's name. Paths with a workspace belong to that workspace's team, except the
grant, which belongs to the operators.
"""

import fnmatch
from dataclasses import dataclass
from enum import Enum
from typing import Union

from chervilstall.ids import ModelName, ServiceName, ZoneName
from chervilstall.settings.ini import parse_ini, read_section
from chervilstall.settings.option import Address, option
from chervilstall.settings.problems import SettingsErrorCollector
from chervilstall.settings.processes import NAME_PATTERN

SHA256_PATTERN = r"[0-9a-f]{64}"


class RequestClass(Enum):
    """Priority class of a request, most urgent first."""

    URGENT = "urgent"
    STANDARD = "standard"
    DRAFT = "draft"


class TargetKind(Enum):
    """What a target serves."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True)
class ModelDocument:
    """`models/NAME`: a model as pipelines refer to it."""

    layers: int = option("Number of layers.", unit="layers", minimum=1)
    versions: tuple[str, ...] = option("Versions that may be served.")


@dataclass(frozen=True)
class TargetDocument:
    """`targets/NAME`: a model engine or a plain service.

    An engine holds the layers `first_layer` up to but not including `end_layer`.
    """

    kind: TargetKind = option("engine or service.")
    zone: ZoneName = option("Availability zone.", pattern=NAME_PATTERN)
    address: Address = option("HTTP address.")
    concurrency: int = option("Requests it runs at once.", 32, minimum=1)
    accelerator: str = option("Kind of accelerator.", "none", pattern=NAME_PATTERN)
    service: ServiceName = option("Service it serves; empty for an engine.", "")
    model: ModelName = option("Model it holds; empty for a service.", "")
    version: str = option("Model version it holds.", "")
    adapters: tuple[str, ...] = option("Adapters it has loaded.", ())
    first_layer: int = option("First layer held.", 0, unit="layer", minimum=0)
    end_layer: int = option("Layer after the last held.", 0, unit="layer", minimum=0)
    layer_tokens_per_s: float = option(
        "Capacity: tokens per second times layers run.",
        0.0,
        unit="layer tokens/s",
        minimum=0.0,
    )
    checks_fencing: bool = option("Refuses orders with an old fence.", False)
    authenticates_orders: bool = option("Checks who gives it orders.", False)
    is_leaving: bool = option("Gets no new work.", False)


@dataclass(frozen=True)
class LinkDocument:
    """`links/ZONE/ZONE`: capacity of the links between two zones, both ways."""

    tokens_per_s: float = option(
        "Activations carried per second.", unit="tokens/s", minimum=0.0
    )


@dataclass(frozen=True)
class GrantDocument:
    """`workspaces/NAME/grant`: what the operators allow a workspace."""

    token_sha256: tuple[str, ...] = option("SHA-256 of each caller token, in hex.")
    owner_sha256: tuple[str, ...] = option(
        "SHA-256 of each token that may write under the workspace.", ()
    )
    weight: float = option("Weight in fair queueing.", 1.0, minimum=0.01)
    requests_per_s: float = option(
        "Requests over the whole fleet.", unit="requests/s", minimum=0.0
    )
    tokens_per_s: float = option(
        "Generated tokens over the whole fleet.", 1e9, unit="tokens/s", minimum=0.0
    )
    concurrency: int = option(
        "Requests running at once over the whole fleet.", 10_000, minimum=1
    )
    urgent_allowed: bool = option("May declare urgent pipelines.", True)


@dataclass(frozen=True)
class PipelineDocument:
    """`workspaces/NAME/pipelines/NAME`: a served model."""

    model: ModelName = option("Model served.", pattern=NAME_PATTERN)
    version: str = option("Model version served.")
    next_version: str = option(
        "Version to roll out; the planner makes it the served one when covered.", ""
    )
    adapter: str = option("Adapter applied; empty for none.", "")
    request_class: RequestClass = option("Class of its requests.", RequestClass.DRAFT)
    repeatable: bool = option("A request may run more than once.", True)
    requests_per_s: float = option(
        "Share of the workspace's limit; 0 leaves it to the workspace.",
        0.0,
        unit="requests/s",
        minimum=0.0,
    )
    run_without_store: bool = option(
        "First attempts of non-repeatable requests run during a store outage.", False
    )


@dataclass(frozen=True)
class ServiceDocument:
    """`workspaces/NAME/services/NAME`: a plain service the workspace may call."""

    service: ServiceName = option("Service called.", pattern=NAME_PATTERN)
    request_class: RequestClass = option("Class of its requests.", RequestClass.URGENT)
    repeatable_methods: tuple[str, ...] = option(
        "Methods that may run more than once.", ("GET", "HEAD", "OPTIONS")
    )
    run_without_store: bool = option(
        "First attempts of non-repeatable requests run during a store outage.", False
    )


Document = Union[
    ModelDocument,
    TargetDocument,
    LinkDocument,
    GrantDocument,
    PipelineDocument,
    ServiceDocument,
]


@dataclass(frozen=True)
class DocumentKind:
    """Path pattern, INI section and class of one kind of document."""

    pattern: str
    section: str
    cls: type


DOCUMENT_KINDS = (
    DocumentKind("models/*", "model", ModelDocument),
    DocumentKind("targets/*", "target", TargetDocument),
    DocumentKind("links/*/*", "link", LinkDocument),
    DocumentKind("workspaces/*/grant", "grant", GrantDocument),
    DocumentKind("workspaces/*/pipelines/*", "pipeline", PipelineDocument),
    DocumentKind("workspaces/*/services/*", "service", ServiceDocument),
)


def find_document_kind(path: str) -> DocumentKind | None:
    """Return the kind of document that belongs at `path`, or None."""
    for kind in DOCUMENT_KINDS:
        if path.count("/") != kind.pattern.count("/"):
            continue
        if fnmatch.fnmatchcase(path, kind.pattern):
            return kind
    return None


def read_document(
    path: str, text: str, collector: SettingsErrorCollector
) -> Document | None:
    """Parse the document at `path`, recording each mistake in `log`."""
    kind = find_document_kind(path)
    if kind is None:
        patterns = ", ".join(kind.pattern for kind in DOCUMENT_KINDS)
        collector.add("", "path", path, f"allowed: {patterns}")
        return None
    sections = parse_ini(text, collector)
    for name in sections:
        if name == kind.section:
            continue
        collector.add(
            name, "", "", f"unknown section; only [{kind.section}] belongs here"
        )
    if kind.section not in sections:
        collector.add(kind.section, "", "", "section missing")
        return None
    return read_section(kind.cls, kind.section, sections[kind.section], collector)
